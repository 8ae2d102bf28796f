package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/pkg/clock"
)

// orders are the instances as they are asked for, made once for each change. Others read
// them some hundred times a second, and to sort a thousand instances takes a millisecond.
// The lists are shared and not to be changed.
type orders struct {
	until  clock.Millis // the next instance takes up its work then; 0: nobody is joining
	all    []Instance   // by name
	zones  []string
	places map[role]ranked
}

// role is a role in a zone.
type role struct{ zone, key string }

// ranked is a zone's instances in the order for a role.
type ranked struct {
	list   []Instance
	places map[string]int // by name
}

// orders returns those of now. The caller holds the lock for writing.
func (r *Roster) orders() *orders {
	now := r.now()
	if o := r.present; o != nil && (o.until == 0 || now < o.until) {
		return o
	}
	o := &orders{all: make([]Instance, 0, len(r.instances)), places: map[role]ranked{}}
	for _, i := range r.instances {
		joined := r.known[i.Fingerprint].seen.Add(JoinTime)
		if i.Joining = now < joined; i.Joining && (o.until == 0 || joined < o.until) {
			o.until = joined
		}
		o.all = append(o.all, i)
	}
	slices.SortFunc(o.all, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	for _, i := range o.all {
		if at, known := slices.BinarySearch(o.zones, i.Zone); !known {
			o.zones = slices.Insert(o.zones, at, i.Zone)
		}
	}
	r.present = o
	return o
}

// ranked returns a zone's order for a role.
func (o *orders) ranked(zone, key string) ranked {
	k := role{zone, key}
	if known, ok := o.places[k]; ok {
		return known
	}
	var list []weighed
	for _, i := range o.all {
		if i.Zone == zone {
			list = append(list, weighed{i, xxhash.Sum64String(key + "\x00" + i.Name)})
		}
	}
	slices.SortFunc(list, compare)
	made := ranked{list: make([]Instance, len(list)), places: make(map[string]int, len(list))}
	for n, w := range list {
		made.list[n] = w.Instance
		made.places[w.Name] = n
	}
	o.places[k] = made
	return made
}

// weighed is an instance with its weight for a role.
type weighed struct {
	Instance
	weight uint64
}

// compare orders instances as Ranked does.
func compare(a, b weighed) int {
	return cmp.Or(
		cmp.Compare(a.readiness(), b.readiness()),
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(b.weight, a.weight),
	)
}
