package relay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Who lacks something is told it in parts; who believes something else is told everything
// at once, in any fleet, since what the other does not have can only be seen by its absence.
func TestWholeViewsAreWhole(t *testing.T) {
	for _, size := range []int{3, tellMost, 3 * tellMost} {
		c := qt.New(t)
		d := directory.New()
		var all []directory.Endpoint
		for n := range size {
			all = append(all, directory.Endpoint{ID: fmt.Sprintf("e%05d", n), Service: "llm", Zone: "a", Revision: int64(n + 1)})
		}
		d.Apply(0, directory.Listed{Endpoints: all, Revision: int64(size)})
		r := New(Options{Directory: d, Roster: roster.New(func() clock.Millis { return 0 }), Now: func() clock.Millis { return 0 }})
		for _, q := range []Question{{Whole: true}, {Revision: int64(size), Digest: 1}} {
			told := r.tell(q)
			c.Check(told.Whole, qt.IsTrue)
			c.Check(told.More, qt.IsFalse)
			c.Check(told.Endpoints, qt.HasLen, size)
		}
		part := r.tell(Question{})
		c.Check(part.Whole, qt.Equals, size <= tellMost)
		c.Check(part.Endpoints, qt.HasLen, min(size, tellMost))
	}
}

// Of any fleet, an instance that is cut off from the store asks a few peers only, of all
// zones, and is asked by about as many; where one is silent it finds others.
func TestAcquaintances(t *testing.T) {
	for _, size := range []int{1, 2, 3, 9, 78, 985} {
		c := qt.New(t)
		var all []roster.Instance
		for n := range size {
			all = append(all, roster.Instance{Name: fmt.Sprintf("front-zone-%d-%03d", n*5/size, n), Zone: fmt.Sprint("zone-", n*5/size)})
		}
		asked := map[string]int{}
		for _, own := range all {
			peers, zones := map[string]bool{}, map[string]bool{}
			for number := range acquaintances {
				other, ok := acquaintance(all, own.Name, number, 0)
				c.Assert(ok, qt.Equals, size > 1)
				c.Assert(ok && other.Name == own.Name, qt.IsFalse)
				peers[other.Name], zones[other.Zone] = true, true
			}
			c.Assert(len(peers) <= acquaintances, qt.IsTrue)
			if size >= 78 {
				c.Assert(zones, qt.HasLen, 5)
			}
			for name := range peers {
				asked[name]++
			}
			if size > 2*acquaintances {
				other, _ := acquaintance(all, own.Name, 0, 1)
				c.Assert(peers[other.Name], qt.IsFalse)
			}
		}
		for _, n := range asked {
			c.Assert(n <= 2*acquaintances, qt.IsTrue, qt.Commentf("asked by %d of %d", n, size))
		}
		if size > 1 { // also one that is in no roster yet
			other, ok := acquaintance(all, "another", 3, 0)
			c.Assert(ok, qt.IsTrue)
			c.Assert(other.Name, qt.Not(qt.Equals), "")
		}
	}
}
