package feed_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/feed"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

// fakeStore is a store whose reads take a time, as those of a large configuration do on a
// link of 10 Mbit/s.
type fakeStore struct {
	version    atomic.Int64
	readTime   time.Duration
	staleLists atomic.Int64
	lists      atomic.Int64
	tables     atomic.Int64
	watches    atomic.Int64 // and reads of the revision
	failing    atomic.Bool
	watching   atomic.Bool
}

// maxEntries is how many entries each instance may read.
const maxEntries = 600

var errDown = errors.New("down")

func (s *fakeStore) read(ctx context.Context) (feed.Update, error) {
	version := s.version.Load()
	if s.failing.Load() {
		return feed.Update{}, errDown
	}
	select {
	case <-ctx.Done():
		return feed.Update{}, ctx.Err()
	case <-time.After(s.readTime):
	}
	table, err := route.NewTable(route.Document{Version: version})
	return feed.Update{Events: []directory.Event{directory.Configured{Table: table, Revision: version}}}, err
}

func (s *fakeStore) newFeed(t *testing.T) (*feed.Feed, *directory.Directory) {
	d := directory.New()
	none := func() {}
	log := eventlog.Open(io.Discard, "n1")
	t.Cleanup(func() { _ = log.Close() })
	f := feed.New(feed.Options{
		Source: feed.Source{
			MaxEntries: maxEntries,
			List: func(ctx context.Context, _ func(int)) (feed.Update, error) {
				s.lists.Add(1)
				u, err := s.read(ctx)
				u.Revision, u.AllInstances = s.version.Load(), true
				return u, err
			},
			ListStale: func(ctx context.Context, _ func(feed.Update)) (feed.Update, error) {
				s.staleLists.Add(1)
				u, err := s.read(ctx)
				u.Revision, u.AllInstances = s.version.Load(), true
				return u, err
			},
			Configuration: func(ctx context.Context) (feed.Update, error) {
				s.tables.Add(1)
				return s.read(ctx)
			},
			HeadRevision: func(context.Context) (int64, error) {
				s.watches.Add(1)
				if s.failing.Load() {
					return 0, errDown
				}
				return s.version.Load(), nil
			},
			Watch: func(ctx context.Context, revision int64, wait time.Duration) (feed.Update, error) {
				s.watches.Add(1)
				if s.failing.Load() {
					return feed.Update{}, errDown
				}
				select {
				case <-ctx.Done():
					return feed.Update{}, ctx.Err()
				case <-time.After(wait):
					return feed.Update{Revision: revision}, nil
				}
			},
		},
		Directory: d, Roster: roster.New(clock.System()), Log: log, Scope: tally.NoopScope,
		Now: clock.System(), Bound: 2 * time.Second, Lost: none, Regained: none, RosterChanged: none, Updated: none, Progress: func(int) {},
		Watching: s.watching.Load, ZoneSize: func() int { return 1 },
	})
	return f, d
}

// runFeed runs a feed for a time and calls each at intervals of 250 ms.
func runFeed(t *testing.T, f *feed.Feed, length time.Duration, each func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	go f.Run(ctx)
	for ctx.Err() == nil {
		time.Sleep(250 * time.Millisecond)
		each()
	}
	synctest.Wait()
}

// A request must not cancel a read in progress. Instances that lacked a configuration of
// 1,304 routes requested it every 250 ms, and each request cancelled the read: none
// completed for half a minute, at 58,000 calls.
func TestRequestsDoNotCancelReads(t *testing.T) {
	tests := []struct {
		name    string
		request func(*feed.Feed)
	}{
		{"everything", (*feed.Feed).List},
		{"the configuration", (*feed.Feed).Configure},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{readTime: 600 * time.Millisecond}
				s.version.Store(7)
				f, d := s.newFeed(t)
				runFeed(t, f, 3*time.Second, func() {
					if v := d.View(); v.Table == nil || v.Table.Version < 7 {
						test.request(f)
					}
				})
				qt.Assert(t, d.View().Table, qt.IsNotNil)
				qt.Assert(t, s.staleLists.Load()+s.lists.Load()+s.tables.Load() <= 2, qt.IsTrue, qt.Commentf("%d reads", s.staleLists.Load()+s.lists.Load()+s.tables.Load()))
			})
		})
	}
}

