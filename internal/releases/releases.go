// Package releases keeps a history, in the platform's store, of the software versions of each
// service's endpoints that may have begun streams. What an instance lists now says nothing of
// what ran before it started, and it may lag behind; the history is written before a stream
// begins at a version for the first time, so that its readers know all versions that count.
//
// The same is kept of where the routes of resumable streams lead, as a digest for each of a number of
// buckets of routes: the service that began a stream follows from the route only while it has led there
// since. In what follows, versions of services also means digests of buckets.
//
// A version leaves the history once its last endpoint has been gone for so long that no caller
// returns to a stream that it began. While no version appears or goes, nothing is written or
// sent.
//
// Two instances of a zone, its registrars, read and write the history for the others. Any
// instance may do it for itself, so that instances need not agree on their registrars.
//
// Before a version is removed it is marked for some time, in which directories that lag catch up.
package releases

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// ErrConflict is returned by Store.Write if the store has another revision of the history.
var ErrConflict = errors.New("the history was changed meanwhile")

// Stored is the history as it is in the store.
type Stored struct {
	// Versions are the versions of each service, in order; an empty one stands for endpoints
	// whose version is unknown.
	Versions map[string][]string
	// Removing are the versions that are to be removed, by service, each with a number that
	// only this mark of it has. An instance that confirms such a version takes the mark back:
	// a mere reading of the history would not keep a removal from taking effect afterwards.
	Removing map[string]map[string]int64
	// Epoch is the store's epoch from which on the history holds all versions. In a later one,
	// the store was restored from a copy that may lack some.
	Epoch int64
	// Revision is the position of its last change; 0 if there is no history.
	Revision int64
	// StoreEpoch is the epoch of the response that brought the history.
	StoreEpoch int64
}

// Store reads and writes the history.
type Store struct {
	// Read returns the history, linearizably. One that does not exist is no error.
	Read func(ctx context.Context) (Stored, error)
	// Write replaces the history if the store still has s.Revision of it, and returns the new
	// revision. It returns ErrConflict if it has another. After any other error it may have
	// taken effect, or may do so later.
	Write func(ctx context.Context, s Stored) (revision int64, err error)
}

// Versions are the versions that may have begun streams of a service.
type Versions struct {
	List []string
	// Complete says that no other version may have begun one to which a caller may return, nor one
	// that matched a bucket's route at another digest.
	Complete bool
	// Lacking says that the history in the store may not have all of them, also if this process does.
	Lacking bool `cbor:"-"`
	// Routes are the digests of the buckets that were asked for at which streams may have begun.
	// Builds that do not write digests leave them out.
	Routes []string
}

// Options configure a History.
type Options struct {
	Name, Zone string
	Transport  *peer.Transport
	Roster     *roster.Roster
	Directory  *directory.Directory
	Store      Store
	// StoreLost reports whether the directory may lag as the store does not answer.
	StoreLost func() bool
	Log       *eventlog.Log
	Scope     tally.Scope
	Now       func() clock.Millis
}

// errRestored is the error of a confirmation that a restore of the store may have undone.
var errRestored = errors.New("store was restored from a copy meanwhile")

// History is an instance's access to the history.
type History struct {
	Options
	confirms shared[[]release, struct{}] // by this instance
	queries  shared[[]string, reply]     // by this instance, for services and buckets
	reads    shared[struct{}, Stored]    // of the store
	writes   shared[change, Stored]      // of the store
	pacer    pacer                       // of reads

	askTimeout time.Duration // the constant, but for tests

	mu         sync.Mutex
	confirmed  map[release]int64 // epoch of the store in which the history was seen to hold it
	epoch      int64             // of the store, the latest that is known
	latest     Stored            // that was read or written
	hasLatest  bool
	latestAt   clock.Millis
	heardAt    clock.Millis // when the store, or a peer in contact, last answered, or the store was not lost
	incomplete int64        // epoch in which the history was last logged as not complete
	watch      watch
	known      knowledge
	retry      retry
}

// New returns an instance's access to the history. Run must be called, too.
func New(o Options) *History {
	h := &History{
		Options: o, confirmed: map[release]int64{}, watch: newWatch(o.Now()), askTimeout: askTimeout, heardAt: o.Now(),
		known: knowledge{versions: map[string][]string{}, outdated: map[string]bool{}},
	}
	h.confirms.run = h.confirmAll
	h.queries.run = h.query
	h.reads.run, h.reads.pause = h.readStore, h.pacer.pause
	h.writes.run = h.writeStore
	return h
}

// Register adds the handlers of messages from other instances.
func (h *History) Register(r *message.Router) {
	peer.HandleCall(r, h.Transport, topicAsk, func(ctx context.Context, _ peer.Sender, q request) reply {
		if a, ok := h.fromMemory(q); ok {
			return a
		}
		ctx, cancel := context.WithTimeout(ctx, serveTimeout)
		defer cancel()
		a, err := h.serve(ctx, q)
		if err != nil {
			return reply{} // serve has counted it
		}
		return a
	})
}

