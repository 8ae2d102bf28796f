package forward

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
)

func (p *proxyRequest) findPlace(ctx context.Context) (*broker.Place, *placement.Refusal) {
	req := p.newPlaceRequest(p.placePrefix + strconv.Itoa(p.placeRequests))
	p.setPlaceWait(&req)
	req.Exclude = slices.Concat(p.tried, p.prefill.tried, p.prefill.rejected, p.unavailableEngines())
	req.Avoid = append(p.Balancer.Ejected(p.Now()), p.prefill.avoid...)
	req.Part = p.neededPart()
	place, refusal := p.FindPlace(ctx, req, p.allowedArea())
	if place != nil {
		place = p.preferConfirmed(ctx, place, req)
	}
	return place, refusal
}

// setPlaceWait sets how long the request may wait for a place.
func (p *proxyRequest) setPlaceWait(req *placement.Request) {
	left := p.left()
	inTime := p.route.Target - p.Now().Sub(p.arrived)
	switch {
	case p.beside != nil: // the silent endpoint may go on while the request waits
		req.Late, req.Budget = true, min(latePlaceWait, left-minAnswerTime)
	case p.headSent.Load(): // the caller is waiting in the middle of a stream
		req.Late, req.QueueTime = true, min(resumeWait, left/maxWaitDivisor)
	case p.prefill.handle != nil: // the KV cache must not expire
		req.Budget = min(latePlaceWait, left)
	default:
		req.Budget, req.Late = min(max(inTime, 0), left), inTime <= 0
		req.QueueTime = min(inTime+extraWaitTargets*p.route.Target, left/maxWaitDivisor)
	}
}

// newPlaceRequest returns a request for a place. The suffix must be unique within this request.
func (p *proxyRequest) newPlaceRequest(suffix string) placement.Request {
	return placement.Request{
		ID: p.call.ID + "/" + suffix, Service: p.service, Route: p.route.Name,
		Prompt: p.call.PromptTokens, ExpectedTokens: p.call.ExpectedOutputTokens, MaxTokens: p.call.MaxOutputTokens,
		FinalDecode: !p.route.Repeatable() || p.otherRuns()+1 >= p.route.Attempts,
		Final:       p.budget(p.service).Left(p.Now()) < 1,
		Software:    p.neededSoftware(), Begun: p.version.began,
		Rank: placement.RankOf(p.priority()), RouteRank: placement.RankOf(p.route.Priority), Workspace: p.workspaceName(),
	}
}

const (
	// latePlaceWait is how long a request that has a KV cache, or that moves to another
	// endpoint, waits for a place.
	latePlaceWait = 600 * time.Millisecond
	// resumeWait is the same for a stream that has begun: callers give up a stream after a
	// gap of a few seconds.
	resumeWait = 1500 * time.Millisecond
	// minAnswerTime is the part of a request's time that is kept for the response itself
	// when the request moves to another endpoint.
	minAnswerTime = 1500 * time.Millisecond
	// extraWaitTargets is how many times the route's target, beyond the first, a request
	// that will be late may wait for a place. Callers give up a stream without any event
	// after four targets, and the last of these is needed for the prefill. Since the
	// response takes time too, the wait is also limited to the remaining time divided by
	// maxWaitDivisor.
	extraWaitTargets = 2
	maxWaitDivisor   = 2
)

// neededPart returns which engines the request needs now.
func (p *proxyRequest) neededPart() placement.Part {
	switch {
	case p.prefill.handle != nil:
		return placement.DecodeOnly
	case p.prefill.sends >= maxPrefillSends || p.call.PromptTokens == 0:
		return placement.Whole
	default:
		return placement.Both
	}
}

// unavailableEngines returns the engines that accept nothing from this instance, according
// to their responses, and those without a permit for the request. Planners on other
// instances may not know about them.
func (p *proxyRequest) unavailableEngines() []string {
	withheld := slices.Collect(maps.Keys(p.Permits.Withheld(p.permitPriority())))
	return slices.Concat(p.Directory.View().Leaving[p.service], p.Balancer.BackedOff(p.Now()), withheld)
}

// findEngine returns the engine with the given ID, or nil if the engine is leaving or the
// request may not go to its zone. The planner may know an engine that this instance does
// not know yet, and then sends its data along; conversely, it may not know yet that an
// engine is leaving. The engine is looked up in the present view, not in that of the step:
// a step waits for a place, for permits and for the prefill, and an engine may begin to leave
// meanwhile.
func (p *proxyRequest) findEngine(id string) *directory.Endpoint {
	area := p.allowedArea()
	if e := p.Directory.View().Find(id); e != nil && e.Service == p.service {
		if e.State != directory.Ready || !area.Allows(e.Zone) {
			return nil
		}
		return e
	}
	for _, e := range p.place.NewEngines {
		if e.ID == id && area.Allows(e.Zone) && !p.Directory.Supersedes(e) {
			return &e
		}
	}
	return nil
}

// findDecoder is findEngine for a decode engine. It returns nil if the engine's software version
// does not fit what the request has received so far.
func (p *proxyRequest) findDecoder(id string) *directory.Endpoint {
	e := p.findEngine(id)
	if e == nil || p.version.excludes(e) {
		return nil
	}
	if needed := p.neededSoftware(); needed != "" && e.Software != needed {
		return nil
	}
	return e
}

// fitTogether reports whether a decode engine may use what a prefill engine keeps of a prompt.
func (p *proxyRequest) fitTogether(prefill string, decode *directory.Endpoint) bool {
	e := p.findEngine(prefill)
	return e == nil || e.Software == decode.Software
}

// logPlace logs a place and predicts the time of the first event.
func (p *proxyRequest) logPlace(place *broker.Place) {
	n := p.logLine(eventlog.Placed, "", nil)
	n.Endpoint, n.Prefill, n.Zone, n.Wait, n.Count = place.Decode, place.Prefill, place.Zone, place.PrefillWait, int64(place.UsedTokens)
	p.requestLog.Write(n)
	if p.headSent.Load() {
		return
	}
	p.predicted = p.Now().Sub(p.arrived) + place.FirstEventTime
	if p.prefill.handle == nil {
		p.predicted += place.PrefillWait + place.PrefillTime
	}
}
