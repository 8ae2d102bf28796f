package directory_test

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

func endpoint(id string, revision int64) directory.Endpoint {
	return directory.Endpoint{ID: id, Service: "web", Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Revision: revision}
}

func ids(d *directory.Directory) map[string]bool {
	found := map[string]bool{}
	for e := range d.View().Service("web") {
		found[e.ID] = true
	}
	return found
}

func configured(version int64) directory.Configured {
	table, err := route.NewTable(route.Document{Version: version})
	if err != nil {
		panic(err) // every positive version is valid
	}
	return directory.Configured{Table: table, Revision: version}
}

func TestListingRemovesMissingEndpoints(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	d.Apply(0, directory.Listed{Endpoints: []directory.Endpoint{endpoint("e1", 1), endpoint("e2", 2)}, Revision: 2})
	changes := d.Apply(10, directory.Listed{Endpoints: []directory.Endpoint{endpoint("e2", 2)}, Revision: 5})
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Kind, qt.Equals, directory.EndpointGone)
	c.Assert(ids(d), qt.DeepEquals, map[string]bool{"e2": true})
}

// A listing that is older than an entry says nothing about it.
func TestOldListingKeepsNewerEntries(t *testing.T) {
	d := directory.New()
	d.Apply(0, directory.Seen{Endpoint: endpoint("new", 9)})
	d.Apply(1, directory.Listed{Revision: 5})
	qt.Assert(t, ids(d), qt.DeepEquals, map[string]bool{"new": true})
}

func TestMissingAfterOutage(t *testing.T) {
	tests := []struct {
		name      string
		at        clock.Millis // of the check; the store came back at 10,000
		rewritten bool         // the entry was written again
		present   bool
	}{
		{"just after", 10_500, false, true},
		{"stays missing", 12_400, false, false},
		{"came back", 12_400, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := directory.New()
			d.Apply(0, directory.Seen{Endpoint: endpoint("e1", 1)})
			d.Apply(5_000, directory.StoreLost{})
			d.Apply(10_000, directory.Listed{Revision: 8})
			d.Apply(10_000, directory.StoreReached{Revision: 8})
			if test.rewritten {
				d.Apply(10_400, directory.Seen{Endpoint: endpoint("e1", 9)})
			}
			d.Apply(test.at, directory.Tick{})
			qt.Assert(t, ids(d)["e1"], qt.Equals, test.present)
		})
	}
}

// A removal shortly after the store's return is delayed only until the store has settled,
// not for a further period: requests reached an endpoint 2.2 s after it had left.
func TestRemovalAfterReturnIsNotDelayedFurther(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	d.Apply(0, directory.Seen{Endpoint: endpoint("e1", 1)})
	d.Apply(5_000, directory.StoreLost{})
	d.Apply(10_000, directory.StoreReached{Revision: 8})
	d.Apply(11_800, directory.Removed{Entry: "e1", Revision: 9})
	c.Assert(ids(d)["e1"], qt.IsTrue)
	d.Apply(12_300, directory.Tick{})
	c.Assert(ids(d)["e1"], qt.IsFalse)
}

// While the store is out of reach, a peer's report of what is gone applies at once.
func TestPeerRemovalDuringOutage(t *testing.T) {
	d := directory.New()
	d.Apply(0, directory.Seen{Endpoint: endpoint("e1", 1)})
	d.Apply(10, directory.StoreLost{})
	d.Apply(20, directory.PeerUpdate{Complete: true, Endpoints: []directory.Endpoint{endpoint("e2", 4)}, Revision: 6})
	qt.Assert(t, ids(d), qt.DeepEquals, map[string]bool{"e2": true})
}

// What one instance has learned since a revision brings another one to the same view,
// whatever happened in between.
func TestSinceSynchronizesViews(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := directory.New(), directory.New()
		revision := int64(0)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			revision++
			id := fmt.Sprint("e", rapid.IntRange(1, 5).Draw(rt, "id"))
			if rapid.Bool().Draw(rt, "removed") {
				a.Apply(0, directory.Removed{Entry: id, Revision: revision})
			} else {
				a.Apply(0, directory.Seen{Endpoint: endpoint(id, revision)})
			}
			if rapid.IntRange(0, 3).Draw(rt, "told") == 0 {
				b.Apply(0, a.Since(b.View().Revision, 0))
			}
		}
		b.Apply(0, a.Since(b.View().Revision, 0))
		if !maps.Equal(ids(a), ids(b)) || a.View().Digest != b.View().Digest {
			rt.Fatalf("views differ: %v and %v", ids(a), ids(b))
		}
	})
}

func TestOldEntryDoesNotRestoreEndpoint(t *testing.T) {
	d := directory.New()
	d.Apply(0, directory.Seen{Endpoint: endpoint("e1", 3)})
	d.Apply(1, directory.Removed{Entry: "e1", Revision: 5})
	d.Apply(2, directory.PeerUpdate{Complete: true, Endpoints: []directory.Endpoint{endpoint("e1", 3)}, Revision: 4})
	qt.Assert(t, ids(d), qt.HasLen, 0)
	d.Apply(3, directory.Seen{Endpoint: endpoint("e1", 7)})
	qt.Assert(t, ids(d)["e1"], qt.IsTrue)
}

