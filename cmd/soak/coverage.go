package main

import (
	"github.com/trailshed/trailshed/internal/soak/fleet"
	"github.com/trailshed/trailshed/internal/soak/schedule"
)

// coverage counts what the runs of a command exercised. Steps of one kind that exercise nothing of what they are for
// leave nothing to check.
type coverage struct{ runs, wentOn, failed, repeated int }

// add adds the result of a run.
func (c *coverage) add(r fleet.Result) {
	c.runs++
	c.wentOn += r.WentOn
	c.failed += r.Failed
	c.repeated += r.Repeated
}

// gap returns what runs with steps of one kind did not exercise, or "".
func (c *coverage) gap(only schedule.Kind) string {
	switch {
	case c.runs == 0:
		return ""
	case only == schedule.Rejoin && c.wentOn == 0:
		return "no stream went on after a kill of all instances"
	case only == schedule.Refuse && c.failed == 0:
		return "no endpoint failed a request that it had run"
	case only == schedule.Refuse && c.repeated == 0:
		return "no endpoint repeated a rejection"
	}
	return ""
}
