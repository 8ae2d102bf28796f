package cell

import (
	"math"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// maxPrefillBacklog is the backlog up to which a prefill endpoint is granted
// more work: enough to hide the delay of messages to it, and small enough that
// the order of service is decided here and not in the endpoint's queue.
const maxPrefillBacklog = 30 * time.Millisecond

// placement is a choice of endpoints for an attempt, with the predicted times.
type placement struct {
	prefill *server
	decode  *server
	cached  int
	terms   Terms
}

// bestTerms returns the terms of the best placement without any waiting; ok is
// false if no endpoint can take the request.
func (c *Cell) bestTerms(now clock.Millis, w *waiting) (best Terms, ok bool) {
	decode := c.leastLoaded(func(s *server) bool { return s.mayBecomeAvailable(now, w.request.Avoid) })
	if decode == nil {
		return best, false
	}
	best.Step = c.firstStep(decode)
	if w.request.Tokens == 0 {
		return best, true
	}
	for _, p := range c.prefillServers(func(s *server) bool { return s.mayBecomeAvailable(now, w.request.Avoid) }) {
		cached := p.prefixes.expectCached(w.request.Blocks, w.request.Tokens)
		prefill, link := p.prefillTime(w.request.Tokens, cached), p.linkTime(w.request.Tokens)
		if !ok || prefill+link < best.Prefill+best.Link {
			best.Prefill, best.Link, best.Cached, ok = prefill, link, cached, true
		}
	}
	return best, ok
}

func (c *Cell) prefillServers(fits func(*server) bool) []*server {
	var open []*server
	for _, s := range c.order {
		if s.Role == catalog.RolePrefill && fits(s) {
			open = append(open, s)
		}
	}
	return open
}

// leastLoaded returns the decode or service endpoint with the lowest fraction of
// used slots among those that fit.
func (c *Cell) leastLoaded(fits func(*server) bool) *server {
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
		return s.callTime
	}
	return s.step.predict(len(s.used) + 1)
}

// answerTime predicts how long an answer occupies its slot.
func (c *Cell) answerTime(s *server, workspace, kind string) time.Duration {
	if s.Role == catalog.RoleService {
		return s.callTime
	}
	length := c.lengths.predict(lengthKey(workspace, kind), math.MaxInt)
	return time.Duration(length) * s.step.predict(len(s.used))
}

// choosePlacement returns the placement with the earliest first token, or false
// if the request cannot start now: it needs a free decode slot and a prefill
// endpoint whose backlog has nearly been worked off. Prefix affinity needs no
// weight of its own, as a cached prefix shortens the predicted prefill time.
func (c *Cell) choosePlacement(now clock.Millis, w *waiting) (placement, bool) {
	decode := c.leastLoaded(func(s *server) bool { return s.available(now, w.request.Avoid) && s.canAdmit(w.tbt) })
	if decode == nil {
		return placement{}, false
	}
	waited := now.Sub(w.since)
	best := placement{decode: decode, terms: Terms{Wait: waited, Step: c.firstStep(decode), Budget: w.request.Budget}}
	if w.request.Tokens == 0 {
		return best, true
	}
	open := c.prefillServers(func(s *server) bool { return s.available(now, w.request.Avoid) })
	idle := slices.ContainsFunc(open, func(s *server) bool { return s.backlog(now) <= maxPrefillBacklog })
	if !idle {
		return placement{}, false
	}
	for _, p := range open {
		candidate := best
		candidate.prefill = p
		candidate.cached = p.prefixes.expectCached(w.request.Blocks, w.request.Tokens)
		prefill := p.prefillTime(w.request.Tokens, candidate.cached)
		ready := p.backlog(now) + prefill
		link := max(p.linkUntil.Sub(now.Add(ready)), 0) + p.linkTime(w.request.Tokens)
		candidate.terms.Prefill, candidate.terms.Link, candidate.terms.Cached = ready, link, candidate.cached
		if best.prefill == nil || candidate.terms.FirstToken() < best.terms.FirstToken() {
			best = candidate
		}
	}
	return best, true
}