// stepInterval is how often it is checked whether versions have appeared or are gone.
const stepInterval = 100 * time.Millisecond

// Run keeps the history until ctx ends.
func (h *History) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { ticker.Every(ctx, stepInterval, h.observe) })
	group.Go(func() { ticker.Every(ctx, stepInterval, func() { h.maintain(ctx) }) })
	group.Wait()
}

// Confirm returns nil once the history holds a version of a service, and where the routes lead that
// its request matched: only then may a stream to which its caller may return be sent to an endpoint
// of that version. After an error it may or may not hold them.
func (h *History) Confirm(ctx context.Context, service, version string, routes ...route.Bucket) error {
	list := []release{{service, version}}
	for _, b := range routes {
		if r, ok := asRelease(b); ok {
			list = append(list, r)
		}
	}
	if list = slices.DeleteFunc(list, h.isConfirmed); len(list) == 0 {
		return nil
	}
	_, err := h.confirms.do(ctx, list)
	return err
}

// Confirmed returns the versions of a service at which streams may begin without a delay.
func (h *History) Confirmed(service string) (list []string) {
	for _, software := range h.Directory.View().Software(service) {
		if h.isConfirmed(release{service, software}) {
			list = append(list, software)
		}
	}
	return list
}

// isConfirmed reports whether a version that the directory lists is known to be in the history
// of the store's present epoch. Only such a one is kept from removal.
func (h *History) isConfirmed(r release) bool {
	l := h.listing()
	if !l.has(r) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.latest.holds(r) && h.Now().Sub(h.latestAt) < readTrust {
		h.confirmed[r] = h.latest.StoreEpoch
	}
	at, known := h.confirmed[r]
	return known && at >= max(h.epoch, epoch.Of(l.Revision)) && !h.watch.isStale(h.Now()) && !h.isCutOff()
}

// isCutOff reports whether this instance has had no contact with the store or a peer for so long
// that others may have removed versions that it still lists.
func (h *History) isCutOff() bool {
	return h.known.lost && h.Now().Sub(h.heardAt) >= directory.SoftwareRetention
}

// Observe takes a history that the store's listing or watch has brought. As what an instance
// lists after its start comes with it, streams may begin at once, also if the store goes away. It
// may be older than what was read.
func (h *History) Observe(s Stored) {
	h.note(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.StoreEpoch == h.epoch {
		h.known.add(s)
	}
}

// confirmAll has versions confirmed for all calls.
func (h *History) confirmAll(calls [][]release) (struct{}, error) {
	list := distinct(slices.Concat(calls...))
	h.mu.Lock()
	gaps := h.watch.gaps
	h.mu.Unlock()
	a, err := h.ask(request{Confirm: list})
	if err != nil {
		return struct{}{}, err
	}
	present := epoch.Of(h.Directory.View().Revision)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.epoch = max(h.epoch, a.Epoch, present)
	if a.Epoch < h.epoch {
		h.Scope.Counter("release_failures").Inc(1)
		return struct{}{}, errRestored
	}
	if h.watch.gaps == gaps {
		h.known.learn(a)
		for _, r := range list {
			h.confirmed[r] = a.Epoch
		}
	}
	h.Scope.Counter("release_confirmations").Inc(int64(len(list)))
	return struct{}{}, nil
}

// Versions returns the versions that may have begun streams of a service before the call, and where
// the routes of buckets, given by their names, may have led then. It fails if the store's history
// can't be read: what this process lists is no substitute.
func (h *History) Versions(ctx context.Context, service string, buckets ...string) (Versions, error) {
	a, err := h.queries.do(ctx, append([]string{service}, buckets...))
	if err != nil {
		return Versions{}, err
	}
	v := Versions{List: slices.Clone(a.Versions[service]), Complete: a.Complete}
	for _, bucket := range buckets {
		v.Routes = append(v.Routes, a.Versions[bucket]...)
	}
	return v, nil
}

// query asks for the versions of services and the digests of buckets for all calls.
func (h *History) query(calls [][]string) (reply, error) {
	a, err := h.ask(request{Services: distinct(slices.Concat(calls...))})
	if err != nil {
		return reply{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.epoch = max(h.epoch, a.Epoch)
	a.Complete = a.Complete && a.Epoch == h.epoch
	h.known.learn(a)
	return a, nil
}

// distinct returns the distinct items of a list, in their order.
func distinct[T comparable](list []T) (out []T) {
	for _, item := range list {
		if !slices.Contains(out, item) {
			out = append(out, item)
		}
	}
	return out
}
