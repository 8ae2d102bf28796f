// Package ticker calls functions periodically. A Ticker uses a short interval while
// there is work and a long one otherwise, so that an idle process rarely wakes up;
// Every uses a fixed interval.
package ticker

import (
	"context"
	"time"
)

// Ticker calls a function at one of two intervals, depending on whether it is busy.
type Ticker struct {
	Fast time.Duration // interval while busy
	Slow time.Duration // interval while idle
	wake chan struct{}
}

// New returns a ticker, which Run starts.
func New(fast, slow time.Duration) *Ticker {
	return &Ticker{Fast: fast, Slow: slow, wake: make(chan struct{}, 1)}
}

// Wake makes the ticker busy until the next call of its function.
func (t *Ticker) Wake() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run calls do, which returns whether it is busy, until ctx ends.
func (t *Ticker) Run(ctx context.Context, do func() (busy bool)) {
	timer := time.NewTimer(UntilNext(t.Slow))
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
			timer.Reset(UntilNext(t.Slow))
		}
	}
}

// processStart is the common origin of all intervals: those that are multiples of each
// other end at the same time, which wakes an idle process once rather than several
// times. The ends of intervals of different processes differ, as their start times do.
var processStart = time.Now()

// Every calls do at the end of each interval, counted from the start of the process,
// until ctx ends; the first call therefore comes after less than an interval. If a call
// takes longer than an interval, the ends that it misses are skipped.
func Every(ctx context.Context, interval time.Duration, do func()) {
	timer := time.NewTimer(UntilNext(interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			do()
			timer.Reset(UntilNext(interval))
		}
	}
}

// UntilNext returns the time until the current interval ends.
func UntilNext(interval time.Duration) time.Duration {
	elapsed := time.Since(processStart) % interval
	if elapsed < 0 { // in tests with a fake clock, which is before processStart
		elapsed += interval
	}
	return interval - elapsed
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
