package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/internal/catalog"
)

// Dispatcher returns the member that dispatches a cell of the own zone: the
// first of the zone by rendezvous hashing among those that are not leaving.
func (t *Table) Dispatcher(name catalog.Cell) (Member, bool) {
	return first(name.String(), t.inZone(t.self.Zone))
}

// Watchers returns the members of the own zone that watch the platform.
func (t *Table) Watchers(n int) []Member {
	ranked := rank("watch", t.inZone(t.self.Zone))
	return ranked[:min(n, len(ranked))]
}

// Contacts returns the members of a zone that other zones know.
func (t *Table) Contacts(zone string) []Member {
	ranked := rank("contact", t.inZone(zone))
	return ranked[:min(contacts, len(ranked))]
}

// ClaimOwner returns the member that batches the claims of a shard, one of the
// contacts of all zones, so that every process names the same.
func (t *Table) ClaimOwner(shard string) (Member, bool) {
	zones := map[string]bool{}
	for _, m := range t.Live() {
		zones[m.Zone] = true
	}
	var all []Member
	for zone := range zones {
		all = append(all, t.Contacts(zone)...)
	}
	return first(shard, all)
}

// inZone returns the members of a zone that may take roles: those that are not
// leaving, or all of them when nobody else is left.
func (t *Table) inZone(zone string) []Member {
	all := slices.DeleteFunc(t.Live(), func(m Member) bool { return m.Zone != zone })
	staying := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.Leaving })
	if len(staying) == 0 {
		return all
	}
	return staying
}

func first(key string, members []Member) (Member, bool) {
	ranked := rank(key, members)
	if len(ranked) == 0 {
		return Member{}, false
	}
	return ranked[0], true
}

// rank orders members by rendezvous hashing for key.
func rank(key string, members []Member) []Member {
	weight := func(m Member) uint64 { return xxhash.Sum64String(key + "\x00" + m.ID) }
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}
