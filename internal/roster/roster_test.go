package roster_test

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

// zeroTime is the clock of tests in which time does not pass.
func zeroTime() clock.Millis { return 0 }

func instance(name string, revision int64) roster.Instance {
	return roster.Instance{Name: name, Zone: "a", Fingerprint: "f-" + name, Revision: revision}
}

// A role never goes to an instance that has just started or is leaving while there is
// another; otherwise it stays where it is.
func TestRanked(t *testing.T) {
	now := clock.Millis(0)
	r := roster.New(func() clock.Millis { return now })
	for i := range 5 {
		r.Update(instance(fmt.Sprint("n", i), 1))
	}
	now = now.Add(roster.JoinDelay)
	first := r.Ranked("a", "planner")[0]
	tests := []struct {
		name   string
		change func(*roster.Instance)
		moves  bool
	}{
		{"leaving", func(i *roster.Instance) { i.Leaving = true }, true},
		{"started again", func(i *roster.Instance) { i.Fingerprint = "anew" }, true},
		{"as before", func(*roster.Instance) {}, false},
	}
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			changed := first
			test.change(&changed)
			changed.Revision = int64(n + 2)
			r.Update(changed)
			ranked := r.Ranked("a", "planner")
			c.Assert(ranked[0].Name != first.Name, qt.Equals, test.moves)
			c.Assert(ranked, qt.HasLen, 5)
		})
	}
	qt.Assert(t, r.Ranked("b", "planner"), qt.HasLen, 0)
}

// Each peer measures for itself how long a started instance counts as joining. An entry
// that lapsed and exists again does not make it join again.
func TestJoining(t *testing.T) {
	c := qt.New(t)
	now := clock.Millis(5000)
	r := roster.New(func() clock.Millis { return now })
	r.Update(instance("n1", 1))
	c.Assert(r.All()[0].Joining, qt.IsTrue)
	now = now.Add(roster.JoinDelay)
	c.Assert(r.All()[0].Joining, qt.IsFalse)
	r.Remove(roster.Removal{Name: "n1", Revision: 2})
	r.Update(instance("n1", 3))
	c.Assert(r.All()[0].Joining, qt.IsFalse)
	again := instance("n1", 4)
	again.Fingerprint = "anew"
	r.Update(again)
	c.Assert(r.All()[0].Joining, qt.IsTrue)
}

// In a fleet of unequal machines the first planner by weight alone had a fifth of a core,
// and did not answer at peak load.
func TestRankedByCapacity(t *testing.T) {
	c := qt.New(t)
	r := roster.New(zeroTime)
	for i := range 12 {
		capacity := 0.192
		if i%4 == 0 {
			capacity = 0.8
		}
		r.Update(roster.Instance{Name: fmt.Sprint("n", i), Zone: "a", Capacity: capacity, Fingerprint: fmt.Sprint(i), Leaving: i == 0, Revision: 1})
	}
	for _, key := range []string{"planner", "check"} {
		ranked := r.Ranked("a", key)
		c.Assert(ranked, qt.HasLen, 12)
		c.Assert(ranked[0].Capacity, qt.Equals, 0.8)
		c.Assert(ranked[1].Capacity, qt.Equals, 0.8)
		c.Assert(ranked[2].Capacity, qt.Equals, 0.192)
		c.Assert(ranked[11].Name, qt.Equals, "n0") // it leaves
	}
}

func TestOldEntriesChangeNothing(t *testing.T) {
	c := qt.New(t)
	r := roster.New(zeroTime)
	c.Assert(r.Update(instance("n1", 5)), qt.IsTrue)
	c.Assert(r.Update(instance("n1", 5)), qt.IsFalse)
	c.Assert(r.Update(instance("n1", 4)), qt.IsFalse)
	c.Assert(r.Remove(roster.Removal{Name: "n1", Revision: 4}), qt.IsFalse)
	c.Assert(r.Missing(nil, 9), qt.DeepEquals, []roster.Removal{{Name: "n1", Revision: 9}})
	c.Assert(r.Remove(roster.Removal{Name: "n1", Revision: 6}), qt.IsTrue)
	c.Assert(r.All(), qt.HasLen, 0)
	// The instance may only have lost its lease, so its certificate is still trusted.
	name, ok := r.Trusted("f-n1")
	c.Assert(name, qt.Equals, "n1")
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.MaxSize(), qt.Equals, 1)
}

