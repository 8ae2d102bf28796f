package gateway

import (
	"context"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/suspension"
)

// watchClock has what waits on timers or connections catch up once the machine was
// suspended. Leases, windows and rests are compared with the clock, which went on.
func (g *Gateway) watchClock(ctx context.Context) {
	suspension.Watch(ctx, g.clock, func(slept time.Duration) {
		g.log.Write(eventlog.Line{Event: eventlog.Suspended, Took: slept})
		g.counters.Scope.Counter("suspensions").Inc(1)
		g.forwarder.Resume()
		if slept >= suspension.Long {
			g.transport.Reconnect()
			g.feed.CatchUp() // the watch in progress may wait on a connection that is dead
		}
	})
}
