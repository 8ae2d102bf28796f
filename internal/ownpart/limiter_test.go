package ownpart_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/notice"
	"github.com/trailshed/trailshed/internal/ownpart"
	"github.com/trailshed/trailshed/pkg/clock"
)

// countAllowed returns how many requests a limiter allows of those sent every 10 ms for
// a time.
func countAllowed(l *ownpart.Limiter, from clock.Millis, length time.Duration) (n int) {
	for now := from; now < from.Add(length); now = now.Add(10 * time.Millisecond) {
		if l.Take(now, "e1") == 0 {
			n++
		}
	}
	return n
}

func TestOwnShare(t *testing.T) {
	tests := []struct {
		name             string
		processes        int
		all              bool
		minSent, maxSent int // in 20 s, of a limit of 4 a second
	}{
		{"alone", 1, true, 76, 84},
		{"one of four", 4, true, 17, 23},
		{"one that may not know the other processes", 1, false, 8, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := ownpart.New(func() (int, bool) { return test.processes, test.all })
			c.Assert(countAllowed(l, 10_000, time.Second), qt.Equals, 100) // no limit is known
			l.Observe(11_000, "e1", notice.Limit{Present: true, Rate: 4}, true, 10_900)
			n := countAllowed(l, 11_000, 20*time.Second)
			c.Assert(n >= test.minSent && n <= test.maxSent, qt.IsTrue, qt.Commentf("%d", n))
			l.Observe(31_000, "e1", notice.Limit{}, true, 10_900) // sent before the limit was observed
			c.Assert(countAllowed(l, 31_000, time.Second) < 10, qt.IsTrue)
			l.Observe(32_000, "e1", notice.Limit{}, false, 31_000) // not a successful response
			c.Assert(countAllowed(l, 32_000, time.Second) < 10, qt.IsTrue)
			l.Observe(33_000, "e1", notice.Limit{}, true, 32_000)
			c.Assert(countAllowed(l, 33_000, time.Second), qt.Equals, 100)
		})
	}
}

func ExampleLimiter() {
	l := ownpart.New(func() (int, bool) { return 4, true })
	fmt.Println(l.Take(1000, "e1"))
	// Output: 0s
}
