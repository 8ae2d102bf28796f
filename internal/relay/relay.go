// Package relay lets instances learn from their fellows what the store says
// when the store does not tell them itself: they remain bound by configuration
// and by leaving endpoints. While the store answers everyone, only its revision
// is passed round within a zone.
package relay

import (
	"context"
	"math/rand/v2"
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
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	topic     = "relay.ask"
	topicHint = "relay.hint"
)

const (
	// tickEvery is how often it is decided what to do.
	tickEvery = 50 * time.Millisecond
	// pullEvery is how often a cut-off instance asks one fellow. Changes must be
	// in force within 2 s, and some fellows may be cut off as well.
	pullEvery = 250 * time.Millisecond
	// pullWait bounds one question.
	pullWait = 200 * time.Millisecond
)

// Question tells what the asker has.
type Question struct {
	Version  int64 `cbor:"1,keyasint"` // of the configuration
	Revision int64 `cbor:"2,keyasint"` // of the view of endpoints
}

// Told is what the asker lacks.
type Told struct {
	Document  *route.Document      `cbor:"1,keyasint,omitempty"`
	TableRev  int64                `cbor:"2,keyasint"`
	Endpoints []directory.Endpoint `cbor:"3,keyasint,omitempty"` // all, if Revision is newer
	Revision  int64                `cbor:"4,keyasint"`
}

// Relay asks and answers.
type Relay struct {
	Name      string
	Transport *peer.Transport
	Roster    *roster.Roster
	Directory *directory.Directory
	Zone      string
	Tell      func(directory.Event)
	// Head asks the store for its revision; List has the feed read everything.
	Head  func(context.Context) (int64, error)
	List  func()
	Log   *eventlog.Log
	Scope tally.Scope
	Now   func() clock.Millis

	lost   atomic.Bool
	pulled clock.Millis

	mu    sync.Mutex
	fresh freshness.Freshness
}

// Hint tells fellows a revision that the store has.
type Hint struct {
	Revision int64 `cbor:"1,keyasint"`
}

// Lost says that the store does not answer this instance.
func (r *Relay) Lost() { r.lost.Store(true) }

// Regained says that it answers again.
func (r *Relay) Regained() { r.lost.Store(false) }

// Register adds the handler of fellows' questions.
func (r *Relay) Register(router *message.Router) {
	peer.Answer(router, r.Transport, topic, func(_ context.Context, _ peer.Sender, q Question) Told {
		return r.answer(q)
	})
	peer.Handle(router, r.Transport, topicHint, func(from peer.Sender, h Hint) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.fresh.Heard(r.Now(), h.Revision, from.Name)
	})
}

func (r *Relay) answer(q Question) Told {
	v := r.Directory.View()
	t := Told{TableRev: v.TableRev, Revision: v.Revision}
	if v.Table != nil && v.Table.Version > q.Version {
		d := v.Table.Document()
		t.Document = &d
	}
	if v.Revision > q.Revision {
		for _, list := range v.Endpoints {
			for _, e := range list {
				t.Endpoints = append(t.Endpoints, *e)
			}
		}
	}
	return t
}

// Run keeps this instance's knowledge fresh until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.step(ctx)
		}
	}
}

func (r *Relay) step(ctx context.Context) {
	now := r.Now()
	if r.lost.Load() {
		if now.Sub(r.pulled) >= pullEvery {
			r.pulled = now
			r.pull(ctx, "")
		}
		return
	}
	r.mu.Lock()
	action := r.fresh.Next(now, r.Directory.View().Revision, r.rank())
	source := r.fresh.Source()
	r.mu.Unlock()
	switch action {
	case freshness.AskStore:
		r.check(ctx)
	case freshness.ListStore:
		r.List()
	case freshness.AskFellow:
		r.pull(ctx, source)
	case freshness.Nothing:
	}
}

// rank is this instance's place among those of its zone.
func (r *Relay) rank() int {
	for i, f := range r.Roster.Ranked(r.Zone, "check") {
		if f.Name == r.Name {
			return i
		}
	}
	return 0
}

// check asks the store for its revision and passes it on.
func (r *Relay) check(ctx context.Context) {
	revision, err := r.Head(ctx)
	r.mu.Lock()
	if err != nil {
		r.fresh.Failed(r.Now())
	} else {
		r.fresh.Heard(r.Now(), revision, "")
	}
	r.mu.Unlock()
	if err != nil {
		r.Scope.Counter("relay_check_failed").Inc(1)
		return
	}
	for _, f := range r.Roster.Ranked(r.Zone, "check") {
		if f.Name == r.Name {
			continue
		}
		if err := peer.Send(r.Transport, f.Address, topicHint, Hint{Revision: revision}); err != nil {
			r.Scope.Counter("relay_hint_failed").Inc(1)
		}
	}
}

// pull asks the fellow called name, or any.
func (r *Relay) pull(ctx context.Context, name string) {
	fellow, ok := r.pick(name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullWait)
	defer cancel()
	v := r.Directory.View()
	q := Question{Revision: v.Revision}
	if v.Table != nil {
		q.Version = v.Table.Version
	}
	told, err := peer.Ask[Question, Told](ctx, r.Transport, fellow.Address, topic, q)
	if err != nil {
		r.Scope.Counter("relay_unanswered").Inc(1)
		return
	}
	r.take(fellow, q, told)
}

func (r *Relay) take(fellow roster.Instance, q Question, t Told) {
	if t.Document != nil {
		table, err := route.NewTable(*t.Document)
		if err != nil {
			r.Log.Write(eventlog.Line{Event: eventlog.Unreadable, Address: fellow.Address.String(), Detail: err.Error()})
		} else {
			r.Tell(directory.Configured{Table: table, Revision: t.TableRev})
		}
	}
	if t.Revision > q.Revision {
		r.Tell(directory.Relayed{Endpoints: t.Endpoints, Revision: t.Revision})
		r.Log.Write(eventlog.Line{Event: eventlog.PeerTold, Address: fellow.Address.String(), Revision: t.Revision})
	}
}

// pick returns the fellow called name or, without a name, one at random.
func (r *Relay) pick(name string) (roster.Instance, bool) {
	all := r.Roster.All()
	if len(all) == 0 {
		return roster.Instance{}, false
	}
	from := rand.IntN(len(all))
	for i := range all {
		f := all[(from+i)%len(all)]
		if f.Name == name || name == "" && f.Name != r.Name {
			return f, true
		}
	}
	return roster.Instance{}, false
}
