// Package feed follows the platform's store and tells the directory what it
// says. It lists once, then waits for changes; it lists anew when the store has
// forgotten the changes in between.
package feed

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/suspects"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// ErrHistoryLost says that the store no longer has the changes asked for.
var ErrHistoryLost = errors.New("history is lost")

// News is what the store told, up to Revision.
type News struct {
	Events   []directory.Event
	Problems []Problem
	Revision int64

	Instances     []roster.Instance // of our own
	GoneInstances []roster.Departure
	Complete      bool // Instances are all there are

	Suspects suspects.News

	Partial bool // there is too much for each instance to read
}

// Problem is an entry that could not be read.
type Problem struct {
	Key      string
	Revision int64
	Err      error
}

// problemsMost bounds how many entries are remembered to have been told of.
const problemsMost = 256

// Source reads the store.
type Source struct {
	// Most is how many entries each instance may read for itself.
	Most int
	// List reads everything, and tells read how many entries each page has.
	List func(ctx context.Context, read func(entries int)) (News, error)
	// Begin reads everything as it was up to some seconds ago, which is priced at
	// a tenth. What it finds first is told to early before the rest is there, and
	// need not be in its News.
	Begin func(ctx context.Context, early func(News)) (News, error)
	// Configuration reads the configuration only; its News has no Revision.
	Configuration func(ctx context.Context) (News, error)
	// Head returns the store's revision.
	Head func(ctx context.Context) (int64, error)
	// Zone reads the instances of a zone; its News has no others.
	Zone func(ctx context.Context, zone string) (News, error)
	// Watch waits for changes after revision.
	Watch func(ctx context.Context, revision int64, wait time.Duration) (News, error)
}

const (
	// watchWait is how long one watch waits; each ends as one priced call.
	watchWait = 20 * time.Second
	// gatherPart of the time within which changes must be in force is the pause
	// between two watches: changes that come close together, as when a fleet
	// starts, are told by one call.
	gatherPart = 0.125
	// youngGather is the same in a process that is younger than youth. Where all start
	// at once, each reads in the first half second the certificates by which planners
	// and entries know each other; a few more calls by those who watch buy that. Each
	// change is told to the whole zone, so the pause grows with it by tellTime.
	youngGather = 100 * time.Millisecond
	youth       = 2 * time.Second
	tellTime    = 3 * time.Millisecond
	// plenty is how many changes are enough for one telling: a store that has more to
	// tell gives it in parts, some hundred at a time.
	plenty = 100
	// catchUpWait is how long a call for the changes so far waits if there are none.
	catchUpWait = time.Millisecond
	// standBy is how often an instance that need not watch asks itself whether
	// it should.
	standBy = 200 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call. The store
	// takes 2,000 reads a second from all instances together.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// Options are what a Feed works with.
type Options struct {
	Source    Source
	Directory *directory.Directory
	Roster    *roster.Roster
	Log       *eventlog.Log
	Scope     tally.Scope
	Now       func() clock.Millis
	// Bound is the time within which a change must be in force.
	Bound time.Duration
	// Lost and Regained are told of each change of the store's reach.
	Lost, Regained func()
	// Watching says whether this instance is to follow the store itself; others
	// hear from peers. Told is called after news was taken from the store.
	Watching func() bool
	Told     func()
	// Changed is told when the roster may have changed.
	Changed func()
	// Warming is told of an endpoint whose entry says that it is cold.
	Warming func(directory.Endpoint)
	// ZoneSize is how many instances the own zone has.
	ZoneSize func() int
	// Progressed is told of each page of a reading of everything.
	Progressed func(entries int)
	// Seed learns from peers what is too much to read; false: it is to be read after all.
	Seed func(context.Context) bool
	// Suspects takes what the store tells of requests that end endpoints.
	Suspects func(suspects.News)
}

// Feed follows the store for one instance.
type Feed struct {
	Options

	mu   sync.Mutex
	lost bool
	// What is to be read: everything, the configuration, or what changed. wantBegin
	// and wantAll hold until that is done, so that asks during a listing do not
	// have it repeated: whoever still lacks something then asks again. The others
	// are taken back when their reading begins: nobody repeats those asks.
	wantBegin, wantAll, wantTable, wantChanges bool

	current task // what Run does now

	large bool // there was too much to read at the beginning; only Run uses it

	problems map[string]int64 // entries that could not be read: the revision that a line told

	cancelWatch context.CancelFunc // nil while no watch is in progress
	asked       chan struct{}      // wakes Run when something is wanted
}

// New returns a feed that knows nothing and begins by reading everything.
func New(o Options) *Feed {
	return &Feed{Options: o, wantBegin: true, wantChanges: true, asked: make(chan struct{}, 1), problems: map[string]int64{}}
}

// Run follows until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	began := f.Now()
	revision := int64(0)
	pause := retryFirst
	for ctx.Err() == nil {
		t := f.claim()
		if t == readAll && f.isLarge() && f.seed(ctx) {
			f.met(t)
			revision = max(revision, f.Directory.View().Revision)
			continue // the zone knew everything
		}
		if t == follow && !f.Watching() && !f.isLost() {
			f.rest(ctx, standBy)
			revision = f.Directory.View().Revision
			continue
		}
		news, err := f.read(ctx, t, revision)
		switch {
		case err != nil && t == follow && f.wanted():
			continue // the watch was ended in favour of a reading
		case errors.Is(err, ErrHistoryLost):
			f.Log.Write(eventlog.Line{Event: eventlog.HistoryLost, Revision: revision})
			f.ask(&f.wantAll)
			continue
		case err != nil:
			f.failed(err)
			f.unmet(t)
			ticker.Sleep(ctx, pause)
			pause = min(2*pause, retryMost)
			continue
		}
		pause = retryFirst
		f.met(t)
		f.Take(news)
		f.reached(news.Revision)
		if news.Partial {
			f.large = true
			f.ask(&f.wantTable) // what it began with is old
			f.ask(&f.wantAll)
		}
		revision = max(revision, news.Revision, f.Directory.View().Revision)
		f.Told()
		if t == begin {
			continue // what it lacks comes with the next call
		}
		if len(news.Events) < plenty {
			ticker.Sleep(ctx, f.gather(f.Now().Sub(began)))
		}
	}
}

