package relay

import (
	"fmt"
	"net/netip"
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
			told := r.tell(r.Directory.View(), q)
			c.Check(told.Whole, qt.IsTrue)
			c.Check(told.More, qt.IsFalse)
			c.Check(told.Endpoints, qt.HasLen, size)
		}
		part := r.tell(r.Directory.View(), Question{})
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

// After a change most of a zone ask for the same: that is collected and encoded once. Who
// asks something else, or once there is more to tell, is not told what others were.
func TestSameQuestionsShareAReply(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	at := func(revision int64) directory.Endpoint {
		return directory.Endpoint{ID: fmt.Sprintf("e%05d", revision), Service: "llm", Zone: "a", Revision: revision}
	}
	for n := range 500 {
		d.Apply(0, directory.Seen{Endpoint: at(int64(n + 1))})
	}
	r := New(Options{Directory: d, Roster: roster.New(func() clock.Millis { return 0 }), Now: func() clock.Millis { return 0 }})
	find := func(q Question) *reply {
		found, err := r.replies.find(d.View(), r.version(d.View()), q, r.tell)
		c.Assert(err, qt.IsNil)
		return found
	}
	first := find(Question{Revision: 100})
	c.Check(first.told.Endpoints, qt.HasLen, 400)
	c.Check(find(Question{Revision: 100, Digest: 5}), qt.Equals, first)
	c.Check(find(Question{Revision: 300}).told.Endpoints, qt.HasLen, 200)
	c.Check(find(Question{Revision: 100}), qt.Equals, first)
	c.Check(find(Question{Revision: 500, Digest: 5}).told.Whole, qt.IsTrue)
	c.Check(find(Question{Revision: 500, Digest: d.View().Digest}).told.Whole, qt.IsFalse)
	for n := range repliesMost {
		find(Question{Revision: int64(n)})
	}
	c.Check(r.replies.list, qt.HasLen, repliesMost)

	d.Apply(0, directory.Seen{Endpoint: at(501)})
	c.Check(find(Question{Revision: 100}).told.Endpoints, qt.HasLen, 401)
	r.wanted.version = 7 // a configuration that is still to be read
	c.Check(find(Question{Revision: 100}).told.Version, qt.Equals, int64(7))
}

// BenchmarkReplies answers the asks of a zone of 200 for the 500 endpoints that one
// reading of the store brings.
func BenchmarkReplies(b *testing.B) {
	d := directory.New()
	for n := range 500 {
		d.Apply(0, directory.Seen{Endpoint: directory.Endpoint{
			ID: fmt.Sprintf("i-%08x@%08x", uint32(n)*2654435761, n), Entry: fmt.Sprintf("i-%08x", uint32(n)*2654435761), Service: "llm",
			Zone: "zone-1", Address: netip.MustParseAddrPort("10.1.2.3:8080"), Slots: 12, Revision: int64(n + 1),
		}})
	}
	r := New(Options{Directory: d, Roster: roster.New(func() clock.Millis { return 0 }), Now: func() clock.Millis { return 0 }})
	for b.Loop() {
		r.replies.list = nil
		for range 200 {
			if _, err := r.answer("n1", Question{}); err != nil {
				b.Fatal(err)
			}
		}
	}
}
