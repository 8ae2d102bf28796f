// Package feed follows the platform's store and applies its contents to the directory. It
// lists the store once, then waits for changes; it lists again when the store no longer has
// the changes in between.
package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/releases"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/suspects"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

var (
	// ErrHistoryLost says that the store no longer has the requested changes.
	ErrHistoryLost = errors.New("history is lost")
	// ErrRefused says that the store refused the call, as when it gets too many.
	ErrRefused = errors.New("store refused the call")
)

// Update is what the store returned, complete up to Revision.
type Update struct {
	Events   []directory.Event
	Problems []Problem
	Revision int64

	Instances        []roster.Instance // of this system
	RemovedInstances []roster.Removal
	AllInstances     bool // Instances has all that exist

	Suspects suspects.StoreUpdate
	// History is the history of software versions, if it was read or has changed.
	History *releases.Stored

	Partial bool // there are too many entries for each instance to read
}

// Problem is an entry that could not be read.
type Problem struct {
	Key      string
	Revision int64
	Err      error
}

// maxProblems bounds how many logged entries are remembered.
const maxProblems = 256

// Source reads the store.
type Source struct {
	// MaxEntries is how many entries each instance may read for itself.
	MaxEntries int
	// List reads everything, and calls read with the number of entries of each page.
	List func(ctx context.Context, read func(entries int)) (Update, error)
	// ListStale reads everything as it was up to some seconds ago, which costs a tenth of a
	// current read. It passes what it finds first to early before the rest has been read,
	// and its Update need not repeat it.
	ListStale func(ctx context.Context, early func(Update)) (Update, error)
	// Configuration reads only the configuration; its Update has no Revision.
	Configuration func(ctx context.Context) (Update, error)
	// HeadRevision returns the store's revision.
	HeadRevision func(ctx context.Context) (int64, error)
	// ListZone reads only the instances of a zone.
	ListZone func(ctx context.Context, zone string) (Update, error)
	// Watch waits for changes after revision.
	Watch func(ctx context.Context, revision int64, wait time.Duration) (Update, error)
}

const (
	// watchTimeout bounds one watch; each counts as one priced call when it ends.
	watchTimeout = 20 * time.Second
	// batchPauseFraction is the pause between two watches, as a fraction of the time within
	// which changes must be in force: changes that come close together, as when a fleet
	// starts, are returned by one call.
	batchPauseFraction = 0.125
	// startupBatchPause replaces that pause while the process is younger than
	// startupPeriod. Where a whole fleet starts, each instance needs within the first half
	// second the certificates by which planners and other instances recognise each other;
	// a few more calls by the watchers are the price. Each change is announced to the
	// whole zone, so the pause is at least batchPausePerInstance for each instance of the
	// zone, up to the usual pause.
	startupBatchPause     = 100 * time.Millisecond
	startupPeriod         = 2 * time.Second
	batchPausePerInstance = 3 * time.Millisecond
	// fullBatch is how many changes make the next call follow without a pause: a store that
	// has more returns them in parts of some hundred.
	fullBatch = 100
	// catchUpTimeout is how long a call for the changes so far waits if there are none.
	catchUpTimeout = time.Millisecond
	// standbyInterval is how often an instance that does not watch checks whether it
	// should.
	standbyInterval = 200 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the pause after a failed call. The store
	// serves 2,000 reads a second to all instances together.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	// maxRelistJitter spreads the reads of a store that has settled after a restore.
	maxRelistJitter = 300 * time.Millisecond
)

// Options configure a Feed.
type Options struct {
	Source    Source
	Directory *directory.Directory
	Roster    *roster.Roster
	Log       *eventlog.Log
	Scope     tally.Scope
	Now       func() clock.Millis
	// Bound is the time within which a change must be in force.
	Bound time.Duration
	// Lost and Regained are called when the store stops answering and when it answers
	// again.
	Lost, Regained func()
	// Watching reports whether this instance is to watch the store itself; others get
	// changes from peers. Updated is called after the directory has taken something from
	// the store.
	Watching func() bool
	Updated  func()
	// RosterChanged is called when the roster may have changed.
	RosterChanged func()
	// EndpointCold is called with an endpoint whose entry says that it is cold.
	EndpointCold func(directory.Endpoint)
	// ZoneSize returns how many instances the own zone has.
	ZoneSize func() int
	// Progress is called with the number of entries of each page of a complete read.
	Progress func(entries int)
	// Seed gets from peers what is too much to read; false: it has to be read after all.
	Seed func(context.Context) bool
	// Suspects takes the store's records of requests that end endpoints.
	Suspects func(suspects.StoreUpdate)
	// History takes the store's history of software versions.
	History func(releases.Stored)
}

