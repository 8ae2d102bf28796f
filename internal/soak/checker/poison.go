package checker

import (
	"slices"
	"strings"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

const (
	// poisonCrashes is the number of endpoints crashed by a request after which all
	// instances must know that the request crashes endpoints.
	poisonCrashes = 3
	// maxSendsAfter is how often the request may reach endpoints after that.
	maxSendsAfter = 3
)

// checkPoison checks how often a request that crashes endpoints was sent on by instances
// that must know of it.
func (c *Checker) checkPoison(runs []Run) {
	byBody := map[string][]Run{}
	for _, r := range runs {
		if strings.HasPrefix(r.Body, caller.PoisonMarker) {
			byBody[r.Body] = append(byBody[r.Body], r)
		}
	}
	for body, list := range byBody {
		slices.SortFunc(list, func(a, b Run) int { return a.At.Compare(b.At) })
		crashes, later := 0, 0
		var threshold Run
		for _, r := range list {
			if crashes >= poisonCrashes && r.At.After(threshold.At.Add(c.Bounds.CalmTime+c.Bounds.Slack)) && c.inContact(r) {
				later++
			}
			if r.Ran && !r.Prefill {
				if crashes++; crashes == poisonCrashes {
					threshold = r
				}
			}
		}
		if later > maxSendsAfter {
			c.violated("ends endpoints", body, threshold.At, "it was sent %d more times after it had crashed %d endpoints; %d crashed in all", later, poisonCrashes, crashes)
		}
	}
}

// inContact reports whether the instance that sent a request was running and could reach
// the store.
func (c *Checker) inContact(r Run) bool {
	call, ended := c.calls[r.Request]
	from := r.At.Add(-c.Bounds.CalmTime - c.Bounds.Slack)
	return ended && c.Faults.Undisturbed(from, r.At, call.Gateway.Name, timeline.Process, timeline.Planned, timeline.InstanceStore) &&
		c.Faults.Undisturbed(from, r.At, "", timeline.Store)
}
