package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/pkg/clock"
)

// lateRequest returns a request that can no longer be in time and may be queued for two
// seconds.
func lateRequest(id string) placement.Request {
	req := request(id)
	req.Budget, req.Late, req.MayQueue, req.QueueTime = 0, true, true, 2*time.Second
	return req
}

// fill takes all memory of a zone with one decode engine.
func fill(c *qt.C, p *placement.Planner, now clock.Millis) {
	for i := range 3 {
		req := request(fmt.Sprint("full", i))
		c.Assert(decision(p.Apply(now, req), req.ID).Grant, qt.IsNotNil)
	}
}

// Late requests are queued behind those that can be in time, regardless of arrival.
func TestLateRequestsWaitBehind(t *testing.T) {
	c := qt.New(t)
	p := planner(t, 1)
	fill(c, p, 1000)
	c.Assert(decision(p.Apply(4200, lateRequest("late")), "late").Queued, qt.IsTrue)
	soon := request("soon")
	soon.MayQueue = true
	c.Assert(decision(p.Apply(4250, soon), "soon").Queued, qt.IsTrue)
	answers := p.Apply(4300, placement.Release{ID: "full0", Owner: "n1"})
	c.Assert(decision(answers, "soon").Grant, qt.IsNotNil)
	c.Assert(decision(answers, "late"), qt.Equals, placement.Decision{})
	// A late request that arrives now does not pass those that can be in time either.
	other := soon
	other.ID = "other"
	c.Assert(decision(p.Apply(4310, other), "other").Queued, qt.IsTrue)
	c.Assert(decision(p.Apply(4320, lateRequest("small")), "small").Grant, qt.IsNil)
}

// Late requests take neither the last free memory of a decode engine nor a busy prefill
// engine: the next request may still be in time.
func TestLateRequestsUseSpareCapacity(t *testing.T) {
	tests := []struct {
		name       string
		decodes    int
		running    int  // running requests
		prefilling bool // they are still in prefill
		granted    bool
	}{
		{"no requests run", 1, 0, false, true},
		{"memory for two more", 1, 1, false, true},
		{"memory for one more", 1, 2, false, false},
		{"memory for one more, and another engine", 2, 3, false, true},
		{"a prompt is in prefill", 1, 1, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := planner(t, test.decodes)
			for i := range test.running {
				req := request(fmt.Sprint(i))
				c.Assert(decision(p.Apply(1000, req), req.ID).Grant, qt.IsNotNil)
				if !test.prefilling {
					p.Apply(1000, placement.Progress{ID: req.ID, Prefilled: true, Took: 100 * time.Millisecond})
				}
			}
			d := decision(p.Apply(1000, lateRequest("late")), "late")
			c.Assert(d.Grant != nil, qt.Equals, test.granted)
		})
	}
}

// A queued request that becomes late stays queued for the time that it asked for and is
// refused then.
func TestLateRequestsStayQueued(t *testing.T) {
	tests := []struct {
		name    string
		freed   clock.Millis // when capacity comes free
		granted bool
	}{
		{"in time", 4500, true},
		{"late", 5500, true},
		{"too late", 6500, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := planner(t, 1)
			fill(c, p, 1000)
			req := request("a")
			req.MayQueue, req.QueueTime = true, 2*time.Second
			c.Assert(decision(p.Apply(4200, req), "a").Queued, qt.IsTrue)
			final := placement.Decision{}
			for now := clock.Millis(4200); now < 7000 && final.Grant == nil && final.Refusal == nil; now += 10 {
				final = decision(p.Apply(now, placement.Announcement{Owner: "n1", Allocations: heldAfterFill(now < test.freed)}), "a")
			}
			c.Assert(final.Grant != nil, qt.Equals, test.granted)
			c.Assert(final.Refusal != nil, qt.Equals, !test.granted)
			c.Assert(p.Queued(), qt.Equals, 0)
		})
	}
}

// heldAfterFill lists the allocations after fill: all of them, or none.
func heldAfterFill(running bool) []placement.HeldAllocation {
	var list []placement.HeldAllocation
	for i := range 3 {
		if running {
			list = append(list, placement.HeldAllocation{ID: fmt.Sprint("full", i), Decode: "d1"})
		}
	}
	return list
}
