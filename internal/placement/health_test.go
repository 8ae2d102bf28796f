package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/placement"
)

// An engine that failed recently gets a request if the healthy one has no capacity,
// unless it answers nothing or the request could not be retried.
func TestSuspectEngines(t *testing.T) {
	tests := []struct {
		name     string
		failures int // of d1, in a row
		room     bool
		change   func(*placement.Request)
		want     string // decode engine; empty: none
	}{
		{"the healthy one has capacity", 1, true, func(*placement.Request) {}, "d2"},
		{"the healthy one has none", 1, false, func(*placement.Request) {}, "d1"},
		{"a failure of the decode engine is final", 1, false, func(req *placement.Request) { req.FinalDecode = true }, ""},
		{"any failure is final", 1, false, func(req *placement.Request) { req.Final = true }, ""},
		{"it answers nothing", 4, false, func(*placement.Request) {}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := planner(t, 2)
			for i := range test.failures {
				p.Apply(1000, placement.Release{ID: fmt.Sprint("failed", i), Owner: "n1", FailedEngine: "d1"})
			}
			if !test.room {
				fillEngine(c, p, "d2")
			}
			req := request("a")
			test.change(&req)
			d := decision(p.Apply(1000, req), "a")
			if test.want == "" {
				c.Assert(d.Refusal, qt.IsNotNil)
				return
			}
			c.Assert(d.Grant, qt.IsNotNil)
			c.Assert(d.Grant.Decode, qt.Equals, test.want)
		})
	}
}

// fillEngine fills an engine's memory with allocations of a previous planner.
func fillEngine(c *qt.C, p *placement.Planner, id string) {
	p.Apply(1000, placement.Announcement{Owner: "n0", Zone: "a", Allocations: []placement.HeldAllocation{
		{ID: "old", Decode: id, Prompt: capacity, ExpectedTokens: 100},
	}})
	req := request("fills")
	req.Exclude = []string{"d1"}
	c.Assert(decision(p.Apply(1000, req), "fills").Refusal, qt.IsNotNil)
}

// Of two engines with capacity, the one that failed recently gets no request that
// cannot be retried, even if it has less in use.
func TestNonRetryableRequestsUseHealthyEngines(t *testing.T) {
	c := qt.New(t)
	p := planner(t, 2)
	c.Assert(decision(p.Apply(1000, request("0")), "0").Grant.Decode, qt.Equals, "d1")
	c.Assert(decision(p.Apply(1000, request("1")), "1").Grant.Decode, qt.Equals, "d2")
	p.Apply(1000, placement.Release{ID: "1", Owner: "n1", FailedEngine: "d2"}) // d2 holds nothing now
	later := request("once")
	later.FinalDecode = true
	c.Assert(decision(p.Apply(2500, later), "once").Grant.Decode, qt.Equals, "d1")
	c.Assert(decision(p.Apply(2500, request("any")), "any").Grant.Decode, qt.Equals, "d2")
}
