package staging_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/staging"
	"github.com/trailshed/trailshed/pkg/clock"
)

// figures are the prior timings of the engines in these tests.
var figures = pace.Prior{PrefillToken: 23400 * time.Nanosecond, TokenTime: 4500 * time.Microsecond}

// engines returns a view with the given numbers of prefill and decode engines per zone.
func engines(zones ...[2]int) *directory.View {
	table, err := route.NewTable(route.Document{Version: 1, Services: []route.Service{
		{Name: "llm", Engine: &route.Engine{Slots: 128, KVTokens: 66_897}}, {Name: "web"},
	}})
	if err != nil {
		panic(err) // the document is valid
	}
	var list []*directory.Endpoint
	for z, counts := range zones {
		for stage, n := range map[directory.Stage]int{directory.Prefill: counts[0], directory.Decode: counts[1]} {
			for i := range n {
				list = append(list, &directory.Endpoint{
					ID: fmt.Sprint("z", z, "-", stage, "-", i), Service: "llm", Zone: fmt.Sprint("z", z), Stage: stage,
				})
			}
		}
	}
	return directory.NewView(table, list...)
}

func sizes(requests, prompt, output int) map[string]staging.Sizes {
	var s staging.Sizes
	for range requests {
		s.Add(prompt, output)
	}
	return map[string]staging.Sizes{"llm": s, "web": s}
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name  string
		view  *directory.View
		sizes map[string]staging.Sizes
		want  string // endpoint that gets an order; empty: none
		stage directory.Stage
	}{
		{"one prefill engine too many", engines([2]int{2, 1}, [2]int{1, 2}, [2]int{1, 2}), sizes(20, 5200, 780), "z0-1-0", directory.Decode},
		{"right split", engines([2]int{1, 2}, [2]int{1, 2}, [2]int{1, 2}), sizes(20, 5200, 780), "", 0},
		{"too few requests", engines([2]int{2, 1}, [2]int{1, 2}, [2]int{1, 2}), sizes(5, 5200, 780), "", 0},
		{"long prompts, short answers", engines([2]int{1, 2}, [2]int{1, 2}, [2]int{1, 2}), sizes(20, 9000, 60), "z0-2-0", directory.Prefill},
		{"the last decode engine is kept", engines([2]int{2, 1}), sizes(20, 9000, 10), "", 0},
		{"the last prefill engine is kept", engines([2]int{1, 3}), sizes(20, 100, 4000), "", 0},
		{"one engine", engines([2]int{1, 0}), sizes(20, 5200, 780), "", 0},
		{"no engines", engines(), sizes(20, 5200, 780), "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			orders := staging.NewPolicy().Decide(1000, test.view, test.sizes, pace.New(figures))
			if test.want == "" {
				c.Assert(orders, qt.HasLen, 0)
				return
			}
			c.Assert(orders, qt.HasLen, 1)
			c.Assert(orders[0].Endpoint.ID, qt.Equals, test.want)
			c.Assert(orders[0].Stage, qt.Equals, test.stage)
		})
	}
}

// An order without a response may be carried out much later. So at most a sixth of the
// engines, but at least one, has a pending order at any time, none gets a second order
// before the first expires, and a reached target is not undone.
func TestOrdersConverge(t *testing.T) {
	tests := []struct {
		name       string
		view       *directory.View
		maxPending int
		orders     int // total
		settled    clock.Millis
	}{
		{"18 engines", engines([2]int{4, 2}, [2]int{4, 2}, [2]int{4, 2}), 3, 6, 20_000},
		{"9 engines", engines([2]int{2, 1}, [2]int{2, 1}, [2]int{2, 1}), 1, 3, 40_000},
		// 49 of 140 engines prefill at the start; 34 should, or 36 given the
		// uncertainty after 200 requests.
		{"140 engines", withCapacity(engines([2]int{13, 22}, [2]int{12, 23}, [2]int{12, 23}, [2]int{12, 23}), 16, 45_026), 23, 13, 1_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := staging.NewPolicy()
			var given []clock.Millis
			last := map[string]clock.Millis{}
			for now := clock.Millis(1000); now < 200_000; now += 500 {
				for _, o := range p.Decide(now, test.view, sizes(200, 5200, 780), pace.New(figures)) {
					before, again := last[o.Endpoint.ID]
					c.Assert(!again || now.Sub(before) >= maxOrderTime, qt.IsTrue)
					last[o.Endpoint.ID] = now
					given = append(given, now)
					o.Endpoint.Stage = o.Stage
				}
				pending := 0
				for _, at := range given {
					if now.Sub(at) < maxOrderTime {
						pending++
					}
				}
				c.Assert(pending <= test.maxPending, qt.IsTrue, qt.Commentf("%d pending at %d", pending, now))
			}
			c.Assert(given, qt.HasLen, test.orders)
			c.Assert(given[len(given)-1] <= test.settled, qt.IsTrue, qt.Commentf("last at %d", given[len(given)-1]))
		})
	}
}

