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

// An instance that lacks something gets it in parts. One whose view differs gets the
// complete view at once in a fleet of any size, since entries that do not exist show only
// by their absence.
func TestCompleteViews(t *testing.T) {
	for _, size := range []int{3, maxResponseEndpoints, 3 * maxResponseEndpoints} {
		c := qt.New(t)
		d := directory.New()
		var all []directory.Endpoint
		for n := range size {
			all = append(all, directory.Endpoint{ID: fmt.Sprintf("e%05d", n), Service: "llm", Zone: "a", Revision: int64(n + 1)})
		}
		d.Apply(0, directory.Listed{Endpoints: all, Revision: int64(size)})
		r := New(Options{Directory: d, Roster: roster.New(func() clock.Millis { return 0 }), Now: func() clock.Millis { return 0 }})
		for _, req := range []Request{{Complete: true}, {Revision: int64(size), Digest: 1}} {
			resp := r.buildResponse(r.Directory.View(), req)
			c.Check(resp.Complete, qt.IsTrue)
			c.Check(resp.More, qt.IsFalse)
			c.Check(resp.Endpoints, qt.HasLen, size)
		}
		first := r.buildResponse(r.Directory.View(), Request{})
		c.Check(first.Complete, qt.Equals, size <= maxResponseEndpoints)
		c.Check(first.Endpoints, qt.HasLen, min(size, maxResponseEndpoints))
	}
}

// In a fleet of any size, an instance disconnected from the store pulls from a few peers of
// all zones and serves about as many. If a peer does not answer, others are selected.
func TestPullPeers(t *testing.T) {
	for _, size := range []int{1, 2, 3, 9, 78, 985} {
		c := qt.New(t)
		var all []roster.Instance
		for n := range size {
			all = append(all, roster.Instance{Name: fmt.Sprintf("front-zone-%d-%03d", n*5/size, n), Zone: fmt.Sprint("zone-", n*5/size)})
		}
		pulledBy := map[string]int{}
		for _, own := range all {
			peers, zones := map[string]bool{}, map[string]bool{}
			for number := range pullPeerCount {
				other, ok := pullPeer(all, own.Name, number, 0)
				c.Assert(ok, qt.Equals, size > 1)
				c.Assert(ok && other.Name == own.Name, qt.IsFalse)
				peers[other.Name], zones[other.Zone] = true, true
			}
			c.Assert(len(peers) <= pullPeerCount, qt.IsTrue)
			if size >= 78 {
				c.Assert(zones, qt.HasLen, 5)
			}
			for name := range peers {
				pulledBy[name]++
			}
			if size > 2*pullPeerCount {
				other, _ := pullPeer(all, own.Name, 0, 1)
				c.Assert(peers[other.Name], qt.IsFalse)
			}
		}
		for _, n := range pulledBy {
			c.Assert(n <= 2*pullPeerCount, qt.IsTrue, qt.Commentf("serves %d of %d", n, size))
		}
		if size > 1 { // also for an instance that is not in the roster yet
			other, ok := pullPeer(all, "another", 3, 0)
			c.Assert(ok, qt.IsTrue)
			c.Assert(other.Name, qt.Not(qt.Equals), "")
		}
	}
}

// After a change most of a zone sends the same request, and the response is built and
// encoded once. Another request, or one after a further change, must not get that response.
func TestSameRequestsShareResponse(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	at := func(revision int64) directory.Endpoint {
		return directory.Endpoint{ID: fmt.Sprintf("e%05d", revision), Service: "llm", Zone: "a", Revision: revision}
	}
	for n := range 500 {
		d.Apply(0, directory.Seen{Endpoint: at(int64(n + 1))})
	}
	r := New(Options{Directory: d, Roster: roster.New(func() clock.Millis { return 0 }), Now: func() clock.Millis { return 0 }})
	get := func(req Request) *cachedResponse {
		cached, err := r.responses.get(d.View(), r.newestVersion(d.View()), req, r.buildResponse)
		c.Assert(err, qt.IsNil)
		return cached
	}
	first := get(Request{Revision: 100})
	c.Check(first.response.Endpoints, qt.HasLen, 400)
	c.Check(get(Request{Revision: 100, Digest: 5}), qt.Equals, first)
	c.Check(get(Request{Revision: 300}).response.Endpoints, qt.HasLen, 200)
	c.Check(get(Request{Revision: 100}), qt.Equals, first)
	c.Check(get(Request{Revision: 500, Digest: 5}).response.Complete, qt.IsTrue)
	c.Check(get(Request{Revision: 500, Digest: d.View().Digest}).response.Complete, qt.IsFalse)
	for n := range maxCachedResponses {
		get(Request{Revision: int64(n)})
	}
	c.Check(r.responses.entries, qt.HasLen, maxCachedResponses)

	d.Apply(0, directory.Seen{Endpoint: at(501)})
	c.Check(get(Request{Revision: 100}).response.Endpoints, qt.HasLen, 401)
	r.pending.version = 7 // still to be read
	c.Check(get(Request{Revision: 100}).response.Version, qt.Equals, int64(7))
}

// BenchmarkResponses serves a zone of 200 instances that each request the 500 endpoints of
// one read of the store.
func BenchmarkResponses(b *testing.B) {
	d := directory.New()
	for n := range 500 {
		d.Apply(0, directory.Seen{Endpoint: directory.Endpoint{
			ID: fmt.Sprintf("i-%08x@%08x", uint32(n)*2654435761, n), Entry: fmt.Sprintf("i-%08x", uint32(n)*2654435761), Service: "llm",
			Zone: "zone-1", Address: netip.MustParseAddrPort("10.1.2.3:8080"), Slots: 12, Revision: int64(n + 1),
		}})
	}
	r := New(Options{Directory: d, Roster: roster.New(func() clock.Millis { return 0 }), Now: func() clock.Millis { return 0 }})
	for b.Loop() {
		r.responses.entries = nil
		for range 200 {
			if _, err := r.respond("n1", Request{}); err != nil {
				b.Fatal(err)
			}
		}
	}
}
