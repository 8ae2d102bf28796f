package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/pkg/clock"
)

// handleRequest answers a request with a grant or a refusal, or queues it.
func (p *Planner) handleRequest(now clock.Millis, req Request) {
	if p.allocations[req.ID] != nil {
		return
	}
	if p.ended[req.ID] != 0 {
		p.refuse(req, ReasonMoved, minRetryAfter)
		return
	}
	p.ownerSeenAt[req.Owner] = now
	reason := ReasonFull
	if !req.Late || req.Begun || !p.inTimeQueued(now, req.Service) {
		reason = p.allocateBehind(now, req, p.preceding(p.waitingForMemory(now), req, p.levelOf(req)))
	}
	if reason == "" {
		return
	}
	wait, possible := p.predictWait(now, req)
	if !possible || reason == ReasonNoPrefill {
		p.refuse(req, reason, minRetryAfter)
		return
	}
	if !p.enqueue(now, req, wait, reason) {
		if req.MayQueue {
			p.recordOutcome(now, req, false)
		}
		p.refuse(req, reason, wait)
		return
	}
	p.answers = append(p.answers, Answer{ID: req.ID, Owner: req.Owner, Decision: Decision{Queued: true}})
}

// chooseDecoder returns the decode engine that ranks first among those that are eligible and
// have room, or the reason why there is none. For a request whose decode cannot be retried,
// engines above maxOnceFailureRate come last.
func (p *Planner) chooseDecoder(now clock.Millis, req Request, h health, eligible func(*engine) bool) (*engine, string) {
	if req.FinalDecode {
		h = healthy
	}
	need := p.neededTokens(req)
	var best *engine
	least, risk := 0.0, false
	list := p.usable(now, req, h, func(s directory.Stage) bool { return s != directory.Prefill })
	for _, e := range list {
		if !eligible(e) {
			continue
		}
		used := p.usedTokens(now, e)
		if req.Late && !req.Begun && used > 0 {
			// A late request leaves memory for one more, which may still be in time.
			used += p.typicalTokens(e)
		}
		if used+need > e.capacity && used > 0 || len(e.allocations) >= e.slots {
			continue
		}
		rank, risky := e.decodeRank(used), req.FinalDecode && e.failureRate > maxOnceFailureRate
		if best == nil || risk && !risky || risk == risky && ranksBefore(rank, least, e, best) {
			best, least, risk = e, rank, risky
		}
	}
	switch {
	case best != nil:
		return best, ""
	case len(list) == 0 && !p.hasEngine(req, directory.Decode):
		return nil, ReasonNoEndpoint
	default:
		return nil, ReasonFull
	}
}

// choosePrefiller returns the prefill engine with the shortest backlog or, if engines differ in
// speed, the one that will have prefilled the prompt the soonest, if the request can meet its
// deadline there.
func (p *Planner) choosePrefiller(now clock.Millis, req Request, h health) (*engine, string) {
	var best *engine
	var backlog, least time.Duration // of best: its backlog, and that with its extra time for the prompt
	for _, e := range p.usable(now, req, h, func(s directory.Stage) bool { return s == directory.Prefill }) {
		wait := p.prefillBacklog(now, e)
		if until := wait + p.extraPrefillTime(req, e); best == nil || ranksBefore(until, least, e, best) {
			best, backlog, least = e, wait, until
		}
	}
	switch {
	case best == nil && p.hasEngine(req, directory.Prefill):
		return nil, ReasonBusy
	case best == nil:
		return nil, ReasonNoPrefill
	case req.Late && backlog > 0: // late requests only use idle prefill engines
		return nil, ReasonBusy
	case least+p.minTimeToFirstEvent(req) > req.Budget && !req.Late:
		return nil, ReasonBusy
	default:
		return best, ""
	}
}

// ranksBefore reports whether engine e with value ranks before best with bestValue: the
// smaller value is better. Equals are ordered by tieBreak, so that the same events
// always give the same grants, and planners that are not connected, as in the half
// second after all instances restart, do not all choose the same engine.
func ranksBefore[T cmp.Ordered](value, bestValue T, e, best *engine) bool {
	return value < bestValue || value == bestValue && e.tieBreak < best.tieBreak
}

