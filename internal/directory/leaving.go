package directory

import (
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// leavingRetention is how long it is remembered that an endpoint leaves after its entry is
// gone: an entry that lapsed while the store was out of reach returns with the store, and
// outages last minutes. It costs some 100 bytes for each such endpoint.
const leavingRetention = time.Hour

// leavingMark records an incarnation that announced that it leaves.
type leavingMark struct {
	entry       string       // its entry; empty if that was unknown at the first announcement
	confirmedAt clock.Millis // when its entry was last present or it last announced leaving
}

// markLeaving records that an endpoint announced in an answer that it leaves. This holds
// for that incarnation whatever its entry says: while the store is out of reach, no entry
// shows that an endpoint leaves.
func (d *Directory) markLeaving(now clock.Millis, e Leaving) []Change {
	if known, ok := d.leaving[e.ID]; ok {
		d.leaving[e.ID] = leavingMark{entry: known.entry, confirmedAt: now}
		return nil
	}
	change := Change{Kind: EndpointSaysLeaving, Endpoint: Endpoint{ID: e.ID}, Revision: d.revision}
	mark := leavingMark{confirmedAt: now}
	rec := d.find(e.ID)
	if rec != nil {
		change.Endpoint, mark.entry = *rec.endpoint, rec.endpoint.entry()
	}
	d.leaving[e.ID] = mark
	d.leavingIDs = nil
	if rec != nil {
		d.updateIndex(rec)
	}
	return []Change{change}
}

// expireLeaving drops incarnations whose entry has been gone for leavingRetention, or was
// unknown at their first announcement, without a further announcement in that time. It runs
// several times a second, so it visits only those that leave and not all endpoints.
func (d *Directory) expireLeaving(now clock.Millis) {
	for id, l := range d.leaving {
		rec := d.endpoints[l.entry]
		switch {
		case rec != nil && rec.endpoint.ID == id:
			d.leaving[id] = leavingMark{entry: l.entry, confirmedAt: now}
		case now.Sub(l.confirmedAt) > leavingRetention:
			delete(d.leaving, id)
		}
	}
}

// leavingByService returns, by service, the IDs of endpoints that announced that they leave
// while their entry has another state.
func (d *Directory) leavingByService() map[string][]string {
	if d.leavingIDs != nil {
		return d.leavingIDs
	}
	d.leavingIDs = map[string][]string{}
	for id := range d.leaving {
		if rec := d.find(id); rec != nil && !rec.denied && rec.endpoint.State != Draining {
			d.leavingIDs[rec.endpoint.Service] = append(d.leavingIDs[rec.endpoint.Service], id)
		}
	}
	return d.leavingIDs
}
