package gateway

import (
	"github.com/trailshed/trailshed/internal/admission"
	"github.com/trailshed/trailshed/internal/allotment"
	"github.com/trailshed/trailshed/internal/forward"
	"github.com/trailshed/trailshed/internal/metering"
	"github.com/trailshed/trailshed/internal/route"
)

// workspaceLimiter returns the limiter of workspaces' requests.
func (g *Gateway) workspaceLimiter() forward.Limiter {
	return forward.Limiter{
		Admit: func(w *route.Workspace, c allotment.Class, units float64) admission.Decision {
			return g.meter.Admit(w.Name, metering.LimitOf(w), c, units)
		},
		Credit: func(w *route.Workspace, units float64) { g.meter.Credit(w.Name, units) },
	}
}
