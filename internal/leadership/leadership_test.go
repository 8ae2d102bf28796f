package leadership_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/leadership"
	"github.com/trailshed/trailshed/pkg/clock"
)

// store simulates the platform's store with one lease.
type store struct {
	mu          sync.Mutex
	fence       int64
	until       time.Time
	unavailable map[string]bool
}

var errDown = errors.New("down")

func (s *store) registry(name string) leadership.Registry {
	return leadership.Registry{
		Acquire: func(_ context.Context, _ string, duration time.Duration) (int64, int64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.unavailable[name] {
				return 0, 0, errDown
			}
			if time.Now().Before(s.until) {
				return 0, 0, leadership.ErrTaken
			}
			s.fence++
			s.until = time.Now().Add(duration)
			return s.fence, s.fence, nil
		},
		Renew: func(_ context.Context, lease int64) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.unavailable[name] {
				return errDown
			}
			if lease != s.fence || !time.Now().Before(s.until) {
				return leadership.ErrLapsed
			}
			s.until = time.Now().Add(3 * time.Second)
			return nil
		},
	}
}

// A holder whose machine was suspended for longer than its lease does not act when it
// resumes, although its monotonic clock stood still.
func TestSuspendedHolderStops(t *testing.T) {
	log := eventlog.Open(io.Discard, "test")
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &store{unavailable: map[string]bool{}}
		var monotonic, suspended atomic.Int64 // ns
		now := clock.From(clock.Source{
			Read: func() (time.Duration, time.Duration) {
				return time.Hour + time.Duration(monotonic.Load()+suspended.Load()), time.Duration(monotonic.Load())
			},
			SuspendedTime: func() (time.Duration, error) { return time.Duration(suspended.Load()), nil },
		})
		l := &leadership.Leadership{Name: "n1", Registry: s.registry("n1"), MinGap: 3 * time.Second, Log: log, Now: now, Candidate: func() bool { return true }}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { l.Run(ctx) })
		synctest.Wait()
		monotonic.Add(int64(4600 * time.Millisecond)) // long enough for a former holder's acts to have arrived
		time.Sleep(time.Second)                       // for a renewal of the lease
		synctest.Wait()
		_, acts := l.Fence()
		c.Assert(acts, qt.IsTrue)
		suspended.Add(int64(3 * time.Second))
		_, acts = l.Fence()
		c.Assert(acts, qt.IsFalse)
		cancel()
		group.Wait()
	})
}

// Whichever instances the store refuses, at most one acts at a time, fences increase with
// each holder, and the acts of two holders are more than a lease apart.
func TestOneActsAtATime(t *testing.T) {
	log := eventlog.Open(io.Discard, "test") // its goroutines run outside the synctest bubble
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &store{unavailable: map[string]bool{}}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var all []*leadership.Leadership
		now := clock.System()
		for _, name := range []string{"n1", "n2", "n3"} {
			l := &leadership.Leadership{Name: name, Registry: s.registry(name), MinGap: 3 * time.Second, Log: log, Now: now, Candidate: func() bool { return true }}
			all = append(all, l)
			group.Go(func() { l.Run(ctx) })
		}
		holder, fence, acted, holders := "", int64(0), time.Time{}, 0
		for i := range 6000 { // ten minutes
			time.Sleep(100 * time.Millisecond)
			s.mu.Lock()
			if i%400 == 0 {
				s.unavailable = map[string]bool{holder: true} // refused for ten seconds
			}
			if i%400 == 100 {
				clear(s.unavailable)
			}
			s.mu.Unlock()
			acting := 0
			for _, l := range all {
				f, ok := l.Fence()
				if !ok {
					continue
				}
				acting++
				if l.Name != holder {
					c.Assert(f > fence, qt.IsTrue)
					c.Assert(acted.IsZero() || time.Since(acted) > 3*time.Second, qt.IsTrue)
					holders++
				}
				holder, fence, acted = l.Name, f, time.Now()
			}
			c.Assert(acting <= 1, qt.IsTrue)
		}
		c.Assert(holders > 5, qt.IsTrue)
		cancel()
		group.Wait()
	})
}