// Peers that do not watch the store learn of a restart, which brings a new certificate,
// only from entries that other peers send: these must keep the revision.
func TestEncodedInstance(t *testing.T) {
	c := qt.New(t)
	before := roster.Instance{
		Name: "n1", Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Fingerprint: "f-n1",
		Capacity: 0.192, Leaving: true, Revision: 7,
	}
	wire, err := cbor.Marshal(before)
	c.Assert(err, qt.IsNil)
	var after roster.Instance
	c.Assert(cbor.Unmarshal(wire, &after), qt.IsNil)
	c.Assert(after == before, qt.IsTrue, qt.Commentf("%+v", after))
}

// A peer that missed a removal still sends the removed entry.
func TestOldEntryDoesNotRestoreInstance(t *testing.T) {
	c := qt.New(t)
	r := roster.New(zeroTime)
	r.Update(instance("n1", 5))
	r.Remove(roster.Removal{Name: "n1", Revision: 8})
	c.Assert(r.Update(instance("n1", 5)), qt.IsFalse)
	c.Assert(r.All(), qt.HasLen, 0)
	c.Assert(r.Update(instance("n1", 9)), qt.IsTrue) // it exists again
	c.Assert(r.All(), qt.HasLen, 1)
}

// Of each other zone the result has the first instances in the order for the role, or all
// it has.
func TestFirstOfOthers(t *testing.T) {
	c := qt.New(t)
	r := roster.New(zeroTime)
	for n, zone := range []string{"a", "b", "b", "b", "c"} {
		i := instance(fmt.Sprint("n", n), int64(n+1))
		i.Zone = zone
		r.Update(i)
	}
	c.Assert(r.Zones(), qt.DeepEquals, []string{"a", "b", "c"})
	c.Assert(r.Size(), qt.Equals, 5)
	got := r.FirstOfOtherZones("a", "planner", 2)
	c.Assert(got, qt.HasLen, 3)
	for n, want := range append(r.Ranked("b", "planner")[:2], r.Ranked("c", "planner")...) {
		c.Assert(got[n], qt.Equals, want)
	}
}

// Orderings are read some hundred times a second in fleets of any size: between two changes
// a read must not allocate.
func TestOrderingsAreCached(t *testing.T) {
	c := qt.New(t)
	now := clock.Millis(0)
	r := roster.New(func() clock.Millis { return now })
	const instances = 1000
	for n := range instances {
		r.Update(instance(fmt.Sprintf("n%04d", n), int64(n+1)))
	}
	now = now.Add(roster.JoinDelay)
	query := func() {
		r.Find("n0500")
		r.Rank("a", "planner", "n0500")
		r.Ranked("a", "planner")
		r.All()
		r.Zones()
	}
	query()
	c.Assert(testing.AllocsPerRun(100, query), qt.Equals, 0.0)
	first := r.Ranked("a", "planner")[0]
	c.Assert(r.Remove(roster.Removal{Name: first.Name, Revision: instances}), qt.IsTrue)
	c.Assert(r.Ranked("a", "planner"), qt.HasLen, instances-1)
	c.Assert(r.Ranked("a", "planner")[0], qt.Not(qt.Equals), first)
	c.Assert(r.All(), qt.HasLen, instances-1)
}

func TestFind(t *testing.T) {
	c := qt.New(t)
	r := roster.New(zeroTime)
	for n, name := range []string{"n2", "n1", "n3"} {
		r.Update(instance(name, int64(n+1)))
	}
	for _, name := range []string{"n1", "n2", "n3"} {
		i, known := r.Find(name)
		c.Check(known, qt.IsTrue)
		c.Check(i.Fingerprint, qt.Equals, "f-"+name)
	}
	c.Assert(r.Remove(roster.Removal{Name: "n2", Revision: 9}), qt.IsTrue)
	for _, name := range []string{"n2", "n4", ""} {
		_, known := r.Find(name)
		c.Check(known, qt.IsFalse)
	}
}
