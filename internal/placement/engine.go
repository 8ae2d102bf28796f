package placement

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// engine is one endpoint of the zone, as this planner tracks it.
type engine struct {
	directory.Endpoint
	addedAt          clock.Millis // when this planner first saw it
	lastView         int          // number of the latest view that listed it
	tieBreak         uint64       // orders engines of equal rank; differs between planners
	capacity         int          // tokens
	slots            int
	switchTime       time.Duration
	blockedUntil     clock.Millis             // gets no requests until then
	rejections       int                      // in a row, at most maxRejectionDoublings, each after the block of the one before
	suspectUntil     clock.Millis             // failed a request: until then it is used only if no other engine has capacity
	failureRate      float64                  // moving average of failed requests, 0 to 1
	prefills         map[string]time.Duration // predicted times of the unfinished prefills assigned to it, by attempt
	prefillSince     clock.Millis             // when the first of them started
	lastPrefillEnd   clock.Millis             // when the latest prefill ended
	prefillingUntil  clock.Millis             // decode: until when it prefills a prompt itself
	externalRequests int                      // requests running there that this planner did not place
	externalAt       clock.Millis             // when that number was reported
	leftoverTokens   int                      // decode: tokens held there that this planner did not place, from a load report
	leftoverUntil    clock.Millis             // decode: until when they count; prefill: until when work placed by others lasts
	allocations      map[string]*allocation
	slowness         float64 // time relative to the typical engine of its stage; 0 if engines are alike
}

// longestRemaining predicts when the last of the answers that this planner placed ends: an engine
// ends what it runs before it changes its stage.
func (e *engine) longestRemaining(now clock.Millis) time.Duration {
	longest := time.Duration(0)
	for _, a := range e.allocations {
		longest = max(longest, a.remaining(now))
	}
	return longest
}

// recordRejection blocks an engine that turned a request away as full. One that does so while this
// planner estimates that most of its memory is free lacks something else: it may be ending what it
// runs before a change of stage. Each request sent there is lost time and retry budget, so the
// block doubles until the engine takes one.
func (e *engine) recordRejection(now clock.Millis, usedTokens int) {
	length := fullBackoff
	if now >= e.blockedUntil && 2*usedTokens < e.capacity {
		length <<= e.rejections
		e.rejections = min(e.rejections+1, maxRejectionDoublings)
	}
	e.blockedUntil = max(e.blockedUntil, now.Add(length))
}

// startPrefill assigns a prompt to a prefill engine.
func (e *engine) startPrefill(now clock.Millis, id string, work time.Duration) {
	if len(e.prefills) == 0 {
		e.prefillSince = now
	}
	if e.prefills == nil {
		e.prefills = map[string]time.Duration{}
	}
	e.prefills[id] = work
}

// canServe reports whether the request may use the engine at all, regardless of its
// load.
func (e *engine) canServe(req Request) bool {
	return e.Service == req.Service && e.State == directory.Ready && !slices.Contains(req.Exclude, e.ID) &&
		(req.Software == "" || e.Software == req.Software)
}

// ownTokens estimates the tokens of KV memory that this planner's allocations hold.
func (e *engine) ownTokens(now clock.Millis) int {
	total := 0
	for _, a := range e.allocations {
		made := int(max(now.Sub(a.firstEventAt), 0) / max(a.tokenTime, time.Microsecond))
		total += a.req.Prompt + max(initialTokens(a.grant.ExpectedTokens), min(made, 2*a.grant.ExpectedTokens))
	}
	return total
}

// initialTokens is the part of an answer that counts as memory from its start, in
// tokens.
func initialTokens(length int) int { return int(initialAnswerFraction * float64(length)) }

// endPrefill removes a prompt from a prefill engine; the next one starts now.
func (e *engine) endPrefill(now clock.Millis, id string) {
	if _, ok := e.prefills[id]; !ok {
		return
	}
	delete(e.prefills, id)
	e.prefillSince = now
}

// prefillBacklog predicts how long a prefill engine needs for the prompts assigned to
// it by this planner and by others.
func (p *Planner) prefillBacklog(now clock.Millis, e *engine) time.Duration {
	var own time.Duration
	for _, work := range e.prefills {
		own += work
	}
	done := now.Sub(e.prefillSince)
	others := time.Duration(0)
	if e.externalRequests > 0 {
		if usual := p.typicalPrefillInterval(e); now.Sub(e.externalAt) < externalLoadPrompts*usual {
			others = time.Duration(e.externalRequests) * usual
		}
	}
	left := max(e.leftoverUntil.Sub(now), 0)
	return max(own+others-done, max(own-done, 0)+left, 0)
}

// usedTokens estimates the tokens of KV memory in use at an engine, including requests
// of other planners.
func (p *Planner) usedTokens(now clock.Millis, e *engine) int {
	total := e.ownTokens(now)
	if e.leftoverUntil > now {
		return total + e.leftoverTokens
	}
	if e.externalRequests == 0 || now.Sub(e.externalAt) > p.externalLoadLifetime(e) {
		return total
	}
	size := p.typicalTokens(e)
	if len(e.allocations) > 0 {
		size = total / len(e.allocations)
	}
	return total + e.externalRequests*size
}

// timeUntilFree predicts how long until the decode engines that may serve a request
// have need tokens free in total; found is false if there are no such engines. Memory
// is assumed to come free at the aggregate rate at which answers are predicted to end,
// because the end of a single answer can hardly be predicted.
func (p *Planner) timeUntilFree(now clock.Millis, req Request, need int) (wait time.Duration, found bool) {
	perSecond := 0.0
	for _, e := range p.engines {
		if !e.canServe(req) || e.Stage == directory.Prefill {
			continue
		}
		found = true
		need -= max(e.capacity-p.usedTokens(now, e), 0)
		for _, a := range e.allocations {
			perSecond += float64(a.tokens()) / max(a.remaining(now), minTimeToEnd).Seconds()
		}
	}
	switch {
	case need <= 0:
		return 0, found
	case perSecond == 0:
		return maxRetryAfter, found
	default:
		return time.Duration(float64(need) / perSecond * float64(time.Second)), found
	}
}

// minTimeToEnd is the shortest time that an answer is assumed to still take.
const minTimeToEnd = 50 * time.Millisecond