// Feed follows the store for one instance.
type Feed struct {
	Options

	mu        sync.Mutex
	storeLost bool
	// What is to be read: a stale listing, everything, the configuration, or the changes.
	// needStaleList and needList stay set until the read has succeeded, so that requests
	// during a listing do not repeat it; an instance that still lacks something then
	// requests it again. The others are cleared when their read starts, since those
	// requests are not repeated.
	needStaleList, needList, needConfiguration, needChanges bool

	current task // what Run is doing

	largeAtStart bool // the start found too many entries to read; used only by Run

	problems map[string]int64 // entries that could not be read, with the revision that was logged

	cancelWatch context.CancelFunc // nil while no watch is in progress
	wakeup      chan struct{}      // wakes Run when something is to be read
}

// New returns an empty feed that starts by reading everything.
func New(o Options) *Feed {
	return &Feed{Options: o, needStaleList: true, needChanges: true, wakeup: make(chan struct{}, 1), problems: map[string]int64{}}
}

// Run follows the store until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	start := f.Now()
	revision := int64(0)
	pause := retryPause{read: initialRetryDelay}
	for ctx.Err() == nil {
		t := f.nextTask()
		if t == taskList && f.isLarge() && f.seedFromZone(ctx) {
			f.taskDone(t)
			revision = max(revision, f.Directory.View().Revision)
			continue // the zone had all endpoints
		}
		if t == taskFollow && !f.Watching() {
			f.waitIdle(ctx, standbyInterval)
			revision = f.Directory.View().Revision
			continue
		}
		update, err := f.read(ctx, t, revision)
		switch {
		case err != nil && t == taskFollow && f.pending():
			continue // the watch was cancelled in favour of a read
		case errors.Is(err, ErrHistoryLost):
			f.Log.Write(eventlog.Line{Event: eventlog.HistoryLost, Revision: revision})
			f.request(&f.needList)
			continue
		case err != nil:
			f.taskFailed(t, err)
			pause.failed(ctx, t)
			continue
		}
		pause.succeeded(t)
		f.taskDone(t)
		f.ApplyUpdate(update)
		f.storeReached(update.Revision)
		if update.Partial {
			f.largeAtStart = true
			f.request(&f.needConfiguration) // the configuration of the stale listing may be out of date
			f.request(&f.needList)
		}
		revision = max(revision, update.Revision, f.Directory.View().Revision)
		f.Updated()
		if t == taskStaleList {
			continue // the next call reads the changes since that listing
		}
		if len(update.Events) < fullBatch {
			ticker.Sleep(ctx, f.batchPause(f.Now().Sub(start)))
		}
	}
}

// batchPause returns the pause after a call, given the age of the process.
func (f *Feed) batchPause(age time.Duration) time.Duration {
	pause := time.Duration(batchPauseFraction * float64(f.Bound))
	if age < startupPeriod {
		return min(pause, max(startupBatchPause, time.Duration(f.ZoneSize())*batchPausePerInstance))
	}
	return pause
}

// read makes the calls of one task.
func (f *Feed) read(ctx context.Context, t task, revision int64) (Update, error) {
	switch t {
	case taskStaleList:
		return f.Source.ListStale(ctx, f.ApplyUpdate)
	case taskList:
		return f.readList(ctx)
	case taskConfiguration:
		return f.Source.Configuration(ctx)
	case taskCatchUp:
		return f.catchUp(ctx, max(revision, f.Directory.View().Revision))
	default:
		return f.follow(ctx, revision)
	}
}

