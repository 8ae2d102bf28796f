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
	heartbeatInterval = 500 * time.Millisecond
	goneAfter         = 4 * time.Second
)

// cluster is a set of tables that exchange heartbeats. Heartbeats to frozen
// members and to or from a partitioned zone are lost.
type cluster struct {
	now         clock.Millis
	tables      []*member.Table
	frozen      map[int]bool
	partitioned map[string]bool // zones without connection to the others
}

func newCluster(zones, each int) *cluster {
	c := &cluster{now: 1_000_000, frozen: map[int]bool{}, partitioned: map[string]bool{}}
	for z := range zones {
		for range each {
			n := len(c.tables)
			self := member.Member{
				ID: fmt.Sprintf("n%03d", n), Zone: fmt.Sprintf("z%d", z), Incarnation: int64(c.now),
				Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n+1)),
			}
			c.tables = append(c.tables, member.NewTable(self, goneAfter, uint64(n)))
		}
	}
	return c
}

func (c *cluster) send(from int, h member.Heartbeat, to netip.AddrPort) {
	i := int(to.Port()) - 1
	a, b := c.tables[from].Self().Zone, c.tables[i].Self().Zone
	if c.frozen[i] || (a != b && (c.partitioned[a] || c.partitioned[b])) {
		return
	}
	c.tables[i].Receive(c.now, h)
}

// run sends the heartbeats of all tables once per interval: to their targets
// and, as to a seed address, to a random member.
func (c *cluster) run(d time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(heartbeatInterval) {
		for i, table := range c.tables {
			if c.frozen[i] {
				continue
			}
			table.Expire(c.now)
			h := table.NextHeartbeat(c.now, 1, nil)
			for _, to := range table.Targets(2) {
				c.send(i, h, to)
			}
			c.send(i, h, c.tables[random.IntN(len(c.tables))].Self().Address)
		}
	}
}

// dispatcherOf returns the dispatcher of a cell in the zone, and whether all
// members that are not frozen choose the same one.
func (c *cluster) dispatcherOf(zone string) (string, bool) {
	named := map[string]bool{}
	last := ""
	for i, table := range c.tables {
		if table.Self().Zone != zone || c.frozen[i] {
			continue
		}
		m, _ := table.Dispatcher(catalog.Cell{Zone: zone, Serves: "m"})
		named[m.ID] = true
		last = m.ID
	}
	return last, len(named) == 1
}

func TestMembersAgreeOnDispatcher(t *testing.T) {
	tests := []struct{ zones, each int }{{1, 2}, {3, 2}, {3, 25}, {2, 75}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d zones of %d", test.zones, test.each), func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(test.zones, test.each)
			cl.run(20 * time.Second)
			old, ok := cl.dispatcherOf("z0")
			c.Assert(ok, qt.IsTrue)
			c.Assert(len(cl.tables[0].Live()), qt.Equals, test.each+(test.zones-1)*min(test.each, 3))

			for i, table := range cl.tables {
				if table.Self().ID == old {
					cl.frozen[i] = true // it is paused with its old view
				}
			}
			cl.run(goneAfter + 3*time.Second)
			fresh, ok := cl.dispatcherOf("z0")
			c.Assert(ok, qt.IsTrue)
			c.Assert(fresh, qt.Not(qt.Equals), old)

			clear(cl.frozen) // it resumes and dispatches its cells again
			cl.run(8 * time.Second)
			back, ok := cl.dispatcherOf("z0")
			c.Assert(ok, qt.IsTrue)
			c.Assert(back, qt.Equals, old)
		})
	}
}

// TestClaimOwner checks that the members of all zones choose the same owner.
func TestClaimOwner(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(3, 12)
	cl.run(30 * time.Second)
	for shard := range 32 {
		owners := map[string]bool{}
		for _, table := range cl.tables {
			m, ok := table.ClaimOwner(fmt.Sprint(shard))
			c.Assert(ok, qt.IsTrue)
			owners[m.ID] = true
		}
		c.Assert(owners, qt.HasLen, 1)
	}
}

// TestPartitionedZoneRejoins checks that a partitioned zone keeps its own
// members and finds the contacts of the other zones after the partition.
func TestPartitionedZoneRejoins(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(3, 4)
	cl.run(20 * time.Second)
	cl.partitioned["z1"] = true
	cl.run(time.Minute)
	c.Assert(cl.tables[4].Live(), qt.HasLen, 4)
	_, ok := cl.dispatcherOf("z1")
	c.Assert(ok, qt.IsTrue)
	clear(cl.partitioned)
	cl.run(30 * time.Second)
	c.Assert(cl.tables[4].Live(), qt.HasLen, 4+2*3)
}

// TestLeavingMemberGivesUpRoles checks that a leaving member gives up its roles
// at once, but keeps them while no other member stays.
func TestLeavingMemberGivesUpRoles(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(1, 2)
	cl.run(10 * time.Second)
	old, _ := cl.dispatcherOf("z0")
	for _, table := range cl.tables {
		if table.Self().ID == old {
			table.Leave()
		}
	}
	cl.run(heartbeatInterval)
	cl.run(heartbeatInterval)
	fresh, ok := cl.dispatcherOf("z0")
	c.Assert(ok, qt.IsTrue)
	c.Assert(fresh, qt.Not(qt.Equals), old)
	for _, table := range cl.tables {
		table.Leave()
	}
	cl.run(2 * heartbeatInterval)
	_, ok = cl.dispatcherOf("z0")
	c.Assert(ok, qt.IsTrue)
}
