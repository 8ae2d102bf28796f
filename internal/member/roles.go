package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/internal/catalog"
)

// Dispatcher returns the member that dispatches a cell of the own zone: the
// first by rendezvous hashing among the zone's members that are not leaving.
func (t *Table) Dispatcher(name catalog.Cell) (Member, bool) {
	return first(name.String(), t.inZone(t.self.Zone))
}

// Watchers returns the members of the own zone, at most n, that watch the
// platform.
func (t *Table) Watchers(n int) []Member {
	ranked := rank("watch", t.inZone(t.self.Zone))
	return ranked[:min(n, len(ranked))]
}

// Contacts returns the few members of a zone that processes of other zones keep
// in their views.
func (t *Table) Contacts(zone string) []Member {
	ranked := rank("contact", t.inZone(zone))
	return ranked[:min(maxContacts, len(ranked))]
}

// ClaimOwner returns the member that batches the claims of a shard. It is
// chosen among the contacts of all zones, which every process knows, so all
// processes choose the same one.
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

// inZone returns the members of a zone that are eligible for roles: those that
// are not leaving, or all of them if every one is leaving.
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

// rank returns the members ordered by rendezvous hashing for key.
func rank(key string, members []Member) []Member {
	weight := func(m Member) uint64 { return xxhash.Sum64String(key + "\x00" + m.ID) }
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}
