// Package deadline ends contexts at moments of the clock that goes on while the
// machine is suspended. Timers do not: they would be late by the time suspended, and
// callers would be held for that much longer than they wait.
package deadline

import (
	"context"
	"sync"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Set is the deadlines that are to come. It is safe for concurrent use.
type Set struct {
	now func() clock.Millis

	mu  sync.Mutex
	all map[*deadline]struct{}
}

type deadline struct {
	at    clock.Millis
	timer *time.Timer
}

// New returns an empty set.
func New(now func() clock.Millis) *Set {
	return &Set{now: now, all: map[*deadline]struct{}{}}
}

// Context returns a context that ends at a moment, or with its parent. At the moment
// its cause is context.DeadlineExceeded. Cancel must be called.
func (s *Set) Context(parent context.Context, at clock.Millis) (ctx context.Context, cancel context.CancelFunc) {
	ctx, end := context.WithCancelCause(parent)
	d := &deadline{at: at}
	s.mu.Lock()
	d.timer = time.AfterFunc(at.Sub(s.now()), func() { end(context.DeadlineExceeded) })
	s.all[d] = struct{}{}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.all, d)
		s.mu.Unlock()
		d.timer.Stop()
		end(context.Canceled)
	}
}

// Resume sets all timers anew, after the machine was suspended.
func (s *Set) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for d := range s.all {
		if d.timer.Stop() { // else it has ended
			d.timer.Reset(d.at.Sub(now))
		}
	}
}
