package main

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/soak/fleet"
	"github.com/trailshed/trailshed/internal/soak/schedule"
)

// Seeds that once failed are run again with the kind of steps with which they failed.
func TestRuns(t *testing.T) {
	again := (&command{FailedSeeds: true}).runs()
	qt.Assert(t, again, qt.Contains, seededRun{seed: 5})
	qt.Assert(t, again, qt.Contains, seededRun{seed: 5, only: schedule.Rejoin})
	fresh := (&command{FirstSeed: 7, Seeds: 2, Only: "kill"}).runs()
	qt.Assert(t, slices.Equal(fresh, []seededRun{{7, schedule.Kill}, {8, schedule.Kill}}), qt.IsTrue, qt.Commentf("%v", fresh))
}

// Runs that exercised nothing of what their steps are for are no success.
func TestCoverage(t *testing.T) {
	tests := []struct {
		name    string
		only    schedule.Kind
		results []fleet.Result
		gap     bool
	}{
		{"no run", schedule.Rejoin, nil, false},
		{"all kinds", "", []fleet.Result{{}}, false},
		{"no stream taken up", schedule.Rejoin, []fleet.Result{{}, {}}, true},
		{"none went on", schedule.Rejoin, []fleet.Result{{Rejoined: 3}}, true},
		{"some went on in one run", schedule.Rejoin, []fleet.Result{{}, {Rejoined: 3, WentOn: 2}}, false},
		{"no failure", schedule.Refuse, []fleet.Result{{Repeated: 1}}, true},
		{"no repeated rejection", schedule.Refuse, []fleet.Result{{Failed: 1}}, true},
		{"both", schedule.Refuse, []fleet.Result{{Failed: 1}, {Repeated: 1}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var c coverage
			for _, r := range test.results {
				c.add(r)
			}
			qt.Assert(t, c.gap(test.only) != "", qt.Equals, test.gap, qt.Commentf("%q", c.gap(test.only)))
		})
	}
}
