package cell

import (
	"math"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// maxBlocked is the number of waiting requests without a placement after which
	// dispatch stops trying.
	maxBlocked = 8
	// maxSavedRetries caps the retry budget that successes can accumulate.
	maxSavedRetries = 10.0
	// minRetryAfter and maxRetryAfter bound the delay after which refused
	// callers may retry, jitter included.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 15 * time.Second
)

// admit refuses a new attempt at once if it cannot be served in time, and queues
// it otherwise. The baselines grant without a queue.
func (c *Cell) admit(now clock.Millis, a AttemptRequest) {
	if c.reservations[a.Attempt] != nil || c.queue.find(a.Attempt) != nil || c.recentlyEnded[a.Attempt] > 0 {
		return // repeated because the answer is delayed; it has been or will be sent
	}
	c.owners[a.Owner.id()] = max(c.owners[a.Owner.id()], now)
	w := c.newWaiting(now, a)
	if c.options.Policy != PolicyJoint {
		c.grantBaseline(now, w)
		return
	}
	if a.Retry {
		if c.retryBudget < 1 {
			c.refuse(now, w, ReasonRetryBudget, Terms{Budget: a.Budget})
			return
		}
		c.retryBudget--
	}
	best, ok := c.bestTerms(now, w)
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
	c.recordDecision(now, a.Attempt, "waiting", best)
}

func (c *Cell) newWaiting(now clock.Millis, a AttemptRequest) *waiting {
	w := &waiting{request: a, rank: math.MaxInt, weight: 1, cost: 1, since: now, deadline: now.Add(a.Budget)}
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
		w.cost *= float64(a.Tokens) + outputTokenCost*float64(length)
	}
	return w
}

// outputTokenCost is the work of an output token in units of prompt tokens: the
// prefill of a thousand tokens costs about as much as some tens of output
// tokens, according to the requirements.
const outputTokenCost = 25

// hasCapacity reports whether any request could start now. It spares dispatch
// the search through the queue if none can.
func (c *Cell) hasCapacity(now clock.Millis) bool {
	if c.openSlots(now) == 0 {
		return false
	}
	prefill := false
	for _, s := range c.order {
		if s.Role != catalog.RolePrefill {
			continue
		}
		prefill = true
		if s.available(now, nil) && s.backlog(now) <= maxPrefillBacklog {
			return true
		}
	}
	return !prefill
}

// dispatch grants the waiting requests that can start now, in queue order.
func (c *Cell) dispatch(now clock.Millis) {
	if len(c.queue.items) == 0 || !c.hasCapacity(now) {
		return
	}
	c.queue.sort()
	blocked := 0
	for i := 0; i < len(c.queue.items) && blocked < maxBlocked; {
		w := c.queue.items[i]
		p, ok := c.choosePlacement(now, w)
		if !ok {
			blocked++
			i++
			continue
		}
		c.queue.items = slices.Delete(c.queue.items, i, i+1)
		if p.terms.late() {
			c.refuse(now, w, ReasonLate, p.terms) // it would only get later
			continue
		}
		c.queue.charge(now, w)
		c.grant(now, w, p)
	}
}

// refuseLate refuses every waiting request whose first token would be late even
// if it started now, or that no endpoint can take any more. It runs at each
// tick.
func (c *Cell) refuseLate(now clock.Millis) {
	kept := c.queue.items[:0]
	for _, w := range c.queue.items {
		best, ok := c.bestTerms(now, w)
		best.Wait, best.Budget = now.Sub(w.since), w.request.Budget
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
	a := w.request
	r := &reservation{
		attempt: a.Attempt, owner: a.Owner, workspace: a.Workspace, kind: a.Kind, class: a.Class,
		tokens: a.Tokens, tbt: w.tbt, decode: p.decode.Name, phase: Granted, granted: now,
		expectedCached: p.cached, blocks: a.Blocks, holdDecode: true,
	}
	g := Grant{Attempt: a.Attempt, Decode: p.decode.Name, DecodeAddr: p.decode.Address, Terms: p.terms}
	if p.prefill != nil {
		r.prefill, r.holdPrefill = p.prefill.Name, true
		r.alone = len(p.prefill.pending) == 0
		g.Prefill, g.PrefillAddr = p.prefill.Name, p.prefill.Address
		p.prefill.addPrefill(now, prefillJob{attempt: a.Attempt, duration: p.prefill.prefillTime(a.Tokens, p.cached)})
		p.prefill.linkUntil = now.Add(p.terms.Prefill + p.terms.Link)
		p.prefill.health.recordGrant()
	}
	r.doneAt = now.Add(p.terms.Prefill + p.terms.Link + c.answerTime(p.decode, a.Workspace, a.Kind))
	p.decode.used[a.Attempt] = r
	p.decode.health.recordGrant()
	r.grant = g
	c.add(r)
	c.options.OnDecision("granted")
	c.recordDecision(now, a.Attempt, "granted "+p.describe(), p.terms)
	c.emit(SendGrant{To: a.Owner, Grant: g})
}

func (p placement) describe() string {
	if p.prefill == nil {
		return p.decode.Name
	}
	return p.prefill.Name + " then " + p.decode.Name
}

func (c *Cell) refuse(now clock.Millis, w *waiting, reason string, t Terms) {
	c.options.OnDecision("refused_" + reason)
	c.recordDecision(now, w.request.Attempt, "refused: "+reason, t)
	c.emit(SendRefusal{To: w.request.Owner, Refusal: Refusal{
		Attempt: w.request.Attempt, Reason: reason, RetryAfter: c.retryAfter(now, w, t), Terms: t,
	}})
}

// retryAfter predicts when a request like this one would be admitted, with
// jitter so that refused callers do not all retry at once.
func (c *Cell) retryAfter(now clock.Millis, w *waiting, t Terms) time.Duration {
	wait := c.predictWait(now, len(c.queue.items)) + t.Prefill + t.Link + t.Step - w.request.Budget
	spread := time.Duration(float64(max(wait, minRetryAfter)) * jitter(w.request.Attempt))
	return min(max(wait, minRetryAfter)+spread, maxRetryAfter)
}
