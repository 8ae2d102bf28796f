package member

import (
	"net/netip"
	"slices"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Beat is the compact form of a member's beat counter. IDHash is a hash of
// the member's id and incarnation.
type Beat struct {
	_      struct{} `cbor:",toarray"`
	IDHash uint32
	Beat   int64
}

// CellStatus is the headroom of a cell as its dispatcher last reported it.
type CellStatus struct {
	Cell     catalog.Cell   `cbor:"1,keyasint"`
	Node     string         `cbor:"2,keyasint"`
	Address  netip.AddrPort `cbor:"3,keyasint"`
	Stamp    clock.Millis   `cbor:"4,keyasint"` // by the dispatcher's clock
	Headroom cell.Headroom  `cbor:"5,keyasint"`
}

// Heartbeat is the message by which processes exchange their views.
type Heartbeat struct {
	From    Member       `cbor:"1,keyasint"`
	Members []Member     `cbor:"2,keyasint"` // a sample
	Cells   []CellStatus `cbor:"3,keyasint"`
	Beats   []Beat       `cbor:"4,keyasint"`
}

// NextHeartbeat returns the next heartbeat to send. own are the cells that this process
// dispatches.
func (t *Table) NextHeartbeat(now clock.Millis, revision int64, own []CellStatus) Heartbeat {
	t.self.Beat++
	t.self.Revision = revision
	for _, s := range own {
		t.cells[s.Cell] = &knownCell{CellStatus: s, receivedAt: now}
	}
	h := Heartbeat{From: t.self, Cells: slices.Clone(own[:min(len(own), maxSampledCells)])}
	rows := t.Live()
	t.random.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	h.Beats = t.beats(rows)
	for _, m := range rows[:min(len(rows), maxSampledMembers)] {
		if m.ID != t.self.ID {
			h.Members = append(h.Members, m)
		}
	}
	cells := t.Cells()
	t.random.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	for _, s := range cells[:min(len(cells), maxSampledCells)] {
		if s.Node != t.self.ID {
			h.Cells = append(h.Cells, s)
		}
	}
	return h
}

// beats returns the beats of all members of the own zone and of a sample of the
// other zones' members.
func (t *Table) beats(rows []Member) []Beat {
	var all []Beat
	remote := 0
	for _, m := range rows {
		if m.Zone != t.self.Zone {
			remote++
		}
		if m.Zone == t.self.Zone || remote <= maxRemoteBeats {
			all = append(all, Beat{IDHash: m.idHash(), Beat: m.Beat})
		}
	}
	return all
}

// Targets picks the peers to send a heartbeat to: up to fanout of the own zone
// and one of another zone.
func (t *Table) Targets(fanout int) []netip.AddrPort {
	var own, remote []netip.AddrPort
	for _, m := range t.Live() {
		switch {
		case m.ID == t.self.ID:
		case m.Zone == t.self.Zone:
			own = append(own, m.Address)
		default:
			remote = append(remote, m.Address)
		}
	}
	t.random.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	targets := own[:min(len(own), fanout)]
	if len(remote) > 0 {
		targets = append(targets, remote[t.random.IntN(len(remote))])
	}
	return targets
}
