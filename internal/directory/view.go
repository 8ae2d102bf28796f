package directory

import (
	"iter"
	"strings"

	"github.com/tidwall/btree"

	"github.com/trailshed/trailshed/internal/route"
)

// View is what requests read: immutable, replaced at each change. Views share what did
// not change between them, so that a new one costs as much as the change and not as
// much as the fleet.
type View struct {
	Table    *route.Table // nil while no configuration is known
	Revision int64        // up to which this view is complete
	TableRev int64        // of the store, when Table was written
	Digest   uint64       // of the ids and revisions that the store tells
	// Leaving are, by service, the ids of those that leave as only their own answers to
	// this instance tell. Others may take them for ready.
	Leaving   map[string][]string
	Evacuated map[string]bool // zones
	Doubtful  bool            // the store may lack some of the endpoints only because it was away
	Ready     int             // endpoints that take requests

	byID    *btree.Map[string, *Endpoint]
	byPlace *btree.BTreeG[*Endpoint] // by service, zone and id
}

// NewView returns a view of endpoints that stand alone, as without a directory.
func NewView(table *route.Table, endpoints ...*Endpoint) *View {
	s := newShown()
	for _, e := range endpoints {
		s.put(e)
	}
	v := s.view()
	v.Table = table
	return v
}

// Version is the configuration's, or 0.
func (v *View) Version() int64 {
	if v.Table == nil {
		return 0
	}
	return v.Table.Version
}

// Size is the number of endpoints.
func (v *View) Size() int { return v.byID.Len() }

// Find returns the endpoint with an id, or nil.
func (v *View) Find(id string) *Endpoint {
	e, _ := v.byID.Get(id)
	return e
}

// Service yields a service's endpoints, zone by zone.
func (v *View) Service(name string) iter.Seq[*Endpoint] {
	return func(yield func(*Endpoint) bool) {
		v.byPlace.Ascend(&Endpoint{Service: name}, func(e *Endpoint) bool {
			return e.Service == name && yield(e)
		})
	}
}

// Zone yields a service's endpoints of one zone.
func (v *View) Zone(service, zone string) iter.Seq[*Endpoint] {
	return func(yield func(*Endpoint) bool) {
		v.byPlace.Ascend(&Endpoint{Service: service, Zone: zone}, func(e *Endpoint) bool {
			return e.Service == service && e.Zone == zone && yield(e)
		})
	}
}

// Engines yields a zone's engines with what their service says of them.
func (v *View) Engines(zone string) iter.Seq2[*Endpoint, *route.Engine] {
	return func(yield func(*Endpoint, *route.Engine) bool) {
		if v.Table == nil {
			return
		}
		for _, service := range v.Table.Services() {
			if service.Engine == nil {
				continue
			}
			for e := range v.Zone(service.Name, zone) {
				if !yield(e, service.Engine) {
					return
				}
			}
		}
	}
}

// shown is the endpoints of the next view.
type shown struct {
	byID    *btree.Map[string, *Endpoint]
	byPlace *btree.BTreeG[*Endpoint]
	ready   int
}

func newShown() shown {
	return shown{
		byID: &btree.Map[string, *Endpoint]{},
		// Only the directory writes, under its lock; views are copies that nobody writes.
		byPlace: btree.NewBTreeGOptions(atEarlierPlace, btree.Options{NoLocks: true}),
	}
}

func atEarlierPlace(a, b *Endpoint) bool {
	if c := strings.Compare(a.Service, b.Service); c != 0 {
		return c < 0
	}
	if c := strings.Compare(a.Zone, b.Zone); c != 0 {
		return c < 0
	}
	return a.ID < b.ID
}

func (s *shown) put(e *Endpoint) {
	s.drop(e.ID)
	s.byID.Set(e.ID, e)
	s.byPlace.Set(e)
	if e.State == Ready {
		s.ready++
	}
}

func (s *shown) drop(id string) {
	before, known := s.byID.Delete(id)
	if !known {
		return
	}
	s.byPlace.Delete(before)
	if before.State == Ready {
		s.ready--
	}
}

// view returns a view of these endpoints that later changes leave as it is.
func (s *shown) view() *View {
	return &View{byID: s.byID.Copy(), byPlace: s.byPlace.Copy(), Ready: s.ready}
}