// gather is the pause after a call, at an age of the process.
func (f *Feed) gather(age time.Duration) time.Duration {
	usual := time.Duration(gatherPart * float64(f.Bound))
	if age < youth {
		return min(usual, max(youngGather, time.Duration(f.ZoneSize())*tellTime))
	}
	return usual
}

// read makes one call, or those of one reading.
func (f *Feed) read(ctx context.Context, t task, revision int64) (News, error) {
	switch t {
	case begin:
		return f.Source.Begin(ctx, f.Take)
	case readAll:
		return f.list(ctx)
	case readTable:
		return f.Source.Configuration(ctx)
	case catchUp:
		return f.Source.Watch(ctx, max(revision, f.Directory.View().Revision), catchUpWait)
	default:
		return f.follow(ctx, revision)
	}
}

// follow waits for changes, until something else is to be read.
func (f *Feed) follow(ctx context.Context, revision int64) (News, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.watch(cancel)
	defer f.watch(nil)
	if f.wanted() {
		return News{}, context.Canceled // asked for just before the watch began
	}
	return f.Source.Watch(ctx, revision, watchWait)
}

// Take applies news to the directory and logs what it changed.
func (f *Feed) Take(n News) {
	for _, p := range n.Problems {
		f.unreadable(p)
	}
	// Instances first: peers ask by the directory's revision, which must not
	// be ahead of what they are told of instances.
	f.takeInstances(n)
	if s := n.Suspects; f.Suspects != nil && (s.Complete || len(s.Records)+len(s.Released)+len(s.Problems) > 0) {
		f.Suspects(s)
	}
	var changes []directory.Change
	for _, e := range n.Events {
		changes = append(changes, f.Directory.Apply(f.Now(), e)...)
	}
	f.note(changes)
}

// unreadable writes a line on an entry, once for each of its revisions.
func (f *Feed) unreadable(p Problem) {
	f.mu.Lock()
	known := f.problems[p.Key] == p.Revision
	if len(f.problems) >= problemsMost {
		clear(f.problems)
	}
	f.problems[p.Key] = p.Revision
	f.mu.Unlock()
	if known {
		return
	}
	f.Scope.Counter("store_unreadable").Inc(1)
	f.Log.Write(eventlog.Line{Event: eventlog.Unreadable, Detail: p.Err.Error(), Revision: p.Revision})
}

