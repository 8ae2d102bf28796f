package servicetime_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/servicetime"
	"github.com/trailshed/trailshed/pkg/clock"
)

func TestShareLonger(t *testing.T) {
	type recorder func(took time.Duration, times int)
	tests := []struct {
		name   string
		record func(record recorder, wait func(time.Duration))
		known  bool
		want   float64 // longer than 2 s
	}{
		{"nothing is known", func(recorder, func(time.Duration)) {}, false, 0},
		{"too few", func(record recorder, _ func(time.Duration)) { record(time.Second, 4) }, false, 0},
		{"all are shorter", func(record recorder, _ func(time.Duration)) { record(time.Second, 5) }, true, 0},
		{"all are longer", func(record recorder, _ func(time.Duration)) { record(3*time.Second, 5) }, true, 1},
		{"some are longer", func(record recorder, _ func(time.Duration)) {
			record(100*time.Millisecond, 95)
			record(5*time.Second, 5)
		}, true, 0.05},
		{"of the period before", func(record recorder, wait func(time.Duration)) {
			record(time.Second, 5)
			wait(61 * time.Second)
			record(3*time.Second, 5)
		}, true, 0.5},
		{"long ago", func(record recorder, wait func(time.Duration)) {
			record(time.Second, 500)
			wait(125 * time.Second)
		}, false, 0},
		{"longer than the range", func(record recorder, _ func(time.Duration)) { record(time.Hour, 5) }, true, 1},
		{"of no length", func(record recorder, _ func(time.Duration)) { record(0, 5) }, true, 0},
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
			share, known := s.ShareLonger("route", 2*time.Second)
			c.Check(known, qt.Equals, test.known)
			c.Check(math.Abs(share-test.want) < 1e-9, qt.IsTrue, qt.Commentf("%v", share))
			_, known = s.ShareLonger("another route", 2*time.Second)
			c.Check(known, qt.IsFalse)
		})
	}
}

// Keys beyond the bound would take memory for each route of a large configuration.
func TestKeysAreBounded(t *testing.T) {
	c := qt.New(t)
	s := servicetime.New(clock.System())
	known := 0
	for n := range 1000 {
		for range 5 {
			s.Record(fmt.Sprint(n), time.Second)
		}
		if _, ok := s.ShareLonger(fmt.Sprint(n), time.Second); ok {
			known++
		}
	}
	c.Assert(known, qt.Equals, 64)
}

func ExampleTable_ShareLonger() {
	s := servicetime.New(clock.System())
	for n := range 100 {
		took := 100 * time.Millisecond
		if n < 10 {
			took = 5 * time.Second
		}
		s.Record("report", took)
	}
	fmt.Println(s.ShareLonger("report", time.Second))
	// Output: 0.1 true
}
