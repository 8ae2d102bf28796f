package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

const capacity = 20_000

// paces returns a model with typical request sizes, as if some had been observed.
func paces() *pace.Model {
	m := pace.New(figures)
	m.SetFigures("test", []pace.Figure{
		{Service: "llm", Quantity: pace.PromptTokens, Base: 5000},
		{Service: "llm", Quantity: pace.AnswerTokens, Base: 600},
	})
	return m
}

// figures are the prior timings of the engines in these tests.
var figures = pace.Prior{
	PrefillSetup: 10 * time.Millisecond, PrefillToken: 18 * time.Microsecond, FirstEvent: 70 * time.Millisecond,
	LocalPrefillToken: 36 * time.Microsecond, TokenTime: 4500 * time.Microsecond, LengthFraction: 0.42,
}

func view(t interface{ Fatal(...any) }, decodes int) *directory.View { return viewOf(t, 1, decodes) }

// viewOf returns a zone with prefill engines p1, p2, ... and decode engines d1, d2, ...
func viewOf(t interface{ Fatal(...any) }, prefills, decodes int) *directory.View {
	table, err := route.NewTable(route.Document{Version: 1, Services: []route.Service{
		{Name: "llm", Engine: &route.Engine{Slots: 8, KVTokens: capacity}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	var list []*directory.Endpoint
	add := func(id string, stage directory.Stage) {
		list = append(list, &directory.Endpoint{ID: id, Service: "llm", Zone: "a", Slots: 8, Stage: stage})
	}
	for i := range prefills {
		add(fmt.Sprint("p", i+1), directory.Prefill)
	}
	for i := range decodes {
		add(fmt.Sprint("d", i+1), directory.Decode)
	}
	return directory.NewView(table, list...)
}

func planner(t interface{ Fatal(...any) }, decodes int) *placement.Planner {
	p := placement.New("a", "n2", paces())
	p.Apply(0, placement.ViewUpdate{View: view(t, decodes)})
	return p
}

func request(id string) placement.Request {
	return placement.Request{ID: id, Owner: "n1", Service: "llm", Prompt: 5000, ExpectedTokens: 800, Budget: 900 * time.Millisecond}
}

func decision(answers []placement.Answer, id string) placement.Decision {
	for _, a := range answers {
		if a.ID == id {
			return a.Decision
		}
	}
	return placement.Decision{}
}

// Requests spread over the engines, and one that does not fit is refused at once with a
// retry delay, or queued if it allows that.
func TestMemoryIsAllocatedOnce(t *testing.T) {
	c := qt.New(t)
	p := planner(t, 2)
	granted := map[string]int{}
	for i := range 6 {
		d := decision(p.Apply(1000, request(fmt.Sprint(i))), fmt.Sprint(i))
		c.Assert(d.Grant, qt.IsNotNil)
		c.Assert(d.Grant.Prefill, qt.Equals, "p1")
		granted[d.Grant.Decode]++
	}
	c.Assert(granted, qt.DeepEquals, map[string]int{"d1": 3, "d2": 3})
	d := decision(p.Apply(1000, request("more")), "more")
	c.Assert(d.Refusal, qt.IsNotNil)
	c.Assert(d.Refusal.Reason, qt.Equals, placement.ReasonFull)
	c.Assert(d.Refusal.RetryAfter > 0, qt.IsTrue)
	// Near the predicted end of an answer, queueing is worthwhile.
	queued := request("patient")
	queued.MayQueue = true
	c.Assert(decision(p.Apply(4700, queued), "patient").Queued, qt.IsTrue)
	got := decision(p.Apply(4750, placement.Release{ID: "0", Owner: "n1"}), "patient")
	c.Assert(got.Grant, qt.IsNotNil)
}

func TestQueuedRequestsAreRefused(t *testing.T) {
	c := qt.New(t)
	p := planner(t, 1)
	for i := range 3 {
		p.Apply(1000, request(fmt.Sprint(i)))
	}
	queued := request("patient")
	queued.MayQueue = true
	c.Assert(decision(p.Apply(4700, queued), "patient").Queued, qt.IsTrue)
	got := placement.Decision{}
	for now := clock.Millis(4700); now < 5700 && got.Refusal == nil; now += 10 {
		got = decision(p.Apply(now, placement.Tick{}), "patient")
	}
	c.Assert(got.Refusal, qt.IsNotNil)
	c.Assert(p.Queued(), qt.Equals, 0)
}

func TestFailedEngines(t *testing.T) {
	tests := []struct {
		name    string
		release placement.Release
		want    string // decode engine of the next request; empty: refused
	}{
		{"failed, the other is used", placement.Release{ID: "0", Owner: "n1", FailedEngine: "d1"}, "d2"},
		{"full, the other is used", placement.Release{ID: "0", Owner: "n1", FullEngine: "d1"}, "d2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := planner(t, 2)
			qt.Assert(t, decision(p.Apply(1000, request("0")), "0").Grant.Decode, qt.Equals, "d1")
			p.Apply(1001, test.release)
			qt.Assert(t, decision(p.Apply(1002, request("1")), "1").Grant.Decode, qt.Equals, test.want)
		})
	}
	t.Run("all failed, one is used anyway", func(t *testing.T) {
		p := planner(t, 1)
		p.Apply(1000, request("0"))
		p.Apply(1001, placement.Release{ID: "0", Owner: "n1", FailedEngine: "d1"})
		qt.Assert(t, decision(p.Apply(1002, request("1")), "1").Grant, qt.IsNotNil)
	})
	t.Run("no engine at all", func(t *testing.T) {
		p := planner(t, 0)
		d := decision(p.Apply(1000, request("0")), "0")
		qt.Assert(t, d.Refusal.Reason, qt.Equals, placement.ReasonNoEndpoint)
	})
}

// A new planner learns the allocations of the previous one from announcements; an owner
// that sends nothing loses its allocations.
func TestAllocationsFollowAnnouncements(t *testing.T) {
	c := qt.New(t)
	p := planner(t, 1)
	var holds []placement.HeldAllocation
	for i := range 3 {
		holds = append(holds, placement.HeldAllocation{ID: fmt.Sprint("old", i), Decode: "d1", Prompt: 5000, ExpectedTokens: 800})
	}
	p.Apply(1000, placement.Announcement{Owner: "n1", Zone: "a", Allocations: holds})
	other := request("x")
	other.Owner = "n2"
	c.Assert(decision(p.Apply(1001, other), "x").Refusal, qt.IsNotNil)
	p.Apply(2000, placement.Announcement{Owner: "n1", Zone: "a", Allocations: holds[:2]})
	other.ID = "y"
	c.Assert(decision(p.Apply(2001, other), "y").Grant, qt.IsNotNil)
	p.Apply(9000, placement.Tick{})
	for i := range 3 {
		other.ID = fmt.Sprint("z", i)
		c.Assert(decision(p.Apply(9001, other), other.ID).Grant, qt.IsNotNil)
	}
}

// Another planner may assign the same engine while instances are partitioned; the
// engine's load report shows it.
func TestExternalLoadCounts(t *testing.T) {
	c := qt.New(t)
	p := planner(t, 1)
	c.Assert(decision(p.Apply(1000, request("0")), "0").Grant, qt.IsNotNil)
	p.Apply(1200, placement.Progress{ID: "0", Running: 3})
	c.Assert(decision(p.Apply(1201, request("1")), "1").Refusal, qt.IsNotNil)
	// The report has expired by now.
	c.Assert(decision(p.Apply(3000, request("2")), "2").Grant, qt.IsNotNil)
}

// A message that arrives out of order must not allocate an ended attempt again.
func TestReorderedMessages(t *testing.T) {
	c := qt.New(t)
	p := planner(t, 1)
	p.Apply(1000, placement.Release{ID: "0", Owner: "n1"}) // released before the request arrived
	c.Assert(decision(p.Apply(1001, request("0")), "0").Refusal.Reason, qt.Equals, placement.ReasonMoved)
	p.Apply(1002, placement.Announcement{Owner: "n1", Allocations: []placement.HeldAllocation{{ID: "0", Decode: "d1", Prompt: 15_000, ExpectedTokens: 10}}})
	c.Assert(decision(p.Apply(1003, request("1")), "1").Grant, qt.IsNotNil)
}

// Prefill engines are allocated too: their assigned prompts delay the next one, and a
// zone without prefill engines says so in the refusal, although it could decode.
func TestPrefillEngines(t *testing.T) {
	c := qt.New(t)
	p := planner(t, 4)
	var last time.Duration
	for i := range 6 {
		d := decision(p.Apply(1000, request(fmt.Sprint(i))), fmt.Sprint(i))
		c.Assert(d.Grant, qt.IsNotNil)
		c.Assert(d.Grant.PrefillWait > last || i == 0, qt.IsTrue)
		last = d.Grant.PrefillWait
	}
	late := request("late")
	late.Budget = 200 * time.Millisecond // less than a decode engine needs to prefill the prompt
	c.Assert(decision(p.Apply(1000, late), "late").Refusal.Reason, qt.Equals, placement.ReasonBusy)
	for i := range 6 {
		p.Apply(1100, placement.Progress{ID: fmt.Sprint(i), Prefilled: true, Running: 1})
	}
	late.ID = "in time"
	c.Assert(decision(p.Apply(1101, late), "in time").Grant, qt.IsNotNil)
	without := request("x")
	without.Exclude = []string{"p1"}
	c.Assert(decision(p.Apply(1102, without), "x").Refusal.Reason, qt.Equals, placement.ReasonNoPrefill)
	without.ID, without.Part = "y", placement.DecodeOnly
	c.Assert(decision(p.Apply(1103, without), "y").Grant.Prefill, qt.Equals, "")
	prefillOnly := request("z")
	prefillOnly.Part = placement.PrefillOnly
	c.Assert(decision(p.Apply(1104, prefillOnly), "z").Grant.Decode, qt.Equals, "")
}

// Whatever gateways do, allocations never exceed an engine's memory except through
// announcements, and every request gets exactly one final decision.
func TestRandomRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := planner(rt, 2)
		now, next := clock.Millis(1000), 0
		held := map[string]string{} // decode engine by attempt
		final := map[string]int{}
		take := func(answers []placement.Answer) {
			for _, a := range answers {
				switch {
				case a.Decision.Grant != nil:
					held[a.ID] = a.Decision.Grant.Decode
					final[a.ID]++
				case a.Decision.Refusal != nil:
					final[a.ID]++
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now += clock.Millis(rapid.IntRange(0, 300).Draw(rt, "time"))
			switch rapid.IntRange(0, 2).Draw(rt, "event") {
			case 0:
				req := request(fmt.Sprint(next))
				next++
				req.MayQueue = rapid.Bool().Draw(rt, "patient")
				take(p.Apply(now, req))
			case 1:
				for id := range held {
					delete(held, id)
					take(p.Apply(now, placement.Release{ID: id, Owner: "n1"}))
					break
				}
			case 2:
				var holds []placement.HeldAllocation
				for id, decode := range held {
					holds = append(holds, placement.HeldAllocation{ID: id, Decode: decode, Prompt: 5000, ExpectedTokens: 800})
				}
				take(p.Apply(now, placement.Announcement{Owner: "n1", Zone: "a", Allocations: holds}))
			}
			perEngine := map[string]int{}
			for _, decode := range held {
				perEngine[decode] += 5400
			}
			for decode, tokens := range perEngine {
				if tokens > capacity {
					rt.Fatalf("%s holds %d tokens", decode, tokens)
				}
			}
		}
		take(p.Apply(now+5000, placement.Tick{}))
		for id, n := range final {
			if n != 1 {
				rt.Fatalf("request %s got %d final decisions", id, n)
			}
		}
	})
}

// A planner that has just started reads the load of engines, on which instances that
// have gone may have left work. Without that, after all instances lost power, prompts
// were prefilled for decode engines without memory, and queued behind others.
func TestLeftoverLoad(t *testing.T) {
	tests := []struct {
		name    string
		report  placement.LoadReport
		after   time.Duration
		part    placement.Part
		prefill string // engines of the next request
		decode  string
		refused string
	}{
		{"nothing", placement.LoadReport{Engine: "d1"}, 0, placement.Both, "p1", "d1", ""},
		{"memory in one decode engine", placement.LoadReport{Engine: "d1", UsedTokens: 18_000}, 0, placement.Both, "p1", "d2", ""},
		{"memory, which is free again", placement.LoadReport{Engine: "d1", UsedTokens: 18_000}, 2 * time.Second, placement.Both, "p1", "d1", ""},
		{"work at the prefill engine", placement.LoadReport{Engine: "p1", Running: 1, Waiting: 12}, 0, placement.PrefillOnly, "", "", placement.ReasonBusy},
		{"work, and a decode engine may prefill", placement.LoadReport{Engine: "p1", Running: 1, Waiting: 12}, 0, placement.Both, "", "d1", ""},
		{"work, half of which is done", placement.LoadReport{Engine: "p1", Running: 1, Waiting: 12}, 800 * time.Millisecond, placement.Both, "p1", "d1", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := planner(t, 2)
			if test.decode == "d1" { // of equal engines, the one with less load is used
				p.Apply(1000, placement.LoadReport{Engine: "d2", UsedTokens: 1})
			}
			p.Apply(1000, test.report)
			if test.after > leftoverExpired {
				p.Apply(clock.Millis(1000).Add(test.after), placement.LoadReport{Engine: "d2", UsedTokens: 1})
			}
			req := request("r")
			req.Part = test.part
			d := decision(p.Apply(clock.Millis(1000).Add(test.after), req), "r")
			if test.refused != "" {
				c.Assert(d.Refusal.Reason, qt.Equals, test.refused)
				return
			}
			c.Assert(d.Grant.Prefill, qt.Equals, test.prefill)
			c.Assert(d.Grant.Decode, qt.Equals, test.decode)
		})
	}
}

// leftoverExpired is longer than the leftover memory in a load report counts.
const leftoverExpired = 1500 * time.Millisecond

// A request stays queued for memory as long as it can be in time, even if most slots
// are taken: a refusal and a retry would take longer.
func TestQueuedUntilDeadline(t *testing.T) {
	tests := []struct {
		name   string
		prompt int // of the running requests
		run    int
	}{
		{"three of eight slots", 5000, 3},
		{"five of eight slots", 3000, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := planner(t, 1)
			for i := range test.run {
				req := request(fmt.Sprint(i))
				req.Prompt = test.prompt
				c.Assert(decision(p.Apply(1000, req), req.ID).Grant, qt.IsNotNil)
			}
			p.Apply(4300, placement.Announcement{Owner: "n1", Allocations: firstHeld(test.run)})
			late := request("late") // memory is predicted to be free at 4800
			late.MayQueue = true
			c.Assert(decision(p.Apply(4300, late), "late").Queued, qt.IsTrue)
			c.Assert(decision(p.Apply(4600, placement.Tick{}), "late").Refusal, qt.IsNil)
			answers := p.Apply(4650, placement.Release{ID: "1", Owner: "n1"})
			answers = append(answers, p.Apply(4700, placement.Release{ID: "0", Owner: "n1"})...)
			c.Assert(decision(answers, "late").Grant, qt.IsNotNil)
		})
	}
}

// firstHeld lists the first n requests of a test as still running.
func firstHeld(n int) []placement.HeldAllocation {
	var list []placement.HeldAllocation
	for i := range n {
		list = append(list, placement.HeldAllocation{ID: fmt.Sprint(i), Decode: "d1"})
	}
	return list
}
