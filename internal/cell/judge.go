package cell

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// strike counts a failure against an endpoint.
func (c *Cell) strike(now clock.Millis, name string) {
	if s, ok := c.servers[name]; ok && s.health.bad(now, c.spare(now, s)) {
		c.options.Counted("ejected")
	}
}

func (c *Cell) praise(s *server) {
	if s.health.good() {
		c.options.Counted("readmitted")
	}
}

// spare says whether the pool may lose another endpoint: at least half of it
// must stay in service.
func (c *Cell) spare(now clock.Millis, s *server) bool {
	open, all := 0, 0
	for _, other := range c.order {
		if other.Role != s.Role {
			continue
		}
		all++
		if other.open(now, nil) {
			open++
		}
	}
	return 2*(open-1) >= all
}

// judgePrefill learns an endpoint's speed from a prefill that ran alone and
// strikes it when it is far slower than the others.
func (c *Cell) judgePrefill(now clock.Millis, s *server, tokens int, took time.Duration) {
	s.learnRate(tokens, took)
	if tokens < minLearnTokens || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	if median := c.median(s, func(o *server) float64 { return o.rate }); median > grayFactor*rate {
		c.strike(now, s.Name)
		return
	}
	c.praise(s)
}

// judgeDecode does the same with a finished answer's mean step.
func (c *Cell) judgeDecode(now clock.Millis, s *server, p Progress) {
	if s.Role == catalog.RoleService {
		s.call += time.Duration(learning * float64(p.Took-s.call))
		c.praise(s)
		return
	}
	if p.Tokens < 2 {
		return
	}
	step := float64(p.Took) / float64(p.Tokens)
	occupancy := max(len(s.used), 1)
	median := c.median(s, func(o *server) float64 { return float64(o.step.predict(occupancy)) })
	if median > 0 && step > grayFactor*median {
		c.strike(now, s.Name)
		return
	}
	c.praise(s)
}

// median is over the other endpoints of the same role; 0 with none.
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
