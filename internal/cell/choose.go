package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// lookahead is how much given work a prefill endpoint may have left when
	// more is granted: enough to hide the way to it, little enough that the
	// order of service is decided here and not in the endpoint's queue.
	lookahead = 30 * time.Millisecond
	// blockedLimit bounds how many waiting requests are tried in one go.
	blockedLimit = 8
	// retryBurst is the most retries that can be saved up.
	retryBurst = 10.0
	// retryFloor and retryCeiling bound what refused callers are told.
	retryFloor   = 200 * time.Millisecond
	retryCeiling = 15 * time.Second
)

// placement is where and when an attempt could run.
type placement struct {
	prefill *server
	decode  *server
	cached  int
	terms   Terms
}

// ask decides at once where it can: grant, refuse or wait.
func (c *Cell) ask(now clock.Millis, a Ask) {
	if c.reservations[a.Attempt] != nil || c.queue.find(a.Attempt) != nil || c.over[a.Attempt] > 0 {
		return // asked again because the answer is late; it will come
	}
	c.owners[a.Owner.id()] = max(c.owners[a.Owner.id()], now)
	w := c.newWaiting(now, a)
	if c.options.Policy != PolicyJoint {
		c.grantBlindly(now, w)
		return
	}
	if a.Retry {
		if c.retries < 1 {
			c.refuse(now, w, ReasonRetryBudget, Terms{Budget: a.Budget})
			return
		}
		c.retries--
	}
	best, ok := c.fastest(now, w)
	if !ok {
		c.refuse(now, w, ReasonNoEndpoint, Terms{Budget: a.Budget})
		return
	}
	c.queue.add(w)
	c.queue.sort()
	best.Wait = c.predictWait(now, slices.Index(c.queue.items, w))
	best.Budget = a.Budget
	if best.late() {
		c.queue.remove(a.Attempt)
		c.refuse(now, w, ReasonLate, best)
		return
	}
	c.decide(now, a.Attempt, "waiting", best)
}

func (c *Cell) newWaiting(now clock.Millis, a Ask) *waiting {
	w := &waiting{ask: a, rank: math.MaxInt, weight: 1, cost: 1, since: now, deadline: now.Add(a.Budget)}
	if class, ok := c.catalog.Classes[a.Class]; ok {
		w.rank, w.share, w.tbt = class.Rank, class.Share, class.TBT
	}
	if ws, ok := c.catalog.Workspaces[a.Workspace]; ok {
		w.weight = ws.Weight
	}
	if kind, ok := c.catalog.Kinds[a.Kind]; ok {
		w.cost = kind.Weight
	}
	if a.Tokens > 0 {
		length := c.lengths.predict(lengthKey(a.Workspace, a.Kind), a.MaxTokens)
		w.cost *= float64(a.Tokens) + tokenCost*float64(length)
	}
	return w
}

// tokenCost is an output token's work in prompt tokens: a prefill of a thousand
// tokens costs about as much as some tens of output tokens (brief).
const tokenCost = 25

// fastest returns the terms of the best placement if nothing were in the way;
// ok is false when no endpoint could ever take the request.
func (c *Cell) fastest(now clock.Millis, w *waiting) (best Terms, ok bool) {
	decode := c.emptiest(func(s *server) bool { return s.promising(now, w.ask.Avoid) })
	if decode == nil {
		return best, false
	}
	best.Step = c.firstStep(decode)
	if w.ask.Tokens == 0 {
		return best, true
	}
	for _, p := range c.prefills(func(s *server) bool { return s.promising(now, w.ask.Avoid) }) {
		cached := p.prefixes.expect(w.ask.Blocks, w.ask.Tokens)
		took, link := p.prefillTime(w.ask.Tokens, cached), p.linkTime(w.ask.Tokens)
		if !ok || took+link < best.Prefill+best.Link {
			best.Prefill, best.Link, best.Cached, ok = took, link, cached, true
		}
	}
	return best, ok
}

func (c *Cell) prefills(fits func(*server) bool) []*server {
	var open []*server
	for _, s := range c.order {
		if s.Role == catalog.RolePrefill && fits(s) {
			open = append(open, s)
		}
	}
	return open
}

// emptiest returns the decode or service endpoint with the least taken part of
// its slots among those that fit.
func (c *Cell) emptiest(fits func(*server) bool) *server {
	var best *server
	for _, s := range c.order {
		if s.Role == catalog.RolePrefill || !fits(s) {
			continue
		}
		if best == nil || len(s.used)*best.Slots < len(best.used)*s.Slots {
			best = s
		}
	}
	return best
}

