package cell

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// recordFailure counts a failure of an endpoint.
func (c *Cell) recordFailure(now clock.Millis, name string) {
	if s, ok := c.servers[name]; ok && s.health.recordFailure(now, c.mayEject(now, s)) {
		c.options.OnDecision("ejected")
	}
}

func (c *Cell) recordSuccess(s *server) {
	if s.health.recordSuccess() {
		c.options.OnDecision("readmitted")
	}
}

// mayEject reports whether another endpoint of the role may be ejected: at least
// half of them must stay available.
func (c *Cell) mayEject(now clock.Millis, s *server) bool {
	available, all := 0, 0
	for _, other := range c.order {
		if other.Role != s.Role {
			continue
		}
		all++
		if other.available(now, nil) {
			available++
		}
	}
	return 2*(available-1) >= all
}

// evaluatePrefill updates an endpoint's speed from a prefill that ran alone and
// records a failure if that was far slower than the other endpoints' median.
func (c *Cell) evaluatePrefill(now clock.Millis, s *server, tokens int, duration time.Duration) {
	s.learnRate(tokens, duration)
	if tokens < minLearnTokens || duration <= 0 {
		return
	}
	rate := float64(tokens) / duration.Seconds()
	if median := c.median(s, func(o *server) float64 { return o.rate }); median > slowFactor*rate {
		c.recordFailure(now, s.Name)
		return
	}
	c.recordSuccess(s)
}

// evaluateDecode updates the call time of a plain service, or records a failure
// if a finished answer's mean step was far slower than the other endpoints'
// median.
func (c *Cell) evaluateDecode(now clock.Millis, s *server, p Progress) {
	if s.Role == catalog.RoleService {
		s.callTime += time.Duration(ewmaWeight * float64(p.Duration-s.callTime))
		c.recordSuccess(s)
		return
	}
	if p.Tokens < 2 {
		return
	}
	step := float64(p.Duration) / float64(p.Tokens)
	occupancy := max(len(s.used), 1)
	median := c.median(s, func(o *server) float64 { return float64(o.step.predict(occupancy)) })
	if median > 0 && step > slowFactor*median {
		c.recordFailure(now, s.Name)
		return
	}
	c.recordSuccess(s)
}

// median returns the median of a value over the other endpoints of the same
// role, or 0 if there are none.
func (c *Cell) median(s *server, of func(*server) float64) float64 {
	var values []float64
	for _, other := range c.order {
		if other != s && other.Role == s.Role {
			values = append(values, of(other))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
