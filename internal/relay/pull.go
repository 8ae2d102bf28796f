package relay

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/freshness"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/route"
)

const (
	// pullEvery is how often a cut-off instance asks one peer. Changes must be
	// in force within 2 s, and some peers may be cut off as well.
	pullEvery = 250 * time.Millisecond
	// pullWait bounds one question while the store answers as well.
	pullWait = 200 * time.Millisecond
	// cutWait bounds a question of an instance that has nobody but its peers.
	// A configuration of 1,300 routes takes 0.2 s to come over 10 Mbit/s, more
	// beside other traffic.
	cutWait = 1500 * time.Millisecond
	// cutPulls is how many such questions may wait at a time, since some of the
	// peers may be cut off as well.
	cutPulls = 4
)

// pull asks the peer called name, or any, and waits for its answer.
func (r *Relay) pull(ctx context.Context, name string, wait time.Duration) {
	other, ok := r.pick(name)
	if !ok {
		return
	}
	v := r.Directory.View()
	q := Question{Version: v.Version(), Revision: v.Revision, Digest: v.Digest, Cut: r.IsLost()}
	told, ok := r.ask(ctx, other, q, wait)
	if !ok && name == "" {
		r.turn.Add(1)
	}
	if !ok || told.Whole || told.Revision == 0 || told.Digest == 0 {
		return
	}
	v = r.Directory.View()
	r.mu.Lock()
	known := freshness.Known{Revision: v.Revision, Digest: v.Digest, Endpoints: v.Size()}
	whole := r.Fresh.Whole(r.Now(), known, told.Revision, told.Digest)
	r.mu.Unlock()
	if whole {
		r.Scope.Counter("relay_whole_views").Inc(1)
		r.ask(ctx, other, Question{Version: q.Version, Cut: q.Cut, Whole: true}, wait)
	}
}

// ask asks a peer and takes what it tells.
func (r *Relay) ask(ctx context.Context, other roster.Instance, q Question, wait time.Duration) (Told, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	told, err := peer.Ask[Question, Told](ctx, r.Transport, other.Address, topic, q)
	if err != nil {
		r.Scope.Counter("relay_unanswered").Inc(1)
		return told, false
	}
	r.take(other, q, told)
	return told, true
}

// takeTable takes a configuration that is newer than the own one, if one was told.
func (r *Relay) takeTable(other roster.Instance, t Told) {
	if t.Document != nil {
		table, err := route.NewTable(*t.Document)
		if err != nil {
			r.Log.Write(eventlog.Line{Event: eventlog.Unreadable, Address: other.Address.String(), Detail: err.Error()})
		} else {
			r.Tell(directory.Configured{Table: table, Revision: t.TableRev})
		}
	}
	if t.AskStore {
		r.askStore(t.Version)
	}
}

func (r *Relay) take(other roster.Instance, q Question, t Told) {
	if t.Later {
		r.mu.Lock()
		r.Fresh.PutOff()
		r.mu.Unlock()
		return
	}
	r.takeTable(other, t)
	if t.Revision < q.Revision || t.Revision == q.Revision && !t.Whole {
		return
	}
	r.Instances(t.Instances, t.Left, t.Whole, t.Revision) // first, as in the feed
	r.Tell(directory.Relayed{Whole: t.Whole, Endpoints: t.Endpoints, Gone: t.Gone, Evacuations: t.Evacuations, Revision: t.Revision})
	if t.Revision == q.Revision {
		return // other beliefs at the same revision; what they changed has lines of its own
	}
	r.Log.Write(eventlog.Line{Event: eventlog.PeerTold, Address: other.Address.String(), Revision: t.Revision})
	if other.Zone != r.Zone || r.speaks() {
		r.passOn(t.Revision) // the own zone may have no other way to learn
	}
}

// acquaintances is how many peers an instance asks that is cut off from the store. Each is
// asked by about as many; with all of a large fleet it would soon be connected to all.
const acquaintances = 8

// pick returns the peer called name or, without a name, one of the acquaintances.
func (r *Relay) pick(name string) (roster.Instance, bool) {
	if name != "" {
		return r.Roster.Find(name)
	}
	return acquaintance(r.Roster.All(), r.Name, rand.IntN(acquaintances), int(r.turn.Load()))
}

// acquaintance returns one of the acquaintances of an instance. They are spread over the
// list, which is in the order of names and so mostly of zones. Each turn has others.
func acquaintance(all []roster.Instance, own string, number, turn int) (roster.Instance, bool) {
	at, known := slices.BinarySearchFunc(all, own, func(i roster.Instance, name string) int { return cmp.Compare(i.Name, name) })
	others := len(all)
	if known {
		others--
		at++
	}
	if others == 0 {
		return roster.Instance{}, false
	}
	return all[(at+(number*others/acquaintances+turn)%others)%len(all)], true
}