func (c *Cell) firstStep(s *server) time.Duration {
	if s.Role == catalog.RoleService {
		return s.call
	}
	return s.step.predict(len(s.used) + 1)
}

// answerTime predicts how long an answer keeps its slot.
func (c *Cell) answerTime(s *server, workspace, kind string) time.Duration {
	if s.Role == catalog.RoleService {
		return s.call
	}
	length := c.lengths.predict(lengthKey(workspace, kind), math.MaxInt)
	return time.Duration(length) * s.step.predict(len(s.used))
}

// choose finds the placement with the earliest first token that can begin now:
// a decode slot is free, and some prefill endpoint is about to be. Prefix
// affinity needs no weight of its own, as it is saved time like any other.
func (c *Cell) choose(now clock.Millis, w *waiting) (placement, bool) {
	decode := c.emptiest(func(s *server) bool { return s.open(now, w.ask.Avoid) && s.room(w.tbt) })
	if decode == nil {
		return placement{}, false
	}
	waited := now.Sub(w.since)
	best := placement{decode: decode, terms: Terms{Wait: waited, Step: c.firstStep(decode), Budget: w.ask.Budget}}
	if w.ask.Tokens == 0 {
		return best, true
	}
	open := c.prefills(func(s *server) bool { return s.open(now, w.ask.Avoid) })
	idle := slices.ContainsFunc(open, func(s *server) bool { return s.backlog(now) <= lookahead })
	if !idle {
		return placement{}, false
	}
	for _, p := range open {
		candidate := best
		candidate.prefill = p
		candidate.cached = p.prefixes.expect(w.ask.Blocks, w.ask.Tokens)
		took := p.prefillTime(w.ask.Tokens, candidate.cached)
		ready := p.backlog(now) + took
		link := max(p.linkUntil.Sub(now.Add(ready)), 0) + p.linkTime(w.ask.Tokens)
		candidate.terms.Prefill, candidate.terms.Link, candidate.terms.Cached = ready, link, candidate.cached
		if best.prefill == nil || candidate.terms.FirstToken() < best.terms.FirstToken() {
			best = candidate
		}
	}
	return best, true
}

// predictWait is how long a request waits that has so many before it: until
// the prefill endpoints have worked off what is before it, and until enough
// decode slots came free, whichever is later.
func (c *Cell) predictWait(now clock.Millis, before int) time.Duration {
	return max(c.prefillWait(now, before), c.slotWait(now, before))
}

func (c *Cell) prefillWait(now clock.Millis, before int) time.Duration {
	var total time.Duration
	n := 0
	rate := 0.0
	for _, s := range c.order {
		if s.Role == catalog.RolePrefill && s.open(now, nil) {
			total += s.backlog(now)
			rate += s.rate
			n++
		}
	}
	if n == 0 {
		return 0
	}
	wait := total / time.Duration(n)
	tokens := 0
	for _, w := range c.queue.items[:before] {
		tokens += w.ask.Tokens
	}
	return max(wait+time.Duration(float64(tokens)/rate*float64(time.Second))-lookahead, 0)
}

func (c *Cell) slotWait(now clock.Millis, before int) time.Duration {
	free := c.freeSlots(func(s *server) bool { return s.promising(now, nil) })
	if before < free {
		return 0
	}
	var ends []clock.Millis
	for _, s := range c.order {
		if s.Role == catalog.RolePrefill || !s.open(now, nil) {
			continue
		}
		for _, r := range s.used {
			ends = append(ends, max(r.doneAt, now))
		}
	}
	if len(ends) == 0 {
		return retryCeiling
	}
	slices.SortFunc(ends, cmp.Compare)
	need := before - free
	rounds := need / len(ends) // slots that come free more than once
	last := ends[len(ends)-1].Sub(now)
	return time.Duration(rounds)*last + ends[need%len(ends)].Sub(now)
}

// openSlots counts the slots at open endpoints that nobody holds.
func (c *Cell) openSlots(now clock.Millis) int {
	return c.freeSlots(func(s *server) bool { return s.open(now, nil) })
}

func (c *Cell) freeSlots(fits func(*server) bool) int {
	free := 0
	for _, s := range c.order {
		if s.Role != catalog.RolePrefill && fits(s) {
			free += s.free()
		}
	}
	return free
}

