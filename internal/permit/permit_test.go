package permit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/permit"
	"github.com/trailshed/trailshed/pkg/clock"
)

// evenDemand spreads a demand evenly over all instances.
func (w *world) evenDemand(perSecond float64) func(limitedEndpoint, *instance) float64 {
	return func(limitedEndpoint, *instance) float64 { return perSecond / float64(len(w.instances)) }
}

// An endpoint is limited to less than the demand. Whatever the size of the fleet and
// wherever the requests arrive, it must get at most what the burst rule allows, and at
// least 85% of its limit.
func TestLimitIsKeptAndUsed(t *testing.T) {
	one := func(_ limitedEndpoint, i *instance) float64 {
		if i.index == 1 {
			return 30
		}
		return 0
	}
	zone := func(_ limitedEndpoint, i *instance) float64 {
		if i.zone == "z1" {
			return 3
		}
		return 0
	}
	tests := []struct {
		name             string
		instances, zones int
		rate             float64
		demand           func(w *world) func(limitedEndpoint, *instance) float64
	}{
		{"6", 6, 3, 4.2, func(w *world) func(limitedEndpoint, *instance) float64 { return w.evenDemand(30) }},
		{"30", 30, 3, 4.2, func(w *world) func(limitedEndpoint, *instance) float64 { return w.evenDemand(30) }},
		{"100", 100, 3, 4.2, func(w *world) func(limitedEndpoint, *instance) float64 { return w.evenDemand(30) }},
		{"300", 300, 5, 4, func(w *world) func(limitedEndpoint, *instance) float64 { return w.evenDemand(30) }},
		{"300, few a second", 300, 5, 0.5, func(w *world) func(limitedEndpoint, *instance) float64 { return w.evenDemand(10) }},
		{"300, many a second", 300, 5, 200, func(w *world) func(limitedEndpoint, *instance) float64 { return w.evenDemand(600) }},
		{"300, demand just above the limit", 300, 5, 20, func(w *world) func(limitedEndpoint, *instance) float64 { return w.evenDemand(22) }},
		{"300, all demand at one instance", 300, 5, 4, func(*world) func(limitedEndpoint, *instance) float64 { return one }},
		{"6, all demand at one instance", 6, 3, 4, func(*world) func(limitedEndpoint, *instance) float64 { return one }},
		{"100, all demand in one zone", 100, 5, 4, func(*world) func(limitedEndpoint, *instance) float64 { return zone }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(1, test.instances, test.zones, 1, test.rate)
			start := w.now
			w.run(5*time.Second, test.demand(w)) // until all shares are lent
			lent := w.now
			const length = 40 * time.Second
			w.run(length, test.demand(w))
			got := w.maxInWindow("e0", start)
			c.Check(got <= bound(test.rate), qt.IsTrue, qt.Commentf("got %d, allowed %d", got, bound(test.rate)))
			used := float64(w.countSince("e0", lent)) / (test.rate * length.Seconds())
			c.Check(used >= 0.85, qt.IsTrue, qt.Commentf("%.2f of the limit used", used))
			c.Check(used <= 1.05, qt.IsTrue, qt.Commentf("%.2f of the limit used", used))
		})
	}
}

// An endpoint announces a limit while all requests arrive at one instance, which asks
// for permits before any share is lent. The denials of that moment must not hold it off
// for as long as the shares held then would need.
func TestLimitIsUsedSoonAfterItIsAnnounced(t *testing.T) {
	for _, instances := range []int{6, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			const rate = 4.0
			for seed := range uint64(8) {
				w := newWorld(seed, instances, 3, 1, rate)
				w.limitsUnknown = true
				w.run(5*time.Second, func(limitedEndpoint, *instance) float64 { return 0 })
				w.limitsUnknown = false
				one := func(_ limitedEndpoint, i *instance) float64 {
					if i.index == 1 {
						return 30
					}
					return 0
				}
				w.run(5*time.Second, one)
				from := w.now
				const length = 20 * time.Second
				w.run(length, one)
				used := float64(w.countSince("e0", from)) / (rate * length.Seconds())
				qt.Check(t, used >= 0.85, qt.IsTrue, qt.Commentf("seed %d: %.2f of the limit used", seed, used))
			}
		})
	}
}

// When the instance that issues permits dies, is cut off or is suspended, the next one
// issues them once the leases have expired. When a zone is cut off, each side uses its
// own shares.
func TestLimitIsUsedAfterFaults(t *testing.T) {
	const rate = 6.0
	tests := []struct {
		name    string
		fault   func(w *world)
		minUsed float64 // fraction of the limit used in the end
	}{
		{"issuer dies", func(w *world) { w.kill(w.instances[0], time.Hour) }, 0.8},
		{"issuer restarts", func(w *world) { w.kill(w.instances[0], time.Second) }, 0.85},
		{"issuer is suspended", func(w *world) { w.instances[0].suspendedUntil = w.now.Add(time.Hour) }, 0.8},
		{"issuer is cut off", func(w *world) {
			w.partitioned = func(a, b *instance) bool { return a != b && (a.index == 0 || b.index == 0) }
		}, 0.8},
		{"issuer's zone is cut off", func(w *world) {
			w.partitioned = func(a, b *instance) bool { return (a.zone == "z0") != (b.zone == "z0") }
		}, 0.6},
		{"issuer's zone was cut off", func(w *world) {
			w.partitioned = func(a, b *instance) bool { return (a.zone == "z0") != (b.zone == "z0") }
			w.run(3*time.Second, w.evenDemand(30))
			w.partitioned = func(_, _ *instance) bool { return false }
		}, 0.85},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(1, 12, 3, 1, rate)
			w.run(5*time.Second, w.evenDemand(30))
			test.fault(w)
			w.run(5*time.Second, w.evenDemand(30))
			start := w.now
			const length = 20 * time.Second
			w.run(length, w.evenDemand(30))
			used := float64(w.countSince("e0", start)) / (rate * length.Seconds())
			c.Assert(used >= test.minUsed, qt.IsTrue, qt.Commentf("%.2f of the limit used", used))
			c.Assert(w.maxInWindow("e0", 0) <= bound(rate), qt.IsTrue, qt.Commentf("%d in a window", w.maxInWindow("e0", 0)))
		})
	}
}

