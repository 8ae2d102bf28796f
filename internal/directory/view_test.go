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

// fleetEndpoint is one of many, in one of five zones.
func fleetEndpoint(n int, revision int64) directory.Endpoint {
	e := directory.Endpoint{
		Entry: fmt.Sprintf("i-%06d", n), Service: "llm", Zone: fmt.Sprintf("zone-%d", n%5), Slots: 12, Revision: revision,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 8080),
	}
	return e.Live(int64(1_700_000_000_000 + n))
}

// bigDirectory knows so many endpoints.
func bigDirectory(endpoints int) *directory.Directory {
	d := directory.New()
	all := make([]directory.Endpoint, endpoints)
	for n := range all {
		all[n] = fleetEndpoint(n, int64(n+1))
	}
	d.Apply(0, directory.Listed{Endpoints: all, Revision: int64(endpoints)})
	return d
}

// allocated is the bytes that work allocates.
func allocated(work func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	work()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// Entries change as often as there are endpoints, and every instance takes each change:
// what one costs must not grow with the fleet as well. It does with the depth of a tree.
func TestOneChangeCostsTheSameInAnyFleet(t *testing.T) {
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

// What a peer lacks is found without a look at all that it has.
func TestWhatChangedCostsTheSameInAnyFleet(t *testing.T) {
	cost := func(endpoints int) int64 {
		d := bigDirectory(endpoints)
		for n := range 10 {
			d.Apply(1, directory.Seen{Endpoint: fleetEndpoint(n, int64(endpoints+n+1))})
		}
		var news directory.Relayed
		bytes := allocated(func() { news = d.Since(int64(endpoints), 0) })
		qt.Assert(t, news.Endpoints, qt.HasLen, 10)
		return bytes
	}
	small, large := cost(500), cost(20_000)
	qt.Assert(t, large <= 2*small, qt.IsTrue, qt.Commentf("%d bytes at 500 endpoints, %d at 20,000", small, large))
}

// Told in parts of any size, from any revision on, a peer comes to believe the same.
func TestWhatChangedIsToldInParts(t *testing.T) {
	for _, most := range []int{0, 1, 7, 100, 1000} {
		c := qt.New(t)
		d := bigDirectory(100)
		d.Apply(0, directory.Removed{Entry: fleetEndpoint(3, 0).Entry, Revision: 101})
		d.Apply(0, directory.Evacuation{Zone: "zone-1", Revision: 102})
		d.Apply(0, directory.Seen{Endpoint: fleetEndpoint(5, 103)})
		other, revision, parts := directory.New(), int64(0), 0
		for {
			news := d.Since(revision, most)
			c.Assert(most == 0 || len(news.Endpoints) <= most, qt.IsTrue)
			c.Assert(news.Revision > revision, qt.IsTrue)
			c.Assert(news.Whole, qt.Equals, revision == 0 && !news.More)
			other.Apply(0, news)
			revision, parts = news.Revision, parts+1
			if !news.More {
				break
			}
		}
		c.Assert(revision, qt.Equals, int64(103))
		c.Assert(other.View().Digest, qt.Equals, d.View().Digest)
		c.Assert(other.View().Size(), qt.Equals, 99)
		c.Assert(other.View().Evacuated, qt.DeepEquals, map[string]bool{"zone-1": true})
		if most > 0 {
			c.Assert(parts, qt.Equals, (99+most-1)/most)
		}
	}
}

// copied is what a view tells, by service and zone.
func copied(v *directory.View) map[string][]directory.Endpoint {
	told := map[string][]directory.Endpoint{}
	for _, service := range []string{"web", "llm"} {
		for e := range v.Service(service) {
			told[service] = append(told[service], *e)
		}
		for _, zone := range []string{"a", "b"} {
			for e := range v.Zone(service, zone) {
				told[service+"/"+zone] = append(told[service+"/"+zone], *e)
			}
		}
	}
	return told
}

// Whatever events come, a view does not change once it was taken, and its ways to look at
// endpoints tell the same.
func TestViewsDoNotChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := directory.New()
		var views []*directory.View
		var then []map[string][]directory.Endpoint
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			e := directory.Endpoint{
				Entry:   rapid.SampledFrom([]string{"e1", "e2", "e3", "e4"}).Draw(rt, "entry"),
				Service: rapid.SampledFrom([]string{"web", "llm"}).Draw(rt, "service"),
				Zone:    rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"), Revision: int64(step + 1),
			}.Live(rapid.Int64Range(0, 2).Draw(rt, "born"))
			event := rapid.SampledFrom([]directory.Event{
				directory.Seen{Endpoint: e},
				directory.Seen{Endpoint: e},
				directory.Removed{Entry: e.Entry, Revision: e.Revision},
				directory.Leaving{ID: e.ID},
				directory.Denied{ID: e.ID},
				directory.Evacuation{Zone: e.Zone, Revision: e.Revision},
				directory.Evacuation{Zone: e.Zone, Over: true, Revision: e.Revision},
				directory.Listed{Endpoints: []directory.Endpoint{e}, Revision: e.Revision},
			}).Draw(rt, "event")
			d.Apply(clock.Millis(step), event)
			v := d.View()
			views, then = append(views, v), append(then, copied(v))
			ready, size := 0, 0
			for _, service := range []string{"web", "llm"} {
				for _, e := range then[step][service] {
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
				inZones := slices.Concat(then[step][service+"/a"], then[step][service+"/b"])
				if !slices.Equal(inZones, then[step][service]) {
					rt.Fatalf("zones tell %v, the service %v", inZones, then[step][service])
				}
			}
			if v.Ready != ready || v.Size() != size {
				rt.Fatalf("%d ready of %d, told are %d of %d", ready, size, v.Ready, v.Size())
			}
		}
		for n, v := range views {
			now := copied(v)
			for key := range then[n] {
				if !slices.Equal(now[key], then[n][key]) {
					rt.Fatalf("view %d told %v and tells %v", n, then[n][key], now[key])
				}
			}
		}
	})
}

// BenchmarkChange is one endpoint's changed entry, at fleets of several sizes.
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
