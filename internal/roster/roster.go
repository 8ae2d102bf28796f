// Package roster keeps the instances of this system: their names, the addresses they listen
// on and the certificates that identify them. Entries come from the platform's store, where
// each is kept by its instance's lease.
package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Instance is one peer, or this instance itself. In the store it is JSON, and the store
// keeps the revision beside it; between instances it is CBOR, which includes the revision.
type Instance struct {
	Name        string         `cbor:"1,keyasint" json:"name"`
	Zone        string         `cbor:"2,keyasint" json:"zone"`
	Address     netip.AddrPort `cbor:"3,keyasint" json:"address"`                      // of its QUIC listener
	Fingerprint string         `cbor:"4,keyasint" json:"fingerprint"`                  // SHA-256 of its certificate, in hex
	Capacity    float64        `cbor:"5,keyasint,omitempty" json:"capacity,omitempty"` // of its processor, in cores
	Leaving     bool           `cbor:"6,keyasint,omitempty" json:"leaving,omitempty"`
	// Tunnels is set if the instance carries connections to endpoints for its peers.
	Tunnels  bool  `cbor:"9,keyasint,omitempty" json:"tunnels,omitempty"`
	Revision int64 `cbor:"8,keyasint" json:"-"` // of the store
	Joining  bool  `cbor:"-" json:"-"`          // first seen less than JoinDelay ago: it takes no role yet
}

// Removal says that an instance's entry was removed at a revision. The entry may exist
// again at a later revision, even in the same response.
type Removal struct {
	Name     string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"` // of the store
}

// JoinDelay is how long after it was first seen an instance takes no role: by then the
// instances that hold allocations on engines have announced them to it. Each peer measures
// the time for itself, since a second entry would wake all watchers.
const JoinDelay = 1200 * time.Millisecond

// readiness orders instances by whether they should take a role.
func (i Instance) readiness() int {
	switch {
	case i.Leaving:
		return 2
	case i.Joining:
		return 1
	default:
		return 0
	}
}

// Roster is the table of instances. It is safe for concurrent use.
type Roster struct {
	now        func() clock.Millis
	mu         sync.Mutex
	instances  map[string]Instance
	cached     *orderings          // of instances; nil: to be computed again
	identities map[string]identity // by fingerprint, of all instances ever seen
	removedAt  map[string]int64    // by name: revision of its removal
	maxSize    int
	epoch      int64        // of the store, as entries show it
	epochSince clock.Millis // when this process learned of it; 0: the first one
}

// identity is one incarnation of an instance.
type identity struct {
	name      string
	firstSeen clock.Millis
}

// New returns an empty roster.
func New(now func() clock.Millis) *Roster {
	return &Roster{now: now, instances: map[string]Instance{}, identities: map[string]identity{}, removedAt: map[string]int64{}}
}

// confirmPeriod is how long after the store was restored from a copy an instance may take to
// write its entry again. An entry outlives its instance as long otherwise.
const confirmPeriod = leaseTTL

// Update applies an instance's entry and reports whether it changed anything.
func (r *Roster) Update(i Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.instances[i.Name]
	if known && i.Revision <= before.Revision {
		return false
	}
	if at, gone := r.removedAt[i.Name]; gone && i.Revision <= at {
		return false
	}
	if known && epoch.Of(i.Revision) > epoch.Of(before.Revision) {
		if r.isFormer(i, before) {
			return false
		}
		i.Leaving = i.Leaving || before.Leaving && i.Fingerprint == before.Fingerprint
	}
	r.enterEpoch(i.Revision)
	delete(r.removedAt, i.Name)
	r.instances[i.Name] = i
	r.cached = nil
	if _, met := r.identities[i.Fingerprint]; !met {
		r.identities[i.Fingerprint] = identity{name: i.Name, firstSeen: r.now()}
	}
	r.maxSize = max(r.maxSize, len(r.instances))
	before.Revision = i.Revision
	return !known || before != i
}

// isFormer reports whether an entry of a restored store is of an earlier process of the instance
// than the one that is known.
func (r *Roster) isFormer(i, known Instance) bool {
	_, met := r.identities[i.Fingerprint]
	return met && i.Fingerprint != known.Fingerprint
}

