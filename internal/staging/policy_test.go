package staging_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/staging"
	"github.com/trailshed/trailshed/pkg/clock"
)

// engines returns a view with, for each zone, so many prefill and decode
// engines.
func engines(zones ...[2]int) *directory.View {
	table, err := route.NewTable(route.Document{Version: 1, Services: []route.Service{
		{Name: "llm", Engine: &route.Engine{Slots: 128, KVTokens: 66_897}}, {Name: "web"},
	}})
	if err != nil {
		panic(err) // the document is this test's own
	}
	v := &directory.View{Table: table, Endpoints: map[string][]*directory.Endpoint{}}
	for z, counts := range zones {
		for stage, n := range map[directory.Stage]int{directory.Prefill: counts[0], directory.Decode: counts[1]} {
			for i := range n {
				v.Endpoints["llm"] = append(v.Endpoints["llm"], &directory.Endpoint{
					ID: fmt.Sprint("z", z, "-", stage, "-", i), Service: "llm", Zone: fmt.Sprint("z", z), Stage: stage,
				})
			}
		}
	}
	return v
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
		want  string // endpoint that is ordered; empty: none
		stage directory.Stage
	}{
		{"one too many read", engines([2]int{2, 1}, [2]int{1, 2}, [2]int{1, 2}), sizes(20, 5200, 780), "z0-1-0", directory.Decode},
		{"as it should be", engines([2]int{1, 2}, [2]int{1, 2}, [2]int{1, 2}), sizes(20, 5200, 780), "", 0},
		{"too few seen", engines([2]int{2, 1}, [2]int{1, 2}, [2]int{1, 2}), sizes(5, 5200, 780), "", 0},
		{"long prompts, short answers", engines([2]int{1, 2}, [2]int{1, 2}, [2]int{1, 2}), sizes(20, 9000, 60), "z0-2-0", directory.Prefill},
		{"never the last that decodes", engines([2]int{2, 1}), sizes(20, 9000, 10), "", 0},
		{"never the last that reads", engines([2]int{1, 3}), sizes(20, 100, 4000), "", 0},
		{"one engine", engines([2]int{1, 0}), sizes(20, 5200, 780), "", 0},
		{"no engines", engines(), sizes(20, 5200, 780), "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o := staging.NewPolicy().Decide(1000, test.view, test.sizes)
			if test.want == "" {
				c.Assert(o, qt.IsNil)
				return
			}
			c.Assert(o, qt.IsNotNil)
			c.Assert(o.Endpoint.ID, qt.Equals, test.want)
			c.Assert(o.Stage, qt.Equals, test.stage)
		})
	}
}

// An order that is not answered may be carried out much later, so the next one
// waits, and what was right once is not undone.
func TestOrdersAreSeldomAndSettle(t *testing.T) {
	c := qt.New(t)
	p := staging.NewPolicy()
	v := engines([2]int{4, 2}, [2]int{4, 2}, [2]int{4, 2})
	last, orders := clock.Millis(0), 0
	for now := clock.Millis(1000); now < 200_000; now += 500 {
		o := p.Decide(now, v, sizes(50, 5200, 780))
		if o == nil {
			continue
		}
		c.Assert(orders == 0 || now.Sub(last) >= 13_000_000_000, qt.IsTrue)
		last = now
		orders++
		o.Endpoint.Stage = o.Stage
	}
	c.Assert(orders, qt.Equals, 6)
	c.Assert(last < 100_000, qt.IsTrue)
}