// catchUp reads the changes so far. While the store counts as lost, its revision is read first: a
// store that returns that but no changes has to be listed, unless it gets too many calls already.
func (f *Feed) catchUp(ctx context.Context, revision int64) (Update, error) {
	lost := f.isLost()
	if lost {
		if _, err := f.Source.HeadRevision(ctx); err != nil {
			return Update{}, err
		}
	}
	update, err := f.Source.Watch(ctx, revision, catchUpTimeout)
	if err != nil && lost && !errors.Is(err, ErrRefused) {
		f.request(&f.needList)
	}
	return update, err
}

// follow waits for changes until something else is to be read.
func (f *Feed) follow(ctx context.Context, revision int64) (Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setWatch(cancel)
	defer f.setWatch(nil)
	if f.pending() {
		return Update{}, context.Canceled // requested just before the watch began
	}
	return f.Source.Watch(ctx, revision, watchTimeout)
}

// ApplyUpdate applies what the store returned and logs what it changed.
func (f *Feed) ApplyUpdate(u Update) {
	for _, p := range u.Problems {
		f.logUnreadable(p)
	}
	// Instances first: peers request what they lack by the directory's revision, which must
	// not be ahead of the instances that they are sent.
	f.applyInstances(u)
	if u.History != nil && f.History != nil {
		f.History(*u.History)
	}
	if s := u.Suspects; f.Suspects != nil && (s.Complete || len(s.Records)+len(s.Removals)+len(s.Errors) > 0) {
		f.Suspects(s)
	}
	var changes []directory.Change
	for _, e := range u.Events {
		changes = append(changes, f.Directory.Apply(f.Now(), e)...)
	}
	f.logChanges(changes)
}

