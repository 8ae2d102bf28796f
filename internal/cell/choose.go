package cell

import (
	"math"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// lookahead is how much given work a prefill endpoint may have left when more is
// granted: enough to hide the way to it, little enough that the order of service
// is decided here and not in the endpoint's queue.
const lookahead = 30 * time.Millisecond

// placement is where and when an attempt could run.
type placement struct {
	prefill *server
	decode  *server
	cached  int
	terms   Terms
}

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
