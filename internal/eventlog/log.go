// Package eventlog writes the process's log: JSON lines to one writer, one for
// each decision that touches a request or changes what the process believes.
// Writing never blocks: lines wait in a bounded ring, and what the reader of
// the output is too slow for is dropped and counted.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// ringLines is how many lines may wait for the reader of the output; at about
// 300 bytes each they hold 300 kB.
const ringLines = 1000

// Log writes lines. Its methods may be called from any goroutine.
type Log struct {
	logger  zerolog.Logger
	ring    *ring
	routine *rate.Limiter
	told    atomic.Int64 // of the dropped lines, how many a line has told
	sampled atomic.Int64 // lines left out on purpose
}

// Open returns a log of the instance called name that writes to out.
func Open(out io.Writer, name string) *Log {
	l := &Log{routine: routine(), ring: newRing(out, ringLines)}
	l.logger = zerolog.New(l.ring).With().Str("instance", name).Logger()
	return l
}

// Line is one decision or change. Zero fields are left out.
type Line struct {
	Event     Event
	At        int64         // ms since 1970; 0: when it is written
	Request   string        // id of the request it touches
	Work      string        // fingerprint of what it asks for: the same for all its tries
	Attempt   int           // send within the request, from 1
	Route     string        //
	Service   string        //
	Workspace string        // name of the workspace whose request it is
	Endpoint  string        // id of the endpoint
	Address   string        // of the endpoint or peer
	Prefill   string        // id of the prefill engine
	Zone      string        //
	Wait      time.Duration // predicted
	Outcome   string        //
	Reason    string        // why; a fixed word
	Detail    string        // free text, such as an error
	Status    int           // HTTP status
	Took      time.Duration // since the request arrived, or the length of what ended
	First     time.Duration // from the request's arrival to its first event
	Predicted time.Duration // the same, predicted when it got its place
	Left      time.Duration // until the request's limit
	Age       time.Duration // of the input that decided
	Version   int64         // of the configuration
	Revision  int64         // of the store
	Count     int64         //
}

// Write writes one line.
func (l *Log) Write(n Line) {
	if dropped := l.Dropped(); dropped > l.told.Load() {
		l.told.Store(dropped)
		begin(l.logger.Log(), 0, LinesDropped).Int64("count", dropped).Send()
	}
	e := begin(l.logger.Log(), n.At, n.Event)
	text(e, "request", n.Request)
	text(e, "work", n.Work)
	number(e, "attempt", int64(n.Attempt))
	text(e, "route", n.Route)
	text(e, "service", n.Service)
	text(e, "workspace", n.Workspace)
	text(e, "endpoint", n.Endpoint)
	text(e, "address", n.Address)
	text(e, "prefill", n.Prefill)
	text(e, "zone", n.Zone)
	number(e, "wait_ms", n.Wait.Milliseconds())
	text(e, "outcome", n.Outcome)
	text(e, "reason", n.Reason)
	text(e, "detail", n.Detail)
	number(e, "status", int64(n.Status))
	number(e, "took_ms", n.Took.Milliseconds())
	number(e, "first_ms", n.First.Milliseconds())
	number(e, "predicted_ms", n.Predicted.Milliseconds())
	number(e, "left_ms", n.Left.Milliseconds())
	number(e, "age_ms", n.Age.Milliseconds())
	number(e, "version", n.Version)
	number(e, "revision", n.Revision)
	number(e, "count", n.Count)
	e.Send()
}

// Dropped is how many lines were lost because the output was too slow or
// failed.
func (l *Log) Dropped() int64 { return l.ring.dropped.Load() }

// Close returns once what was written before is at the output, with the first
// error of the output. Lines written later are lost.
func (l *Log) Close() error { return l.ring.Close() }

// begin writes the time, in milliseconds since 1970, and the event.
func begin(e *zerolog.Event, at int64, name Event) *zerolog.Event {
	if at == 0 {
		at = time.Now().UnixMilli()
	}
	return e.Int64("time", at).Str("event", string(name))
}

func text(e *zerolog.Event, key, value string) {
	if value != "" {
		e.Str(key, value)
	}
}

func number(e *zerolog.Event, key string, value int64) {
	if value != 0 {
		e.Int64(key, value)
	}
}
