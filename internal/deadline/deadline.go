// Package deadline provides context deadlines on a clock that advances while the
// machine is suspended. The clock of time.Timer stops then: timers would fire late by
// the time suspended, and callers would be kept waiting for that much longer.
package deadline

import (
	"context"
	"sync"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Set holds pending deadlines. It is safe for concurrent use.
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

// Context returns a context that ends at a time, or with its parent. At that time its
// cause is context.DeadlineExceeded. Cancel must be called.
func (s *Set) Context(parent context.Context, at clock.Millis) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(parent)
	d := &deadline{at: at}
	s.mu.Lock()
	d.timer = time.AfterFunc(at.Sub(s.now()), func() { cancelCause(context.DeadlineExceeded) })
	s.all[d] = struct{}{}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.all, d)
		s.mu.Unlock()
		d.timer.Stop()
		cancelCause(context.Canceled)
	}
}

// Resume resets all timers after the machine was suspended.
func (s *Set) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for d := range s.all {
		if d.timer.Stop() { // otherwise it has fired already
			d.timer.Reset(d.at.Sub(now))
		}
	}
}