// For any sequence of events, a configuration never goes back to an earlier version, and an
// endpoint's entry is never replaced by an older one.
func TestRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := directory.New()
		version, now := int64(0), clock.Millis(0)
		revisions := map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += clock.Millis(rapid.IntRange(0, 1500).Draw(rt, "time"))
			d.Apply(now, anyEvent(rt))
			v := d.View()
			if v.Table != nil {
				if v.Table.Version < version {
					rt.Fatalf("configuration went back from %d to %d", version, v.Table.Version)
				}
				version = v.Table.Version
			}
			for e := range v.Service("web") {
				if e.Revision < revisions[e.ID] {
					rt.Fatalf("%s went back from %d to %d", e.ID, revisions[e.ID], e.Revision)
				}
				revisions[e.ID] = e.Revision
			}
		}
	})
}

func anyEvent(rt *rapid.T) directory.Event {
	revision := rapid.Int64Range(1, 40).Draw(rt, "revision")
	id := fmt.Sprint("e", rapid.IntRange(1, 4).Draw(rt, "id"))
	switch rapid.IntRange(0, 7).Draw(rt, "event") {
	case 0:
		return configured(revision)
	case 1:
		return directory.Listed{Endpoints: []directory.Endpoint{endpoint(id, min(revision, 20))}, Revision: revision}
	case 2:
		return directory.PeerUpdate{Complete: rapid.Bool().Draw(rt, "whole"), Endpoints: []directory.Endpoint{endpoint(id, min(revision, 20))}, Revision: revision}
	case 3:
		return directory.Removed{Entry: id, Revision: revision}
	case 4:
		return directory.StoreLost{}
	case 5:
		return directory.StoreReached{Revision: revision}
	case 6:
		return directory.Tick{}
	default:
		return directory.Seen{Endpoint: endpoint(id, revision)}
	}
}

// An endpoint whose address another one answered for is not used, but it must stay in the
// digest: with a different digest, an instance made others read the whole store every
// second.
func TestDeniedEndpointIsNotUsed(t *testing.T) {
	c := qt.New(t)
	d, other := directory.New(), directory.New()
	for _, each := range []*directory.Directory{d, other} {
		each.Apply(0, directory.Listed{Endpoints: []directory.Endpoint{endpoint("e1", 1), endpoint("e2", 2)}, Revision: 2})
	}
	changes := d.Apply(10, directory.Denied{ID: "e1"})
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Kind, qt.Equals, directory.EndpointDenied)
	c.Assert(d.Apply(11, directory.Denied{ID: "e1"}), qt.HasLen, 0)
	c.Assert(ids(d), qt.DeepEquals, map[string]bool{"e2": true})
	c.Assert(d.View().Digest, qt.Equals, other.View().Digest)
	// The same entry again changes nothing; a new one is trusted.
	d.Apply(20, directory.Listed{Endpoints: []directory.Endpoint{endpoint("e1", 1), endpoint("e2", 2)}, Revision: 3})
	c.Assert(ids(d), qt.DeepEquals, map[string]bool{"e2": true})
	d.Apply(30, directory.Seen{Endpoint: endpoint("e1", 4)})
	c.Assert(ids(d), qt.DeepEquals, map[string]bool{"e1": true, "e2": true})
}

// After the store's return one instance may doubt an endpoint that another knows to be
// gone. This must show in the view and in the digest that goes with the changes, so that a
// third instance notices which changes it did not get.
func TestDoubtShowsInDigest(t *testing.T) {
	c := qt.New(t)
	listed := directory.Listed{Endpoints: []directory.Endpoint{endpoint("e1", 1), endpoint("e2", 2)}, Revision: 2}
	certain, doubting, third := directory.New(), directory.New(), directory.New()
	for _, d := range []*directory.Directory{certain, doubting, third} {
		d.Apply(0, listed)
	}
	doubting.Apply(10, directory.StoreLost{})
	doubting.Apply(20, directory.StoreReached{Revision: 2})
	for _, d := range []*directory.Directory{certain, doubting} {
		d.Apply(30, directory.Removed{Entry: "e1", Revision: 5})
		d.Apply(30, directory.Seen{Endpoint: endpoint("e3", 6)})
	}
	c.Assert(doubting.View().Uncertain, qt.IsTrue)
	c.Assert(certain.View().Uncertain, qt.IsFalse)
	third.Apply(40, doubting.Since(2, 0))
	update := certain.Since(6, 0)
	third.Apply(50, update)
	c.Assert(third.View().Revision, qt.Equals, update.Revision)
	c.Assert(third.View().Digest, qt.Not(qt.Equals), update.Digest)
	third.Apply(60, certain.Since(0, 0))
	c.Assert(ids(third), qt.DeepEquals, map[string]bool{"e2": true, "e3": true})
	c.Assert(third.View().Digest, qt.Equals, certain.View().Digest)
}
