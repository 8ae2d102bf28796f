package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/pkg/clock"
)

// orderings holds the instances in the orders in which they are read, computed once for
// each change. They are read some hundred times a second, and sorting a thousand instances
// takes a millisecond. The lists are shared and must not be modified.
type orderings struct {
	validUntil clock.Millis // when the next joining instance may take roles; 0: none is joining
	all        []Instance   // by name
	zones      []string
	rankings   map[role]ranking
}

// role is a role in a zone.
type role struct{ zone, key string }

// ranking holds a zone's instances in the order for a role.
type ranking struct {
	list  []Instance
	ranks map[string]int // by name
}

// orderings returns the current orderings. The caller holds the lock for writing.
func (r *Roster) orderings() *orderings {
	now := r.now()
	if o := r.cached; o != nil && (o.validUntil == 0 || now < o.validUntil) {
		return o
	}
	o := &orderings{all: make([]Instance, 0, len(r.instances)), rankings: map[role]ranking{}}
	for _, i := range r.instances {
		joined := r.identities[i.Fingerprint].firstSeen.Add(JoinDelay)
		if i.Joining = now < joined; i.Joining && (o.validUntil == 0 || joined < o.validUntil) {
			o.validUntil = joined
		}
		o.all = append(o.all, i)
	}
	slices.SortFunc(o.all, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	for _, i := range o.all {
		if at, known := slices.BinarySearch(o.zones, i.Zone); !known {
			o.zones = slices.Insert(o.zones, at, i.Zone)
		}
	}
	r.cached = o
	return o
}

// ranking returns a zone's order for a role.
func (o *orderings) ranking(zone, key string) ranking {
	k := role{zone, key}
	if known, ok := o.rankings[k]; ok {
		return known
	}
	var list []weightedInstance
	for _, i := range o.all {
		if i.Zone == zone {
			list = append(list, weightedInstance{i, xxhash.Sum64String(key + "\x00" + i.Name)})
		}
	}
	slices.SortFunc(list, compareRank)
	built := ranking{list: make([]Instance, len(list)), ranks: make(map[string]int, len(list))}
	for n, w := range list {
		built.list[n] = w.Instance
		built.ranks[w.Name] = n
	}
	o.rankings[k] = built
	return built
}

// weightedInstance is an instance with its weight for a role.
type weightedInstance struct {
	Instance
	weight uint64
}

// compareRank orders instances as Ranked does.
func compareRank(a, b weightedInstance) int {
	return cmp.Or(
		cmp.Compare(a.readiness(), b.readiness()),
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(b.weight, a.weight),
	)
}
