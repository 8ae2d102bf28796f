package directory

import (
	"time"

	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/pkg/clock"
)

// SettlePeriod is how long after the store's return, or its restore from a copy, an endpoint
// that it does not list still counts as present. The platform has the entries of live endpoints
// back within about two seconds.
const SettlePeriod = 2200 * time.Millisecond

// restore is what a directory knows of the store's last restore from a copy. What the store has
// then may be older than what is known here, and its writers write it again. Until the store has
// settled, a known fact is kept against one that may be of the copy.
type restore struct {
	epoch int64
	// listedUpTo is the position at which this instance entered the epoch: facts after it
	// were written since, earlier ones may be of the copy.
	listedUpTo int64
	at         clock.Millis // when this instance entered the epoch; 0: it knew nothing before
	informed   bool         // the directory has had facts that are known to be current
}

// enter enters the epoch of a position if it is later than the present one. It reports whether
// facts of an earlier one are known, which are to be kept.
func (r *restore) enter(now clock.Millis, position int64) bool {
	if epoch.Of(position) <= r.epoch {
		return false
	}
	r.epoch, r.listedUpTo = epoch.Of(position), position
	if r.informed {
		r.at = now
	}
	return r.informed
}

// settling reports whether the store's writers may still be writing again what was lost.
func (r *restore) settling(now clock.Millis) bool { return r.at != 0 && now.Sub(r.at) < SettlePeriod }

// mayBeOfCopy reports whether a fact at a position may be older than one known at another.
func (r *restore) mayBeOfCopy(now clock.Millis, position, known int64) bool {
	return r.settling(now) && epoch.Of(known) < r.epoch && position <= r.listedUpTo
}

// positionOf returns the position up to which an event is complete, or that of its fact; 0 if it
// has none. current is false if the event may be some seconds old.
func positionOf(e Event) (position int64, current bool) {
	switch e := e.(type) {
	case Listed:
		return e.Revision, !e.Stale
	case PeerUpdate:
		return e.Revision, e.Revision > 0
	case Seen:
		return e.Endpoint.Revision, true
	case Removed:
		return e.Revision, true
	case Evacuation:
		return e.Revision, true
	case StoreReached:
		return e.Revision, false
	case Configured, Denied, Leaving, StoreLost, Tick:
	}
	return 0, false
}

// enterEpoch notes a restore of the store that an event shows, before the event is applied.
func (d *Directory) enterEpoch(now clock.Millis, e Event) []Change {
	position, current := positionOf(e)
	before := d.revision
	kept := d.restore.enter(now, position)
	d.restore.informed = d.restore.informed || current
	if !kept {
		return nil
	}
	return []Change{{Kind: StoreRestored, Revision: position, Before: before, Count: len(d.endpoints)}}
}

// keepKnown returns the entry to apply where the store's copy may be older than what is known,
// and whether there is any. An endpoint that said that it leaves stays leaving, whatever a later
// epoch's entry says. The entry existed at position.
func (d *Directory) keepKnown(now clock.Millis, p Endpoint, position int64) (Endpoint, bool) {
	rec := d.endpoints[p.entry()]
	if rec == nil {
		removed, known := d.removedAt[p.entry()]
		return p, !known || !d.restore.mayBeOfCopy(now, p.Revision, removed)
	}
	known := rec.endpoint
	if known.ID != p.ID || epoch.Of(p.Revision) <= epoch.Of(known.Revision) {
		return p, true
	}
	if known.State == Draining {
		d.leaving[known.ID] = leavingMark{entry: known.entry(), confirmedAt: now}
		d.leavingIDs = nil
	}
	same := sameContent(p.interned(), *known)
	switch {
	case same && epoch.Revision(p.Revision) == epoch.Revision(known.Revision):
		d.confirm(rec, position)
		return p, false // the copy has kept it; at its former position peers need not be sent it
	case !same && p.State != Draining && d.restore.mayBeOfCopy(now, p.Revision, known.Revision):
		d.confirm(rec, position)
		return p, false
	default:
		return p, true
	}
}

// sameContent reports whether two entries of an endpoint say the same, but for how long it
// stays cold, which each writing changes.
func sameContent(a, b Endpoint) bool {
	a.Revision, a.ColdFor = b.Revision, b.ColdFor
	return a == b
}