// Whichever instances are cut off, die, are suspended or start, at any time, the whole
// fleet keeps to the burst rule, including those cases that the rule would excuse.
func TestLimitHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.SampledFrom([]int{2, 6, 30}).Draw(t, "instances")
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		rate := rapid.SampledFrom([]float64{0, 0.2, 1, 4.2, 20}).Draw(t, "rate")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), instances, zones, 2, rate)
		w.delay = time.Duration(rapid.IntRange(0, 150).Draw(t, "delay")) * time.Millisecond
		requested := rapid.SampledFrom([]float64{1, 5, 30}).Draw(t, "asked") * max(rate, 1)
		demand := w.evenDemand(requested)
		if rapid.Bool().Draw(t, "uneven") {
			demand = func(_ limitedEndpoint, i *instance) float64 { return requested / float64(1+i.index*i.index) }
		}
		w.run(2*time.Second, demand)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			w.injectFault(t)
			w.run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "pause"))*time.Millisecond, demand)
		}
		for _, l := range w.limits {
			got := w.maxInWindow(l.endpoint, 0)
			if got > bound(rate) {
				t.Fatalf("%s got %d requests in a window, allowed %d", l.endpoint, got, bound(rate))
			}
		}
	})
}

// injectFault draws one fault.
func (w *world) injectFault(t *rapid.T) {
	i := w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(t, "struck")]
	for i.restartAt != 0 {
		i = w.instances[(i.index+1)%len(w.instances)]
		if i.index == 0 {
			return
		}
	}
	length := time.Duration(rapid.IntRange(100, 8000).Draw(t, "length")) * time.Millisecond
	switch rapid.SampledFrom([]string{"kill", "kill all", "suspend", "cut one", "cut zone", "cut one way", "heal"}).Draw(t, "fault") {
	case "kill":
		w.kill(i, length)
	case "kill all":
		for _, o := range w.instances {
			w.kill(o, length/8)
		}
	case "suspend":
		i.suspendedUntil = w.now.Add(length)
	case "cut one":
		w.partitioned = func(a, b *instance) bool { return a == i || b == i }
	case "cut zone":
		w.partitioned = func(a, b *instance) bool { return a.zone != b.zone && (a.zone == i.zone || b.zone == i.zone) }
	case "cut one way":
		w.partitioned = func(_, b *instance) bool { return b == i }
	case "heal":
		w.partitioned = func(_, _ *instance) bool { return false }
	}
}

// The limit is lower than the rate of urgent requests, or equal to the rate of all
// requests. Urgent requests must get their permits first.
func TestUrgentRequestsGoFirst(t *testing.T) {
	tests := []struct {
		name        string
		rate        float64
		urgent      float64 // fraction of the demand, one request each 50 ms
		minFraction float64 // fraction of the permits that urgent requests get
	}{
		{"limit below the urgent demand", 4, 0.5, 0.9},
		{"limit equal to the whole demand", 20, 0.5, 0.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			i := permit.New(func() float64 { return 0 })
			i.SetInstances(10_000, 1, true)
			var got [2]int
			for n := range 400 {
				priority := n % 2
				if i.Issue(clock.Millis(10_000+50*n), permit.Request{Endpoint: "e", Rate: test.rate, Priority: priority}).Granted {
					got[priority]++
				}
			}
			fraction := float64(got[0]) / float64(got[0]+got[1])
			c.Assert(fraction >= test.minFraction, qt.IsTrue, qt.Commentf("%v", got))
			c.Assert(float64(got[0]+got[1]) >= 0.85*test.rate*20, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// An instance that has not seen all others, for example because the store became
// unreachable while it started, must not take the whole limit for its own share.
func TestStartWithoutPeers(t *testing.T) {
	c := qt.New(t)
	i := permit.New(func() float64 { return 0.99 })
	i.SetInstances(0, 1, false)
	n := 0
	for now := clock.Millis(0); now < 2900; now += 10 {
		if i.Issue(now, permit.Request{Endpoint: "e", Rate: 8}).Granted {
			n++
		}
	}
	c.Assert(n <= 4, qt.IsTrue, qt.Commentf("%d", n)) // one a second
}

func ExampleIssuer() {
	a, b := permit.New(func() float64 { return 0 }), permit.New(func() float64 { return 0 })
	now := clock.Millis(60_000)
	for _, i := range []*permit.Issuer{a, b} {
		i.SetInstances(now, 2, true)
	}
	loan := b.OwnLoan(now)
	b.Lend(now, "a", loan)
	a.Borrow(now, "b", loan)
	request := permit.Request{Endpoint: "e", Rate: 2}
	a.Issue(now, request)
	b.Issue(now, request)
	now = now.Add(time.Second)
	fmt.Println(a.Issue(now, request).Granted, a.Issue(now, request).Granted, b.Issue(now, request).Granted)
	// Output: true true false
}
