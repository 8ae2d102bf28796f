package checker

import (
	"slices"
	"strings"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

const (
	// endsKnown is after how many endpoints that a request has ended all must know.
	endsKnown = 3
	// sendsAfter is how often it may reach endpoints once they do.
	sendsAfter = 3
)

// checkPoison judges how often requests that end endpoints were sent to more of them,
// by instances that could know of it.
func (c *Checker) checkPoison(runs []Run) {
	byBody := map[string][]Run{}
	for _, r := range runs {
		if strings.HasPrefix(r.Body, caller.PoisonMark) {
			byBody[r.Body] = append(byBody[r.Body], r)
		}
	}
	for body, list := range byBody {
		slices.SortFunc(list, func(a, b Run) int { return a.At.Compare(b.At) })
		ended, later := 0, 0
		var third Run
		for _, r := range list {
			if ended >= endsKnown && r.At.After(third.At.Add(c.Bounds.Contact+c.Bounds.Slack)) && c.knows(r) {
				later++
			}
			if r.Ran && !r.Prefill {
				if ended++; ended == endsKnown {
					third = r
				}
			}
		}
		if later > sendsAfter {
			c.broken("ends endpoints", body, third.At, "it was sent %d times more once it had ended %d endpoints; %d ended in all", later, endsKnown, ended)
		}
	}
}

// knows says whether the instance that sent a request was in touch.
func (c *Checker) knows(r Run) bool {
	call, ended := c.calls[r.Request]
	from := r.At.Add(-c.Bounds.Contact - c.Bounds.Slack)
	return ended && c.Faults.Calm(from, r.At, call.Gateway.Name, timeline.Process, timeline.Planned, timeline.Door) &&
		c.Faults.Calm(from, r.At, "", timeline.Store)
}