// hasEngine reports whether any engine of a stage could serve the request, regardless
// of load.
func (p *Planner) hasEngine(req Request, stage directory.Stage) bool {
	for _, e := range p.engines {
		if e.canServe(req) && (e.Stage == directory.Prefill) == (stage == directory.Prefill) {
			return true
		}
	}
	return false
}

// usable returns the acceptable engines, or all if none is acceptable, in both cases
// without those that are blocked.
func (p *Planner) usable(now clock.Millis, req Request, h health, fits func(directory.Stage) bool) []*engine {
	var all, accepted []*engine
	for _, e := range p.engines {
		if !e.canServe(req) || !fits(e.Stage) {
			continue
		}
		all = append(all, e)
		if e.acceptable(now, req, h) {
			accepted = append(accepted, e)
		}
	}
	if len(accepted) == 0 {
		accepted = all
	}
	accepted = slices.DeleteFunc(accepted, func(e *engine) bool { return e.blockedUntil > now })
	return accepted
}

// predictWait predicts how long until there is capacity for the request and those
// queued before it; it returns false if no engine could ever serve it.
func (p *Planner) predictWait(now clock.Millis, req Request) (time.Duration, bool) {
	prefillWait := time.Duration(0)
	switch req.Part {
	case PrefillOnly:
		prefillWait = p.minBacklog(now, req)
	case Both:
		prefillWait = min(p.minBacklog(now, req), p.minSelfPrefillWait(now, req))
	case DecodeOnly, Whole:
	}
	if req.Part == PrefillOnly {
		return prefillWait, p.hasEngine(req, directory.Prefill)
	}
	need, l := p.neededTokens(req), p.levelOf(req)
	for i := range p.queue {
		if q := &p.queue[i]; p.servedBefore(now, q, req, l) {
			need += q.neededTokens
		}
	}
	memoryWait, found := p.timeUntilFree(now, req, need)
	return max(memoryWait, prefillWait), found
}

// minBacklog returns the shortest backlog of the prefill engines that may serve the
// request.
func (p *Planner) minBacklog(now clock.Millis, req Request) time.Duration {
	least, found := time.Duration(0), false
	for _, e := range p.engines {
		if e.Stage != directory.Prefill || !e.canServe(req) {
			continue
		}
		if wait := p.prefillBacklog(now, e); !found || wait < least {
			least, found = wait, true
		}
	}
	return least
}

func (p *Planner) refuse(req Request, reason string, retryAfter time.Duration) {
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	p.answers = append(p.answers, Answer{ID: req.ID, Owner: req.Owner, Priority: p.staticLevel(req).priority(), Final: req.MayQueue, Decision: Decision{
		Refusal: &Refusal{ID: req.ID, Reason: reason, RetryAfter: retryAfter, SharePercent: int(100 * p.shareOf(req))},
	}})
}

func (p *Planner) addAllocation(e *engine, a *allocation) {
	p.allocations[a.req.ID] = a
	if e == nil {
		return
	}
	p.sharesOf(a.req.Service).Add(a.req.Workspace, a.tokens())
	if e.allocations == nil {
		e.allocations = map[string]*allocation{}
	}
	e.allocations[a.req.ID] = a
}

// allocate grants the request if there is capacity now, and returns the reason
// otherwise. Suspect engines are used only if the healthy ones have no capacity.
func (p *Planner) allocate(now clock.Millis, req Request) (reason string) {
	reason = p.allocateFrom(now, req, healthy)
	if reason != ReasonFull && reason != ReasonBusy || req.Final || !p.hasSuspect(now, req) {
		return reason
	}
	if p.allocateFrom(now, req, suspect) == "" {
		return ""
	}
	return reason
}

// allocateFrom is like allocate, with engines of the given health.
func (p *Planner) allocateFrom(now clock.Millis, req Request, h health) (reason string) {
	var decode, prefill *engine
	if req.Part != PrefillOnly {
		if decode, reason = p.chooseDecoder(now, req, h, anyEngine); decode == nil {
			return reason
		}
	}
	if req.Part == Both || req.Part == PrefillOnly {
		decode, prefill, reason = p.choosePair(now, req, h, decode)
		if self := p.chooseSelfPrefiller(now, req, h, decode, prefill, reason); self != nil {
			decode, prefill, reason = self, nil, ""
		}
		if reason != "" {
			return reason
		}
	}
	p.grant(now, req, decode, prefill)
	return ""
}

