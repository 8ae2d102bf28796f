package budget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/budget"
	"github.com/trailshed/trailshed/pkg/clock"
)

var rule = budget.Rule{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}

// longAgo is when the processes of these tests began.
const longAgo = clock.Millis(-100_000)

// A process that was started anew does not know what it spent before: both
// lives together stay within the part, and a window later all of it is there.
func TestStartedAnewWithinAWindow(t *testing.T) {
	const shares, requests = 8, 20
	c := qt.New(t)
	spent := 0
	began := longAgo
	for life := range 2 {
		now := clock.Millis(5_000 + 1_000*int64(life))
		b := budget.New(rule, shares, began)
		for range requests {
			b.Request(now)
		}
		for b.Take(now, 1) {
			spent++
		}
		began = now.Add(500 * time.Millisecond)
	}
	c.Assert(float64(spent) <= rule.Slack/shares+rule.Ratio*2*requests, qt.IsTrue, qt.Commentf("%d extra sends", spent))

	b := budget.New(rule, shares, began)
	spent = 0
	for b.Take(began.Add(2*rule.Window), 1) {
		spent++
	}
	c.Assert(spent, qt.Equals, 4)
}

// Whatever the times of requests and retries, all instances together stay
// within the rule in every window, because each stays within its part of it.
func TestPartIsNeverOverdrawn(t *testing.T) {
	const shares = 8
	rapid.Check(t, func(rt *rapid.T) {
		b := budget.New(rule, shares, longAgo)
		var requests, extras []clock.Millis
		now := clock.Millis(100_000)
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now += clock.Millis(rapid.IntRange(0, 400).Draw(rt, "time"))
			if rapid.Bool().Draw(rt, "request") {
				b.Request(now)
				requests = append(requests, now)
			} else if b.Take(now, 1) {
				extras = append(extras, now)
				// The rule counts the requests of the window or of the one before.
				allowed := rule.Slack/shares + rule.Ratio*float64(within(requests, now, 2*rule.Window))
				if got := within(extras, now, rule.Window); float64(got) > allowed {
					rt.Fatalf("%d extra sends in a window, allowed %.1f", got, allowed)
				}
			}
		}
	})
}

func within(times []clock.Millis, now clock.Millis, window time.Duration) int {
	n := 0
	for _, t := range times {
		if now.Sub(t) < window {
			n++
		}
	}
	return n
}

func TestBudget(t *testing.T) {
	tests := []struct {
		name     string
		shares   int
		requests int
		want     int // extra sends in one go
	}{
		{"slack only", 8, 0, 4},
		{"alone", 1, 0, 32},
		{"with requests", 8, 100, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := budget.New(rule, test.shares, longAgo)
			for range test.requests {
				b.Request(5_000)
			}
			got := 0
			for b.Take(5_000, 1) {
				got++
			}
			qt.Assert(t, got, qt.Equals, test.want)
			for b.Take(16_000, 1) {
				got--
			}
			qt.Assert(t, got <= test.want, qt.IsTrue) // a window later some are free again
		})
	}
}

// Several sends are taken together or not at all, and what is not used is free
// again.
func TestTakeTogether(t *testing.T) {
	c := qt.New(t)
	b := budget.New(rule, 8, longAgo) // four extra sends
	c.Assert(b.Take(5_000, 5), qt.IsFalse)
	c.Assert(b.Take(5_000, 3), qt.IsTrue)
	c.Assert(b.Take(5_000, 2), qt.IsFalse)
	b.Return(5_000, 1)
	c.Assert(b.Take(5_000, 2), qt.IsTrue)
	c.Assert(b.Take(5_000, 0), qt.IsTrue)
	c.Assert(b.Take(5_000, 1), qt.IsFalse)
}
