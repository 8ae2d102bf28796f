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

// store is a lease and its holder.
type store struct {
	mu    sync.Mutex
	fence int64
	until time.Time
	down  map[string]bool
}

var errDown = errors.New("down")

func (s *store) registry(name string) leadership.Registry {
	return leadership.Registry{
		Acquire: func(_ context.Context, _ string, life time.Duration) (int64, int64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.down[name] {
				return 0, 0, errDown
			}
			if time.Now().Before(s.until) {
				return 0, 0, leadership.ErrTaken
			}
			s.fence++
			s.until = time.Now().Add(life)
			return s.fence, s.fence, nil
		},
		Renew: func(_ context.Context, lease int64) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.down[name] {
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

// A holder whose machine was suspended for longer than its lease gives no order when it
// is resumed, though its steady clock stood still.
func TestSuspendedHolderStops(t *testing.T) {
	log := eventlog.Open(io.Discard, "test")
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &store{down: map[string]bool{}}
		var steady, asleep atomic.Int64 // ns
		now := clock.From(clock.Source{
			Read: func() (time.Duration, time.Duration) {
				return time.Hour + time.Duration(steady.Load()+asleep.Load()), time.Duration(steady.Load())
			},
			Asleep: func() (time.Duration, error) { return time.Duration(asleep.Load()), nil },
		})
		l := &leadership.Leadership{Name: "n1", Registry: s.registry("n1"), Gap: 3 * time.Second, Log: log, Now: now, Candidate: func() bool { return true }}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { l.Run(ctx) })
		synctest.Wait()
		steady.Add(int64(4600 * time.Millisecond)) // it may act once a former holder's acts have arrived
		time.Sleep(time.Second)                    // and has renewed its lease
		synctest.Wait()
		_, acts := l.Fence()
		c.Assert(acts, qt.IsTrue)
		asleep.Add(int64(3 * time.Second))
		_, acts = l.Fence()
		c.Assert(acts, qt.IsFalse)
		cancel()
		group.Wait()
	})
}

// However the store turns instances away, at most one acts, fences rise with
// holders, and two holders' acts are further apart than a lease.
func TestOneActsAtATime(t *testing.T) {
	log := eventlog.Open(io.Discard, "test") // its goroutines live outside the bubble
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &store{down: map[string]bool{}}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var all []*leadership.Leadership
		now := clock.System()
		for _, name := range []string{"n1", "n2", "n3"} {
			l := &leadership.Leadership{Name: name, Registry: s.registry(name), Gap: 3 * time.Second, Log: log, Now: now, Candidate: func() bool { return true }}
			all = append(all, l)
			group.Go(func() { l.Run(ctx) })
		}
		holder, fence, acted, holders := "", int64(0), time.Time{}, 0
		for i := range 6000 { // ten minutes
			time.Sleep(100 * time.Millisecond)
			s.mu.Lock()
			if i%400 == 0 {
				s.down = map[string]bool{holder: true} // turned away for a while
			}
			if i%400 == 100 {
				clear(s.down)
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
