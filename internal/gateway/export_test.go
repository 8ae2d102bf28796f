package gateway

import (
	"log"
	"time"

	"github.com/trailshed/trailshed/internal/intake"
)

// BeginOverload makes this instance overloaded, as a long standing wait for the processor does.
func (g *Gateway) BeginOverload() { g.applyWaits(intake.Waits{Processor: time.Second}) }

// ServerErrorLog returns the log of the HTTP server for callers.
func (g *Gateway) ServerErrorLog() *log.Logger { return g.servers[0].ErrorLog }

// FailListener makes the listener for readiness checks fail.
func (g *Gateway) FailListener() { _ = g.listeners[1].Close() }
