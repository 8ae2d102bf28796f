// Package relay lets instances get the store's contents from their peers while the store
// does not answer them: they must still apply configurations and stop using endpoints that
// leave. While the store answers every instance, only its revision and recent changes are
// sent within a zone.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/freshness"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	topicRequest = "relay.ask"
	topicHint    = "relay.hint"
)

// roleWatch is the role of watching the store for a zone.
const roleWatch = "check"

const (
	// busyInterval and idleInterval are how often the next action is decided: while
	// something is missing, and while nothing is.
	busyInterval = 50 * time.Millisecond
	idleInterval = 200 * time.Millisecond
	// watchersPerZone is how many instances of a zone watch the store. Each watch is
	// answered once for each change, so calls would grow with the square of the fleet if
	// all watched.
	watchersPerZone = 2
	// maxSharedRoutes is the number of routes of the largest configuration that peers send
	// each other. A larger one is read from the store, whose link is faster than a small
	// instance's 10 Mbit/s, unless the store does not answer.
	maxSharedRoutes = 100
	// maxResponseEndpoints is how many endpoints one response holds, some 100 bytes each: a
	// link of 20 Mbit/s carries them in 50 ms. An instance that lacks more sends further
	// requests.
	maxResponseEndpoints = 1000
)

// Request describes what the requesting instance has.
type Request struct {
	Version      int64  `cbor:"1,keyasint"` // of the configuration
	Revision     int64  `cbor:"2,keyasint"` // of the view of endpoints
	Digest       uint64 `cbor:"3,keyasint"` // of that view
	Disconnected bool   `cbor:"4,keyasint"` // the store does not answer the requesting instance
	// Seeding is set by an instance that has just started and wants all endpoints.
	Seeding bool `cbor:"5,keyasint,omitempty"`
	// Complete requests the complete view at once, so that the requesting instance can find
	// out which entries do not exist.
	Complete bool `cbor:"6,keyasint,omitempty"`
}

// Response holds what the requesting instance lacks.
type Response struct {
	Document         *route.Document      `cbor:"1,keyasint,omitempty"`
	TableRevision    int64                `cbor:"2,keyasint"`
	Complete         bool                 `cbor:"3,keyasint"` // the lists hold the sender's complete view
	Endpoints        []directory.Endpoint `cbor:"4,keyasint,omitempty"`
	Removed          []directory.Removed  `cbor:"5,keyasint,omitempty"`
	Instances        []roster.Instance    `cbor:"6,keyasint,omitempty"`
	RemovedInstances []roster.Removal     `cbor:"7,keyasint,omitempty"`
	Revision         int64                `cbor:"8,keyasint"`
	ReadStore        bool                 `cbor:"9,keyasint,omitempty"` // a newer configuration is not included
	Digest           uint64               `cbor:"10,keyasint"`          // of the sender's view at Revision
	// Evacuations are the operators' orders to evacuate zones.
	Evacuations []directory.Evacuation `cbor:"11,keyasint,omitempty"`
	More        bool                   `cbor:"12,keyasint,omitempty"` // there is more after Revision
	// Busy says that the response to an earlier request is still being sent.
	Busy bool `cbor:"14,keyasint,omitempty"`
	// Seeders are instances that have recently received all endpoints from the sender,
	// which cannot send them itself now.
	Seeders []string `cbor:"13,keyasint,omitempty"`
	// Progress grows while the sender reads all endpoints or sends them to others.
	Progress int64 `cbor:"15,keyasint,omitempty"`
	// Version is that of the newest configuration known to the sender, which may not have
	// it yet.
	Version int64 `cbor:"16,keyasint,omitempty"`
	// Held are removals that the sender holds, as the store was out of its reach.
	Held []directory.Removed `cbor:"17,keyasint,omitempty"`
}

// update returns the event that applies what a response says of endpoints and zones. complete says that
// what it lacks is gone.
func (r *Response) update(complete bool) directory.PeerUpdate {
	return directory.PeerUpdate{
		Complete: complete, Endpoints: r.Endpoints, Removed: r.Removed, Held: r.Held,
		Evacuations: r.Evacuations, Revision: r.Revision,
	}
}

// Options configure a Relay.
type Options struct {
	Name      string
	Transport *peer.Transport
	Roster    *roster.Roster
	Directory *directory.Directory
	Zone      string
	Capacity  float64 // of this instance's processor, in cores
	// ApplyEvent applies an event to the directory.
	ApplyEvent func(directory.Event)
	// ApplyInstances applies what a peer knows of instances; complete says that the lists
	// are complete.
	ApplyInstances func(seen []roster.Instance, removed []roster.Removal, complete bool, revision int64)
	// ReadZone reads the instances of the own zone from the store.
	ReadZone func(context.Context) error
	// HeadRevision reads the store's revision. List has the feed read everything, CatchUp the
	// changes, Configure only the configuration. CatchingUp reports whether the changes are
	// still to be read.
	HeadRevision func(context.Context) (int64, error)
	List         func()
	CatchUp      func()
	CatchingUp   func() bool
	Configure    func()
	Log          *eventlog.Log
	Scope        tally.Scope
	Now          func() clock.Millis
	// Fresh decides when to request something; the relay's lock guards it.
	Fresh *freshness.Freshness
	// Bound is the time within which a change must be in force.
	Bound time.Duration
}

