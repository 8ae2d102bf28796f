package metering

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/standin/peers"
	"github.com/trailshed/trailshed/pkg/clock"
)

// node is a meter with its transport, which accepts every certificate. Its time
// stands still unless the test moves it, and nothing ticks by itself.
type node struct {
	*Meter
	self roster.Instance
	now  atomic.Int64 // ms
}

func startNode(t *testing.T, name string, capacity float64) *node {
	t.Helper()
	c := qt.New(t)
	transport, _ := peers.Listen(t, name)
	log := eventlog.Open(io.Discard, name)
	t.Cleanup(func() { c.Check(log.Close(), qt.IsNil) })
	n := &node{}
	n.now.Store(1000)
	now := func() clock.Millis { return clock.Millis(n.now.Load()) }
	n.self = roster.Instance{Name: name, Zone: "a", Address: transport.Address(), Fingerprint: name, Capacity: capacity, Revision: 1}
	n.Meter = New(Options{
		Name: name, Zone: "a", Transport: transport, Roster: roster.New(now), Directory: limited(c), Log: log,
		Scope: tally.NoopScope, Now: now, Window: 8 * time.Second,
	})
	n.Roster.See(n.self)
	peers.Route(t, n.Register)
	return n
}

var workspace = route.Workspace{Name: "w", Limit: route.Limit{Rate: 1000, Burst: 1000, Tokens: true}}

// limited knows a configuration with one limited workspace.
func limited(c *qt.C) *directory.Directory {
	table, err := route.NewTable(route.Document{Version: 1, Keyed: true, Workspaces: []route.Workspace{workspace}})
	c.Assert(err, qt.IsNil)
	d := directory.New()
	d.Apply(1, directory.Configured{Table: table, Revision: 1})
	return d
}

// eventually waits for messages; it asserts only that they come.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never came true: %s", what)
		}
	}
}

// An instance whose entry in the store has lapsed, as where it turns some away, is in
// no roster, but its peers reach it: whoever reports is told.
func TestWhoReportsIsTold(t *testing.T) {
	c := qt.New(t)
	keeper, lapsed := startNode(t, "n1", 2), startNode(t, "n2", 1)
	lapsed.Roster.See(keeper.self)
	lapsed.Roster.Remove(roster.Departure{Name: "n2", Revision: 2}) // and the keeper does not know it
	for _, n := range []*node{keeper, lapsed} {
		n.now.Store(4000) // older than youth
	}
	keeper.tick()
	c.Assert(lapsed.Admit(&workspace, 1).Alone, qt.IsTrue)
	lapsed.tick()
	eventually(t, "the instance heard the ledger", func() bool { return !lapsed.Admit(&workspace, 1).Alone })
}

// What one instance lets through counts at the other.
func TestUseIsSummed(t *testing.T) {
	c := qt.New(t)
	keeper, other := startNode(t, "n1", 2), startNode(t, "n2", 1)
	other.Roster.See(keeper.self)
	keeper.Roster.See(other.self)
	keeper.tick()
	other.tick()
	eventually(t, "the instance heard the ledger", func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		return other.heardAt != 0
	})
	v := other.Admit(&workspace, 50_000) // five times what a window allows
	c.Assert(v.Admitted, qt.IsTrue)
	other.now.Add(500)
	other.tick()
	eventually(t, "the workspace is held back", func() bool {
		keeper.now.Add(100)
		keeper.tick()
		return !keeper.Admit(&workspace, 1).Admitted
	})
}

// Without limits nothing is sent.
func TestNothingWithoutLimits(t *testing.T) {
	c := qt.New(t)
	keeper, other := startNode(t, "n1", 2), startNode(t, "n2", 1)
	table, err := route.NewTable(route.Document{Version: 2})
	c.Assert(err, qt.IsNil)
	for _, n := range []*node{keeper, other} {
		n.Directory.Apply(2, directory.Configured{Table: table, Revision: 2})
		n.Roster.See(keeper.self)
		n.Roster.See(other.self)
		n.now.Store(4000)
		n.tick()
	}
	c.Assert(keeper.reporters, qt.HasLen, 0)
	c.Assert(other.reported, qt.Equals, clock.Millis(0))
}
