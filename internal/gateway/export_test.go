package gateway

import (
	"time"

	"github.com/trailshed/trailshed/internal/intake"
)

// BeginOverload makes this instance overloaded, as a long standing wait for the processor does.
func (g *Gateway) BeginOverload() { g.applyWaits(intake.Waits{Processor: time.Second}) }