// anyRoom says whether any request could begin now, to spare the search when
// none can.
func (c *Cell) anyRoom(now clock.Millis) bool {
	if c.openSlots(now) == 0 {
		return false
	}
	prefill := false
	for _, s := range c.order {
		if s.Role != catalog.RolePrefill {
			continue
		}
		prefill = true
		if s.open(now, nil) && s.backlog(now) <= lookahead {
			return true
		}
	}
	return !prefill
}

// dispatch grants what can begin.
func (c *Cell) dispatch(now clock.Millis) {
	if len(c.queue.items) == 0 || !c.anyRoom(now) {
		return
	}
	c.queue.sort()
	blocked := 0
	for i := 0; i < len(c.queue.items) && blocked < blockedLimit; {
		w := c.queue.items[i]
		p, ok := c.choose(now, w)
		if !ok {
			blocked++
			i++
			continue
		}
		c.queue.items = slices.Delete(c.queue.items, i, i+1)
		if p.terms.late() {
			c.refuse(now, w, ReasonLate, p.terms) // sooner it never will be
			continue
		}
		c.queue.charge(now, w)
		c.grant(now, w, p)
	}
}

// refuseLate answers every request whose first token can no longer be in time,
// however soon it began. It runs at each tick.
func (c *Cell) refuseLate(now clock.Millis) {
	kept := c.queue.items[:0]
	for _, w := range c.queue.items {
		best, ok := c.fastest(now, w)
		best.Wait, best.Budget = now.Sub(w.since), w.ask.Budget
		switch {
		case !ok:
			c.refuse(now, w, ReasonNoEndpoint, best)
		case best.late():
			c.refuse(now, w, ReasonLate, best)
		default:
			kept = append(kept, w)
		}
	}
	clear(c.queue.items[len(kept):])
	c.queue.items = kept
}

func (c *Cell) grant(now clock.Millis, w *waiting, p placement) {
	a := w.ask
	r := &reservation{
		attempt: a.Attempt, owner: a.Owner, workspace: a.Workspace, kind: a.Kind, class: a.Class,
		tokens: a.Tokens, tbt: w.tbt, decode: p.decode.Name, phase: Granted, granted: now,
		expected: p.cached, blocks: a.Blocks, holdDecode: true,
	}
	g := Grant{Attempt: a.Attempt, Decode: p.decode.Name, DecodeAddr: p.decode.Address, Terms: p.terms}
	if p.prefill != nil {
		r.prefill, r.holdPrefill = p.prefill.Name, true
		r.alone = len(p.prefill.pending) == 0
		g.Prefill, g.PrefillAddr = p.prefill.Name, p.prefill.Address
		p.prefill.addWork(now, work{attempt: a.Attempt, took: p.prefill.prefillTime(a.Tokens, p.cached)})
		p.prefill.linkUntil = now.Add(p.terms.Prefill + p.terms.Link)
		p.prefill.health.granted()
	}
	r.doneAt = now.Add(p.terms.Prefill + p.terms.Link + c.answerTime(p.decode, a.Workspace, a.Kind))
	p.decode.used[a.Attempt] = r
	p.decode.health.granted()
	r.grant = g
	c.add(r)
	c.options.Counted("granted")
	c.decide(now, a.Attempt, "granted "+p.describe(), p.terms)
	c.emit(SendGrant{To: a.Owner, Grant: g})
}

func (p placement) describe() string {
	if p.prefill == nil {
		return p.decode.Name
	}
	return p.prefill.Name + " then " + p.decode.Name
}

func (c *Cell) refuse(now clock.Millis, w *waiting, reason string, t Terms) {
	c.options.Counted("refused_" + reason)
	c.decide(now, w.ask.Attempt, "refused: "+reason, t)
	c.emit(SendRefusal{To: w.ask.Owner, Refusal: Refusal{
		Attempt: w.ask.Attempt, Reason: reason, RetryAfter: c.retryAfter(now, w, t), Terms: t,
	}})
}

// retryAfter is when a request like this one would be admitted, spread out so
// that refused callers do not all come back at once.
func (c *Cell) retryAfter(now clock.Millis, w *waiting, t Terms) time.Duration {
	wait := c.predictWait(now, len(c.queue.items)) + t.Prefill + t.Link + t.Step - w.ask.Budget
	spread := time.Duration(float64(max(wait, retryFloor)) * spreadOf(w.ask.Attempt))
	return min(max(wait, retryFloor)+spread, retryCeiling)
}