func anyEngine(*engine) bool { return true }

// choosePair returns a prefill engine, with a decode engine of the same software version: what
// one version keeps of a prompt does not fit another. decode is the one chosen so far; nil if
// another zone decodes. If another version's prefill engines are free sooner, it is replaced.
func (p *Planner) choosePair(now clock.Millis, req Request, h health, decode *engine) (d, prefill *engine, reason string) {
	if decode == nil {
		prefill, reason = p.choosePrefiller(now, req, h)
		return nil, prefill, reason
	}
	d = decode
	prefill, reason = p.choosePrefiller(now, req.at(decode.Software), h)
	if req.Software != "" {
		return d, prefill, reason
	}
	for _, software := range p.prefillVersions(req, decode.Software) {
		other, otherReason := p.choosePrefiller(now, req.at(software), h)
		if prefill == nil && otherReason == ReasonBusy {
			reason = ReasonBusy
		}
		if other == nil || prefill != nil && p.prefillBacklog(now, other) >= p.prefillBacklog(now, prefill) {
			continue
		}
		if decoder, _ := p.chooseDecoder(now, req.at(software), h, anyEngine); decoder != nil {
			d, prefill, reason = decoder, other, ""
		}
	}
	return d, prefill, reason
}

// prefillVersions returns the software versions of the prefill engines that may serve a request,
// in order, without one of them.
func (p *Planner) prefillVersions(req Request, without string) (versions []string) {
	for _, e := range p.engines {
		if e.Stage == directory.Prefill && e.Software != without && e.canServe(req) && !slices.Contains(versions, e.Software) {
			versions = append(versions, e.Software)
		}
	}
	slices.Sort(versions)
	return versions
}

// grant assigns engines to a request; either may be nil. Without a prefill engine the
// decode engine prefills the prompt itself, if the request needs that stage too.
func (p *Planner) grant(now clock.Millis, req Request, decode, prefill *engine) {
	g := Grant{ID: req.ID}
	a := &allocation{req: req, grantedAt: now}
	if decode != nil {
		quantity := firstEventQuantity(req.Part, prefill != nil)
		g.Decode, g.Software = decode.ID, decode.Software
		g.UsedTokens, g.ExpectedTokens = p.usedTokens(now, decode), p.answerTokens(req)
		g.FirstEventTime = p.model.Median(quantity, req.Service, decode.ID, req.Prompt)
		a.tokenTime = p.model.TokenTime(req.Service, decode.ID, len(decode.allocations))
		if quantity == pace.LocalPrefillTime {
			decode.prefillingUntil = now.Add(g.FirstEventTime)
		}
	}
	if prefill != nil {
		g.Prefill, g.PrefillWait = prefill.ID, p.prefillBacklog(now, prefill)
		g.PrefillTime = p.prefillTime(req.Service, prefill.ID, req.Prompt)
		prefill.startPrefill(now, req.ID, p.prefillInterval(req.Service, prefill.ID, req.Prompt))
	}
	for _, e := range []*engine{decode, prefill} {
		if e != nil && now.Sub(e.addedAt) < newEngineInterval {
			g.NewEngines = append(g.NewEngines, e.Endpoint)
		}
	}
	p.recordOutcome(now, req, true)
	a.grant, a.firstEventAt = g, now.Add(g.PrefillWait+g.PrefillTime+g.FirstEventTime)
	p.addAllocation(decode, a)
	p.answers = append(p.answers, Answer{ID: req.ID, Owner: req.Owner, Decision: Decision{Grant: &g}})
}

// firstEventQuantity returns what a decode engine's time to the first event covers: only
// starting to decode, or also the prefill, if no other engine does that.
func firstEventQuantity(part Part, prefill bool) pace.Quantity {
	if part == Whole || part == Both && !prefill {
		return pace.LocalPrefillTime
	}
	return pace.FirstEventTime
}
