package cell

import (
	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// grantBlindly is the baselines: it grants at once, without queue, admission
// or a look at free slots.
func (c *Cell) grantBlindly(now clock.Millis, w *waiting) {
	p := placement{terms: Terms{Budget: w.ask.Budget}}
	p.decode = c.pick(now, w, catalog.RoleDecode) // or a plain service's
	if w.ask.Tokens > 0 {
		p.prefill = c.pick(now, w, catalog.RolePrefill)
	}
	if p.decode == nil || (w.ask.Tokens > 0 && p.prefill == nil) {
		c.refuse(now, w, ReasonNoEndpoint, p.terms)
		return
	}
	c.grant(now, w, p)
}

// pick takes the next endpoint in turn, or the one with the least reported
// load; ties go in turn. Each role has its own turn, among those that fit.
func (c *Cell) pick(now clock.Millis, w *waiting, role string) *server {
	var fit []*server
	for _, s := range c.order {
		if (s.Role == catalog.RolePrefill) == (role == catalog.RolePrefill) && s.open(now, w.ask.Avoid) {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	turn := c.turns[role]
	c.turns[role]++
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

// spreadOf returns a number from 0 to a half that depends on the attempt alone.
func spreadOf(id AttemptID) float64 {
	return float64(xxhash.Sum64String(string(id))%1000) / 2000
}
