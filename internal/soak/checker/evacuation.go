package checker

import (
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
)

// Evacuated notes that the store has the order to evacuate a zone. end is to be called
// before that is taken back.
func (c *Checker) Evacuated(zone string) (end func()) { return c.begin(&c.evacuated, zone) }

// checkEvacuated judges a request at an endpoint of a zone that is evacuated.
func (c *Checker) checkEvacuated(call caller.Call, r Run) {
	for _, e := range c.evacuated {
		if e.target == r.Zone && e.stands(r) && c.mustKnow(call, r, e.from) {
			c.broken("evacuated zone", call.ID, r.At, "%s sent it to %s %s after %s was evacuated",
				call.Gateway.Name, r.Endpoint, r.At.Sub(e.from).Round(time.Millisecond), e.target)
		}
	}
}