// enterEpoch notes a restore of the store that a position shows. The caller holds the lock.
func (r *Roster) enterEpoch(position int64) {
	if epoch.Of(position) <= r.epoch {
		return
	}
	r.epoch = epoch.Of(position)
	if len(r.instances) > 0 {
		r.epochSince = r.now()
	}
}

// confirming reports whether instances may still be writing again entries that a restored store
// has lost. The caller holds the lock.
func (r *Roster) confirming() bool {
	return r.epochSince != 0 && r.now().Sub(r.epochSince) < confirmPeriod
}

// DropUnconfirmed removes the instances that have not written their entries again in time since
// the store was restored, and returns their names.
func (r *Roster) DropUnconfirmed() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.epochSince == 0 || r.confirming() {
		return nil
	}
	r.epochSince = 0
	for name, i := range r.instances {
		if epoch.Of(i.Revision) < r.epoch {
			delete(r.instances, name)
			r.removedAt[name] = epoch.Join(r.epoch, 0)
			names = append(names, name)
		}
	}
	r.cached = nil
	return names
}

// Remove applies the removal of an instance's entry and reports whether it changed
// anything. The certificate stays trusted: the instance may only have lost its lease.
func (r *Roster) Remove(removal Removal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.instances[removal.Name]
	if !ok || i.Revision > removal.Revision {
		return false
	}
	delete(r.instances, removal.Name)
	r.cached = nil
	r.removedAt[removal.Name] = removal.Revision
	return true
}

// Since returns the instances that were seen or removed after a revision.
func (r *Roster) Since(revision int64) (seen []Instance, gone []Removal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.instances {
		if i.Revision > revision {
			seen = append(seen, i)
		}
	}
	for name, at := range r.removedAt {
		if at > revision {
			gone = append(gone, Removal{Name: name, Revision: at})
		}
	}
	return seen, gone
}

// Missing returns a removal for each known instance that is not in a complete listing at a
// revision.
func (r *Roster) Missing(all []Instance, revision int64) []Removal {
	present := map[string]bool{}
	for _, i := range all {
		present[i.Name] = true
	}
	known := r.All()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enterEpoch(revision)
	var missing []Removal
	for _, i := range known {
		if r.confirming() && epoch.Of(i.Revision) < r.epoch {
			continue // the store may have lost its entry
		}
		if !present[i.Name] {
			missing = append(missing, Removal{Name: i.Name, Revision: revision})
		}
	}
	return missing
}

// Trusted returns the name of the instance with a certificate.
func (r *Roster) Trusted(fingerprint string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, ok := r.identities[fingerprint]
	return id.name, ok
}

// All returns the instances in the order of their names. The list must not be modified.
func (r *Roster) All() []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orderings().all
}

// Find returns the instance called name.
func (r *Roster) Find(name string) (i Instance, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.orderings().all
	at, known := slices.BinarySearchFunc(all, name, func(i Instance, name string) int { return cmp.Compare(i.Name, name) })
	if !known {
		return Instance{}, false
	}
	return all[at], true
}

// Size returns the number of instances.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.instances)
}

// Zones returns the zones that have instances, in the order of their names. The list must
// not be modified.
func (r *Roster) Zones() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orderings().zones
}

// FirstOfOtherZones returns the first n instances, in the order for a role, of each zone
// but the given one.
func (r *Roster) FirstOfOtherZones(zone, key string, n int) []Instance {
	var list []Instance
	for _, z := range r.Zones() {
		if z != zone {
			ranked := r.Ranked(z, key)
			list = append(list, ranked[:min(len(ranked), n)]...)
		}
	}
	return list
}

// MaxSize returns the largest number of instances known at one time.
func (r *Roster) MaxSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxSize
}

// Rank returns the rank, from 0, of the instance called name in a zone's order for a role.
func (r *Roster) Rank(zone, key, name string) (rank int, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank, known = r.orderings().ranking(zone, key).ranks[name]
	return rank, known
}

// Ranked returns a zone's instances in the order in which they take the role called key:
// those with the highest capacity first, because a role's work comes on top of the requests
// that all instances share equally, then in rendezvous order. Those that have just started
// come after these, and those that are leaving last. The list must not be modified.
func (r *Roster) Ranked(zone, key string) []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orderings().ranking(zone, key).list
}
