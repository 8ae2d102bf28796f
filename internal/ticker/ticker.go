// Package ticker calls functions in time. A Ticker calls often while there is
// something to wait for and seldom when there is not, so that an idle process
// hardly wakes; Every and Sleep do the plain things until a context ends.
package ticker

import (
	"context"
	"time"
)

// Ticker is one such loop.
type Ticker struct {
	Fast time.Duration // between calls while busy
	Slow time.Duration // between calls otherwise
	wake chan struct{}
}

// New returns a ticker that is not running yet.
func New(fast, slow time.Duration) *Ticker {
	return &Ticker{Fast: fast, Slow: slow, wake: make(chan struct{}, 1)}
}

// Wake says that there is something to wait for.
func (t *Ticker) Wake() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run calls do, which says whether it is busy, until ctx ends.
func (t *Ticker) Run(ctx context.Context, do func() (busy bool)) {
	timer := time.NewTimer(t.Slow)
	defer timer.Stop()
	busy := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
			if !busy {
				busy = true
				timer.Reset(t.Fast)
			}
			continue
		case <-timer.C:
		}
		busy = do()
		if busy {
			timer.Reset(t.Fast)
		} else {
			timer.Reset(t.Slow)
		}
	}
}

// Every calls do at each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, do func()) {
	beats := time.NewTicker(interval)
	defer beats.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beats.C:
			do()
		}
	}
}

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
