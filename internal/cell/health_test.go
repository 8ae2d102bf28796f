package cell_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/pkg/clock"
)

// healthCell is a cell whose endpoints have the speeds that the test sets.
type healthCell struct {
	cell    *cell.Cell
	now     clock.Millis
	counted map[string]int
	refused int
	next    int
	step    map[string]time.Duration
	budget  time.Duration
}

func newHealthCell(decodes int) *healthCell {
	h := &healthCell{now: 1_000_000, counted: map[string]int{}, step: map[string]time.Duration{}, budget: time.Second}
	members := []catalog.Member{{Name: "p0", Role: catalog.RolePrefill, Slots: 20, LinkRate: 1_000_000}}
	for i := range decodes {
		members = append(members, catalog.Member{Name: fmt.Sprintf("d%d", i), Role: catalog.RoleDecode, Slots: 4, LinkRate: 1})
	}
	h.cell = cell.New(name, h.now, cell.Options{
		Policy: cell.PolicyJoint, OwnerExpiry: time.Minute, RetryRatio: 0.1,
		OnDecision: func(what string) { h.counted[what]++ },
	})
	h.cell.Apply(h.now, cell.Configured{Catalog: catalog.New(), Members: members})
	for _, m := range members {
		h.step[m.Name] = 20 * time.Millisecond
		h.cell.Apply(h.now, cell.Reported{Endpoint: m.Name, RequestedAt: h.now, Report: endpoint.Report{
			Load: endpoint.Load{Running: 1, StepUS: 20_000},
		}})
	}
	return h
}

// serve requests a grant for one attempt and lets the granted endpoint answer at
// its speed. It returns that endpoint, or "" if the request was refused.
func (h *healthCell) serve(retry bool) string {
	h.next++
	id := cell.NewAttemptID(fmt.Sprint(h.next), 1)
	h.now = h.now.Add(100 * time.Millisecond)
	for _, e := range h.cell.Apply(h.now, cell.AttemptRequest{
		Cell: name, Attempt: id, Owner: cell.Owner{Node: "e"}, Workspace: "w", Kind: "k",
		Tokens: 10, MaxTokens: 50, Budget: h.budget, Retry: retry,
	}) {
		if g, ok := e.(cell.SendGrant); ok {
			return h.answer(id, g.Grant.Decode)
		}
		h.refused++
	}
	return ""
}

func (h *healthCell) answer(id cell.AttemptID, at string) string {
	const tokens = 10
	for _, p := range []cell.Progress{
		{Phase: cell.Prefilled, Duration: time.Millisecond},
		{Phase: cell.Streaming},
		{Phase: cell.Finished, Duration: tokens * h.step[at], Tokens: tokens},
	} {
		p.Cell, p.Attempt = name, id
		h.cell.Apply(h.now, p)
	}
	return at
}

// TestSlowEndpointIsEjected makes one of three endpoints ten times slower. It
// must be ejected, probed, and readmitted once it is fast again.
func TestSlowEndpointIsEjected(t *testing.T) {
	c := qt.New(t)
	h := newHealthCell(3)
	served := func(n int) map[string]int {
		at := map[string]int{}
		for range n {
			at[h.serve(false)]++
		}
		return at
	}
	c.Assert(served(30)["d0"] > 0, qt.IsTrue)
	h.step["d0"] = 200 * time.Millisecond
	served(10)
	c.Assert(h.counted["ejected"], qt.Equals, 1)
	c.Assert(served(30)["d0"], qt.Equals, 0)
	c.Assert(served(100)["d0"] <= 3, qt.IsTrue) // probes, one every five seconds
	h.step["d0"] = 20 * time.Millisecond
	served(60)
	c.Assert(h.counted["readmitted"], qt.Equals, 1)
	c.Assert(served(30)["d0"] >= 5, qt.IsTrue)
	c.Assert(h.refused, qt.Equals, 0)
}

// TestAtMostHalfIsEjected checks that at most half of a pool is ejected, even if
// all endpoints fail.
func TestAtMostHalfIsEjected(t *testing.T) {
	c := qt.New(t)
	h := newHealthCell(4)
	for i := range 80 {
		id := cell.NewAttemptID(fmt.Sprint(i), 1)
		h.now = h.now.Add(10 * time.Millisecond)
		for _, e := range h.cell.Apply(h.now, cell.AttemptRequest{
			Cell: name, Attempt: id, Owner: cell.Owner{Node: "e"}, Tokens: 10, MaxTokens: 50, Budget: time.Second,
		}) {
			if g, ok := e.(cell.SendGrant); ok {
				h.cell.Apply(h.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Failed, FailedEndpoint: g.Grant.Decode})
				h.cell.Apply(h.now, cell.Cancelled{Endpoint: g.Grant.Decode, Attempt: id, Freed: true})
				h.cell.Apply(h.now, cell.Cancelled{Endpoint: "p0", Attempt: id, Freed: true})
			}
		}
	}
	ejected := 0
	for _, s := range h.cell.Endpoints() {
		if s.Ejected {
			ejected++
		}
	}
	c.Assert(ejected, qt.Equals, 2)
}

// TestUnreachableEndpoints checks that endpoints without reports get no
// requests, even if no other is left, and get requests again after their next
// report.
func TestUnreachableEndpoints(t *testing.T) {
	c := qt.New(t)
	h := newHealthCell(2)
	silence := func(endpoint string) {
		for range 3 {
			h.cell.Apply(h.now, cell.Unreachable{Endpoint: endpoint})
		}
	}
	silence("d0")
	for range 10 {
		c.Assert(h.serve(false), qt.Equals, "d1")
	}
	silence("d1")
	c.Assert(h.serve(false), qt.Equals, "")
	c.Assert(h.refused, qt.Equals, 1) // at once, so that its entry can try another zone
	h.cell.Apply(h.now, cell.Reported{Endpoint: "d0", RequestedAt: h.now})
	c.Assert(h.serve(false), qt.Equals, "d0")
}

// TestRetryBudget checks that retries stay a fraction of the successes, so that
// the failure of half a pool does not double the load on the other half.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	h := newHealthCell(2)
	granted := 0
	for range 200 {
		if h.serve(true) != "" {
			granted++
		}
	}
	c.Assert(granted >= 10 && granted <= 12, qt.IsTrue, qt.Commentf("%d", granted))
	for range 100 {
		h.serve(false)
	}
	again := 0
	for range 200 {
		if h.serve(true) != "" {
			again++
		}
	}
	c.Assert(again >= 10 && again <= 12, qt.IsTrue, qt.Commentf("%d", again))
}

// TestLateRequestIsNotGranted checks that a request whose best placement would
// be late, including the delay of messages, is refused instead of computed in
// vain.
func TestLateRequestIsNotGranted(t *testing.T) {
	tests := []struct {
		budget time.Duration
		want   int // refusals
	}{
		{200 * time.Millisecond, 0},
		{30 * time.Millisecond, 1}, // a step of 20 ms and the delay of messages
	}
	for _, test := range tests {
		t.Run(test.budget.String(), func(t *testing.T) {
			c := qt.New(t)
			h := newHealthCell(1)
			h.budget = test.budget
			h.serve(false)
			c.Assert(h.refused, qt.Equals, test.want)
		})
	}
}
