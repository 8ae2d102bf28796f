package checker

import (
	"time"

	"github.com/trailshed/trailshed/internal/soak/timeline"
)

const (
	// minEndlessCalls is how many calls must have reached endpoints with answers without end for their share to be
	// checked, and minEndlessServed the fraction of them that get an answer from elsewhere.
	minEndlessCalls  = 12
	minEndlessServed = 1.0 / 2
	// AmpleRetrySlack is the slack of a retry budget that allows to send such calls again.
	AmpleRetrySlack = 500
)

// checkEndless checks that instances stop reading answers without end with their calls, and that calls that may be
// sent again get their answers from elsewhere.
func (c *Checker) checkEndless(byCall map[string][]Run) {
	var elsewhere share
	for id, runs := range byCall {
		call, ended := c.calls[id]
		if !ended {
			continue
		}
		reached := 0
		for _, r := range runs {
			if r.Endless {
				reached++
				c.checkEndlessRun(call.Ended, call.Gateway.Name, r)
			}
		}
		// With two such endpoints, all attempts of a call may be spent.
		if reached == 1 && !call.Kind.AtMostOnce && call.Kind.HomeZone == "" && !call.Disconnected && !call.Crashes() &&
			c.Faults.Undisturbed(call.Sent.Add(-c.Bounds.CalmTime), call.Ended, call.Gateway.Name, timeline.Process, timeline.Planned, timeline.Links) &&
			c.Faults.Without(call.Sent.Add(-c.Bounds.CalmTime), call.Ended, "", timeline.Endpoint, timeline.Silence, timeline.Load, timeline.Flood) {
			elsewhere.add(call.Reply.Err == nil && call.Reply.Status == 200)
		}
	}
	if c.Bounds.RetrySlack >= AmpleRetrySlack && elsewhere.all >= minEndlessCalls && elsewhere.ratio() < minEndlessServed {
		c.violated("served elsewhere", "all", time.Now(), "%d of %d calls that reached an endpoint without end were answered", elsewhere.served, elsewhere.all)
	}
}

// checkEndlessRun checks for an answer without end that was read long after its call had ended.
func (c *Checker) checkEndlessRun(callEnded time.Time, instance string, r Run) {
	ended, deadline := r.Ended, callEnded.Add(c.Bounds.CancelDelay+c.Bounds.Slack)
	if ended.IsZero() {
		ended = time.Now()
	}
	if ended.After(deadline) && c.Faults.Undisturbed(r.At, ended, instance, timeline.Process, timeline.Links) &&
		c.Faults.Without(r.At, ended, r.Endpoint, timeline.Endpoint) {
		c.violated("caller gone", r.Request, deadline, "%s read an answer without end of %s for %s after its call had ended",
			instance, r.Endpoint, ended.Sub(callEnded).Round(time.Millisecond))
	}
}