// withCapacity sets the slots and the memory of a view's engines.
func withCapacity(v *directory.View, slots, tokens int) *directory.View {
	e := v.Table.Service("llm").Engine
	e.Slots, e.KVTokens = slots, tokens
	return v
}

// maxOrderTime is how long an order may be pending.
const maxOrderTime = 13 * time.Second

// Orders that engines do not carry out are decided again when they expire.
func TestUnansweredOrdersAreRepeated(t *testing.T) {
	c := qt.New(t)
	p := staging.NewPolicy()
	v := engines([2]int{2, 1}, [2]int{2, 1}, [2]int{2, 1})
	var at []clock.Millis
	for now := clock.Millis(1000); now < 30_000; now += 500 {
		for range p.Decide(now, v, sizes(50, 5200, 780), pace.New(figures)) {
			at = append(at, now)
		}
	}
	c.Assert(at, qt.DeepEquals, []clock.Millis{1000, 14_000, 27_000})
}

// The first requests say little about later ones, and an engine that is changed
// needlessly loses six seconds twice. In one run seven prefill engines became four after
// ten requests, where five were needed, and prompts were delayed until 30 s.
func TestFewRequestsChangeFew(t *testing.T) {
	tests := []struct {
		name     string
		requests int
		output   int // of the observed requests; 780 would need five prefill engines, 1,100 four
		orders   int
	}{
		{"few, large deviation", 10, 1100, 2},
		{"few, deviation", 10, 780, 1},
		{"many, deviation", 200, 780, 2},
		{"many, large deviation", 200, 1100, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := withCapacity(engines([2]int{3, 3}, [2]int{2, 4}, [2]int{2, 4}), 128, 53_213)
			orders := staging.NewPolicy().Decide(1000, v, sizes(test.requests, 5200, test.output), pace.New(figures))
			qt.Assert(t, orders, qt.HasLen, test.orders)
		})
	}
}

// Sizes that vary between requests do not make engines change back and forth.
func TestVaryingSizesChangeLittle(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	v := engines([2]int{12, 24}, [2]int{12, 24}, [2]int{11, 25}, [2]int{11, 25})
	p := staging.NewPolicy()
	var s staging.Sizes
	orders := 0
	for now := clock.Millis(1000); now < 100_000; now += 1000 {
		for range 50 {
			s.Add(int(5200*(0.5+random.Float64())), int(780*(0.3+1.4*random.Float64())))
		}
		for _, o := range p.Decide(now, v, map[string]staging.Sizes{"llm": s}, pace.New(figures)) {
			o.Endpoint.Stage = o.Stage
			orders++
		}
	}
	qt.Assert(t, orders <= 4, qt.IsTrue, qt.Commentf("%d orders", orders))
}

// If slots run out before memory, they limit how many requests decode together.
func TestSlotLimit(t *testing.T) {
	v := withCapacity(engines([2]int{2, 2}, [2]int{2, 2}, [2]int{2, 2}), 4, 66_897)
	orders := staging.NewPolicy().Decide(1000, v, sizes(50, 200, 780), pace.New(figures))
	qt.Assert(t, orders, qt.HasLen, 2)
	qt.Assert(t, orders[0].Stage, qt.Equals, directory.Decode)
}

// An order that was withdrawn is not pending: it is decided again.
func TestWithdrawnOrdersAreRepeated(t *testing.T) {
	c := qt.New(t)
	p, v := staging.NewPolicy(), engines([2]int{2, 1}, [2]int{1, 2}, [2]int{1, 2})
	observed, paces := sizes(20, 5200, 780), pace.New(figures)
	first := p.Decide(1000, v, observed, paces)
	c.Assert(first, qt.HasLen, 1)
	c.Assert(p.Decide(2000, v, observed, paces), qt.HasLen, 0) // the order is pending
	p.Withdraw(first[0])
	again := p.Decide(3000, v, observed, paces)
	c.Assert(again, qt.HasLen, 1)
	c.Assert(again[0].Endpoint.ID, qt.Equals, first[0].Endpoint.ID)
}
