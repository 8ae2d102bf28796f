package lateness_test

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/lateness"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Only waits that are long throughout a window are standing ones.
func TestStanding(t *testing.T) {
	ms := time.Millisecond
	steps := []struct {
		name  string
		waits map[clock.Millis]time.Duration // by their ends, in ms
		at    clock.Millis
		want  time.Duration
	}{
		{"nothing known", nil, 10_000, 0},
		{"idle", map[clock.Millis]time.Duration{9_990: 0, 10_090: ms, 10_190: 0}, 10_210, 0},
		{"late for less than a window", map[clock.Millis]time.Duration{10_090: 0, 10_150: 80 * ms, 10_210: 90 * ms}, 10_250, 0},
		{"late for a window", map[clock.Millis]time.Duration{10_085: 70 * ms, 10_150: 90 * ms, 10_210: 60 * ms}, 10_250, 60 * ms},
		{"a quota that is used up in each period", map[clock.Millis]time.Duration{10_085: 70 * ms, 10_120: 2 * ms, 10_185: 70 * ms, 10_220: 2 * ms}, 10_250, 2 * ms},
		{"long ago", map[clock.Millis]time.Duration{10_085: 70 * ms, 10_150: 90 * ms, 10_210: 60 * ms}, 10_650, 0},
	}
	for _, s := range steps {
		m := &lateness.Meter{}
		for at := clock.Millis(0); at < s.at; at++ {
			if wait, ok := s.waits[at]; ok {
				m.Record(at, wait)
			}
		}
		qt.Check(t, m.Standing(s.at), qt.Equals, s.want, qt.Commentf("%s", s.name))
	}
}

// The probes of an idle process are on time.
func TestIdleProcessIsOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		m := &lateness.Meter{Now: func() clock.Millis { return clock.Millis(1_000 + time.Since(started).Milliseconds()) }}
		done := make(chan struct{})
		go func() { m.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		qt.Check(t, m.Standing(m.Now()) <= time.Millisecond, qt.IsTrue)
		cancel()
		<-done
	})
}

// Goroutines that always have work make all others wait for the processor, which timers and new goroutines,
// which run before those that wait, do not show.
func TestBusyProcessIsLate(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	m := &lateness.Meter{Now: clock.System()}
	go m.Run(ctx)
	for range 20 {
		go func() {
			for ctx.Err() == nil {
				for start := time.Now(); time.Since(start) < 5*time.Millisecond; {
				}
				runtime.Gosched()
			}
		}()
	}
	time.Sleep(5 * lateness.Window)
	for end := time.Now().Add(20 * time.Second); m.Standing(m.Now()) < 20*time.Millisecond; runtime.Gosched() {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("no standing wait is seen"))
	}
}
