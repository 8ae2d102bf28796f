package relay

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// minAnnounceAge is the age up to which an instance knows too few others to tell
	// whether a hint is from one of its zone's announcers.
	minAnnounceAge = roster.JoinDelay / 2
	// maxSettleTime is the age from which a watcher counts as settled even if others keep
	// joining: a start that takes long, or one instance that restarts over and over, must
	// not keep the zone without announcements.
	maxSettleTime = 2 * roster.JoinDelay
	// backupDelayFraction is the delay of the second watcher, as a fraction of the time
	// within which a change must be in force. It exceeds the eighth of that time during
	// which the first watcher may collect changes.
	backupDelayFraction = 0.2
)

// Hint announces a revision of the store and a digest of the sender's view. The hints sent
// before it carry the changes since the last announcement, so that most receivers need not
// request anything.
type Hint struct {
	Revision  int64     `cbor:"1,keyasint"`
	Digest    uint64    `cbor:"2,keyasint"`
	Since     int64     `cbor:"3,keyasint,omitempty"`
	Changes   *Response `cbor:"4,keyasint,omitempty"` // those after Since
	Version   int64     `cbor:"5,keyasint,omitempty"` // as in Response
	ReadStore bool      `cbor:"6,keyasint,omitempty"` // for a configuration of that version
	Lost      bool      `cbor:"7,keyasint,omitempty"` // the store does not answer the sender
}

// Announce announces changes read from the store. Only the instances that watch the store
// announce them: if all did, as when a whole fleet starts, every instance would connect to
// every other. One that is not settled does so once it is. The first watcher announces at
// once. The second does so after a delay and leaves out what the first has announced, so
// that each change crosses the zone's links once.
func (r *Relay) Announce() {
	switch {
	case !r.isSettled():
		r.announceAt.CompareAndSwap(0, int64(r.Now()))
	case !r.isAnnouncer():
	case r.rank() == 0:
		r.announceWatched()
	default:
		r.announceAt.CompareAndSwap(0, int64(r.Now().Add(time.Duration(backupDelayFraction*float64(r.Bound)))))
	}
}

// announceDue sends a delayed announcement once it is due, unless others have become the
// announcers meanwhile.
func (r *Relay) announceDue(now clock.Millis) {
	at := r.announceAt.Load()
	if at == 0 || now < clock.Millis(at) || !r.isSettled() {
		return
	}
	r.announceAt.Store(0)
	if r.isAnnouncer() {
		r.announceWatched()
	}
}

// cause is why an instance announces a revision to its whole zone.
type cause string

const (
	causeWatch cause = "watch" // its own watch brought changes
	causeCheck cause = "check" // nothing was received for long, so it read the store's revision
	causePeer  cause = "peer"  // an instance of another zone sent changes
)

// announceZone announces a revision to the zone.
func (r *Relay) announceZone(c cause, revision int64) {
	r.Scope.Tagged(map[string]string{"cause": string(c)}).Counter("relay_announcements").Inc(1)
	r.sendHint(revision, r.zoneMembers())
}

// announceWatched announces this instance's revision to the zone.
func (r *Relay) announceWatched() { r.announceZone(causeWatch, r.Directory.View().Revision) }

// isAnnouncer reports whether this instance announces changes to its zone.
func (r *Relay) isAnnouncer() bool { return r.isSettled() && r.isWatcher() }

// isWatcher reports whether this instance is known to be one of its zone's watchers.
func (r *Relay) isWatcher() bool {
	rank, known := r.Roster.Rank(r.Zone, roleWatch, r.Name)
	return known && rank < watchersPerZone
}

// isSettled reports whether this instance may send to its whole zone. While a zone starts,
// its instances know only those that started before them, so that many take themselves for
// one of the first two, and would connect to all others. A watcher, whose view is current,
// is settled once it has seen its zone without an instance that has just joined; any other
// instance once it has received an announcement. It stays settled then.
func (r *Relay) isSettled() bool {
	if r.settled.Load() {
		return true
	}
	if r.isWatcher() && (!r.isZoneJoining() || r.age() >= maxSettleTime) {
		r.settled.Store(true)
	}
	return r.settled.Load()
}

