package checker

import (
	"slices"
	"time"
)

// Within coldWindow a cold endpoint may get coldTimes what it takes, and coldMore besides.
const (
	coldWindow = time.Second
	coldTimes  = 1.5
	coldMore   = 5
)

// Cold notes that the store has an endpoint's entry that tells that it is cold. end is to
// be called before it tells otherwise.
func (c *Checker) Cold(endpoint string) (end func()) { return c.begin(&c.cold, endpoint) }

// checkCold judges whether all instances that must know of a cold endpoint together spare
// it.
func (c *Checker) checkCold(runs []Run) {
	for _, e := range c.cold {
		var counted []Run
		for _, r := range runs {
			call, ended := c.calls[r.Request]
			if r.Endpoint == e.target && ended && e.stands(r) && c.mustKnow(call, r, e.from) {
				counted = append(counted, r)
			}
		}
		slices.SortFunc(counted, func(a, b Run) int { return a.At.Compare(b.At) })
		if r, got := firstBeyond(counted, coldWindow, int(coldTimes*c.Bounds.ColdRate+coldMore)); got > 0 {
			c.broken("cold endpoint", e.target, r.At, "it takes %g a second, and got %d in %s", c.Bounds.ColdRate, got, coldWindow)
		}
	}
}
