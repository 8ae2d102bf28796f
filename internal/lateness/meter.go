// Package lateness measures how long work of this instance waits: for the processor, or for a link.
package lateness

import (
	"context"
	"math"
	"runtime"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// Window is the time in which all waits must have been long for the wait to be a standing one. It is
	// longer than a pause of the garbage collector, and than the usual period of a quota of processor
	// time, in which the process stands still once it has used up its quota.
	Window = 120 * time.Millisecond
	// interval is the time between probes. Those of an idle process end with its other intervals,
	// which saves wake-ups.
	interval = 100 * time.Millisecond
	// busyInterval is the time between probes after a late one.
	busyInterval = 30 * time.Millisecond
	// late is the wait from which a probe counts as a late one. Timers fire a few ms late.
	late = 10 * time.Millisecond
)

// Meter holds waits of one kind. Run adds those of runnable goroutines for the processor. It is safe for
// concurrent use.
type Meter struct {
	Now func() clock.Millis

	mu       sync.Mutex
	windows  [2]window    // the current one and the one before
	probeDue clock.Millis // 0: no probe is pending
}

// window holds the shortest and the longest wait that were recorded in one window.
type window struct {
	number            int64 // since the epoch
	shortest, longest time.Duration
	empty             bool
}

func (w *window) record(wait time.Duration) {
	if w.empty || wait < w.shortest {
		w.shortest = wait
	}
	w.longest, w.empty = max(w.longest, wait), false
}

// Record adds a wait that has just ended.
func (m *Meter) Record(now clock.Millis, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.windows[0].record(wait)
	if before := &m.windows[1]; before.empty && now.Sub(before.start()) <= wait {
		before.record(wait) // it lasted for all of that window
	}
}

// start returns the time at which the window begins.
func (w *window) start() clock.Millis { return clock.Millis(w.number * Window.Milliseconds()) }

// advance makes the window of a time the current one.
func (m *Meter) advance(now clock.Millis) {
	number := int64(now) / Window.Milliseconds()
	switch m.windows[0].number {
	case number:
	case number - 1:
		m.windows[1], m.windows[0] = m.windows[0], window{number: number, empty: true}
	default:
		m.windows = [2]window{{number: number, empty: true}, {number: number - 1, empty: true}}
	}
}

// Standing returns the shortest wait of one to two windows before a time, or 0 if too little is known of
// them. Bursts and pauses leave short waits between the long ones, unlike a demand for more processor time
// than the process gets. A probe that is overdue counts with the time for which it has waited.
func (m *Meter) Standing(now clock.Millis) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	shortest := time.Duration(math.MaxInt64)
	for _, w := range m.windows {
		if !w.empty {
			shortest = min(shortest, w.shortest)
		}
	}
	overdue := time.Duration(0)
	if m.probeDue > 0 {
		overdue = now.Sub(m.probeDue)
	}
	if overdue > 0 {
		shortest = min(shortest, overdue)
	}
	if m.windows[1].empty && overdue < 2*Window {
		return 0
	}
	return shortest
}

// Longest returns the longest wait of one to two windows before a time.
func (m *Meter) Longest(now clock.Millis) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return max(m.windows[0].longest, m.windows[1].longest)
}

// Run probes until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	wait := time.Duration(0)
	for {
		next := ticker.UntilNext(interval)
		if wait >= late {
			next = busyInterval
		}
		due := m.expect(m.Now().Add(next))
		timer.Reset(next)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		runtime.Gosched() // a goroutine that a timer has woken runs before those that wait
		now := m.Now()
		wait = max(now.Sub(due), 0)
		m.Record(now, wait)
	}
}

// expect sets when the next probe is due.
func (m *Meter) expect(due clock.Millis) clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probeDue = due
	return due
}
