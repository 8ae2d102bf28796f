// Package eventlog writes the process's log as JSON lines to one writer: one
// line for each decision that affects a request or changes the process's view of
// other systems. Writing never blocks: lines wait in a bounded queue, and lines
// that do not fit because the output is too slow are dropped and counted.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/trailshed/trailshed/internal/epoch"
)

// maxQueuedLines is how many lines may wait for the output; at about 300 bytes
// each they take 300 kB.
const maxQueuedLines = 1000

// Log writes lines. It is safe for concurrent use.
type Log struct {
	logger    zerolog.Logger
	queue     *queue
	immediate *rate.Limiter
	reported  atomic.Int64 // value of Dropped in the last lines_dropped line
	sampled   atomic.Int64 // lines left out by sampling
}

// Open returns a log that writes to out; each line carries name as its instance.
func Open(out io.Writer, name string) *Log {
	l := &Log{immediate: newImmediateLimiter(), queue: newQueue(out, maxQueuedLines)}
	l.logger = zerolog.New(l.queue).With().Str("instance", name).Logger()
	return l
}

// Line is one decision or change. Fields with a zero value are not written.
type Line struct {
	Event       Event
	At          int64  // ms since 1970; 0 stands for the time of the call of Write
	Request     string // ID of the request concerned
	Fingerprint string // fingerprint of the request's content: the same for all its attempts
	Parts       string // leading parts of the prompt, separated by commas
	Attempt     int    // number of the attempt within the request, from 1
	Route       string
	Service     string
	Workspace   string // name of the workspace that sent the request
	Priority    int    // of the request; 0 is the most urgent
	Share       int    // memory that the workspace holds at engines, in percent of its part
	Endpoint    string // ID of the endpoint
	Software    string // version of the endpoint's software
	Address     string // of the endpoint or peer
	Prefill     string // ID of the prefill engine
	Peer        string // name of another instance
	Zone        string
	Wait        time.Duration // predicted wait, or the wait that a refused caller is given
	Outcome     string
	Reason      string        // reason code
	Sends       string        // the request's sends and how they ended
	Detail      string        // free text, such as an error
	Status      int           // HTTP status
	Took        time.Duration // time since the request arrived, or the length of a period
	TimeToFirst time.Duration // from the request's arrival to its first event
	Predicted   time.Duration // TimeToFirst as predicted when the request was placed
	TimeLeft    time.Duration // time until the request's deadline
	Age         time.Duration // of the data that the decision was based on
	Version     int64         // of the configuration
	Revision    int64         // of the store: a position, as package epoch has them
	Count       int64
}

// Write queues one line. It first writes a lines_dropped line if lines were dropped
// since the last one.
func (l *Log) Write(line Line) {
	if dropped := l.Dropped(); dropped > l.reported.Load() {
		l.reported.Store(dropped)
		begin(l.logger.Log(), 0, LinesDropped).Int64("count", dropped).Send()
	}
	e := begin(l.logger.Log(), line.At, line.Event)
	addText(e, "request", line.Request)
	addText(e, "work", line.Fingerprint)
	addText(e, "parts", line.Parts)
	addInt(e, "attempt", int64(line.Attempt))
	addText(e, "route", line.Route)
	addText(e, "service", line.Service)
	addText(e, "workspace", line.Workspace)
	addInt(e, "priority", int64(line.Priority))
	addInt(e, "share_percent", int64(line.Share))
	addText(e, "endpoint", line.Endpoint)
	addText(e, "software", line.Software)
	addText(e, "address", line.Address)
	addText(e, "prefill", line.Prefill)
	addText(e, "peer", line.Peer)
	addText(e, "zone", line.Zone)
	addInt(e, "wait_ms", line.Wait.Milliseconds())
	addText(e, "outcome", line.Outcome)
	addText(e, "reason", line.Reason)
	addText(e, "sends", line.Sends)
	addText(e, "detail", line.Detail)
	addInt(e, "status", int64(line.Status))
	addInt(e, "took_ms", line.Took.Milliseconds())
	addInt(e, "first_ms", line.TimeToFirst.Milliseconds())
	addInt(e, "predicted_ms", line.Predicted.Milliseconds())
	addInt(e, "left_ms", line.TimeLeft.Milliseconds())
	addInt(e, "age_ms", line.Age.Milliseconds())
	addInt(e, "version", line.Version)
	addInt(e, "epoch", epoch.Of(line.Revision))
	addInt(e, "revision", epoch.Revision(line.Revision))
	addInt(e, "count", line.Count)
	e.Send()
}

// Dropped returns how many lines were lost because the output was too slow or
// failed.
func (l *Log) Dropped() int64 { return l.queue.dropped.Load() }

// Close waits until the output has received all lines written so far and returns
// the first error of the output. Lines written later are lost.
func (l *Log) Close() error { return l.queue.Close() }

// begin adds the time, in milliseconds since 1970, and the event; if at is 0, the
// time is now.
func begin(e *zerolog.Event, at int64, name Event) *zerolog.Event {
	if at == 0 {
		at = time.Now().UnixMilli()
	}
	return e.Int64("time", at).Str("event", string(name))
}

func addText(e *zerolog.Event, key, value string) {
	if value != "" {
		e.Str(key, value)
	}
}

func addInt(e *zerolog.Event, key string, value int64) {
	if value != 0 {
		e.Int64(key, value)
	}
}