// logUnreadable logs an entry that could not be read, once for each of its revisions.
func (f *Feed) logUnreadable(p Problem) {
	f.mu.Lock()
	known := f.problems[p.Key] == p.Revision
	if len(f.problems) >= maxProblems {
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

// applyInstances applies what the store returned about instances to the roster and logs it.
func (f *Feed) applyInstances(u Update) {
	if !u.AllInstances && len(u.Instances)+len(u.RemovedInstances) == 0 {
		return
	}
	removed := u.RemovedInstances
	if u.AllInstances {
		removed = append(removed, f.Roster.Missing(u.Instances, u.Revision)...)
	}
	seen := slices.DeleteFunc(slices.Clone(u.Instances), func(i roster.Instance) bool { return !f.Roster.Update(i) })
	// Each removal at its own revision: one read may return the removal of an entry and its
	// return. When removals had the revision of the read, whole zones lacked each other's
	// planners for tens of seconds after a loss of connection.
	var names []string
	for _, r := range removed {
		if f.Roster.Remove(r) {
			names = append(names, r.Name)
		}
	}
	f.logSeen(seen, u.Revision)
	f.logGone(names, u.Revision)
	f.RosterChanged()
}

// maxInstanceLines is how many instances that appear or go together are logged on a line
// each; more share one. Three of four lines were of this kind where a fleet of 195 started.
const maxInstanceLines = 8

func (f *Feed) logSeen(seen []roster.Instance, revision int64) {
	if len(seen) > maxInstanceLines {
		names := make([]string, len(seen))
		for n, i := range seen {
			names[n] = i.Name
		}
		f.logSummary("instances_seen", names, revision)
		return
	}
	for _, i := range seen {
		f.Log.Write(eventlog.Line{Event: eventlog.Believed, Outcome: "instance_seen", Detail: i.Name, Address: i.Address.String(), Revision: i.Revision})
	}
}

func (f *Feed) logGone(gone []string, revision int64) {
	if len(gone) > maxInstanceLines {
		f.logSummary("instances_gone", gone, revision)
		return
	}
	for _, name := range gone {
		f.Log.Write(eventlog.Line{Event: eventlog.Believed, Outcome: "instance_gone", Detail: name, Revision: revision})
	}
}

// logSummary logs many instances on one line.
func (f *Feed) logSummary(outcome string, names []string, revision int64) {
	f.Log.Write(eventlog.Line{
		Event: eventlog.Believed, Outcome: outcome, Count: int64(len(names)), Detail: strings.Join(names, " "), Revision: revision,
	})
}

// ReadZone reads the instances of a zone from the store.
func (f *Feed) ReadZone(ctx context.Context, zone string) error {
	update, err := f.Source.ListZone(ctx, zone)
	if err == nil {
		f.applyInstances(update)
	}
	return err
}

// ObserveCall takes the outcome of another call to the store. If one fails while a watch is in
// progress, the store counts as lost, and the watch, which may wait on a dead connection, is
// canceled.
func (f *Feed) ObserveCall(err error) {
	if err == nil || !f.isWatchInProgress() {
		return
	}
	f.storeFailed(err)
	f.request(&f.needChanges)
}

// maxChangeLines is how many changes of one kind that come together are logged on a line
// each; more share one. A start would log ten thousand at each instance of a large fleet.
const maxChangeLines = 16

// Apply applies one event to the directory and logs what it changed.
func (f *Feed) Apply(e directory.Event) { f.logChanges(f.Directory.Apply(f.Now(), e)) }

// logChanges logs changes and reports which endpoints are cold.
func (f *Feed) logChanges(changes []directory.Change) {
	counts := map[directory.ChangeKind]int{}
	for _, c := range changes {
		counts[c.Kind]++
	}
	for kind, count := range counts {
		if count > maxChangeLines {
			f.Log.Write(eventlog.Line{
				Event: eventlog.Believed, Outcome: string(kind), Count: int64(count), Revision: f.Directory.View().Revision,
			})
		}
	}
	for _, c := range changes {
		if c.Endpoint.ColdFor > 0 && (c.Kind == directory.EndpointJoined || c.Kind == directory.EndpointChanged) {
			f.EndpointCold(c.Endpoint)
		}
		if counts[c.Kind] > maxChangeLines {
			continue
		}
		n := eventlog.Line{
			Event: eventlog.Believed, Outcome: string(c.Kind), Version: c.Version, Revision: c.Revision,
			Endpoint: c.Endpoint.ID, Software: c.Endpoint.Software, Service: c.Endpoint.Service, Zone: c.Zone, Count: int64(c.Count),
		}
		if c.Kind == directory.StoreRestored {
			n.Detail = fmt.Sprintf("revision %d was known", epoch.Revision(c.Before))
			f.storeRestored()
		}
		if c.Endpoint.ID != "" {
			n.Address = c.Endpoint.Address.String()
		}
		f.Log.Write(n)
	}
}

// storeRestored has an instance that watches the store read it again once its writers have
// written again what was lost: what is missing then is gone.
func (f *Feed) storeRestored() {
	f.Scope.Counter("store_restored").Inc(1)
	if !f.Watching() {
		return
	}
	time.AfterFunc(directory.SettlePeriod+rand.N(maxRelistJitter), func() { f.request(&f.needList) })
}

// DropUnconfirmed drops the instances of the roster that have not written their entries again
// since the store was restored.
func (f *Feed) DropUnconfirmed() {
	if names := f.Roster.DropUnconfirmed(); len(names) > 0 {
		f.logGone(names, f.Directory.View().Revision)
		f.RosterChanged()
	}
}

// watchFailed records that a watch failed. That says little of the store: the connection may have been
// closed or have gone silent. Whether the store is lost is decided by the read that follows at once.
// If it counted as lost already, a removal at this moment would be taken for an entry that lapsed in
// an outage.
func (f *Feed) watchFailed(err error) {
	f.Scope.Counter("feed_watch_failed").Inc(1)
	f.Log.Write(eventlog.Line{Event: eventlog.WatchFailed, Detail: err.Error()})
	f.request(&f.needChanges)
}

// storeFailed records that a call to the store failed.
func (f *Feed) storeFailed(err error) {
	f.Apply(directory.StoreLost{})
	if f.setLost(true) {
		return
	}
	f.Scope.Gauge("store_reached").Update(0)
	f.Log.Write(eventlog.Line{Event: eventlog.StoreLost, Detail: err.Error()})
	f.Lost()
}

// storeReached records that the store answered, with everything up to revision applied.
func (f *Feed) storeReached(revision int64) {
	f.Apply(directory.StoreReached{Revision: revision})
	if !f.setLost(false) {
		return
	}
	f.Scope.Gauge("store_reached").Update(1)
	f.Log.Write(eventlog.Line{Event: eventlog.StoreRegained})
	f.Regained()
}

func (f *Feed) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeLost
}

// setLost sets whether the store is lost and returns whether it was before.
func (f *Feed) setLost(lost bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.storeLost
	f.storeLost = lost
	return before
}
