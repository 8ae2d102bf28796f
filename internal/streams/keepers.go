package streams

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/internal/roster"
)

const (
	// roleKeeper is the role of keeping records of other instances' streams.
	roleKeeper = "stream keeper"
	// keepersPerZone is how many instances of a zone take the role. It bounds the connections
	// that each instance opens for it.
	keepersPerZone = 16
	// keepersPerStream is how many instances are given the record of a stream.
	keepersPerStream = 2
	// roleWriter is the role of writing records to the archive.
	roleWriter = "stream archive writer"
	// writersPerStream is how many instances write the record of a stream: one may be killed before
	// it has written what it has taken.
	writersPerStream = 2
	// instancesPerWriter is for how many instances one writes, beside the first.
	instancesPerWriter = 64
	// askedPerZone is how many of a zone's keepers are asked for a record: the one that was
	// given it and, as instances come and go, the one that would be the next.
	askedPerZone = 2
)

// best returns the first n keepers of a zone in the order in which they are chosen for a stream,
// without this instance. Those that are leaving come last.
func (r *Registry) best(zone string, key uint64, n int) []roster.Instance {
	all := r.Roster.Ranked(zone, roleKeeper)
	all = all[:min(len(all), keepersPerZone)]
	var chosen []int // indices
	before := func(a, b int) bool {
		if all[a].Leaving != all[b].Leaving {
			return all[b].Leaving
		}
		return weight(key, all[a].Name) > weight(key, all[b].Name)
	}
	for i := range all {
		if all[i].Name == r.Name {
			continue
		}
		at := len(chosen)
		for at > 0 && before(i, chosen[at-1]) {
			at--
		}
		if at < n {
			chosen = slices.Insert(chosen, at, i)
			chosen = chosen[:min(len(chosen), n)]
		}
	}
	out := make([]roster.Instance, len(chosen))
	for n, i := range chosen {
		out[n] = all[i]
	}
	return out
}

// writers returns the instances that write the records of streams to the archive, without those
// that do not answer this one. What one writes reaches all instances that watch the store, so that
// few large batches cost less than many small ones.
func (r *Registry) writers() (list []roster.Instance) {
	var ranked [][]roster.Instance
	total := 0
	for _, zone := range slices.Sorted(slices.Values(r.Roster.Zones())) {
		all := r.Roster.Ranked(zone, roleWriter)
		total += len(all)
		ranked = append(ranked, all)
	}
	wanted := writersPerStream + total/instancesPerWriter
	for found := true; found && len(list) < wanted; {
		found = false
		for n, instances := range ranked {
			at := slices.IndexFunc(instances, func(i roster.Instance) bool { return !r.isPassedOver(i) })
			if at >= 0 && len(list) < wanted {
				list, ranked[n], found = append(list, instances[at]), instances[at+1:], true
			}
		}
	}
	return list
}

// Writers returns how many instances write to the archive.
func (r *Registry) Writers() int { return max(len(r.writers()), 1) }

// writersOf returns the other instances that write the record of a stream, of a list of writers,
// and whether this one does, as it also does if no other is known.
func (r *Registry) writersOf(list []roster.Instance, key uint64) (others []roster.Instance, self bool) {
	for n := range min(len(list), writersPerStream) {
		i := list[(key+uint64(n))%uint64(len(list))]
		if i.Name == r.Name {
			self = true
		} else {
			others = append(others, i)
		}
	}
	return others, self || len(others) == 0
}

// isKeeper reports whether this instance is among the keepers of its zone.
func (r *Registry) isKeeper() bool {
	rank, known := r.Roster.Rank(r.Zone, roleKeeper, r.Name)
	return known && rank < keepersPerZone
}

// weight is the rendezvous weight of a name for a stream.
func weight(key uint64, name string) uint64 {
	const odd = 0x9e3779b97f4a7c15 // spreads the bits of the product
	w := (xxhash.Sum64String(name) ^ key) * odd
	return (w ^ w>>32) * odd
}

// zones returns the own zone, then the others in the order in which they are chosen for a
// stream.
func (r *Registry) zones(key uint64) []string {
	zones := slices.Clone(r.Roster.Zones())
	slices.SortFunc(zones, func(a, b string) int {
		switch {
		case a == r.Zone:
			return -1
		case b == r.Zone:
			return 1
		default:
			return cmp.Compare(weight(key, b), weight(key, a))
		}
	})
	return zones
}

// keepers returns the instances that are given the record of a stream that begins here: one of
// the own zone, where its caller returns, and one of another, in case the zone is lost.
func (r *Registry) keepers(key uint64) (list []roster.Instance) {
	for _, zone := range r.zones(key) {
		if len(list) < keepersPerStream {
			list = append(list, r.best(zone, key, 1)...)
		}
	}
	return list
}

// asked returns the instances that may have the record of a stream.
func (r *Registry) asked(key uint64) (list []roster.Instance) {
	for _, zone := range r.zones(key) {
		list = append(list, r.best(zone, key, askedPerZone)...)
	}
	return list
}

func addresses(list []roster.Instance) (out []netip.AddrPort) {
	for _, i := range list {
		out = append(out, i.Address)
	}
	return out
}
