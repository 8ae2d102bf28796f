package checker

import (
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
)

// ZoneEvacuated records that the store has acknowledged the evacuation of a zone. The caller
// calls end just before the evacuation is revoked.
func (c *Checker) ZoneEvacuated(zone string) (end func()) { return c.beginChange(&c.evacuated, zone) }

// checkEvacuated checks for a request at an endpoint of an evacuated zone.
func (c *Checker) checkEvacuated(call caller.Call, r Run) {
	for _, change := range c.evacuated {
		if change.target == r.Zone && change.inForce(r) && c.mustKnow(call, r, change.from) {
			c.violated("evacuated zone", call.ID, r.At, "%s sent it to %s %s after %s was evacuated",
				call.Gateway.Name, r.Endpoint, r.At.Sub(change.from).Round(time.Millisecond), change.target)
		}
	}
}
