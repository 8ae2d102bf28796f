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
	// pullInterval is how often an instance disconnected from the store pulls from one
	// peer. Changes must be in force within 2 s, and some peers may be disconnected as
	// well.
	pullInterval = 250 * time.Millisecond
	// pullTimeout bounds one request while the store answers too.
	pullTimeout = 200 * time.Millisecond
	// disconnectedPullTimeout bounds one request of an instance that can reach only its
	// peers. A configuration of 1,300 routes takes 0.2 s over 10 Mbit/s, more beside other
	// traffic.
	disconnectedPullTimeout = 1500 * time.Millisecond
	// maxDisconnectedPulls is how many such requests may be in flight, since some of the
	// peers may be disconnected as well.
	maxDisconnectedPulls = 4
)

// pull requests what this instance lacks from the peer called name, or from any if name is
// empty, and waits for the response.
func (r *Relay) pull(ctx context.Context, name string, timeout time.Duration) {
	other, ok := r.pickPeer(name)
	if !ok {
		return
	}
	v := r.Directory.View()
	req := Request{Version: v.Version(), Revision: v.Revision, Digest: v.Digest, Disconnected: r.IsLost()}
	resp, ok := r.request(ctx, other, req, timeout)
	if !ok && name == "" {
		r.rotation.Add(1)
	}
	if !ok || resp.Complete || resp.Revision == 0 || resp.Digest == 0 {
		return
	}
	v = r.Directory.View()
	r.mu.Lock()
	known := freshness.LocalState{Revision: v.Revision, Digest: v.Digest, Endpoints: v.Size()}
	full := r.Fresh.NeedsFullView(r.Now(), known, resp.Revision, resp.Digest)
	r.mu.Unlock()
	if full {
		r.Scope.Counter("relay_whole_views").Inc(1)
		r.request(ctx, other, Request{Version: req.Version, Disconnected: req.Disconnected, Complete: true}, timeout)
	}
}

// request sends one request to a peer and applies its response.
func (r *Relay) request(ctx context.Context, other roster.Instance, req Request, timeout time.Duration) (Response, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := peer.Call[Request, Response](ctx, r.Transport, other.Address, topicRequest, req)
	if err != nil {
		r.Scope.Counter("relay_unanswered").Inc(1)
		return resp, false
	}
	r.apply(other, req, resp)
	return resp, true
}

// applyTable applies the configuration of a response if it has one, and has it read from
// the store if the response says so.
func (r *Relay) applyTable(other roster.Instance, resp Response) {
	if resp.Document != nil {
		table, err := route.NewTable(*resp.Document)
		if err != nil {
			r.Log.Write(eventlog.Line{Event: eventlog.Unreadable, Address: other.Address.String(), Detail: err.Error()})
		} else {
			r.ApplyEvent(directory.Configured{Table: table, Revision: resp.TableRevision})
		}
	}
	if resp.ReadStore {
		r.requestConfiguration(resp.Version)
	}
}

// apply applies a peer's response to a request.
func (r *Relay) apply(other roster.Instance, req Request, resp Response) {
	if resp.Busy {
		r.mu.Lock()
		r.Fresh.PeerBusy()
		r.mu.Unlock()
		return
	}
	r.applyTable(other, resp)
	if resp.Revision < req.Revision || resp.Revision == req.Revision && !resp.Complete {
		return
	}
	r.ApplyInstances(resp.Instances, resp.RemovedInstances, resp.Complete, resp.Revision) // first, as in the feed
	r.ApplyEvent(resp.update(resp.Complete))
	if resp.Revision == req.Revision {
		return // the views differed at the same revision; their differences are logged one by one
	}
	r.Log.Write(eventlog.Line{Event: eventlog.PeerTold, Address: other.Address.String(), Revision: resp.Revision})
	if other.Zone != r.Zone || r.isAnnouncer() {
		r.forward(resp.Revision) // the own zone may have no other source
	}
}

// pullPeerCount is how many peers an instance that is disconnected from the store pulls
// from. Each peer serves about as many; pulling from all of a large fleet would soon
// connect the instance to all.
const pullPeerCount = 8

// pickPeer returns the peer called name or, if name is empty, one of its pull peers.
func (r *Relay) pickPeer(name string) (roster.Instance, bool) {
	if name != "" {
		return r.Roster.Find(name)
	}
	return pullPeer(r.Roster.All(), r.Name, rand.IntN(pullPeerCount), int(r.rotation.Load()))
}

// pullPeer returns one of an instance's pull peers. They are spread over the list, which is
// ordered by name and so mostly by zone. Each value of rotation selects others.
func pullPeer(all []roster.Instance, own string, number, rotation int) (roster.Instance, bool) {
	at, known := slices.BinarySearchFunc(all, own, func(i roster.Instance, name string) int { return cmp.Compare(i.Name, name) })
	others := len(all)
	if known {
		others--
		at++
	}
	if others == 0 {
		return roster.Instance{}, false
	}
	return all[(at+(number*others/pullPeerCount+rotation)%others)%len(all)], true
}
