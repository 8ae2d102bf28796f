// Package overload keeps an instance that gets more connections than its processor can serve from
// reading requests that it would answer too late. It closes new connections unread that have waited
// too long for the processor, so that their callers turn to other instances at once.
package overload

import (
	"sync"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// maxDelay is the longest time from the accept of a connection to the start of its goroutine
	// after which its request is read while the instance is overloaded. An instance whose share of
	// a core is a quota stands still for up to 100 ms without being overloaded.
	maxDelay = 120 * time.Millisecond
	// onset is how long all connections must have waited for longer than maxDelay before any is
	// closed. A start or a short burst is over by then, and its callers are better served late
	// than sent away.
	onset = 500 * time.Millisecond
	// relief is how long no connection may have waited for longer than maxDelay before the
	// overload is over.
	relief = 2 * time.Second
)

// Gate decides which new connections of an instance are read. The zero Gate reads all until the
// instance is overloaded. It is safe for concurrent use.
type Gate struct {
	mu         sync.Mutex
	overloaded bool
	since      clock.Millis // of the first of the last delays, which were all above maxDelay; 0: none
	lastLate   clock.Millis // of the last delay above maxDelay
}

// Change is what a delay has changed.
type Change int

// Changes.
const (
	None  Change = iota
	Began        // the instance is overloaded
	Ended        // it is overloaded no more
)

// Observe takes the delay of a new connection, from its accept to the start of its goroutine, and
// decides whether its request is to be read.
func (g *Gate) Observe(now clock.Millis, delay time.Duration) (read bool, change Change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if delay <= maxDelay {
		g.since = 0
		if g.overloaded && now.Sub(g.lastLate) >= relief {
			g.overloaded, change = false, Ended
		}
		return true, change
	}
	g.lastLate = now
	if g.since == 0 {
		g.since = now
	}
	if !g.overloaded && now.Sub(g.since) >= onset {
		g.overloaded, change = true, Began
	}
	return !g.overloaded, change
}
