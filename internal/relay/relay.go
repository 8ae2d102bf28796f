// Package relay lets instances learn from their peers what the store says
// when the store does not tell them itself: they remain bound by configuration
// and by leaving endpoints. While the store answers everyone, only its revision
// is passed round within a zone.
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
	topic     = "relay.ask"
	topicHint = "relay.hint"
)

// roleCheck is the role of watching the store for a zone.
const roleCheck = "check"

const (
	// tickBusy and tickIdle are how often it is decided what to do, while something is
	// lacking and while nothing is.
	tickBusy = 50 * time.Millisecond
	tickIdle = 200 * time.Millisecond
	// watchers is how many instances of a zone watch the store. Each watch is
	// answered once for each change, so that calls would grow with the square
	// of the fleet if all watched.
	watchers = 2
	// routesMost is the largest configuration that peers pass round. A larger
	// one is read from the store, whose link carries more than a small
	// instance's 10 Mbit/s, unless the store does not answer.
	routesMost = 100
	// tellMost is how many endpoints one answer tells, some 100 bytes each: a link of
	// 20 Mbit/s carries it in 50 ms. Who lacks more asks on.
	tellMost = 1000
)

// Question tells what the asker has.
type Question struct {
	Version  int64  `cbor:"1,keyasint"` // of the configuration
	Revision int64  `cbor:"2,keyasint"` // of the view of endpoints
	Digest   uint64 `cbor:"3,keyasint"` // of that view
	Cut      bool   `cbor:"4,keyasint"` // the store does not answer the asker
	// Seeding says that the asker has just begun and wants all that there is.
	Seeding bool `cbor:"5,keyasint,omitempty"`
	// Whole asks for everything at once, as the asker has to find out what there is not.
	Whole bool `cbor:"6,keyasint,omitempty"`
}

// Told is what the asker lacks.
type Told struct {
	Document  *route.Document      `cbor:"1,keyasint,omitempty"`
	TableRev  int64                `cbor:"2,keyasint"`
	Whole     bool                 `cbor:"3,keyasint"` // the lists hold all that the other believes
	Endpoints []directory.Endpoint `cbor:"4,keyasint,omitempty"`
	Gone      []directory.Removed  `cbor:"5,keyasint,omitempty"`
	Instances []roster.Instance    `cbor:"6,keyasint,omitempty"`
	Left      []roster.Departure   `cbor:"7,keyasint,omitempty"`
	Revision  int64                `cbor:"8,keyasint"`
	AskStore  bool                 `cbor:"9,keyasint,omitempty"` // a newer configuration is not told here
	Digest    uint64               `cbor:"10,keyasint"`          // of the other's beliefs at Revision
	// Evacuations are the operators' orders on zones.
	Evacuations []directory.Evacuation `cbor:"11,keyasint,omitempty"`
	More        bool                   `cbor:"12,keyasint,omitempty"` // there is more after Revision
	// Later says that an answer to an earlier question is still on its way.
	Later bool `cbor:"14,keyasint,omitempty"`
	// Others are instances that were told all lately, where who is asked cannot tell it now.
	Others []string `cbor:"13,keyasint,omitempty"`
	// Progress grows while who is asked reads everything or tells it to others.
	Progress int64 `cbor:"15,keyasint,omitempty"`
	// Version is the newest configuration's that the other has heard of, if it has it or not.
	Version int64 `cbor:"16,keyasint,omitempty"`
}

// Options are what a Relay works with.
type Options struct {
	Name      string
	Transport *peer.Transport
	Roster    *roster.Roster
	Directory *directory.Directory
	Zone      string
	Capacity  float64 // of the own processor, in cores
	Tell      func(directory.Event)
	// Instances takes what a peer knows of instances; whole says that it is
	// all of them.
	Instances func(seen []roster.Instance, left []roster.Departure, whole bool, revision int64)
	// Roll reads the instances of the own zone from the store.
	Roll func(context.Context) error
	// Head asks the store for its revision; List has the feed read everything,
	// CatchUp what changed, Configure the configuration only. CatchingUp says whether
	// what changed is still to be read.
	Head       func(context.Context) (int64, error)
	List       func()
	CatchUp    func()
	CatchingUp func() bool
	Configure  func()
	Log        *eventlog.Log
	Scope      tally.Scope
	Now        func() clock.Millis
	// Fresh decides when to ask; the relay guards it.
	Fresh *freshness.Freshness
	// Bound is the time within which a change must be in force.
	Bound time.Duration
}

// Relay asks and answers.
type Relay struct {
	Options
	began  clock.Millis
	lost   atomic.Int64 // since when the store does not answer, in milliseconds; 0: it does
	pulled clock.Millis
	// caughtUp is from which revision on changes were last asked of the store.
	caughtUp int64
	cut      atomic.Int32 // questions of a cut-off instance that wait
	turn     atomic.Int64 // of acquaintances; a silent one has all replaced

	seeding  atomic.Bool
	progress atomic.Int64 // see Progressed
	tellAt   atomic.Int64 // when the zone is to be told, in milliseconds; 0: nothing is put off
	ticker   *ticker.Ticker
	replies  replies

	mu     sync.Mutex
	wanted awaited
	told   int64                   // up to which the zone was told, by this instance or the first
	seeds  map[string]clock.Millis // who is being told of all endpoints here, by name
	seeded []string                // who was, lately
}

// New returns a relay that does not run yet.
func New(o Options) *Relay {
	return &Relay{Options: o, ticker: ticker.New(tickBusy, tickIdle), began: o.Now(), seeds: map[string]clock.Millis{}}
}

// Lost says that the store does not answer this instance.
func (r *Relay) Lost() {
	r.lost.Store(int64(r.Now()))
	r.ticker.Wake()
}

