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
	entry       string       // its entry; empty if that was not known then
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
	h := d.find(e.ID)
	if h != nil {
		change.Endpoint, mark.entry = *h.endpoint, h.endpoint.entry()
	}
	d.leaving[e.ID] = mark
	d.leavingIDs = nil
	if h != nil {
		d.updateIndex(h)
	}
	return []Change{change}
}

// expireLeaving drops incarnations whose entry has been gone for leavingRetention, without
// a further announcement. It runs several times a second, so it visits only those that
// leave and not all endpoints.
func (d *Directory) expireLeaving(now clock.Millis) {
	for id, l := range d.leaving {
		h := d.endpoints[l.entry]
		switch {
		case h != nil && h.endpoint.ID == id:
			d.leaving[id] = leavingMark{entry: l.entry, confirmedAt: now}
		case now.Sub(l.confirmedAt) > leavingRetention:
			delete(d.leaving, id)
		}
	}
}

// leavingByService returns, by service, the IDs of those whose entry has another state.
func (d *Directory) leavingByService() map[string][]string {
	if d.leavingIDs != nil {
		return d.leavingIDs
	}
	d.leavingIDs = map[string][]string{}
	for id := range d.leaving {
		if h := d.find(id); h != nil && !h.denied && h.endpoint.State != Draining {
			d.leavingIDs[h.endpoint.Service] = append(d.leavingIDs[h.endpoint.Service], id)
		}
	}
	return d.leavingIDs
}
