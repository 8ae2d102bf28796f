package feed_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/feed"
)

// bound is the time within which a change must be in force, as newFeed sets it.
const bound = 2 * time.Second

// outageStore is a store with a history of changes. Its outages and the fate of its watches
// are set at any moment.
type outageStore struct {
	mu            sync.Mutex
	events        []directory.Event // the n-th has revision n+1
	down          bool              // all calls fail
	unread        error             // of all calls for changes; nil: they succeed
	lists         int               // complete listings
	silentWatches bool              // watches that wait get no response
	watchesFail   bool              // watches that wait fail at once
	cut           chan struct{}     // closed to end the watches in progress
	reads         int               // calls that do not wait for changes
}

func newOutageStore() *outageStore { return &outageStore{cut: make(chan struct{})} }

// write appends a change.
func (s *outageStore) write(event func(revision int64) directory.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := int64(len(s.events) + 1)
	s.events = append(s.events, event(revision))
}

func (s *outageStore) register(entry string) {
	s.write(func(revision int64) directory.Event {
		return directory.Seen{Endpoint: directory.Endpoint{ID: entry, Service: "web", Zone: "a", Revision: revision}}
	})
}

func (s *outageStore) remove(entry string) {
	s.write(func(revision int64) directory.Event { return directory.Removed{Entry: entry, Revision: revision} })
}

// cutWatches ends the watches in progress.
func (s *outageStore) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *outageStore) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	if down {
		s.cutWatches()
	}
}

func (s *outageStore) setSilentWatches(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentWatches = silent
}

func (s *outageStore) refuseWatches() {
	s.mu.Lock()
	s.watchesFail = true
	s.mu.Unlock()
	s.cutWatches()
}

// shortCalls returns how many calls were made that do not wait for changes.
func (s *outageStore) shortCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// since returns the changes after a revision.
func (s *outageStore) since(revision int64) (feed.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return feed.Update{}, errDown
	}
	return feed.Update{Events: append([]directory.Event(nil), s.events[revision:]...), Revision: int64(len(s.events))}, nil
}

func (s *outageStore) list(context.Context, func(int)) (feed.Update, error) {
	s.mu.Lock()
	s.lists++
	s.mu.Unlock()
	return s.since(0)
}

func (s *outageStore) head(context.Context) (int64, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	update, err := s.since(0)
	return update.Revision, err
}

const (
	// callTimeout is what the client of a store adds to the wait of a watch.
	callTimeout = time.Second
	// watchLength is how long a watch without a response lasts.
	watchLength = 20*time.Second + callTimeout
	// shortWait is the longest wait of a call that only reads what there is.
	shortWait = 10 * time.Millisecond
)

func (s *outageStore) watch(ctx context.Context, revision int64, wait time.Duration) (feed.Update, error) {
	short := wait <= shortWait
	s.mu.Lock()
	silent, refused, unread, cut := s.silentWatches && !short, s.watchesFail && !short, s.unread, s.cut
	if short {
		s.reads++
		cut = nil
	}
	s.mu.Unlock()
	if refused {
		return feed.Update{}, errDown
	}
	if unread != nil {
		return feed.Update{}, unread
	}
	if silent {
		wait += callTimeout
	}
	end := time.After(wait)
	for {
		update, err := s.since(revision)
		if err != nil || len(update.Events) > 0 && !silent {
			return update, err
		}
		select {
		case <-ctx.Done():
			return feed.Update{}, ctx.Err()
		case <-cut:
			return feed.Update{}, errDown
		case <-end:
			if silent {
				return feed.Update{}, errDown
			}
			return update, nil
		case <-time.After(time.Millisecond):
		}
	}
}

// outageTest is a feed before an outageStore.
type outageTest struct {
	*qt.C
	store     *outageStore
	feed      *feed.Feed
	directory *directory.Directory
	lost      atomic.Bool
}

// newOutageTest returns a feed that follows a store with the given endpoints until the test ends.
func newOutageTest(t *testing.T, watching bool, entries ...string) *outageTest {
	o := &outageTest{C: qt.New(t), store: newOutageStore()}
	for _, e := range entries {
		o.store.register(e)
	}
	fake := &fakeStore{}
	fake.watching.Store(watching)
	o.feed, o.directory = fake.newFeed(t)
	o.feed.Source.ListStale = func(context.Context, func(feed.Update)) (feed.Update, error) { return o.store.since(0) }
	o.feed.Source.List = o.store.list
	o.feed.Source.Watch = o.store.watch
	o.feed.Source.HeadRevision = o.store.head
	o.feed.Lost = func() { o.lost.Store(true) }
	o.feed.Regained = func() { o.lost.Store(false) }
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { o.feed.Run(ctx) })
	running.Go(func() { o.tick(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	time.Sleep(time.Second)
	return o
}

// tick gives the directory the time, as an instance does.
func (o *outageTest) tick(ctx context.Context) {
	for ctx.Err() == nil {
		o.feed.Apply(directory.Tick{})
		time.Sleep(250 * time.Millisecond)
	}
}

// has reports whether an endpoint takes requests.
func (o *outageTest) has(entry string) bool {
	e := o.directory.View().Find(entry)
	return e != nil && e.State == directory.Ready
}

// An instance counted the store as lost until its next watch returned, 20 s later on a quiet store, and noticed no
// change meanwhile: requests ran at services that a configuration had replaced.
func TestReturnOfStoreIsNoticedWithoutAChange(t *testing.T) {
	tests := []struct {
		name          string
		watching      bool
		outage        time.Duration
		silentWatches bool // after the outage
	}{
		{"short outage", true, 300 * time.Millisecond, false},
		{"long outage", true, 30 * time.Second, false},
		{"watches are silent afterwards", true, time.Second, true},
		{"instance that does not watch", false, time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOutageTest(t, test.watching, "e1")
				o.store.setDown(true)
				if !test.watching {
					o.feed.CatchUp()
				}
				time.Sleep(test.outage)
				o.Assert(o.lost.Load(), qt.IsTrue)
				o.store.setSilentWatches(test.silentWatches)
				o.store.setDown(false)
				time.Sleep(bound / 2)
				o.Assert(o.lost.Load(), qt.IsFalse)
			})
		})
	}
}

