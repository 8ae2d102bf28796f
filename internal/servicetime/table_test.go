package servicetime_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/servicetime"
	"github.com/trailshed/trailshed/pkg/clock"
)

func TestEstimate(t *testing.T) {
	tests := []struct {
		name   string
		record func(record func(took time.Duration, times int), wait func(time.Duration))
		known  bool
		least  time.Duration
		most   time.Duration
	}{
		{"nothing is known", func(func(time.Duration, int), func(time.Duration)) {}, false, 0, 0},
		{"too few", func(record func(time.Duration, int), _ func(time.Duration)) { record(time.Second, 4) }, false, 0, 0},
		{"all alike", func(record func(time.Duration, int), _ func(time.Duration)) { record(time.Second, 5) }, true, time.Second, 1100 * time.Millisecond},
		{"a tail of one in 50", func(record func(time.Duration, int), _ func(time.Duration)) {
			record(100*time.Millisecond, 98)
			record(5*time.Second, 2)
		}, true, 5 * time.Second, 5500 * time.Millisecond},
		{"a tail of one in 500", func(record func(time.Duration, int), _ func(time.Duration)) {
			record(100*time.Millisecond, 499)
			record(5*time.Second, 1)
		}, true, 100 * time.Millisecond, 110 * time.Millisecond},
		{"of the period before", func(record func(time.Duration, int), wait func(time.Duration)) {
			record(time.Second, 5)
			wait(61 * time.Second)
		}, true, time.Second, 1100 * time.Millisecond},
		{"slower lately", func(record func(time.Duration, int), wait func(time.Duration)) {
			record(time.Second, 500)
			wait(61 * time.Second)
			record(3*time.Second, 10)
		}, true, 3 * time.Second, 3300 * time.Millisecond},
		{"long ago", func(record func(time.Duration, int), wait func(time.Duration)) {
			record(time.Second, 500)
			wait(125 * time.Second)
		}, false, 0, 0},
		{"longer than the range", func(record func(time.Duration, int), _ func(time.Duration)) { record(time.Hour, 5) }, true, 2 * time.Minute, 132 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := clock.Millis(1000)
			s := servicetime.New(func() clock.Millis { return now })
			test.record(func(took time.Duration, times int) {
				for range times {
					s.Record("route", took)
				}
			}, func(d time.Duration) { now = now.Add(d) })
			estimate, known := s.Estimate("route")
			c.Check(known, qt.Equals, test.known)
			c.Check(estimate >= test.least && estimate <= test.most, qt.IsTrue, qt.Commentf("%v", estimate))
			_, known = s.Estimate("another route")
			c.Check(known, qt.IsFalse)
		})
	}
}

func ExampleTable_Estimate() {
	s := servicetime.New(clock.System())
	for range 100 {
		s.Record("status", 15*time.Millisecond)
	}
	fmt.Println(s.Estimate("status"))
	// Output: 15ms true
}