// isZoneJoining reports whether an instance of the zone has just joined.
func (r *Relay) isZoneJoining() bool {
	return slices.ContainsFunc(r.zoneMembers(), func(i roster.Instance) bool { return i.Joining })
}

// age returns how long ago this instance started.
func (r *Relay) age() time.Duration { return r.Now().Sub(r.startedAt) }

// forward announces a revision learned from another zone: to the own zone if this instance
// is an announcer, else to the zone's announcers.
func (r *Relay) forward(revision int64) {
	if r.isAnnouncer() {
		r.announceZone(causePeer, revision)
		return
	}
	zone := r.zoneMembers()
	r.sendHint(revision, zone[:min(len(zone), watchersPerZone)])
}

// sendHint sends instances a revision, this instance's view and the changes since the last
// announcement.
func (r *Relay) sendHint(revision int64, to []roster.Instance) {
	v := r.Directory.View()
	if v.Uncertain {
		return // an instance whose view is certain makes the announcement
	}
	var addresses []netip.AddrPort
	for _, i := range to {
		if i.Name != r.Name {
			addresses = append(addresses, i.Address)
		}
	}
	list := []Hint{{Revision: revision, Digest: v.Digest}}
	if len(to) > watchersPerZone {
		list = append(r.newChanges(v), list...)
	}
	version, fromStore := r.newestVersion(v), r.configurationFromStore(v)
	for _, h := range list {
		h.Version, h.ReadStore, h.Lost = version, fromStore, r.IsLost()
		failed := peer.SendAll(r.Transport, addresses, topicHint, h)
		r.Scope.Counter("relay_hint_failed").Inc(int64(failed))
	}
}

// newChanges returns hints with the changes since the last announcement to the zone, in
// parts.
func (r *Relay) newChanges(v *directory.View) (list []Hint) {
	r.mu.Lock()
	since := r.announced
	r.announced = max(r.announced, v.Revision)
	r.mu.Unlock()
	if since == 0 || v.TableRevision > since && !r.configurationFromStore(v) {
		return nil // each instance requests a new configuration, unless it is read from the store
	}
	for more := since < v.Revision; more; {
		resp := r.buildResponse(v, Request{Revision: since, Version: math.MaxInt64})
		list = append(list, Hint{Revision: resp.Revision, Digest: resp.Digest, Since: since, Changes: &resp})
		since, more = resp.Revision, resp.More
	}
	return list
}

// receiveHint handles a hint from a peer.
func (r *Relay) receiveHint(from peer.Sender, h Hint) {
	if h.ReadStore {
		r.requestConfiguration(h.Version)
	}
	if h.Changes != nil {
		r.applyHintChanges(from, h)
		return // the last hint of a series has no changes
	}
	rank, known := r.Roster.Rank(r.Zone, roleWatch, from.Name)
	if known && rank < watchersPerZone && r.age() >= minAnnounceAge {
		r.settled.Store(true)
	}
	r.mu.Lock()
	if h.Lost {
		r.Fresh.Hear(h.Revision, h.Digest, from.Name)
	} else {
		r.Fresh.Observe(r.Now(), h.Revision, h.Digest, from.Name)
	}
	if known && rank == 0 {
		r.announced = max(r.announced, h.Revision)
	}
	r.mu.Unlock()
	r.updateLoss()
	r.ticker.Wake()
}

// applyHintChanges applies the changes of a hint if they follow directly on this instance's
// view. Changes past an unknown configuration are ignored: once at their revision, this
// instance would have nothing left to request and would miss that configuration.
func (r *Relay) applyHintChanges(from peer.Sender, h Hint) {
	v := r.Directory.View()
	known := v.Revision
	if known < h.Since || known >= h.Changes.Revision || known == 0 || h.Changes.Version > r.newestVersion(v) || r.seeding.Load() || r.Watching() {
		return
	}
	r.apply(roster.Instance{Name: from.Name, Address: from.Address, Zone: r.Zone}, Request{Revision: known}, *h.Changes)
}
