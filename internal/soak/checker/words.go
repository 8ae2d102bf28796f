package checker

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/soak/timeline"
)

const (
	// restBegins is how long after an endpoint has turned an instance away and asked for
	// rest requests may still reach it; restAllowed is how many may later, until that is
	// over.
	restBegins  = 500 * time.Millisecond
	restAllowed = 2
)

// way is from one process of an instance to an endpoint.
type way struct {
	life
	endpoint string
}

// checkWords judges whether instances keep to what endpoints said to them in answers,
// each by itself, also while the store is away.
func (c *Checker) checkWords(runs []Run) {
	ways := map[way][]Run{}
	for _, r := range runs {
		if call, ended := c.calls[r.Request]; ended {
			w := way{lifeOf(call), r.Endpoint}
			ways[w] = append(ways[w], r)
		}
	}
	for w, list := range ways {
		slices.SortFunc(list, func(a, b Run) int { return a.At.Compare(b.At) })
		c.checkAnnounced(w, list)
		c.checkRests(w, list)
	}
}

// checkAnnounced judges requests whose callers sent them long after an answer said that
// the endpoint leaves.
func (c *Checker) checkAnnounced(w way, list []Run) {
	for _, said := range list {
		if !said.Leaving || !c.passedOn(said) {
			continue
		}
		for _, r := range list {
			call := c.calls[r.Request]
			after := call.Sent.Sub(said.Ended)
			if after > c.Bounds.Drain+c.Bounds.Slack && c.heard(w, said, r.At) {
				c.broken("announced leave", call.ID, r.At, "%s sent it to %s %s after an answer said that it leaves",
					w.name, w.endpoint, after.Round(time.Millisecond))
			}
		}
		return // later answers say no more than the first
	}
}

// checkRests judges how many requests reach an endpoint that has asked for rest.
func (c *Checker) checkRests(w way, list []Run) {
	for _, turned := range list {
		if turned.Rest == 0 || !c.passedOn(turned) {
			continue
		}
		late := 0
		for _, r := range list {
			at := r.At.Sub(turned.At)
			if at > restBegins+c.Bounds.Slack && at < turned.Rest && c.heard(w, turned, r.At) {
				late++
			}
		}
		if late > restAllowed {
			c.broken("rest", turned.Request, turned.At, "%s sent %d requests to %s in the %s for which it wanted none",
				w.name, late, w.endpoint, turned.Rest)
		}
	}
}

// passedOn says whether an instance read an endpoint's answer to its end: neither the
// caller nor the instance has left it before.
func (c *Checker) passedOn(r Run) bool {
	return !r.Ended.IsZero() && !r.Cancelled && !c.calls[r.Request].Left
}

// heard says whether an instance got an endpoint's answer and nothing made it forget, or
// kept it from acting on it, until a later moment.
func (c *Checker) heard(w way, said Run, until time.Time) bool {
	return c.Faults.Calm(said.At, until, w.name, timeline.Process) &&
		c.Faults.Calm(said.At.Add(-c.Bounds.Slack), until, w.endpoint, timeline.Endpoint)
}
