package gateway

import (
	"context"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/suspension"
)

// watchClock makes timers and connections catch up after the machine was suspended.
// Leases, windows and backoffs need no update, because they are compared with the clock,
// which includes the suspension.
func (g *Gateway) watchClock(ctx context.Context) {
	suspension.Watch(ctx, g.clock, func(slept time.Duration) {
		g.log.Write(eventlog.Line{Event: eventlog.Suspended, Took: slept})
		g.counters.Scope.Counter("suspensions").Inc(1)
		g.forwarder.Resume()
		if slept >= suspension.Long {
			g.transport.Reconnect()
			g.feed.CatchUp() // the current watch may wait on a dead connection
		}
	})
}
