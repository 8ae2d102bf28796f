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

// errAvoided is returned for a call that was not made because its engine is avoided.
var errAvoided = Error.New("the engine is avoided for now")

// handleNotice applies a notice in a response of one incarnation of an endpoint.
func (g *Gateway) handleNotice(incarnation string, n notice.Notice) {
	if n.Leaving {
		g.counters.Scope.Counter("answers_leaving").Inc(1)
		g.feed.Apply(directory.Leaving{ID: incarnation})
	}
	if n.Limit.Present {
		g.counters.Scope.Counter("answers_limited").Inc(1)
		g.throttle.ObserveLimit(incarnation, n.Limit.Rate)
	}
	if n.Backoff <= 0 {
		return
	}
	g.counters.Scope.Counter("answers_resting").Inc(1)
	if g.balancer.BackOff(g.now(), incarnation, n.Backoff) {
		g.log.Write(eventlog.Line{Event: eventlog.EndpointRests, Endpoint: incarnation, Wait: n.Backoff})
	}
}

// avoids reports whether this instance must not make calls of its own to an engine now:
// the engine asked to back off, its zone is evacuated, or its limit is exhausted. If it
// returns false, it has taken a permit for one call.
func (g *Gateway) avoids(ctx context.Context, engine *directory.Endpoint) bool {
	return g.balancer.InBackoff(g.now(), engine.ID) || g.directory.View().Evacuated[engine.Zone] ||
		g.throttle.Take(ctx, engine.ID, permit.BackgroundPriority) > 0
}

// endpointCold limits the rate of a cold endpoint, if its service has such a limit.
func (g *Gateway) endpointCold(e directory.Endpoint) {
	t := g.directory.View().Table
	if t == nil {
		return
	}
	if s := t.Service(e.Service); s != nil && s.ColdRate > 0 {
		g.throttle.ObserveCold(e.ID, e.Zone, s.ColdRate, e.ColdFor)
	}
}

// zoneOf returns an endpoint's zone, or this instance's if the endpoint is not known.
func (g *Gateway) zoneOf(incarnation string) string {
	if e := g.directory.View().Find(incarnation); e != nil {
		return e.Zone
	}
	return g.self.Zone
}

// fetchLoad requests an engine's load, unless the engine is avoided.
func (g *Gateway) fetchLoad(ctx context.Context, e directory.Endpoint) (placement.LoadReport, error) {
	if g.avoids(ctx, &e) {
		return placement.LoadReport{}, errAvoided
	}
	return g.platform.Load(ctx, g.dialer.Client(e.ID, e.Address), e, func(n notice.Notice) { g.handleNotice(e.ID, n) })
}

// sendOrder sends an order to an engine.
func (g *Gateway) sendOrder(ctx context.Context, o staging.Order, holder string, fence int64) error {
	return g.platform.Order(ctx, o, holder, fence, func(n notice.Notice) { g.handleNotice(o.Endpoint.ID, n) })
}
