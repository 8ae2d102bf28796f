package reachability_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/reachability"
	"github.com/trailshed/trailshed/pkg/clock"
)

// size is the number of endpoints of the service "web".
const size = 5

var errRefused = errors.New("refused")

// step is one connection attempt to an endpoint of the service "web".
type step struct {
	endpoint  string
	connected bool // or else a peer connected in this instance's stead
}

func TestTable(t *testing.T) {
	tests := []struct {
		name           string
		size           int
		steps          []step
		bypassed, kept []string // endpoints reached through peers, and those that are not
		lost, regained int
	}{
		{"nothing happened", size, nil, nil, []string{"a", "b"}, 0, 0},
		{"one endpoint", size, []step{{"a", false}}, []string{"a"}, []string{"b"}, 0, 0},
		{"same endpoint twice", size, []step{{"a", false}, {"a", false}}, []string{"a"}, []string{"b"}, 0, 0},
		{"two endpoints", size, []step{{"a", false}, {"b", false}}, []string{"a", "b", "c"}, nil, 1, 0},
		{"only endpoint of its service", 1, []step{{"a", false}}, []string{"a"}, nil, 1, 0},
		{"one comes back", size, []step{{"a", false}, {"a", true}}, nil, []string{"a", "b"}, 0, 0},
		{"links come back", size, []step{{"a", false}, {"b", false}, {"a", true}}, nil, []string{"a", "b", "c"}, 1, 1},
		{"links to a part of the endpoints", size, []step{{"a", false}, {"c", true}, {"b", false}, {"c", true}, {"a", false}}, []string{"a", "b"}, []string{"c"}, 0, 0},
		{"another connects", size, []step{{"a", false}, {"c", true}}, []string{"a"}, []string{"b", "c"}, 0, 0},
		{"lost twice", size, []step{{"a", false}, {"b", false}, {"c", true}, {"a", false}, {"b", false}}, []string{"a", "b", "c"}, nil, 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := clock.Millis(1000)
			table := reachability.New(func() clock.Millis { return now })
			lost, regained := 0, 0
			table.OnLost = func(reachability.Loss) { lost++ }
			table.OnRegained = func(l reachability.Loss) {
				regained++
				c.Check(l.Length > 0, qt.IsTrue)
			}
			for _, s := range test.steps {
				now = now.Add(time.Second)
				if s.connected {
					table.RecordConnection("web", s.endpoint)
				} else {
					table.RecordBypass("web", s.endpoint, test.size, errRefused)
				}
			}
			for _, e := range test.bypassed {
				c.Check(table.Bypassed("web", e), qt.IsTrue, qt.Commentf(e))
			}
			for _, e := range test.kept {
				c.Check(table.Bypassed("web", e), qt.IsFalse, qt.Commentf(e))
			}
			c.Check(table.Bypassed("llm", "a"), qt.IsFalse)
			c.Check(table.Lost(), qt.Equals, lost > regained)
			c.Check(lost, qt.Equals, test.lost)
			c.Check(regained, qt.Equals, test.regained)
		})
	}
}

// A service whose endpoints are all replaced while its links are lost is tried again: no probe
// of an endpoint that is gone could show that they are back.
func TestForgottenEndpoints(t *testing.T) {
	c := qt.New(t)
	table := reachability.New(func() clock.Millis { return 1 })
	table.RecordBypass("web", "a", size, errRefused)
	table.RecordBypass("web", "b", size, errRefused)
	table.Forget("web", "a")
	c.Assert(table.Bypassed("web", "c"), qt.IsTrue)
	table.Forget("web", "b")
	c.Assert(table.Bypassed("web", "c"), qt.IsFalse)
	c.Assert(table.Lost(), qt.IsFalse)
}

// The evidence names the endpoints and what the own connections failed with.
func TestEvidence(t *testing.T) {
	c := qt.New(t)
	table := reachability.New(func() clock.Millis { return 1 })
	evidence := ""
	table.OnLost = func(l reachability.Loss) { evidence = l.Service + ": " + l.Evidence }
	table.RecordBypass("web", "b", size, errRefused)
	table.RecordBypass("web", "a", size, errors.New("timed out"))
	c.Assert(evidence, qt.Equals, "web: a: timed out; b: refused; peers connected")
}
