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

// startedLongAgo is the start of the processes in these tests.
const startedLongAgo = clock.Millis(-100_000)

// A restarted process does not know what it spent before. Both incarnations together
// must stay within the share, and a window later the whole share is available.
func TestRestartWithinWindow(t *testing.T) {
	const shares, requests = 8, 20
	c := qt.New(t)
	spent := 0
	startedAt := startedLongAgo
	for incarnation := range 2 {
		now := clock.Millis(5_000 + 1_000*int64(incarnation))
		b := budget.New(rule, shares, startedAt)
		for range requests {
			b.CountRequest(now)
		}
		for b.Take(now, 1) {
			spent++
		}
		startedAt = now.Add(500 * time.Millisecond)
	}
	c.Assert(float64(spent) <= rule.Slack/shares+rule.Ratio*2*requests, qt.IsTrue, qt.Commentf("%d extra sends", spent))

	b := budget.New(rule, shares, startedAt)
	spent = 0
	for b.Take(startedAt.Add(2*rule.Window), 1) {
		spent++
	}
	c.Assert(spent, qt.Equals, 4)
}

// Whatever the times of requests and retries, each instance stays within its share in
// every window, and so all instances together stay within the rule.
func TestShareIsNeverExceeded(t *testing.T) {
	const shares = 8
	rapid.Check(t, func(rt *rapid.T) {
		b := budget.New(rule, shares, startedLongAgo)
		var requests, extras []clock.Millis
		now := clock.Millis(100_000)
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now += clock.Millis(rapid.IntRange(0, 400).Draw(rt, "time"))
			if rapid.Bool().Draw(rt, "request") {
				b.CountRequest(now)
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
		want     int // extra sends at once
	}{
		{"only slack", 8, 0, 4},
		{"one instance", 1, 0, 32},
		{"with requests", 8, 100, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := budget.New(rule, test.shares, startedLongAgo)
			for range test.requests {
				b.CountRequest(5_000)
			}
			got := 0
			for b.Take(5_000, 1) {
				got++
			}
			qt.Assert(t, got, qt.Equals, test.want)
			for b.Take(16_000, 1) {
				got--
			}
			qt.Assert(t, got <= test.want, qt.IsTrue) // a window later some are available again
		})
	}
}

// Several sends are taken together or not at all, and returned ones are available
// again.
func TestTakeAllOrNone(t *testing.T) {
	c := qt.New(t)
	b := budget.New(rule, 8, startedLongAgo) // four extra sends
	c.Assert(b.Take(5_000, 5), qt.IsFalse)
	c.Assert(b.Take(5_000, 3), qt.IsTrue)
	c.Assert(b.Take(5_000, 2), qt.IsFalse)
	b.Return(5_000, 1)
	c.Assert(b.Take(5_000, 2), qt.IsTrue)
	c.Assert(b.Take(5_000, 0), qt.IsTrue)
	c.Assert(b.Take(5_000, 1), qt.IsFalse)
}
