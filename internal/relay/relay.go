// Package relay lets instances that the store does not answer learn from their
// fellows what the store says: they remain bound by configuration and by
// leaving endpoints. Nothing is sent while the store answers everyone.
package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/route"
)

const topic = "relay.ask"

const (
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
	Tell      func(directory.Event)
	Log       *eventlog.Log
	Scope     tally.Scope

	lost atomic.Bool
}

// Lost and Regained say whether the store answers this instance.
func (r *Relay) Lost()     { r.lost.Store(true) }
func (r *Relay) Regained() { r.lost.Store(false) }

// Register adds the handler of fellows' questions.
func (r *Relay) Register(router *message.Router) {
	peer.Answer(router, r.Transport, topic, func(_ context.Context, _ peer.Sender, q Question) Told {
		return r.answer(q)
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

// Run asks fellows while the store does not answer, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	tick := time.NewTicker(pullEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if r.lost.Load() {
				r.pull(ctx)
			}
		}
	}
}

func (r *Relay) pull(ctx context.Context) {
	fellow, ok := r.pick()
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

// pick returns a fellow at random.
func (r *Relay) pick() (roster.Instance, bool) {
	all := r.Roster.All()
	if len(all) == 0 {
		return roster.Instance{}, false
	}
	from := rand.IntN(len(all))
	for i := range all {
		if f := all[(from+i)%len(all)]; f.Name != r.Name {
			return f, true
		}
	}
	return roster.Instance{}, false
}