// Regained says that it answers again.
func (r *Relay) Regained() { r.lost.Store(0) }

// IsLost says whether the store does not answer this instance.
func (r *Relay) IsLost() bool { return r.lost.Load() != 0 }

// LostFor is how long the store has not answered this instance; 0: it does.
func (r *Relay) LostFor() time.Duration {
	since := clock.Millis(r.lost.Load())
	if since == 0 {
		return 0
	}
	return r.Now().Sub(since)
}

// Register adds the handler of peers' questions.
func (r *Relay) Register(router *message.Router) {
	peer.AnswerEncoded(router, r.Transport, topic, func(_ context.Context, s peer.Sender, q Question) (peer.Encoded, error) {
		if r.Transport.Busy(s.Address) {
			// It asks again before it has the last answer: more would only fill its link.
			r.Scope.Counter("relay_put_off").Inc(1)
			return peer.Encode(Told{Later: true})
		}
		return r.answer(s.Name, q)
	})
	peer.Handle(router, r.Transport, topicHint, r.hear)
}

// answer is what a peer gets that asks.
func (r *Relay) answer(from string, q Question) (peer.Encoded, error) {
	if q.Seeding && !r.maySeed(from) {
		return peer.Encode(Told{Others: r.seededLately(), Progress: r.progress.Load()})
	}
	v := r.Directory.View()
	found, err := r.replies.find(v, r.version(v), q, r.tell)
	if err != nil {
		return peer.Encoded{}, err
	}
	if q.Seeding {
		r.Progressed(len(found.told.Endpoints))
		if !found.told.More {
			r.noteSeeded(from)
		}
	}
	return found.encoded, nil
}

// tell is what an asker lacks of what was known at a view, or is known since.
func (r *Relay) tell(v *directory.View, q Question) Told {
	t := Told{TableRev: v.TableRev, Revision: v.Revision, Version: r.version(v)}
	switch {
	case t.Version <= q.Version:
	case !q.Cut && r.large(v):
		t.AskStore = true
	case v.Version() > q.Version:
		d := v.Table.Document()
		t.Document = &d
	}
	since, most := q.Revision, tellMost
	switch {
	case q.Whole, v.Revision == q.Revision && v.Digest != q.Digest:
		since, most = 0, 0 // there may be nothing new, but other beliefs: all of them are told
	case v.Revision <= q.Revision:
		return t
	}
	news := r.Directory.Since(since, most)
	t.More = news.More
	t.Whole, t.Endpoints, t.Gone, t.Evacuations = news.Whole, news.Endpoints, news.Gone, news.Evacuations
	t.Revision, t.Digest = news.Revision, news.Digest
	if !q.Seeding || since == 0 {
		t.Instances, t.Left = r.Roster.Since(since)
	}
	return t
}

// Run keeps this instance's knowledge fresh until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	r.ticker.Run(ctx, func() bool { return r.step(ctx) })
}

// step does what is due; it is busy while something is lacking.
func (r *Relay) step(ctx context.Context) (busy bool) {
	if r.seeding.Load() {
		return false
	}
	now := r.Now()
	r.askAgain(now)
	r.tellDue(now)
	if r.IsLost() {
		if now.Sub(r.pulled) >= pullEvery && r.cut.Load() < cutPulls {
			r.pulled = now
			r.cut.Add(1)
			go func() {
				defer r.cut.Add(-1)
				r.pull(ctx, "", cutWait)
			}()
		}
		return true
	}
	v, rank := r.Directory.View(), r.rank()
	r.mu.Lock()
	action := r.Fresh.Next(now, freshness.Known{
		Revision: v.Revision, Digest: v.Digest, Rank: rank, Zone: r.ZoneSize(), Watching: rank < watchers,
	})
	source, behind := r.Fresh.Source(), r.Fresh.Behind()
	r.mu.Unlock()
	switch action {
	case freshness.AskStore:
		r.check(ctx)
	case freshness.ListStore:
		r.readStore(v.Revision)
	case freshness.AskPeer:
		r.pull(ctx, source, pullWait)
	case freshness.Nothing:
	}
	return behind
}

// readStore has the feed read what changed after a revision or, once that has brought
// nothing, everything. In a start of all a call may wait for seconds; to read a large store
// meanwhile would only add to what it waits for.
func (r *Relay) readStore(revision int64) {
	if revision == 0 {
		r.List()
		return
	}
	if r.caughtUp != revision {
		r.caughtUp = revision
		r.CatchUp()
		return
	}
	if !r.CatchingUp() {
		r.List()
	}
}

// members are the instances of the own zone, those who watch first.
func (r *Relay) members() []roster.Instance { return r.Roster.Ranked(r.Zone, roleCheck) }

// ZoneSize is how many instances the own zone has.
func (r *Relay) ZoneSize() int { return len(r.members()) }

// rank is this instance's place among those of its zone; the first while it is
// not known itself.
func (r *Relay) rank() int {
	place, _ := r.Roster.Rank(r.Zone, roleCheck, r.Name)
	return place
}

// check asks the store for its revision and passes it on.
func (r *Relay) check(ctx context.Context) {
	revision, err := r.Head(ctx)
	r.mu.Lock()
	if err != nil {
		r.Fresh.Failed(r.Now())
	} else {
		r.Fresh.Heard(r.Now(), revision, 0, "")
	}
	r.mu.Unlock()
	if err != nil {
		r.Scope.Counter("relay_check_failed").Inc(1)
		r.pull(ctx, "", pullWait) // others may know more while the store does not answer
		return
	}
	r.hint(revision, r.members()) // those who watch have been silent
}

// Watching says whether this instance is one of those of its zone that watch
// the store.
func (r *Relay) Watching() bool { return r.rank() < watchers }
