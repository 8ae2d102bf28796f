package member

import (
	"net/netip"
	"slices"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Pulse is a member's beat in few bytes. Mark stands for its id and incarnation.
type Pulse struct {
	_    struct{} `cbor:",toarray"`
	Mark uint32
	Beat int64
}

// CellStatus is the headroom of a cell as its dispatcher last told it.
type CellStatus struct {
	Cell    catalog.Cell   `cbor:"1,keyasint"`
	Node    string         `cbor:"2,keyasint"`
	Address netip.AddrPort `cbor:"3,keyasint"`
	Stamp   clock.Millis   `cbor:"4,keyasint"` // by the dispatcher's clock
	Digest  cell.Digest    `cbor:"5,keyasint"`
}

// Heartbeat is the message between processes.
type Heartbeat struct {
	From    Member       `cbor:"1,keyasint"`
	Members []Member     `cbor:"2,keyasint"` // a sample
	Cells   []CellStatus `cbor:"3,keyasint"`
	Pulses  []Pulse      `cbor:"4,keyasint"`
}

// Beat prepares the next heartbeat; own are the cells dispatched here.
func (t *Table) Beat(now clock.Millis, revision int64, own []CellStatus) Heartbeat {
	t.self.Beat++
	t.self.Revision = revision
	for _, s := range own {
		t.cells[s.Cell] = &knownCell{CellStatus: s, heard: now}
	}
	h := Heartbeat{From: t.self, Cells: slices.Clone(own[:min(len(own), sampleCells)])}
	rows := t.Live()
	t.random.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	h.Pulses = t.pulses(rows)
	for _, m := range rows[:min(len(rows), sampleMembers)] {
		if m.ID != t.self.ID {
			h.Members = append(h.Members, m)
		}
	}
	cells := t.Cells()
	t.random.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	for _, s := range cells[:min(len(cells), sampleCells)] {
		if s.Node != t.self.ID {
			h.Cells = append(h.Cells, s)
		}
	}
	return h
}

// pulses returns the beats of the whole own zone and of a part of the others.
func (t *Table) pulses(rows []Member) []Pulse {
	var all []Pulse
	foreign := 0
	for _, m := range rows {
		if m.Zone != t.self.Zone {
			foreign++
		}
		if m.Zone == t.self.Zone || foreign <= sampleForeign {
			all = append(all, Pulse{Mark: m.mark(), Beat: m.Beat})
		}
	}
	return all
}

// Targets picks the peers for a heartbeat: fanout of the own zone and one of
// another zone.
func (t *Table) Targets(fanout int) []netip.AddrPort {
	var own, foreign []netip.AddrPort
	for _, m := range t.Live() {
		switch {
		case m.ID == t.self.ID:
		case m.Zone == t.self.Zone:
			own = append(own, m.Address)
		default:
			foreign = append(foreign, m.Address)
		}
	}
	t.random.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	targets := own[:min(len(own), fanout)]
	if len(foreign) > 0 {
		targets = append(targets, foreign[t.random.IntN(len(foreign))])
	}
	return targets
}
