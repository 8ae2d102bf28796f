package cell

import (
	"math"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// blockedLimit bounds how many waiting requests are tried in one go.
	blockedLimit = 8
	// retryBurst is the most retries that can be saved up.
	retryBurst = 10.0
	// retryFloor and retryCeiling bound what refused callers are told.
	retryFloor   = 200 * time.Millisecond
	retryCeiling = 15 * time.Second
)

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
