package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/placement"
)

// An engine that failed a moment ago gets a request where the sound one has no
// room, unless it answers nothing or the request could not be sent again.
func TestDoubtfulEngines(t *testing.T) {
	tests := []struct {
		name     string
		failures int // of d1, in a row
		room     bool
		change   func(*placement.Ask)
		want     string // decode engine; empty: none
	}{
		{"the sound one has room", 1, true, func(*placement.Ask) {}, "d2"},
		{"it has none", 1, false, func(*placement.Ask) {}, "d1"},
		{"a failure of the decode engine is final", 1, false, func(a *placement.Ask) { a.Once = true }, ""},
		{"any failure is final", 1, false, func(a *placement.Ask) { a.Final = true }, ""},
		{"it answers nothing", 4, false, func(*placement.Ask) {}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := planner(t, 2)
			for i := range test.failures {
				p.Apply(1000, placement.Release{ID: fmt.Sprint("failed", i), Owner: "n1", Failed: "d1"})
			}
			if !test.room {
				fillEngine(c, p, "d2")
			}
			a := ask("a")
			test.change(&a)
			v := verdict(p.Apply(1000, a), "a")
			if test.want == "" {
				c.Assert(v.Refusal, qt.IsNotNil)
				return
			}
			c.Assert(v.Grant, qt.IsNotNil)
			c.Assert(v.Grant.Decode, qt.Equals, test.want)
		})
	}
}

// fillEngine has an engine's memory taken by places of a former planner.
func fillEngine(c *qt.C, p *placement.Planner, id string) {
	p.Apply(1000, placement.Announce{Owner: "n0", Zone: "a", Holds: []placement.Hold{
		{ID: "old", Decode: id, Prompt: capacity, Length: 100},
	}})
	a := ask("fills")
	a.Exclude = []string{"d1"}
	c.Assert(verdict(p.Apply(1000, a), "fills").Refusal, qt.IsNotNil)
}

// Of two engines with room, one that failed lately gets no request that may not be
// sent again, though it holds less.
func TestWhatMayNotBeSentAgainGoesToSoundEngines(t *testing.T) {
	c := qt.New(t)
	p := planner(t, 2)
	c.Assert(verdict(p.Apply(1000, ask("0")), "0").Grant.Decode, qt.Equals, "d1")
	c.Assert(verdict(p.Apply(1000, ask("1")), "1").Grant.Decode, qt.Equals, "d2")
	p.Apply(1000, placement.Release{ID: "1", Owner: "n1", Failed: "d2"}) // it holds nothing now
	later := ask("once")
	later.Once = true
	c.Assert(verdict(p.Apply(2500, later), "once").Grant.Decode, qt.Equals, "d1")
	c.Assert(verdict(p.Apply(2500, ask("any")), "any").Grant.Decode, qt.Equals, "d2")
}