// Relay exchanges the store's contents with peers.
type Relay struct {
	Options
	startedAt clock.Millis
	lostAt    atomic.Int64 // since when the store does not answer, in milliseconds; 0: it answers
	pulledAt  clock.Millis
	// caughtUpFrom is the revision after which changes were last requested from the store.
	caughtUpFrom  int64
	pullsInFlight atomic.Int32 // pending requests made while disconnected from the store
	rotation      atomic.Int64 // of pull peers; raised when one does not answer, so that all are replaced

	lossMu    sync.Mutex // guards storeLost and the order of its events; taken before mu
	storeLost bool       // the directory was sent the loss of the store, as checks found it

	seeding    atomic.Bool
	progress   atomic.Int64 // see AddProgress
	settled    atomic.Bool  // see isSettled
	announceAt atomic.Int64 // when the delayed announcement is due, in milliseconds; 0: there is none
	ticker     *ticker.Ticker
	responses  responseCache

	mu             sync.Mutex
	pending        pendingConfiguration
	announced      int64                   // revision up to which the zone was notified, by this instance or the first watcher
	activeSeeds    map[string]clock.Millis // instances being sent all endpoints, by name, with the time of their last request
	recentlySeeded []string                // the last instances that were sent all endpoints
}

// New returns a relay that is not running yet.
func New(o Options) *Relay {
	return &Relay{Options: o, ticker: ticker.New(busyInterval, idleInterval), startedAt: o.Now(), activeSeeds: map[string]clock.Millis{}}
}

// Lost records that the store does not answer this instance.
func (r *Relay) Lost() {
	r.lostAt.Store(int64(r.Now()))
	r.ticker.Wake()
}

// Regained records that the store answers again.
func (r *Relay) Regained() { r.lostAt.Store(0) }

// IsLost reports whether the store does not answer this instance.
func (r *Relay) IsLost() bool { return r.lostAt.Load() != 0 }

// LostFor returns how long the store has not answered this instance, or 0 if it answers.
func (r *Relay) LostFor() time.Duration {
	since := clock.Millis(r.lostAt.Load())
	if since == 0 {
		return 0
	}
	return r.Now().Sub(since)
}

// Register adds the handlers of peers' requests and hints.
func (r *Relay) Register(router *message.Router) {
	peer.HandleCallEncoded(router, r.Transport, topicRequest, func(_ context.Context, s peer.Sender, req Request) (peer.Encoded, error) {
		if r.Transport.Busy(s.Address) {
			// The peer repeats its request before it has the last response; another one
			// would only add load to its link.
			r.Scope.Counter("relay_put_off").Inc(1)
			return peer.Encode(Response{Busy: true})
		}
		return r.respond(s.Name, req)
	})
	peer.Handle(router, r.Transport, topicHint, r.receiveHint)
}

// respond returns the encoded response to a peer's request.
func (r *Relay) respond(from string, req Request) (peer.Encoded, error) {
	if req.Seeding && !r.canSeed(from) {
		return peer.Encode(Response{Seeders: r.recentSeeders(), Progress: r.progress.Load()})
	}
	v := r.Directory.View()
	cached, err := r.responses.get(v, r.newestVersion(v), req, r.buildResponse)
	if err != nil {
		return peer.Encoded{}, err
	}
	if req.Seeding {
		r.AddProgress(len(cached.response.Endpoints))
		if !cached.response.More {
			r.noteSeeded(from)
		}
	}
	return cached.encoded, nil
}

// buildResponse returns what the requesting instance lacks of the view v and of any changes
// since.
func (r *Relay) buildResponse(v *directory.View, req Request) Response {
	resp := Response{TableRevision: v.TableRevision, Revision: v.Revision, Version: r.newestVersion(v)}
	switch {
	case resp.Version <= req.Version:
	case !req.Disconnected && r.configurationFromStore(v):
		resp.ReadStore = true
	case v.Version() > req.Version:
		d := v.Table.Document()
		resp.Document = &d
	}
	since, limit := req.Revision, maxResponseEndpoints
	switch {
	case req.Complete, v.Revision == req.Revision && v.Digest != req.Digest:
		since, limit = 0, 0 // the views may differ at the same revision: send everything
	case v.Revision <= req.Revision:
		return resp
	}
	changes := r.Directory.Since(since, limit)
	resp.More = changes.More
	resp.Complete, resp.Endpoints, resp.Removed, resp.Evacuations = changes.Complete, changes.Endpoints, changes.Removed, changes.Evacuations
	resp.Held = changes.Held
	resp.Revision, resp.Digest = changes.Revision, changes.Digest
	if !req.Seeding || since == 0 {
		resp.Instances, resp.RemovedInstances = r.Roster.Since(since)
	}
	return resp
}

