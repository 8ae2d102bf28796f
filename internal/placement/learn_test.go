package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/pkg/clock"
)

// A planner learns engine timings from the reports of gateways and includes its
// predictions in grants.
func TestGrantsUseLearnedTimings(t *testing.T) {
	c := qt.New(t)
	p := planner(t, 1)
	now := clock.Millis(1000)
	routed := func(id string) placement.Request {
		req := request(id)
		req.Route = "r"
		return req
	}
	before := decision(p.Apply(now, routed("before")), "before").Grant
	c.Assert(before.PrefillTime, qt.Equals, 100*time.Millisecond)
	c.Assert(before.FirstEventTime, qt.Equals, 70*time.Millisecond)
	p.Apply(now, placement.Release{ID: "before", Owner: "n1"})
	for i := range 8 {
		id := fmt.Sprint(i)
		p.Apply(now, routed(id))
		now += 300
		p.Apply(now, placement.Progress{ID: id, Prefilled: true, Took: 300 * time.Millisecond})
		now += 4000
		p.Apply(now, placement.Release{ID: id, Owner: "n1", Observed: &placement.Observation{
			FirstEventTime: 40 * time.Millisecond, Tokens: 400, DecodeTime: 4 * time.Second, TotalTokens: 409,
		}})
	}
	after := decision(p.Apply(now, routed("after")), "after").Grant
	c.Assert(after.PrefillTime, qt.Equals, 300*time.Millisecond)
	c.Assert(after.FirstEventTime, qt.Equals, 40*time.Millisecond)
	c.Assert(after.ExpectedTokens, qt.Equals, 409)
}

// The time of a prompt that queued behind others says nothing about how soon an idle
// engine answers, and the delay of an answer does not delay the next prompt.
func TestQueueingTimeIsNotPrefillTime(t *testing.T) {
	c := qt.New(t)
	m := paces()
	p := placement.New("a", "n2", m)
	p.Apply(0, placement.ViewUpdate{View: view(t, 8)})
	now := clock.Millis(1000)
	for round := range 8 {
		for i := range 3 {
			req := request(fmt.Sprint(round, "-", i))
			c.Assert(decision(p.Apply(now, req), req.ID).Grant, qt.IsNotNil)
		}
		// Each takes 80 ms and is answered 50 ms after its prefill.
		for i := range 3 {
			took := 50*time.Millisecond + time.Duration(i+1)*80*time.Millisecond
			p.Apply(now.Add(took), placement.Progress{ID: fmt.Sprint(round, "-", i), Prefilled: true, Took: took})
			p.Apply(now.Add(took), placement.Release{ID: fmt.Sprint(round, "-", i), Owner: "n1"})
		}
		now = now.Add(time.Second)
		alone := request(fmt.Sprint(round, "-alone"))
		p.Apply(now, alone)
		p.Apply(now.Add(130*time.Millisecond), placement.Progress{ID: alone.ID, Prefilled: true, Took: 130 * time.Millisecond})
		p.Apply(now.Add(130*time.Millisecond), placement.Release{ID: alone.ID, Owner: "n1"})
		now = now.Add(time.Second)
	}
	c.Assert(m.Span(pace.PrefillTime, "llm", "p1", 5000).Median, qt.Equals, 130*time.Millisecond)
	c.Assert(m.Span(pace.PrefillInterval, "llm", "p1", 5000).Median, qt.Equals, 80*time.Millisecond)
}

// Timings of an engine are dropped with the engine: engines of a service are replaced
// by the thousand each day, and would stay in memory and in the medians.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	c := qt.New(t)
	m := paces()
	p := placement.New("a", "n2", m)
	p.Apply(0, placement.ViewUpdate{View: view(t, 2)})
	for i := range 8 {
		for engine, outcome := range map[string]float64{"d1": 10, "d2": 50} {
			m.Learn(clock.Millis(i), pace.Observation{Service: "llm", Engine: engine, Quantity: pace.TokenTime, Size: 4, Outcome: outcome})
		}
	}
	c.Assert(m.TokenTime("llm", "d2", 4), qt.Equals, 50*time.Millisecond)
	p.Apply(1000, placement.ViewUpdate{View: view(t, 1)})
	c.Assert(m.TokenTime("llm", "d2", 4), qt.Equals, 10*time.Millisecond)
	c.Assert(m.TokenTime("llm", "d1", 4), qt.Equals, 10*time.Millisecond)
}
