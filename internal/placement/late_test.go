package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/pkg/clock"
)

// lateAsk is an ask that cannot be in time any more and may wait for two seconds.
func lateAsk(id string) placement.Ask {
	a := ask(id)
	a.Budget, a.Late, a.Patient, a.Hold = 0, true, true, 2*time.Second
	return a
}

// fill takes all memory of a zone with one decode engine.
func fill(c *qt.C, p *placement.Planner, now clock.Millis) {
	for i := range 3 {
		a := ask(fmt.Sprint("full", i))
		c.Assert(verdict(p.Apply(now, a), a.ID).Grant, qt.IsNotNil)
	}
}

// What is late waits behind what can be in time, whoever came first.
func TestLateRequestsWaitBehind(t *testing.T) {
	c := qt.New(t)
	p := planner(t, 1)
	fill(c, p, 1000)
	c.Assert(verdict(p.Apply(4200, lateAsk("late")), "late").Queued, qt.IsTrue)
	soon := ask("soon")
	soon.Patient = true
	c.Assert(verdict(p.Apply(4250, soon), "soon").Queued, qt.IsTrue)
	answers := p.Apply(4300, placement.Release{ID: "full0", Owner: "n1"})
	c.Assert(verdict(answers, "soon").Grant, qt.IsNotNil)
	c.Assert(verdict(answers, "late"), qt.Equals, placement.Verdict{})
	// A newcomer that is late does not pass those who can be in time either.
	other := soon
	other.ID = "other"
	c.Assert(verdict(p.Apply(4310, other), "other").Queued, qt.IsTrue)
	c.Assert(verdict(p.Apply(4320, lateAsk("small")), "small").Grant, qt.IsNil)
}

// What is late takes neither the last room of a decode engine nor a prefill
// engine that is busy: whoever comes next may still be in time.
func TestLateRequestsTakeWhatIsLeft(t *testing.T) {
	tests := []struct {
		name    string
		decodes int
		running int  // requests that run
		reading bool // one of them is being read
		granted bool
	}{
		{"nothing runs", 1, 0, false, true},
		{"room for two more", 1, 1, false, true},
		{"room for one more", 1, 2, false, false},
		{"room for one more, and another engine", 2, 3, false, true},
		{"a prompt is being read", 1, 1, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := planner(t, test.decodes)
			for i := range test.running {
				a := ask(fmt.Sprint(i))
				c.Assert(verdict(p.Apply(1000, a), a.ID).Grant, qt.IsNotNil)
				if !test.reading {
					p.Apply(1000, placement.Progress{ID: a.ID, Read: true, Took: 100 * time.Millisecond})
				}
			}
			v := verdict(p.Apply(1000, lateAsk("late")), "late")
			c.Assert(v.Grant != nil, qt.Equals, test.granted)
		})
	}
}

// A request that turns late while it waits goes on waiting, as long as it said,
// and is refused then.
func TestLateRequestsAreHeldForAWhile(t *testing.T) {
	tests := []struct {
		name    string
		freed   clock.Millis // when room comes
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
			a := ask("a")
			a.Patient, a.Hold = true, 2*time.Second
			c.Assert(verdict(p.Apply(4200, a), "a").Queued, qt.IsTrue)
			final := placement.Verdict{}
			for now := clock.Millis(4200); now < 7000 && final.Grant == nil && final.Refusal == nil; now += 10 {
				final = verdict(p.Apply(now, placement.Announce{Owner: "n1", Holds: still(now < test.freed)}), "a")
			}
			c.Assert(final.Grant != nil, qt.Equals, test.granted)
			c.Assert(final.Refusal != nil, qt.Equals, !test.granted)
			c.Assert(p.Queued(), qt.Equals, 0)
		})
	}
}

// still lists what runs after fill: all of it, or nothing.
func still(running bool) []placement.Hold {
	var list []placement.Hold
	for i := range 3 {
		if running {
			list = append(list, placement.Hold{ID: fmt.Sprint("full", i), Decode: "d1"})
		}
	}
	return list
}