func (f *Feed) takeInstances(n News) {
	if !n.Complete && len(n.Instances)+len(n.GoneInstances) == 0 {
		return
	}
	gone := n.GoneInstances
	if n.Complete {
		gone = append(gone, f.Roster.Missing(n.Instances, n.Revision)...)
	}
	seen := slices.DeleteFunc(slices.Clone(n.Instances), func(i roster.Instance) bool { return !f.Roster.See(i) })
	// Each at its own revision: one reading may tell of an entry's end and of its
	// return. Taken at the reading's, whole zones lacked each other's planners for
	// tens of seconds after a cut.
	var names []string
	for _, d := range gone {
		if f.Roster.Remove(d) {
			names = append(names, d.Name)
		}
	}
	f.logSeen(seen, n.Revision)
	f.logGone(names, n.Revision)
	f.Changed()
}

// instanceLines is how many instances that are told of together get a line each;
// more share one. Where a fleet of 195 starts, three lines in four were these.
const instanceLines = 8

func (f *Feed) logSeen(seen []roster.Instance, revision int64) {
	if len(seen) > instanceLines {
		names := make([]string, len(seen))
		for n, i := range seen {
			names[n] = i.Name
		}
		f.logMany("instances_seen", names, revision)
		return
	}
	for _, i := range seen {
		f.Log.Write(eventlog.Line{Event: eventlog.Believed, Outcome: "instance_seen", Detail: i.Name, Address: i.Address.String(), Revision: i.Revision})
	}
}

func (f *Feed) logGone(gone []string, revision int64) {
	if len(gone) > instanceLines {
		f.logMany("instances_gone", gone, revision)
		return
	}
	for _, name := range gone {
		f.Log.Write(eventlog.Line{Event: eventlog.Believed, Outcome: "instance_gone", Detail: name, Revision: revision})
	}
}

func (f *Feed) logMany(outcome string, names []string, revision int64) {
	f.Log.Write(eventlog.Line{
		Event: eventlog.Believed, Outcome: outcome, Count: int64(len(names)), Detail: strings.Join(names, " "), Revision: revision,
	})
}

// Roll reads a zone's instances from the store.
func (f *Feed) Roll(ctx context.Context, zone string) error {
	news, err := f.Source.Zone(ctx, zone)
	if err == nil {
		f.takeInstances(news)
	}
	return err
}

// Heard takes the outcome of another call to the store. A failure ends the
// watch in progress, which may wait on a connection that is dead.
func (f *Feed) Heard(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endWatch()
}

// changeLines is how many changes of one kind that come together get a line each; more
// share one. A start would write ten thousand, at each instance of a large fleet.
const changeLines = 16

// Tell applies one event to the directory and logs what it changed.
func (f *Feed) Tell(e directory.Event) { f.note(f.Directory.Apply(f.Now(), e)) }

// note logs what was changed, and passes on which endpoints are cold.
func (f *Feed) note(changes []directory.Change) {
	many := map[directory.What]int{}
	for _, c := range changes {
		many[c.What]++
	}
	for what, count := range many {
		if count > changeLines {
			f.Log.Write(eventlog.Line{
				Event: eventlog.Believed, Outcome: string(what), Count: int64(count), Revision: f.Directory.View().Revision,
			})
		}
	}
	for _, c := range changes {
		if c.Endpoint.Cold > 0 && (c.What == directory.EndpointJoined || c.What == directory.EndpointChanged) {
			f.Warming(c.Endpoint)
		}
		if many[c.What] > changeLines {
			continue
		}
		n := eventlog.Line{
			Event: eventlog.Believed, Outcome: string(c.What), Version: c.Version, Revision: c.Revision,
			Endpoint: c.Endpoint.ID, Service: c.Endpoint.Service, Zone: c.Zone,
		}
		if c.Endpoint.ID != "" {
			n.Address = c.Endpoint.Address.String()
		}
		f.Log.Write(n)
	}
}

func (f *Feed) failed(err error) {
	f.Tell(directory.StoreLost{})
	if f.change(true) {
		return
	}
	f.Scope.Gauge("store_reached").Update(0)
	f.Log.Write(eventlog.Line{Event: eventlog.StoreLost, Detail: err.Error()})
	f.Lost()
}

func (f *Feed) reached(revision int64) {
	f.Tell(directory.StoreReached{Revision: revision})
	if !f.change(false) {
		return
	}
	f.Scope.Gauge("store_reached").Update(1)
	f.Log.Write(eventlog.Line{Event: eventlog.StoreRegained})
	f.Regained()
}

func (f *Feed) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// change sets whether the store is lost and returns what was the case before.
func (f *Feed) change(lost bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.lost
	f.lost = lost
	return before
}
