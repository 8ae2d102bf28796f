package directory

import (
	"iter"
	"strings"

	"github.com/tidwall/btree"

	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

// View is the immutable state that requests read. Each change publishes a new one. Views
// share what did not change, so that the cost of a new view depends on the change and not
// on the size of the fleet.
type View struct {
	Table         *route.Table // nil while no configuration is known
	Revision      int64        // up to which this view is complete
	TableRevision int64        // of the store, when Table was written
	Digest        uint64       // of the IDs and revisions in the store, and of the evacuations
	// Leaving are, by service, the IDs of endpoints whose leaving is known only from their
	// answers to this instance. Other instances may take them for ready.
	Leaving   map[string][]string
	Evacuated map[string]bool // zones
	Uncertain bool            // endpoints may be missing in the store only because it was out of reach
	Ready     int             // number of endpoints that take requests

	software   map[string][]string // by service
	routes     map[string][]string // digests, by bucket
	byID       *btree.Map[string, *Endpoint]
	byLocation *btree.BTreeG[*Endpoint] // by service, zone and ID
}

// NewView returns a view of the given endpoints, without a directory.
func NewView(table *route.Table, endpoints ...*Endpoint) *View {
	x := newViewIndex()
	for _, e := range endpoints {
		x.put(e)
	}
	x.configure(nil, table)
	v := x.view()
	v.Table = table
	return v
}

// Version returns the version of the configuration, or 0 if there is none.
func (v *View) Version() int64 {
	if v.Table == nil {
		return 0
	}
	return v.Table.Version
}

// Size returns the number of endpoints.
func (v *View) Size() int { return v.byID.Len() }

// Find returns the endpoint with an ID, or nil.
func (v *View) Find(id string) *Endpoint {
	e, _ := v.byID.Get(id)
	return e
}

// Service yields a service's endpoints, zone by zone.
func (v *View) Service(name string) iter.Seq[*Endpoint] {
	return func(yield func(*Endpoint) bool) {
		v.byLocation.Ascend(&Endpoint{Service: name}, func(e *Endpoint) bool {
			return e.Service == name && yield(e)
		})
	}
}

// Zone yields a service's endpoints of one zone.
func (v *View) Zone(service, zone string) iter.Seq[*Endpoint] {
	return func(yield func(*Endpoint) bool) {
		v.byLocation.Ascend(&Endpoint{Service: service, Zone: zone}, func(e *Endpoint) bool {
			return e.Service == service && e.Zone == zone && yield(e)
		})
	}
}

// Engines yields a zone's engines with their service's engine settings.
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

// Software returns the versions of software, in order, that a service's endpoints run or ran a
// short time ago. An empty one stands for endpoints of unknown version. The list must not be
// modified.
func (v *View) Software(service string) []string { return v.software[service] }

// AllSoftware returns what Software does for each service. The result must not be modified.
func (v *View) AllSoftware() map[string][]string { return v.software }

// Routes returns, by the name of each bucket of resumable routes, the digests of where they lead or
// led a short time ago, in order. The result must not be modified.
func (v *View) Routes() map[string][]string { return v.routes }

// TakesWork reports whether some endpoint of a service that runs a version takes requests.
func (v *View) TakesWork(service, software string) bool {
	for e := range v.Service(service) {
		if e.Software == software && e.State == Ready && e.Stage != Prefill {
			return true
		}
	}
	return false
}

// viewIndex holds the endpoints of the next view.
type viewIndex struct {
	byID       *btree.Map[string, *Endpoint]
	byLocation *btree.BTreeG[*Endpoint]
	ready      int
	software   softwareIndex
	routes     softwareIndex
	now        clock.Millis // of the event that is being applied
}

func newViewIndex() viewIndex {
	return viewIndex{
		byID: &btree.Map[string, *Endpoint]{},
		// Only the directory writes, under its lock; views are read-only copies.
		byLocation: btree.NewBTreeGOptions(lessByLocation, btree.Options{NoLocks: true}),
		software:   newSoftwareIndex(),
		routes:     newSoftwareIndex(),
	}
}

func lessByLocation(a, b *Endpoint) bool {
	if c := strings.Compare(a.Service, b.Service); c != 0 {
		return c < 0
	}
	if c := strings.Compare(a.Zone, b.Zone); c != 0 {
		return c < 0
	}
	return a.ID < b.ID
}

func (x *viewIndex) put(e *Endpoint) {
	x.remove(e.ID)
	x.byID.Set(e.ID, e)
	x.byLocation.Set(e)
	x.software.add(e.Service, e.Software)
	if e.State == Ready {
		x.ready++
	}
}

func (x *viewIndex) remove(id string) {
	before, known := x.byID.Delete(id)
	if !known {
		return
	}
	x.byLocation.Delete(before)
	x.software.remove(x.now, before.Service, before.Software)
	if before.State == Ready {
		x.ready--
	}
}

// configure replaces the buckets of a configuration by those of the next one. Both may be nil.
func (x *viewIndex) configure(before, next *route.Table) {
	if next != nil {
		for _, b := range next.Buckets() {
			x.routes.add(b.Name, b.Digest)
		}
	}
	if before != nil {
		for _, b := range before.Buckets() {
			x.routes.remove(x.now, b.Name, b.Digest)
		}
	}
}

// view returns a view of these endpoints that later changes do not affect.
func (x *viewIndex) view() *View {
	return &View{
		byID: x.byID.Copy(), byLocation: x.byLocation.Copy(), Ready: x.ready, software: x.software.versions(), routes: x.routes.versions(),
	}
}
