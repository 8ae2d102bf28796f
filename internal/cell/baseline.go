package cell

import (
	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// grantBaseline implements the baseline policies: it grants at once, without
// queue, admission control or a check for free slots.
func (c *Cell) grantBaseline(now clock.Millis, w *waiting) {
	p := placement{terms: Terms{Budget: w.request.Budget}}
	p.decode = c.pickBaseline(now, w, catalog.RoleDecode) // also picks plain services
	if w.request.Tokens > 0 {
		p.prefill = c.pickBaseline(now, w, catalog.RolePrefill)
	}
	if p.decode == nil || (w.request.Tokens > 0 && p.prefill == nil) {
		c.refuse(now, w, ReasonNoEndpoint, p.terms)
		return
	}
	c.grant(now, w, p)
}

// pickBaseline returns the next available endpoint in rotation, or, with
// PolicyLagged, the one with the least reported load, with ties in rotation.
// Prefill endpoints and the others rotate separately.
func (c *Cell) pickBaseline(now clock.Millis, w *waiting, role string) *server {
	var fit []*server
	for _, s := range c.order {
		if (s.Role == catalog.RolePrefill) == (role == catalog.RolePrefill) && s.available(now, w.request.Avoid) {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	turn := c.rotation[role]
	c.rotation[role]++
	best := fit[turn%len(fit)]
	if c.options.Policy == PolicyRoundRobin {
		return best
	}
	for i := range fit {
		s := fit[(turn+i)%len(fit)]
		if s.report.Running+s.report.Waiting < best.report.Running+best.report.Waiting {
			best = s
		}
	}
	return best
}

// jitter returns a fraction below 0.5 that depends on the attempt id alone.
func jitter(id AttemptID) float64 {
	return float64(xxhash.Sum64String(string(id))%1000) / 2000
}