// What is requested while a read is in progress is read after it.
func TestConfigurationRequestedDuringRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{readTime: 600 * time.Millisecond}
		s.version.Store(7)
		f, d := s.newFeed(t)
		requested := false
		runFeed(t, f, 3*time.Second, func() {
			if !requested {
				s.version.Store(8)
				f.Configure()
				requested = true
			}
		})
		qt.Assert(t, d.View().Table.Version, qt.Equals, int64(8))
	})
}

// A read that failed is retried until it succeeds.
func TestFailedReadIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{readTime: 10 * time.Millisecond}
		s.version.Store(7)
		f, d := s.newFeed(t)
		step := 0
		runFeed(t, f, 10*time.Second, func() {
			step++
			switch step {
			case 2:
				s.failing.Store(true)
				s.version.Store(8)
				f.Configure()
			case 20:
				s.failing.Store(false)
			}
		})
		qt.Assert(t, d.View().Table.Version, qt.Equals, int64(8))
	})
}

// An instance that stops watching while the store is out of reach keeps calling until the
// store answers: no peer would tell it that the store is back.
func TestLostStoreIsRegainedByNonWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{readTime: 10 * time.Millisecond}
		s.version.Store(7)
		s.watching.Store(true)
		f, _ := s.newFeed(t)
		step, before := 0, int64(0)
		runFeed(t, f, 10*time.Second, func() {
			step++
			switch step {
			case 2:
				s.failing.Store(true)
				f.ObserveCall(errDown)
			case 4:
				s.watching.Store(false)
			case 20:
				before = s.watches.Load()
				s.failing.Store(false)
			}
		})
		qt.Assert(t, s.watches.Load() > before, qt.IsTrue)
	})
}

// The listing from which a process starts may be seconds old. After the loss of all
// instances it names certificates that are gone, so that no peer could send the changes
// since. Each process must read those changes once, also if it does not watch.
func TestStaleListingIsCaughtUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{readTime: 10 * time.Millisecond}
		s.version.Store(7)
		f, _ := s.newFeed(t)
		runFeed(t, f, 250*time.Millisecond, func() {})
		qt.Assert(t, s.staleLists.Load(), qt.Equals, int64(1))
		qt.Assert(t, s.watches.Load(), qt.Equals, int64(1))
	})
}

// Unknown instances that connect while the store is lost must not cause reads.
func TestLostStoreIsNotReadForUnknownInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{readTime: 10 * time.Millisecond}
		s.version.Store(7)
		f, _ := s.newFeed(t)
		before := int64(0)
		step := 0
		runFeed(t, f, 4*time.Second, func() {
			step++
			switch {
			case step == 2:
				s.failing.Store(true)
				f.CatchUp() // fails, and shows that the store is lost
			case step == 6:
				before = s.watches.Load()
			case step > 6:
				f.CatchUp()
			}
		})
		// Only the retries of a process that has lost the store, one each 0.8 s.
		qt.Assert(t, s.watches.Load()-before <= 4, qt.IsTrue, qt.Commentf("%d calls", s.watches.Load()-before))
	})
}

