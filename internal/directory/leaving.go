package directory

import (
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// leavingMemory is how long the word of an endpoint that leaves is kept once nothing
// tells of it any more: an entry that lapsed while the store was away comes back with
// the store, and outages last minutes. It costs some 100 bytes for each such endpoint.
const leavingMemory = time.Hour

// departure is what is known of a life that said that it leaves.
type departure struct {
	entry string       // its own; empty if that was not known then
	at    clock.Millis // when something last told of it
}

// leave takes an endpoint's own word that it leaves. It holds for that life, whatever
// its entry tells: while the store is away no entry tells of a leaving endpoint.
func (d *Directory) leave(now clock.Millis, e Leaving) []Change {
	if known, ok := d.leaving[e.ID]; ok {
		d.leaving[e.ID] = departure{entry: known.entry, at: now}
		return nil
	}
	change := Change{What: EndpointSaysLeaving, Endpoint: Endpoint{ID: e.ID}, Revision: d.revision}
	said := departure{at: now}
	h := d.life(e.ID)
	if h != nil {
		change.Endpoint, said.entry = *h.endpoint, h.endpoint.entry()
	}
	d.leaving[e.ID] = said
	d.leavers = nil
	if h != nil {
		d.show(h)
	}
	return []Change{change}
}

// forgetLeaving forgets the lives of which nothing has told for long. It runs some times
// a second, so it looks at those that leave and not at all endpoints.
func (d *Directory) forgetLeaving(now clock.Millis) {
	for id, l := range d.leaving {
		h := d.endpoints[l.entry]
		switch {
		case h != nil && h.endpoint.ID == id:
			d.leaving[id] = departure{entry: l.entry, at: now}
		case now.Sub(l.at) > leavingMemory:
			delete(d.leaving, id)
		}
	}
}

// leavingByService returns, by service, the ids of those whose entry tells another state.
func (d *Directory) leavingByService() map[string][]string {
	if d.leavers != nil {
		return d.leavers
	}
	d.leavers = map[string][]string{}
	for id := range d.leaving {
		if h := d.life(id); h != nil && !h.denied && h.endpoint.State != Draining {
			d.leavers[h.endpoint.Service] = append(d.leavers[h.endpoint.Service], id)
		}
	}
	return d.leavers
}
