// Package member keeps a process's view of the live processes and cells. Views
// spread by gossip: heartbeats to a few random peers, each with a sample of its
// sender's view, so that the traffic per process does not grow with the fleet.
// A process knows every member of its own zone and a few contacts of each other
// zone.
package member

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// maxContacts is how many members of another zone are known.
	maxContacts = 3
	// maxSampledMembers, maxRemoteBeats and maxSampledCells bound what a
	// heartbeat forwards. The beats of the own zone's members are not limited.
	maxSampledMembers = 8
	maxRemoteBeats    = 24
	maxSampledCells   = 12
	// remoteTimeoutFactor multiplies the timeout for members and cells of other
	// zones, whose updates take longer to arrive.
	remoteTimeoutFactor = 5
)

// Member is a process of the fleet.
type Member struct {
	ID          string         `cbor:"1,keyasint" json:"id"`
	Zone        string         `cbor:"2,keyasint" json:"zone"`
	Address     netip.AddrPort `cbor:"3,keyasint" json:"address"`
	Incarnation int64          `cbor:"4,keyasint" json:"incarnation"` // start time in milliseconds
	Beat        int64          `cbor:"5,keyasint" json:"beat"`        // heartbeats sent
	Leaving     bool           `cbor:"6,keyasint" json:"leaving"`
	Revision    int64          `cbor:"7,keyasint" json:"revision"` // of its configuration
	// Tunnels is set if the process carries connections to endpoints for its peers.
	Tunnels bool `cbor:"8,keyasint,omitempty" json:"tunnels,omitempty"`
}

func (m Member) idHash() uint32 {
	return uint32(xxhash.Sum64String(m.ID + "\x00" + strconv.FormatInt(m.Incarnation, 10)))
}

// newer reports whether m is more recent than o, given the same process.
func (m Member) newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Beat > o.Beat
}

type knownMember struct {
	Member
	receivedAt clock.Millis
	gone       bool // expired, but kept for a while so that outdated heartbeats do not add it again
}

type knownCell struct {
	CellStatus
	receivedAt clock.Millis
}

// Table is a process's view of members and cells. It is not safe for concurrent
// use.
type Table struct {
	self      Member
	goneAfter time.Duration
	members   map[string]*knownMember
	byHash    map[uint32]*knownMember
	cells     map[catalog.Cell]*knownCell
	random    *rand.Rand
}

// NewTable returns a view that contains only self.
func NewTable(self Member, goneAfter time.Duration, seed uint64) *Table {
	return &Table{
		self: self, goneAfter: goneAfter, members: map[string]*knownMember{}, byHash: map[uint32]*knownMember{},
		cells: map[catalog.Cell]*knownCell{}, random: rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
	}
}

// Self returns this process as a member.
func (t *Table) Self() Member { return t.self }

// Leave marks this process as leaving in all further heartbeats.
func (t *Table) Leave() { t.self.Leaving = true }

// Receive merges a received heartbeat and returns the ids of members that joined.
func (t *Table) Receive(now clock.Millis, h Heartbeat) (joined []string) {
	for _, m := range append([]Member{h.From}, h.Members...) {
		if t.merge(now, m) {
			joined = append(joined, m.ID)
		}
	}
	for _, p := range h.Beats {
		if k, ok := t.byHash[p.IDHash]; ok && p.Beat > k.Beat {
			k.Beat, k.receivedAt, k.gone = p.Beat, now, false
		}
	}
	for _, s := range h.Cells {
		old, ok := t.cells[s.Cell]
		if !ok || s.Stamp > old.Stamp {
			t.cells[s.Cell] = &knownCell{CellStatus: s, receivedAt: now}
		}
	}
	return joined
}

func (t *Table) merge(now clock.Millis, m Member) (joined bool) {
	if m.ID == t.self.ID {
		return false
	}
	old, ok := t.members[m.ID]
	if ok && !m.newer(old.Member) {
		return false
	}
	k := &knownMember{Member: m, receivedAt: now}
	if ok {
		delete(t.byHash, old.idHash())
	}
	t.members[m.ID], t.byHash[m.idHash()] = k, k
	if !ok || old.gone {
		t.trimZone(m.Zone)
		return true
	}
	return false
}

// trimZone removes the members of another zone that are not among its contacts.
func (t *Table) trimZone(zone string) {
	if zone == t.self.Zone {
		return
	}
	keep := t.Contacts(zone)
	for _, k := range t.members {
		kept := slices.ContainsFunc(keep, func(m Member) bool { return m.ID == k.ID })
		if k.Zone == zone && !k.gone && !kept {
			t.forget(k)
		}
	}
}

func (t *Table) forget(k *knownMember) {
	delete(t.members, k.ID)
	delete(t.byHash, k.idHash())
}

// Expire marks members without a recent beat as gone and returns their ids. It
// also removes outdated cells and members that have long been gone.
func (t *Table) Expire(now clock.Millis) (gone []string) {
	for id, k := range t.members {
		age := now.Sub(k.receivedAt)
		switch {
		case !k.gone && age > t.timeout(k.Zone):
			k.gone = true
			gone = append(gone, id)
		case k.gone && age > 4*t.timeout(k.Zone):
			t.forget(k)
		}
	}
	for name, k := range t.cells {
		if now.Sub(k.receivedAt) > t.timeout(name.Zone) {
			delete(t.cells, name)
		}
	}
	slices.Sort(gone)
	return gone
}

func (t *Table) timeout(zone string) time.Duration {
	if zone == t.self.Zone {
		return t.goneAfter
	}
	return remoteTimeoutFactor * t.goneAfter
}

// Live returns the live members, including this process, ordered by id.
func (t *Table) Live() []Member {
	live := []Member{t.self}
	for _, k := range t.members {
		if !k.gone {
			live = append(live, k.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// Cells returns the known cells with their headroom, ordered by name.
func (t *Table) Cells() []CellStatus {
	all := make([]CellStatus, 0, len(t.cells))
	for _, k := range t.cells {
		all = append(all, k.CellStatus)
	}
	slices.SortFunc(all, func(a, b CellStatus) int { return a.Cell.Compare(b.Cell) })
	return all
}

// Status returns the last known headroom of a cell.
func (t *Table) Status(name catalog.Cell) (CellStatus, bool) {
	k, ok := t.cells[name]
	if !ok {
		return CellStatus{}, false
	}
	return k.CellStatus, true
}
