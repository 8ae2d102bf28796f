// Package budget bounds how often requests are sent again. All instances share
// one allowance for each service; each takes a fixed part of it, so that no
// message is needed and instances that lost touch cannot overdraw the sum.
package budget

import (
	"sync"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// steps divides the window; a step's counts leave together.
const steps = 20

// Rule is the allowance of all instances together.
type Rule struct {
	Ratio  float64       // extra sends for each request
	Slack  float64       // extra sends besides, in a window
	Window time.Duration // any span of this length is counted
}

// margin is the part of the allowance that is used. The rest covers sends
// that arrive in a later window than they were counted in.
const margin = 0.8

// youngPart is how much of its slack a process may use in its first window: an
// earlier life may have spent margin of it, and 0.8 * (1 + 0.25) is all of it.
const youngPart = 0.25

// Budget is one instance's part for one service.
type Budget struct {
	mu       sync.Mutex
	rule     Rule
	shares   int
	began    clock.Millis // when the process did
	requests [steps]float64
	extras   [steps]float64
	at       int64 // step that the counts end at
}

// New returns a budget that is one of shares equal parts of rule, in a process
// that began at a time.
func New(rule Rule, shares int, began clock.Millis) *Budget {
	return &Budget{rule: rule, shares: max(shares, 1), began: began}
}

// Share sets how many instances divide the slack.
func (b *Budget) Share(shares int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares = max(shares, 1)
}

// Rule replaces the allowance; the window stays as it is.
func (b *Budget) Rule(rule Rule) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rule.Window = b.rule.Window
	b.rule = rule
}

// Request counts a request, which earns its ratio.
func (b *Budget) Request(now clock.Millis) {
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

// Return gives back n extra sends that were taken a moment ago and not made.
func (b *Budget) Return(now clock.Millis, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.extras[b.slot()] -= float64(n)
}

// Left is how many extra sends are allowed now.
func (b *Budget) Left(now clock.Millis) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.left(now)
}

func (b *Budget) left(now clock.Millis) float64 {
	requests, extras := 0.0, 0.0
	for i := range steps {
		requests += b.requests[i]
		extras += b.extras[i]
	}
	return margin*(b.slack(now)+b.rule.Ratio*requests) - extras
}

// slack is this instance's part of it.
func (b *Budget) slack(now clock.Millis) float64 {
	part := b.rule.Slack / float64(b.shares)
	if now.Sub(b.began) < b.rule.Window {
		return youngPart * part
	}
	return part
}

func (b *Budget) slot() int { return int(b.at % steps) }

func (b *Budget) advance(now clock.Millis) {
	step := int64(now) / max(b.rule.Window.Milliseconds()/(steps-1), 1)
	if step-b.at > steps {
		b.at = step - steps
	}
	for b.at < step {
		b.at++
		b.requests[b.slot()] = 0
		b.extras[b.slot()] = 0
	}
}
