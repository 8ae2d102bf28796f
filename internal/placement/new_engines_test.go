package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/pkg/clock"
)

// When thirty of a hundred engines restart at once, they are the emptiest, and the
// planner, which watches the store, knows them up to a second before the gateways do.
// Grants include their addresses until all gateways must know them.
func TestGrantsIncludeNewEngines(t *testing.T) {
	later := clock.Millis(10_000)
	tests := []struct {
		name     string
		at       clock.Millis
		included []string
	}{
		{"added recently", later.Add(50 * time.Millisecond), []string{"d2"}},
		{"added long ago", later.Add(5 * time.Second), nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := planner(t, 1)
			p.Apply(later, placement.ViewUpdate{View: view(t, 2)})
			req := request("1")
			req.Exclude = []string{"d1"}
			answers := p.Apply(test.at, req)
			c.Assert(answers, qt.HasLen, 1)
			g := answers[0].Decision.Grant
			c.Assert(g, qt.IsNotNil)
			c.Assert(g.Decode, qt.Equals, "d2")
			var got []string
			for _, e := range g.NewEngines {
				got = append(got, e.ID)
			}
			c.Assert(got, qt.DeepEquals, test.included)
		})
	}
}
