package checker

import (
	"slices"
	"time"
)

// A cold endpoint may receive coldFactor times what its rate allows within coldWindow, and
// coldExtra requests in addition.
const (
	coldWindow = time.Second
	coldFactor = 1.5
	coldExtra  = 5
)

// EndpointCold records that the store has acknowledged an entry that marks an endpoint as
// cold. The caller calls end just before the entry is changed back.
func (c *Checker) EndpointCold(endpoint string) (end func()) { return c.beginChange(&c.cold, endpoint) }

// checkCold checks that the instances that must know that an endpoint is cold do not
// together send it more requests than it accepts.
func (c *Checker) checkCold(runs []Run) {
	for _, change := range c.cold {
		var counted []Run
		for _, r := range runs {
			call, ended := c.calls[r.Request]
			if r.Endpoint == change.target && ended && change.inForce(r) && c.mustKnow(call, r, change.from) {
				counted = append(counted, r)
			}
		}
		slices.SortFunc(counted, func(a, b Run) int { return a.At.Compare(b.At) })
		if r, count := firstExceeding(counted, coldWindow, int(coldFactor*c.Bounds.ColdRate+coldExtra)); count > 0 {
			c.violated("cold endpoint", change.target, r.At, "it accepts %g requests a second, and received %d within %s", c.Bounds.ColdRate, count, coldWindow)
		}
	}
}
