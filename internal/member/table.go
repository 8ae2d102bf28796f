// Package member keeps a process's view of the live processes and cells. The
// view spreads by heartbeats to a few random peers, each with a sample of what
// its sender knows, so that bytes per process stay flat as the fleet grows. Of
// its own zone a process knows every member, of another zone a few contacts.
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
	// contacts is how many members of another zone are known.
	contacts = 3
	// sampleMembers, sampleForeign and sampleCells bound what a heartbeat
	// passes on; of the own zone it carries every member's beat.
	sampleMembers = 8
	sampleForeign = 24
	sampleCells   = 12
	// foreignPatience is how many times longer another zone's news may take.
	foreignPatience = 5
)

// Member is one live process.
type Member struct {
	ID          string         `cbor:"1,keyasint" json:"id"`
	Zone        string         `cbor:"2,keyasint" json:"zone"`
	Address     netip.AddrPort `cbor:"3,keyasint" json:"address"`
	Incarnation int64          `cbor:"4,keyasint" json:"incarnation"` // start time in milliseconds
	Beat        int64          `cbor:"5,keyasint" json:"beat"`        // counts its heartbeats
	Leaving     bool           `cbor:"6,keyasint" json:"leaving"`
	Revision    int64          `cbor:"7,keyasint" json:"revision"` // of its configuration
}

func (m Member) mark() uint32 {
	return uint32(xxhash.Sum64String(m.ID + "\x00" + strconv.FormatInt(m.Incarnation, 10)))
}

// newer says whether m tells more than o of the same process.
func (m Member) newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Beat > o.Beat
}

type known struct {
	Member
	heard clock.Millis
	gone  bool // kept for a while so that old news does not revive it
}

type knownCell struct {
	CellStatus
	heard clock.Millis
}

// Table is the view. It is not safe for concurrent use.
type Table struct {
	self      Member
	goneAfter time.Duration
	members   map[string]*known
	marks     map[uint32]*known
	cells     map[catalog.Cell]*knownCell
	random    *rand.Rand
}

// NewTable returns the view of a process that knows only itself.
func NewTable(self Member, goneAfter time.Duration, seed uint64) *Table {
	return &Table{
		self: self, goneAfter: goneAfter, members: map[string]*known{}, marks: map[uint32]*known{},
		cells: map[catalog.Cell]*knownCell{}, random: rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
	}
}

// Self returns this process's own row.
func (t *Table) Self() Member { return t.self }

// Leave announces in all further heartbeats that this process will stop.
func (t *Table) Leave() { t.self.Leaving = true }

// Hear takes a heartbeat and returns the ids of members that are new.
func (t *Table) Hear(now clock.Millis, h Heartbeat) (joined []string) {
	for _, m := range append([]Member{h.From}, h.Members...) {
		if t.observe(now, m) {
			joined = append(joined, m.ID)
		}
	}
	for _, p := range h.Pulses {
		if k, ok := t.marks[p.Mark]; ok && p.Beat > k.Beat {
			k.Beat, k.heard, k.gone = p.Beat, now, false
		}
	}
	for _, s := range h.Cells {
		old, ok := t.cells[s.Cell]
		if !ok || s.Stamp > old.Stamp {
			t.cells[s.Cell] = &knownCell{CellStatus: s, heard: now}
		}
	}
	return joined
}

func (t *Table) observe(now clock.Millis, m Member) (joined bool) {
	if m.ID == t.self.ID {
		return false
	}
	old, ok := t.members[m.ID]
	if ok && !m.newer(old.Member) {
		return false
	}
	k := &known{Member: m, heard: now}
	if ok {
		delete(t.marks, old.mark())
	}
	t.members[m.ID], t.marks[m.mark()] = k, k
	if !ok || old.gone {
		t.trim(m.Zone)
		return true
	}
	return false
}

// trim forgets the members of another zone but its contacts.
func (t *Table) trim(zone string) {
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

func (t *Table) forget(k *known) {
	delete(t.members, k.ID)
	delete(t.marks, k.mark())
}

// Expire drops who was not heard of in time and returns their ids.
func (t *Table) Expire(now clock.Millis) (gone []string) {
	for id, k := range t.members {
		silent := now.Sub(k.heard)
		switch {
		case !k.gone && silent > t.patience(k.Zone):
			k.gone = true
			gone = append(gone, id)
		case k.gone && silent > 4*t.patience(k.Zone):
			t.forget(k)
		}
	}
	for name, k := range t.cells {
		if now.Sub(k.heard) > t.patience(name.Zone) {
			delete(t.cells, name)
		}
	}
	slices.Sort(gone)
	return gone
}

func (t *Table) patience(zone string) time.Duration {
	if zone == t.self.Zone {
		return t.goneAfter
	}
	return foreignPatience * t.goneAfter
}

// Live returns the known live members with this process, by id.
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

// Cells returns the known cells with their headroom, by name.
func (t *Table) Cells() []CellStatus {
	all := make([]CellStatus, 0, len(t.cells))
	for _, k := range t.cells {
		all = append(all, k.CellStatus)
	}
	slices.SortFunc(all, func(a, b CellStatus) int { return a.Cell.Compare(b.Cell) })
	return all
}

// Status returns what is known of one cell.
func (t *Table) Status(name catalog.Cell) (CellStatus, bool) {
	k, ok := t.cells[name]
	if !ok {
		return CellStatus{}, false
	}
	return k.CellStatus, true
}
