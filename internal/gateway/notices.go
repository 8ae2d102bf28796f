package gateway

import (
	"context"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/notice"
	"github.com/trailshed/trailshed/internal/permit"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/staging"
)

// errRests says that a call was not made because its engine wants none now.
var errRests = Error.New("the engine rests")

// noticed takes what one life of an endpoint says of itself in an answer.
func (g *Gateway) noticed(life string, n notice.Notice) {
	if n.Leaving {
		g.counters.Scope.Counter("answers_leaving").Inc(1)
		g.feed.Tell(directory.Leaving{ID: life})
	}
	if n.Limit.Named {
		g.counters.Scope.Counter("answers_limited").Inc(1)
		g.throttle.Named(life, n.Limit.Rate)
	}
	if n.Rest <= 0 {
		return
	}
	g.counters.Scope.Counter("answers_resting").Inc(1)
	if g.balancer.Rest(g.now(), life, n.Rest) {
		g.log.Write(eventlog.Line{Event: eventlog.EndpointRests, Endpoint: life, Wait: n.Rest})
	}
}

// spares says whether an engine is to get no call of this instance's own now: it wants to
// be left alone, its zone is evacuated, or its limit has no room.
func (g *Gateway) spares(ctx context.Context, engine *directory.Endpoint) bool {
	return g.balancer.Rests(g.now(), engine.ID) || g.directory.View().Evacuated[engine.Zone] ||
		g.throttle.Take(ctx, engine.ID, permit.Background) > 0
}

// warming takes that an endpoint is cold, if its service bounds what a cold one takes.
func (g *Gateway) warming(e directory.Endpoint) {
	t := g.directory.View().Table
	if t == nil {
		return
	}
	if s := t.Service(e.Service); s != nil && s.ColdRate > 0 {
		g.throttle.Warming(e.ID, e.Zone, s.ColdRate, e.Cold)
	}
}

// zoneOf is an endpoint's zone; the own one if it is not known.
func (g *Gateway) zoneOf(life string) string {
	if e := g.directory.View().Find(life); e != nil {
		return e.Zone
	}
	return g.self.Zone
}

// load asks an engine what it works on, unless it wants to be left alone.
func (g *Gateway) load(ctx context.Context, e directory.Endpoint) (placement.Loaded, error) {
	if g.spares(ctx, &e) {
		return placement.Loaded{}, errRests
	}
	return g.platform.Load(ctx, e, func(n notice.Notice) { g.noticed(e.ID, n) })
}

// order sends an engine an order.
func (g *Gateway) order(ctx context.Context, o staging.Order, holder string, fence int64) error {
	return g.platform.Order(ctx, o, holder, fence, func(n notice.Notice) { g.noticed(o.Endpoint.ID, n) })
}
