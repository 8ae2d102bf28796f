package checker

import (
	"slices"
	"strconv"
	"time"

	"github.com/trailshed/trailshed/internal/soak/timeline"
)

const (
	// limitWindow is the span in which requests to an endpoint that names a limit are
	// counted, limitTimes and limitMore what is allowed in it.
	limitWindow = 4 * time.Second
	limitTimes  = 1.5
	limitMore   = 5
	// limitHeard is how long after an instance has passed on an answer that names a limit
	// its requests count.
	limitHeard = 500 * time.Millisecond
)

// naming is a time for which all answers of an endpoint named a limit.
type naming struct {
	from, to time.Time
	rate     float64 // the highest that was named
	runs     []Run
}

// checkLimits judges whether all instances together keep to the limits that endpoints
// name, also while the store is away.
func (c *Checker) checkLimits(runs []Run) {
	byEndpoint := map[string][]Run{}
	for _, r := range runs {
		byEndpoint[r.Endpoint] = append(byEndpoint[r.Endpoint], r)
	}
	for endpoint, list := range byEndpoint {
		slices.SortFunc(list, func(a, b Run) int { return a.At.Compare(b.At) })
		for _, n := range namings(list) {
			c.checkNaming(endpoint, n)
		}
	}
}

// namings are the times for which an endpoint named a limit; a limit that rises or falls
// begins no other.
func namings(list []Run) []naming {
	var all []naming
	named := false
	for _, r := range list {
		rate, err := strconv.ParseFloat(r.Limit, 64)
		if err != nil {
			named = false
			continue
		}
		if !named {
			all = append(all, naming{from: r.At})
		}
		named = true
		n := &all[len(all)-1]
		n.to, n.rate, n.runs = r.At, max(n.rate, rate), append(n.runs, r)
	}
	return all
}

// checkNaming counts what counts in each window.
func (c *Checker) checkNaming(endpoint string, n naming) {
	begin := n.from.Add(c.Bounds.Contact + c.Bounds.Slack)
	allowed := int(limitTimes*n.rate*limitWindow.Seconds() + limitMore)
	told := map[life]time.Time{}
	var counted []Run
	for _, r := range n.runs {
		call, ended := c.calls[r.Request]
		if !ended {
			continue
		}
		l := lifeOf(call)
		if r.At.After(begin) && c.countsFor(endpoint, l, told, r) {
			counted = append(counted, r)
		}
		if at, known := told[l]; c.passedOn(r) && (!known || r.Ended.Before(at)) {
			told[l] = r.Ended
		}
	}
	if r, got := firstBeyond(counted, limitWindow, allowed); got > 0 {
		c.broken("limit", r.Request, r.At, "%s, which took %g a second, got %d in %s from instances that it had told; allowed %d",
			endpoint, n.rate, got, limitWindow, allowed)
	}
}

// firstBeyond is the first of requests, in order of time, with which more came within a
// window than is allowed, and how many those are; 0: there is none.
func firstBeyond(list []Run, window time.Duration, allowed int) (Run, int) {
	first := 0
	for i, r := range list {
		for r.At.Sub(list[first].At) > window {
			first++
		}
		if got := i - first + 1; got > allowed {
			return r, got
		}
	}
	return Run{}, 0
}

// countsFor says whether a request counts: its instance had passed on such an answer,
// and neither the instance, nor its way to the others, nor the endpoint was struck.
func (c *Checker) countsFor(endpoint string, l life, told map[life]time.Time, r Run) bool {
	at, known := told[l]
	if !known || r.At.Sub(at) < limitHeard+c.Bounds.Slack {
		return false
	}
	from := r.At.Add(-limitWindow - c.Bounds.Contact)
	return c.Faults.Calm(from, r.At, l.name, timeline.Process, timeline.Planned, timeline.Peers) &&
		c.Faults.Calm(from, r.At, endpoint, timeline.Endpoint)
}