// Run keeps this instance's view up to date until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	r.ticker.Run(ctx, func() bool { return r.step(ctx) })
}

// step takes the actions that are due. It returns true while this instance is behind or may be.
func (r *Relay) step(ctx context.Context) (busy bool) {
	if r.seeding.Load() {
		return false
	}
	now := r.Now()
	r.retryConfiguration(now)
	r.announceDue(now)
	if r.IsLost() {
		if now.Sub(r.pulledAt) >= pullInterval && r.pullsInFlight.Load() < maxDisconnectedPulls {
			r.pulledAt = now
			r.pullsInFlight.Add(1)
			go func() {
				defer r.pullsInFlight.Add(-1)
				r.pull(ctx, "", disconnectedPullTimeout)
			}()
		}
		return true
	}
	v, rank := r.Directory.View(), r.rank()
	r.mu.Lock()
	action := r.Fresh.Next(now, freshness.LocalState{
		Revision: v.Revision, Digest: v.Digest, Rank: r.checkRank(rank), ZoneSize: r.ZoneSize(), Watching: rank < watchersPerZone,
	})
	source, busy := r.Fresh.Source(), r.Fresh.Behind() || r.Fresh.Unsure()
	r.mu.Unlock()
	switch action {
	case freshness.CheckStore:
		r.checkStore(ctx)
	case freshness.ListStore:
		r.readStore(v.Revision)
	case freshness.PullFromPeer:
		r.pull(ctx, source, pullTimeout)
	case freshness.Nothing:
	}
	return busy
}

// checkRank returns the rank by which this instance waits for the checks of others. Before it
// is settled, they announce nothing to it.
func (r *Relay) checkRank(rank int) int {
	if !r.isSettled() {
		return 0
	}
	return rank
}

// readStore has the feed read the changes after a revision or, if that has brought nothing,
// everything. When a whole fleet starts, a call may take seconds; reading a large store
// meanwhile would only add to the load that delays it.
func (r *Relay) readStore(revision int64) {
	if revision == 0 {
		r.List()
		return
	}
	if r.caughtUpFrom != revision {
		r.caughtUpFrom = revision
		r.CatchUp()
		return
	}
	if !r.CatchingUp() {
		r.List()
	}
}

// zoneMembers returns the instances of the own zone in the order of the watch role.
func (r *Relay) zoneMembers() []roster.Instance { return r.Roster.Ranked(r.Zone, roleWatch) }

// ZoneSize returns how many instances the own zone has.
func (r *Relay) ZoneSize() int { return len(r.zoneMembers()) }

// rank returns this instance's rank in its zone, or 0 while the roster does not have it.
func (r *Relay) rank() int {
	n, _ := r.Roster.Rank(r.Zone, roleWatch, r.Name)
	return n
}

// checkStore reads the store's revision and announces it to the zone.
func (r *Relay) checkStore(ctx context.Context) {
	revision, err := r.HeadRevision(ctx)
	r.mu.Lock()
	if err != nil {
		r.Fresh.CheckFailed(r.Now())
	} else {
		r.Fresh.Observe(r.Now(), revision, 0, "")
	}
	r.mu.Unlock()
	r.updateLoss()
	if err != nil {
		r.Scope.Counter("relay_check_failed").Inc(1)
		r.ticker.Wake()              // the next check is due soon
		r.pull(ctx, "", pullTimeout) // peers may know more while the store does not answer
		return
	}
	if r.isSettled() {
		r.announceZone(causeCheck, revision) // the watchers have sent nothing lately
	}
}

// CallFailed records that a call to the store outside this package failed.
func (r *Relay) CallFailed() {
	r.mu.Lock()
	r.Fresh.CallFailed(r.Now())
	r.mu.Unlock()
	r.updateLoss()
	r.ticker.Wake()
}

// updateLoss has the directory know whether the store is lost, as far as checks and hints show it. An instance that does
// not watch the store may make no other call during an outage, and would take the entries that lapsed
// in it for removed ones. Those that watch notice an outage by their watch and their lease.
func (r *Relay) updateLoss() {
	r.lossMu.Lock()
	defer r.lossMu.Unlock()
	r.mu.Lock()
	lost := r.Fresh.StoreLost()
	r.mu.Unlock()
	switch {
	case lost && !r.Watching():
		if !r.storeLost {
			r.Log.Write(eventlog.Line{Event: eventlog.StoreLost, Reason: reasonChecks})
		}
		r.storeLost = true
		r.ApplyEvent(directory.StoreLost{}) // again at each failed check, since a read that succeeds ends it, too
	case !lost && r.storeLost:
		r.storeLost = false
		r.ApplyEvent(directory.StoreReached{}) // nothing has been read
		r.Log.Write(eventlog.Line{Event: eventlog.StoreRegained, Reason: reasonChecks})
	}
}

// reasonChecks is the reason in the lines of a loss of the store that checks of its revision have shown.
const reasonChecks = "checks"

// Watching reports whether this instance is one of the watchers of its zone.
func (r *Relay) Watching() bool { return r.rank() < watchersPerZone }