// The start of a large fleet must not flood the log, and no name may be left out.
func TestManyInstancesShareALine(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		lines     int // with names of instances
	}{
		{"none", 0, 0},
		{"a few", 8, 8},
		{"a fleet", 195, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var written bytes.Buffer
			log := eventlog.Open(&written, "n1")
			f := feed.New(feed.Options{
				Directory: directory.New(), Roster: roster.New(clock.System()), Log: log, Scope: tally.NoopScope,
				Now: clock.System(), RosterChanged: func() {},
			})
			var update feed.Update
			for i := range test.instances {
				update.Instances = append(update.Instances, roster.Instance{Name: fmt.Sprint("front-", i), Fingerprint: fmt.Sprint(i), Revision: 7})
			}
			f.ApplyUpdate(update)
			c.Assert(log.Close(), qt.IsNil)
			text := written.String()
			c.Assert(strings.Count(text, "front-"), qt.Equals, test.instances)
			c.Assert(strings.Count(text, "believed"), qt.Equals, test.lines)
		})
	}
}

// Where a fleet starts, instances must know each other's certificates before they can call
// planners, so changes are read at once; later they are batched.
func TestBatchPauseIsShorterAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{}
		s.version.Store(1)
		s.watching.Store(true)
		f, _ := s.newFeed(t)
		f.Source.Watch = func(_ context.Context, revision int64, _ time.Duration) (feed.Update, error) {
			s.watches.Add(1)
			return feed.Update{Revision: revision + 1}, nil // something changes all the time
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(time.Second + 50*time.Millisecond) // between two reads, here and below
		atStart := s.watches.Load()
		time.Sleep(2 * time.Second)
		before := s.watches.Load()
		time.Sleep(time.Second)
		later := s.watches.Load() - before
		c.Check(atStart >= 9, qt.IsTrue, qt.Commentf("%d", atStart))
		c.Check(later <= 4, qt.IsTrue, qt.Commentf("%d", later))
	})
}

// The start of a fleet brings ten thousand endpoints. Many changes that come together share
// a line; a few have a line each.
func TestManyChangesShareALine(t *testing.T) {
	tests := []struct{ endpoints, lines int }{{3, 3}, {1000, 1}}
	for _, test := range tests {
		c := qt.New(t)
		var out bytes.Buffer
		log := eventlog.Open(&out, "n1")
		f := feed.New(feed.Options{Directory: directory.New(), Log: log, Now: func() clock.Millis { return 0 }, Scope: tally.NoopScope})
		var all []directory.Endpoint
		var update feed.Update
		for n := range test.endpoints {
			all = append(all, directory.Endpoint{ID: fmt.Sprint("e", n), Service: "web", Zone: "a", Revision: int64(n + 1)})
		}
		for _, e := range all {
			update.Events = append(update.Events, directory.Seen{Endpoint: e})
		}
		f.ApplyUpdate(update)
		c.Assert(log.Close(), qt.IsNil)
		c.Assert(strings.Count(out.String(), "endpoint_joined"), qt.Equals, test.lines)
		c.Assert(test.lines > 1 || strings.Contains(out.String(), `"count":1000`), qt.IsTrue)
	}
}

// Where the store has too much for each instance to read, one that lacks something requests
// it from its zone first, at its start and later. It reads the store if no peer has it.
func TestLargeStoreIsReadFromPeersFirst(t *testing.T) {
	for _, seeded := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			s := &fakeStore{}
			s.version.Store(1)
			f, _ := s.newFeed(t)
			seeds := 0
			f.Seed = func(context.Context) bool { seeds++; return seeded }
			begin := f.Source.ListStale
			f.Source.ListStale = func(ctx context.Context, early func(feed.Update)) (feed.Update, error) {
				u, err := begin(ctx, early)
				u.Partial, u.Revision, u.AllInstances = true, 0, false
				return u, err
			}
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			time.Sleep(3 * time.Second)
			f.List()
			time.Sleep(3 * time.Second)
			cancel()
			<-done
			want := int64(2)
			if seeded {
				want = 0
			}
			c.Check(seeds, qt.Equals, 2)
			c.Check(s.lists.Load(), qt.Equals, want)
		})
	}
}

