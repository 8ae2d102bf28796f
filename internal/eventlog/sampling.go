package eventlog

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// immediateRate and immediateBurst limit how many requests a second have
	// their lines written immediately, whatever their outcome. Lines of further
	// requests are held until the outcome is known and left out if the request was
	// served in time. At five lines a request and 300 bytes a line the rate
	// amounts to 60 kB a second.
	immediateRate  = 40
	immediateBurst = 80
)

// RequestLog collects the lines of one request. It is safe for concurrent use.
type RequestLog struct {
	log       *Log
	mu        sync.Mutex
	held      []Line
	immediate bool // lines are written without waiting for the outcome
}

// newImmediateLimiter returns the limiter of requests whose lines are written
// immediately.
func newImmediateLimiter() *rate.Limiter { return rate.NewLimiter(immediateRate, immediateBurst) }

// NewRequestLog returns the log of a request that has just arrived.
func (l *Log) NewRequestLog() *RequestLog { return &RequestLog{log: l, immediate: l.immediate.Allow()} }

// Write writes one line, or holds it with the present time until End.
func (r *RequestLog) Write(line Line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.immediate {
		r.log.Write(line)
		return
	}
	line.At = time.Now().UnixMilli()
	r.held = append(r.held, line)
}

// End writes the lines held so far, or leaves them out if the request was served in
// time.
func (r *RequestLog) End(served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if served {
		r.log.sampled.Add(int64(len(r.held)))
		r.held = nil
		return
	}
	for _, line := range r.held {
		r.log.Write(line)
	}
	r.held, r.immediate = nil, true
}

// Sampled returns how many lines of requests served in time were left out.
func (l *Log) Sampled() int64 { return l.sampled.Load() }
