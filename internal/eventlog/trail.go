package eventlog

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// routineRate and routineBurst are how many requests a second have their
	// lines written as they come, whatever becomes of them. Beyond, a request's
	// lines wait for its outcome and are dropped if it was served in time. At
	// five lines a request and 300 bytes a line this is 60 kB a second.
	routineRate  = 40
	routineBurst = 80
)

// Trail is the lines of one request.
type Trail struct {
	log  *Log
	held []Line
	now  bool // lines are written as they come
}

// routine limits what is written of requests that were served in time.
func routine() *rate.Limiter { return rate.NewLimiter(routineRate, routineBurst) }

// Trail returns the trail of a request that has just arrived.
func (l *Log) Trail() *Trail { return &Trail{log: l, now: l.routine.Allow()} }

// Write writes or holds one line.
func (t *Trail) Write(n Line) {
	if t.now {
		t.log.Write(n)
		return
	}
	n.At = time.Now().UnixMilli()
	t.held = append(t.held, n)
}

// End writes what is held, unless the request was served in time.
func (t *Trail) End(served bool) {
	if served {
		t.log.sampled.Add(int64(len(t.held)))
		t.held = nil
		return
	}
	for _, n := range t.held {
		t.log.Write(n)
	}
	t.held, t.now = nil, true
}

// Sampled is how many lines of requests served in time were left out.
func (l *Log) Sampled() int64 { return l.sampled.Load() }
