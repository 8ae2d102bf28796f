package member_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/member"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	beat      = 500 * time.Millisecond
	goneAfter = 4 * time.Second
)

// town is tables that exchange heartbeats; a heartbeat over a cut is lost.
type town struct {
	now    clock.Millis
	tables []*member.Table
	frozen map[int]bool
	cut    map[string]bool // zones without contact to others
}

func newTown(zones, each int) *town {
	t := &town{now: 1_000_000, frozen: map[int]bool{}, cut: map[string]bool{}}
	for z := range zones {
		for range each {
			n := len(t.tables)
			self := member.Member{
				ID: fmt.Sprintf("n%03d", n), Zone: fmt.Sprintf("z%d", z), Incarnation: int64(t.now),
				Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n+1)),
			}
			t.tables = append(t.tables, member.NewTable(self, goneAfter, uint64(n)))
		}
	}
	return t
}

func (t *town) send(from int, h member.Heartbeat, to netip.AddrPort) {
	i := int(to.Port()) - 1
	a, b := t.tables[from].Self().Zone, t.tables[i].Self().Zone
	if t.frozen[i] || (a != b && (t.cut[a] || t.cut[b])) {
		return
	}
	t.tables[i].Hear(t.now, h)
}

// run lets every table beat once an interval; each knows the first of its zone
// and a random one as addresses of first contact.
func (t *town) run(d time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for end := t.now.Add(d); t.now < end; t.now = t.now.Add(beat) {
		for i, table := range t.tables {
			if t.frozen[i] {
				continue
			}
			table.Expire(t.now)
			h := table.Beat(t.now, 1, nil)
			for _, to := range table.Targets(2) {
				t.send(i, h, to)
			}
			t.send(i, h, t.tables[random.IntN(len(t.tables))].Self().Address)
		}
	}
}

// agreed returns the dispatcher of a cell that all awake members of a zone name.
func (t *town) agreed(zone string) (string, bool) {
	named := map[string]bool{}
	last := ""
	for i, table := range t.tables {
		if table.Self().Zone != zone || t.frozen[i] {
			continue
		}
		m, _ := table.Dispatcher(catalog.Cell{Zone: zone, Serves: "m"})
		named[m.ID] = true
		last = m.ID
	}
	return last, len(named) == 1
}

func TestAgreement(t *testing.T) {
	tests := []struct{ zones, each int }{{1, 2}, {3, 2}, {3, 25}, {2, 75}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d zones of %d", test.zones, test.each), func(t *testing.T) {
			c := qt.New(t)
			w := newTown(test.zones, test.each)
			w.run(20 * time.Second)
			old, ok := w.agreed("z0")
			c.Assert(ok, qt.IsTrue)
			c.Assert(len(w.tables[0].Live()), qt.Equals, test.each+(test.zones-1)*min(test.each, 3))

			for i, table := range w.tables {
				if table.Self().ID == old {
					w.frozen[i] = true // it is paused, and still believes
				}
			}
			w.run(goneAfter + 3*time.Second)
			fresh, ok := w.agreed("z0")
			c.Assert(ok, qt.IsTrue)
			c.Assert(fresh, qt.Not(qt.Equals), old)

			clear(w.frozen) // it wakes and takes its cells again
			w.run(8 * time.Second)
			back, ok := w.agreed("z0")
			c.Assert(ok, qt.IsTrue)
			c.Assert(back, qt.Equals, old)
		})
	}
}

// TestClaimOwner says that all members of all zones name the same owner.
func TestClaimOwner(t *testing.T) {
	c := qt.New(t)
	w := newTown(3, 12)
	w.run(30 * time.Second)
	for shard := range 32 {
		owners := map[string]bool{}
		for _, table := range w.tables {
			m, ok := table.ClaimOwner(fmt.Sprint(shard))
			c.Assert(ok, qt.IsTrue)
			owners[m.ID] = true
		}
		c.Assert(owners, qt.HasLen, 1)
	}
}

// TestCut says that a zone that is cut off keeps its own members and finds the
// others again.
func TestCut(t *testing.T) {
	c := qt.New(t)
	w := newTown(3, 4)
	w.run(20 * time.Second)
	w.cut["z1"] = true
	w.run(time.Minute)
	c.Assert(w.tables[4].Live(), qt.HasLen, 4)
	_, ok := w.agreed("z1")
	c.Assert(ok, qt.IsTrue)
	clear(w.cut)
	w.run(30 * time.Second)
	c.Assert(w.tables[4].Live(), qt.HasLen, 4+2*3)
}

// TestLeaving says that a leaving member gives up its roles at once, but keeps
// them while it is the last.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	w := newTown(1, 2)
	w.run(10 * time.Second)
	old, _ := w.agreed("z0")
	for _, table := range w.tables {
		if table.Self().ID == old {
			table.Leave()
		}
	}
	w.run(beat)
	w.run(beat)
	fresh, ok := w.agreed("z0")
	c.Assert(ok, qt.IsTrue)
	c.Assert(fresh, qt.Not(qt.Equals), old)
	for _, table := range w.tables {
		table.Leave()
	}
	w.run(2 * beat)
	_, ok = w.agreed("z0")
	c.Assert(ok, qt.IsTrue)
}
