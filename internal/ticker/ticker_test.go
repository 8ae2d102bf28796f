package ticker_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/ticker"
)

// Loops that start at different times wake the process at the same times. An idle
// instance has ten such loops, and in a fleet of a thousand instances the wake-ups are
// most of its cost.
func TestIntervalsEndTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var mu sync.Mutex
		wakeUps, calls := map[time.Time]bool{}, map[time.Duration]int{}
		intervals := []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, time.Second}
		for _, interval := range intervals {
			time.Sleep(7 * time.Millisecond)
			group.Go(func() {
				ticker.Every(ctx, interval, func() {
					mu.Lock()
					defer mu.Unlock()
					wakeUps[time.Now()] = true
					calls[interval]++
				})
			})
		}
		for range 3 {
			time.Sleep(7 * time.Millisecond)
			group.Go(func() {
				ticker.New(50*time.Millisecond, 200*time.Millisecond).Run(ctx, func() bool {
					mu.Lock()
					defer mu.Unlock()
					wakeUps[time.Now()] = true
					return false
				})
			})
		}
		time.Sleep(10 * time.Second)
		cancel()
		group.Wait()
		qt.Check(t, len(wakeUps) <= 101, qt.IsTrue, qt.Commentf("%d wake-ups", len(wakeUps)))
		for _, interval := range intervals {
			want := int(10 * time.Second / interval)
			qt.Check(t, calls[interval] >= want && calls[interval] <= want+1, qt.IsTrue, qt.Commentf("%v: %d calls", interval, calls[interval]))
		}
	})
}

// A function that takes longer than its interval is next called at the end of a later
// interval, not late each time.
func TestSlowCallsSkip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		calls := 0
		ticker.Every(ctx, 100*time.Millisecond, func() {
			calls++
			time.Sleep(150 * time.Millisecond)
		})
		qt.Assert(t, calls >= 49 && calls <= 51, qt.IsTrue, qt.Commentf("%d calls", calls))
	})
}