// The reads by which the end of an outage is noticed stay few, and end with it.
func TestReadsDuringOutageAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOutageTest(t, true, "e1")
		o.store.setDown(true)
		before := o.store.shortCalls()
		time.Sleep(10 * time.Second)
		reads := o.store.shortCalls()
		o.Check(reads-before <= 16, qt.IsTrue, qt.Commentf("%d in the outage", reads-before))
		o.store.setDown(false)
		time.Sleep(bound)
		before = o.store.shortCalls()
		time.Sleep(time.Minute)
		reads = o.store.shortCalls()
		o.Check(reads, qt.Equals, before)
	})
}

// A removal that the store accepts after its return, or that comes with the failure of a single watch, was taken for an
// entry that had lapsed in an outage: the endpoint got requests for longer than the bound, and some were lost with it.
func TestRemovalIsInForceWithinBound(t *testing.T) {
	tests := []struct {
		name   string
		before func(*outageStore)
	}{
		{"first change after an outage", func(s *outageStore) {
			s.setDown(true)
			time.Sleep(time.Second)
			s.setDown(false)
			time.Sleep(3 * time.Second)
		}},
		{"a watch is cut", func(s *outageStore) {
			s.cutWatches()
			time.Sleep(10 * time.Millisecond)
		}},
		{"watches are cut again and again", func(s *outageStore) {
			for range 20 {
				s.cutWatches()
				time.Sleep(50 * time.Millisecond)
			}
		}},
		{"a silent watch is given up", func(s *outageStore) {
			s.setSilentWatches(true)
			s.cutWatches()
			time.Sleep(time.Second)
			s.setSilentWatches(false)
			time.Sleep(watchLength - 600*time.Millisecond)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOutageTest(t, true, "e1", "e2")
				test.before(o.store)
				o.store.remove("e1")
				time.Sleep(bound - 10*time.Millisecond)
				o.Check(o.has("e1"), qt.IsFalse)
				o.Check(o.has("e2"), qt.IsTrue)
			})
		})
	}
}

// An entry that lapses in an outage is not taken for a removal before its endpoint had time to write it again, whatever
// is removed beside it.
func TestLapseBesideRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOutageTest(t, true, "back", "left", "dead")
		o.store.setDown(true)
		time.Sleep(1500 * time.Millisecond)
		o.store.remove("back")
		o.store.remove("dead")
		o.store.setDown(false)
		present := func(length time.Duration, entries ...string) {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				for _, e := range entries {
					o.Assert(o.has(e), qt.IsTrue, qt.Commentf(e))
				}
			}
		}
		present(2*time.Second, "back", "left", "dead")
		o.store.register("back")
		present(time.Second, "back", "left")
		o.store.remove("left")
		time.Sleep(bound - 10*time.Millisecond)
		o.Check(o.has("left"), qt.IsFalse)
		o.Check(o.has("dead"), qt.IsFalse)
		present(time.Second, "back")
	})
}

// Watches that fail at once, one after the other, must not become a flood of calls.
func TestFailingWatchesAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOutageTest(t, true, "e1")
		o.store.refuseWatches()
		time.Sleep(5 * time.Second)
		before := o.store.shortCalls()
		time.Sleep(10 * time.Second)
		reads := o.store.shortCalls()
		o.Check(reads-before <= 25, qt.IsTrue, qt.Commentf("%d", reads-before))
		o.Check(o.lost.Load(), qt.IsFalse)
	})
}

// A store that returns its revision but no changes is listed, so that its return is noticed. One that gets too many calls
// is not: all instances of a fleet would list it at its return.
func TestStoreWithoutChangesIsListed(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		listed bool
	}{
		{"changes are not answered", errDown, true},
		{"too many calls", feed.ErrRefused, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOutageTest(t, true, "e1")
				o.store.setDown(true)
				time.Sleep(time.Second)
				o.store.mu.Lock()
				o.store.unread = test.err
				o.store.mu.Unlock()
				o.store.setDown(false)
				time.Sleep(2 * bound)
				o.store.mu.Lock()
				listed := o.store.lists > 0
				o.store.unread = nil
				o.store.mu.Unlock()
				o.Check(listed, qt.Equals, test.listed)
				time.Sleep(bound / 2)
				o.Check(o.lost.Load(), qt.IsFalse)
			})
		})
	}
}
