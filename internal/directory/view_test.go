package directory_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// fleetEndpoint returns one of many endpoints, in one of five zones.
func fleetEndpoint(n int, revision int64) directory.Endpoint {
	e := directory.Endpoint{
		Entry: fmt.Sprintf("i-%06d", n), Service: "llm", Zone: fmt.Sprintf("zone-%d", n%5), Slots: 12, Revision: revision,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 8080),
	}
	return e.WithStart(int64(1_700_000_000_000 + n))
}

// bigDirectory returns a directory with a number of endpoints.
func bigDirectory(endpoints int) *directory.Directory {
	d := directory.New()
	all := make([]directory.Endpoint, endpoints)
	for n := range all {
		all[n] = fleetEndpoint(n, int64(n+1))
	}
	d.Apply(0, directory.Listed{Endpoints: all, Revision: int64(endpoints)})
	return d
}

// allocated returns the bytes that work allocates.
func allocated(work func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	work()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// Entries change more often the more endpoints there are, and every instance applies each
// change: the cost of one change must not grow with the fleet as well, except with the
// depth of a tree.
func TestChangeCostIsIndependentOfFleetSize(t *testing.T) {
	const changes = 200
	cost := func(endpoints int) int64 {
		d := bigDirectory(endpoints)
		return allocated(func() {
			for n := range changes {
				d.Apply(1, directory.Seen{Endpoint: fleetEndpoint(n*7%endpoints, int64(endpoints+n+1))})
			}
		}) / changes
	}
	small, large := cost(500), cost(20_000)
	qt.Assert(t, large <= 3*small, qt.IsTrue, qt.Commentf("%d bytes at 500 endpoints, %d at 20,000", small, large))
}

// What a peer lacks is found without visiting all endpoints.
func TestSinceCostIsIndependentOfFleetSize(t *testing.T) {
	cost := func(endpoints int) int64 {
		d := bigDirectory(endpoints)
		for n := range 10 {
			d.Apply(1, directory.Seen{Endpoint: fleetEndpoint(n, int64(endpoints+n+1))})
		}
		var update directory.PeerUpdate
		bytes := allocated(func() { update = d.Since(int64(endpoints), 0) })
		qt.Assert(t, update.Endpoints, qt.HasLen, 10)
		return bytes
	}
	small, large := cost(500), cost(20_000)
	qt.Assert(t, large <= 2*small, qt.IsTrue, qt.Commentf("%d bytes at 500 endpoints, %d at 20,000", small, large))
}

// A peer that gets the changes in parts of any size ends with the same view.
func TestSinceInParts(t *testing.T) {
	for _, limit := range []int{0, 1, 7, 100, 1000} {
		c := qt.New(t)
		d := bigDirectory(100)
		d.Apply(0, directory.Removed{Entry: fleetEndpoint(3, 0).Entry, Revision: 101})
		d.Apply(0, directory.Evacuation{Zone: "zone-1", Revision: 102})
		d.Apply(0, directory.Seen{Endpoint: fleetEndpoint(5, 103)})
		other, revision, parts := directory.New(), int64(0), 0
		for {
			update := d.Since(revision, limit)
			c.Assert(limit == 0 || len(update.Endpoints) <= limit, qt.IsTrue)
			c.Assert(update.Revision > revision, qt.IsTrue)
			c.Assert(update.Complete, qt.Equals, revision == 0 && !update.More)
			other.Apply(0, update)
			revision, parts = update.Revision, parts+1
			if !update.More {
				break
			}
		}
		c.Assert(revision, qt.Equals, int64(103))
		c.Assert(other.View().Digest, qt.Equals, d.View().Digest)
		c.Assert(other.View().Size(), qt.Equals, 99)
		c.Assert(other.View().Evacuated, qt.DeepEquals, map[string]bool{"zone-1": true})
		if limit > 0 {
			c.Assert(parts, qt.Equals, (99+limit-1)/limit)
		}
	}
}

// copied returns the contents of a view by service and by zone.
func copied(v *directory.View) map[string][]directory.Endpoint {
	contents := map[string][]directory.Endpoint{}
	for _, service := range []string{"web", "llm"} {
		for e := range v.Service(service) {
			contents[service] = append(contents[service], *e)
		}
		for _, zone := range []string{"a", "b"} {
			for e := range v.Zone(service, zone) {
				contents[service+"/"+zone] = append(contents[service+"/"+zone], *e)
			}
		}
	}
	return contents
}

// For any sequence of events, a view does not change after it was published, and all its
// accessors agree.
func TestViewsDoNotChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := directory.New()
		var views []*directory.View
		var snapshots []map[string][]directory.Endpoint
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			e := directory.Endpoint{
				Entry:   rapid.SampledFrom([]string{"e1", "e2", "e3", "e4"}).Draw(rt, "entry"),
				Service: rapid.SampledFrom([]string{"web", "llm"}).Draw(rt, "service"),
				Zone:    rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"), Revision: int64(step + 1),
			}.WithStart(rapid.Int64Range(0, 2).Draw(rt, "born"))
			event := rapid.SampledFrom([]directory.Event{
				directory.Seen{Endpoint: e},
				directory.Seen{Endpoint: e},
				directory.Removed{Entry: e.Entry, Revision: e.Revision},
				directory.Leaving{ID: e.ID},
				directory.Denied{ID: e.ID},
				directory.Evacuation{Zone: e.Zone, Revision: e.Revision},
				directory.Evacuation{Zone: e.Zone, Ended: true, Revision: e.Revision},
				directory.Listed{Endpoints: []directory.Endpoint{e}, Revision: e.Revision},
			}).Draw(rt, "event")
			d.Apply(clock.Millis(step), event)
			v := d.View()
			views, snapshots = append(views, v), append(snapshots, copied(v))
			ready, size := 0, 0
			for _, service := range []string{"web", "llm"} {
				for _, e := range snapshots[step][service] {
					size++
					if e.State == directory.Ready {
						ready++
					}
					if found := v.Find(e.ID); found == nil || *found != e {
						rt.Fatalf("%s is not found as it is listed", e.ID)
					}
					if v.Evacuated[e.Zone] != (e.State == directory.Evacuated) {
						rt.Fatalf("%s of zone %s has state %v", e.ID, e.Zone, e.State)
					}
				}
				inZones := slices.Concat(snapshots[step][service+"/a"], snapshots[step][service+"/b"])
				if !slices.Equal(inZones, snapshots[step][service]) {
					rt.Fatalf("zones yield %v, the service %v", inZones, snapshots[step][service])
				}
			}
			if v.Ready != ready || v.Size() != size {
				rt.Fatalf("%d ready of %d, the view says %d of %d", ready, size, v.Ready, v.Size())
			}
		}
		for n, v := range views {
			now := copied(v)
			for key := range snapshots[n] {
				if !slices.Equal(now[key], snapshots[n][key]) {
					rt.Fatalf("view %d had %v and now has %v", n, snapshots[n][key], now[key])
				}
			}
		}
	})
}

// BenchmarkChange measures one changed entry in fleets of several sizes.
func BenchmarkChange(b *testing.B) {
	for _, endpoints := range []int{100, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			d := bigDirectory(endpoints)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				d.Apply(1, directory.Seen{Endpoint: fleetEndpoint(n%endpoints, int64(endpoints+n))})
			}
		})
	}
}
