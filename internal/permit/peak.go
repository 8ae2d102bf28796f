package permit

import (
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// peakSteps is how many steps instanceRetention is divided into.
	peakSteps = 6
	// minUnknownShares is the minimum number of shares that a limit is divided into as
	// long as this instance may not have seen all others yet.
	minUnknownShares = 8
)

// peakCount holds the largest number of instances seen at once within
// instanceRetention.
type peakCount struct {
	complete bool // all instances have been seen
	peaks    [peakSteps + 1]int
	newest   int64 // number of the newest step
}

func (c *peakCount) observe(now clock.Millis, instances int) {
	c.advance(now)
	n := c.newest % (peakSteps + 1)
	c.peaks[n] = max(c.peaks[n], instances)
}

func (c *peakCount) advance(now clock.Millis) {
	step := int64(now) / (instanceRetention / peakSteps).Milliseconds()
	c.newest = max(c.newest, step-peakSteps-1)
	for c.newest < step {
		c.newest++
		c.peaks[c.newest%(peakSteps+1)] = 0
	}
}

// fraction returns which fraction of a limit the held shares amount to.
func (c *peakCount) fraction(now clock.Millis, held int) float64 {
	c.advance(now)
	total := 1
	if !c.complete {
		total = minUnknownShares
	}
	for _, n := range c.peaks {
		total = max(total, n)
	}
	return min(float64(held)/float64(total), 1)
}