// A store that was small when an instance started, as when a whole fleet starts, counts as
// large once it has filled.
func TestStoreGrowsLarge(t *testing.T) {
	for _, size := range []int{maxEntries, maxEntries + 1} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &fakeStore{}
			s.version.Store(1)
			f, _ := s.newFeed(t)
			seeds := 0
			f.Seed = func(context.Context) bool { seeds++; return true }
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			time.Sleep(time.Second)
			for n := range size {
				f.Apply(directory.Seen{Endpoint: directory.Endpoint{ID: fmt.Sprint("e", n), Service: "llm", Zone: "a", Revision: int64(n + 2)}})
			}
			f.List()
			time.Sleep(time.Second)
			cancel()
			<-done
			qt.Check(t, seeds == 1, qt.Equals, size > maxEntries)
			qt.Check(t, s.lists.Load() == 0, qt.Equals, size > maxEntries)
		})
	}
}

// Reading all endpoints of a large store takes long. A configuration that is written
// meanwhile, or was written after the stale listing, must come into force all the same.
func TestConfigurationIsReadWhileEndpointsAreRead(t *testing.T) {
	tests := []struct {
		name   string
		seeded bool // by the zone; else everything is read
	}{{"from the zone", true}, {"read", false}}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			const long = 10 * time.Second
			ctx, cancel := context.WithCancel(t.Context())
			s := &fakeStore{readTime: 50 * time.Millisecond}
			s.version.Store(1)
			f, d := s.newFeed(t)
			f.Seed = func(context.Context) bool {
				if test.seeded {
					time.Sleep(long)
				}
				return test.seeded
			}
			begin := f.Source.ListStale
			f.Source.ListStale = func(ctx context.Context, early func(feed.Update)) (feed.Update, error) {
				u, err := begin(ctx, early)
				u.Partial, u.Revision, u.AllInstances = true, 0, false
				s.version.Store(2)
				return u, err
			}
			f.Source.List = func(context.Context, func(int)) (feed.Update, error) {
				time.Sleep(long)
				return feed.Update{}, nil
			}
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			version := func() int64 { return d.View().Table.Version }
			time.Sleep(200 * time.Millisecond)
			c.Check(version(), qt.Equals, int64(2), qt.Commentf(test.name))

			s.version.Store(3)
			s.failing.Store(true)
			f.Configure()
			time.Sleep(time.Second)
			s.failing.Store(false)
			time.Sleep(time.Second)
			c.Check(version(), qt.Equals, int64(3), qt.Commentf(test.name))
			time.Sleep(long)
			cancel()
			<-done
		})
	}
}

// A store with thousands of changes returns them in parts. The pause that batches a few
// changes, made between such parts, would take half a minute when a fleet starts.
func TestFullBatchesAreReadWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := &fakeStore{}
		s.version.Store(1)
		s.watching.Store(true)
		f, d := s.newFeed(t)
		const part, all = 500, 10_000
		f.Source.Watch = func(ctx context.Context, _ int64, _ time.Duration) (feed.Update, error) {
			time.Sleep(5 * time.Millisecond)
			if d.View().Size() >= all {
				<-ctx.Done()
				return feed.Update{}, ctx.Err()
			}
			update := feed.Update{}
			for n := range part {
				at := d.View().Size() + n
				update.Events = append(update.Events, directory.Seen{Endpoint: directory.Endpoint{
					ID: fmt.Sprint("e", at), Service: "llm", Zone: "a", Revision: int64(at + 2),
				}})
				update.Revision = int64(at + 2)
			}
			return update, nil
		}
		start := time.Now()
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		for d.View().Size() < all && time.Since(start) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		c.Check(time.Since(start) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		cancel()
		<-done
	})
}

// The caller of CatchUp can see that the changes have not been read yet.
func TestCatchingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeStore{}
		s.version.Store(7)
		f, _ := s.newFeed(t)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(2 * time.Second)
		c.Check(f.CatchingUp(), qt.IsFalse)
		f.CatchUp()
		c.Check(f.CatchingUp(), qt.IsTrue)
		time.Sleep(time.Second)
		c.Check(f.CatchingUp(), qt.IsFalse)
		cancel()
		<-done
	})
}
