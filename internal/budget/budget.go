// Package budget limits how often requests are sent again. All instances share one
// allowance for each service, and each uses a fixed share of it. That needs no
// messages, and instances that cannot reach each other cannot exceed the total.
package budget

import (
	"sync"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// windowSteps is how many steps the window is divided into; counts expire a step at a
// time.
const windowSteps = 20

// Rule is the allowance of all instances together.
type Rule struct {
	Ratio  float64       // extra sends per request
	Slack  float64       // additional extra sends per window
	Window time.Duration // applies to any span of this length
}

// usableFraction is the fraction of the allowance that is used. The remainder covers
// sends that arrive in a later window than they were counted in.
const usableFraction = 0.8

// startupFraction is the fraction of its slack that a process may use in its first
// window. The process before a restart may have spent usableFraction of it, and 0.8 *
// (1 + 0.25) is all of it.
const startupFraction = 0.25

// Budget is one instance's share of the allowance of one service.
type Budget struct {
	mu        sync.Mutex
	rule      Rule
	shares    int
	startedAt clock.Millis // start of the process
	requests  [windowSteps]float64
	extras    [windowSteps]float64
	step      int64 // newest step counted
}

// New returns a budget that is one of shares equal shares of rule, in a process that
// started at startedAt.
func New(rule Rule, shares int, startedAt clock.Millis) *Budget {
	return &Budget{rule: rule, shares: max(shares, 1), startedAt: startedAt}
}

// SetShares sets how many instances divide the slack.
func (b *Budget) SetShares(shares int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares = max(shares, 1)
}

// SetRule replaces the allowance but keeps the window.
func (b *Budget) SetRule(rule Rule) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rule.Window = b.rule.Window
	b.rule = rule
}

// CountRequest counts a request, which adds to the allowance by the rule's ratio.
func (b *Budget) CountRequest(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.slot()]++
}

// Take counts n extra sends if the budget allows all of them.
func (b *Budget) Take(now clock.Millis, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if n > 0 && b.left(now) < float64(n) {
		return false
	}
	b.extras[b.slot()] += float64(n)
	return true
}

// Return gives back n extra sends that were taken recently but not made.
func (b *Budget) Return(now clock.Millis, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.extras[b.slot()] -= float64(n)
}

// Left returns how many extra sends are allowed now.
func (b *Budget) Left(now clock.Millis) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.left(now)
}

func (b *Budget) left(now clock.Millis) float64 {
	requests, extras := 0.0, 0.0
	for i := range windowSteps {
		requests += b.requests[i]
		extras += b.extras[i]
	}
	return usableFraction*(b.slack(now)+b.rule.Ratio*requests) - extras
}

// slack returns this instance's share of the slack.
func (b *Budget) slack(now clock.Millis) float64 {
	share := b.rule.Slack / float64(b.shares)
	if now.Sub(b.startedAt) < b.rule.Window {
		return startupFraction * share
	}
	return share
}

func (b *Budget) slot() int { return int(b.step % windowSteps) }

func (b *Budget) advance(now clock.Millis) {
	step := int64(now) / max(b.rule.Window.Milliseconds()/(windowSteps-1), 1)
	if step-b.step > windowSteps {
		b.step = step - windowSteps
	}
	for b.step < step {
		b.step++
		b.requests[b.slot()] = 0
		b.extras[b.slot()] = 0
	}
}
