package forward

import (
	"context"
	"time"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Permits control sends to endpoints that accept only so many requests per second from all
// instances together. A request without a permit goes to another endpoint or is refused at
// once: waiting would not reduce the load on an overloaded endpoint, and a refusal costs
// neither a send nor retry budget.
type Permits struct {
	// Take requests a permit for one send to an endpoint. It returns 0 if it got one, or
	// else the time until one may be available.
	Take func(ctx context.Context, endpoint string, priority int) time.Duration
	// Return gives back an unused permit.
	Return func(endpoint string)
	// Withheld returns the endpoints to which no request of the given priority may go, and
	// for how long. The caller owns the map.
	Withheld func(priority int) map[string]time.Duration
	// ReportNoLimit reports that an endpoint answered successfully without stating a limit,
	// and when that request was sent.
	ReportNoLimit func(endpoint string, sent clock.Millis)
}

// reserve reserves a slot at an endpoint of a plain service, with a permit if the endpoint
// has a limit. Endpoints that were passed over for lack of a permit are added to
// criteria.Withheld.
func (f *Forwarder) reserve(ctx context.Context, criteria *balance.Request, priority int) *balance.Reservation {
	criteria.Withheld = f.Permits.Withheld(priority)
	for {
		r := f.Balancer.Reserve(f.Now(), f.Directory.View(), *criteria)
		if r == nil {
			return nil
		}
		after := f.Permits.Take(ctx, r.Endpoint.ID, priority)
		if after == 0 && f.takesWork(r.Endpoint.ID) {
			return r
		}
		r.Done(f.Now(), balance.Canceled)
		if after == 0 {
			f.Permits.Return(r.Endpoint.ID)
			continue
		}
		if criteria.Withheld == nil {
			criteria.Withheld = map[string]time.Duration{}
		}
		criteria.Withheld[r.Endpoint.ID] = after
	}
}

// takesWork reports whether an endpoint of this instance's view takes work at present. One that was chosen may have
// begun to leave while its permit was requested.
func (f *Forwarder) takesWork(id string) bool {
	e := f.Directory.View().Find(id)
	return e != nil && e.State == directory.Ready
}

// takePermits takes the permits for a place at engines, whose planner may not know the
// engines' limits.
func (p *proxyRequest) takePermits(ctx context.Context, place *broker.Place, withPrefill bool) bool {
	if !p.takePermit(ctx, place.Decode) {
		p.failure = reasonLimited
		return false
	}
	if withPrefill && !p.takePermit(ctx, place.Prefill) {
		p.Permits.Return(place.Decode)
		p.failure = reasonLimited
		return false
	}
	return true
}

// takePermit takes a permit for an engine. A stream that has begun waits for one, because
// aborting it would waste all that the caller has received.
func (p *proxyRequest) takePermit(ctx context.Context, engine string) bool {
	after := p.Permits.Take(ctx, engine, p.permitPriority())
	if p.waitToResume(ctx, after) {
		after = p.Permits.Take(ctx, engine, p.permitPriority())
	}
	return after == 0
}

// waitToResume waits for the given time if the request is a stream that has begun and the
// time is short enough: callers give up a stream after a gap of a few seconds. It reports
// whether it waited to the end.
func (p *proxyRequest) waitToResume(ctx context.Context, wait time.Duration) bool {
	if !p.headSent.Load() || wait <= 0 || wait > min(resumeWait, p.left()) {
		return false
	}
	ticker.Sleep(ctx, wait)
	return ctx.Err() == nil
}

// permitPriority returns the request's priority for permits. Streams that have begun take
// precedence over all requests that have not.
func (p *proxyRequest) permitPriority() int {
	if p.headSent.Load() {
		return -1
	}
	return p.priority()
}

// returnPermits gives back the permits of a place to which nothing was sent.
func (p *proxyRequest) returnPermits(place *broker.Place, withPrefill bool) {
	p.Permits.Return(place.Decode)
	if withPrefill {
		p.Permits.Return(place.Prefill)
	}
}

// returnUnsent gives back what was taken for a send that never left: the permit and, if earlier
// sends of its kind were made, the retry budget.
func (p *proxyRequest) returnUnsent(endpoint string, earlierSends int) {
	p.Permits.Return(endpoint)
	if earlierSends > 0 {
		p.budget(p.service).Return(p.Now(), 1)
	}
}

// reasonLimited is the failure reason of a request for which no endpoint has a permit.
const reasonLimited = placement.ReasonLimited

// reportNoLimit reports an endpoint that ran the request and stated no limit.
func (p *proxyRequest) reportNoLimit(e *directory.Endpoint, head ResponseHead, sent clock.Millis) {
	if !head.StatesLimit && !head.NotRun {
		p.Permits.ReportNoLimit(e.ID, sent)
	}
}
