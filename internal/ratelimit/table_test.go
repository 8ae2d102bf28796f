package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/ratelimit"
	"github.com/trailshed/trailshed/pkg/clock"
)

// rate returns the limit of e1, or -1 if it has none.
func rate(t *ratelimit.Table) float64 {
	r, _, limited := t.Limit("e1")
	if !limited {
		return -1
	}
	return r
}

// Statements may arrive out of order; the newest one must win.
func TestNewestStatementWins(t *testing.T) {
	named := func(rate float64, age time.Duration) []ratelimit.Statement {
		return []ratelimit.Statement{{Endpoint: "e1", Zone: "a", Rate: rate, Age: age}}
	}
	lifted := func(age time.Duration) []ratelimit.Statement {
		return []ratelimit.Statement{{Endpoint: "e1", Lifted: true, Age: age}}
	}
	tests := []struct {
		name  string
		apply func(t *ratelimit.Table)
		want  float64
	}{
		{"nothing", func(*ratelimit.Table) {}, -1},
		{"a rate", func(t *ratelimit.Table) { t.ObserveLimit(1000, "e1", "a", 5) }, 5},
		{"a rate of zero", func(t *ratelimit.Table) { t.ObserveLimit(1000, "e1", "a", 0) }, 0},
		{"the rate falls", func(t *ratelimit.Table) { t.ObserveLimit(1000, "e1", "a", 5); t.ObserveLimit(1100, "e1", "a", 2) }, 2},
		{"the rate rises", func(t *ratelimit.Table) { t.ObserveLimit(1000, "e1", "a", 2); t.ObserveLimit(1100, "e1", "a", 5) }, 5},
		{"the rate falls within the tolerance", func(t *ratelimit.Table) {
			t.ObserveLimit(1000, "e1", "a", 5)
			t.ObserveLimit(1100, "e1", "a", 4.8)
		}, 5},
		{"the rate falls in many steps within the tolerance", func(t *ratelimit.Table) {
			for tenths := 50.0; tenths > 40; tenths-- {
				t.ObserveLimit(1000, "e1", "a", tenths/10)
			}
		}, 4.1},
		{"a peer's statement", func(t *ratelimit.Table) { t.Merge(1000, named(5, 100*time.Millisecond)) }, 5},
		{"a peer's older statement", func(t *ratelimit.Table) {
			t.ObserveLimit(1000, "e1", "a", 5)
			t.Merge(1100, named(2, 200*time.Millisecond))
		}, 5},
		{"a peer's newer statement", func(t *ratelimit.Table) {
			t.ObserveLimit(1000, "e1", "a", 5)
			t.Merge(1100, named(2, 50*time.Millisecond))
		}, 2},
		{"the limit is lifted", func(t *ratelimit.Table) { t.ObserveLimit(1000, "e1", "a", 5); t.ObserveNoLimit(1100, "e1", 1050) }, -1},
		{"a request sent before the limit was observed does not lift it", func(t *ratelimit.Table) {
			t.ObserveLimit(1000, "e1", "a", 5)
			t.ObserveNoLimit(1100, "e1", 900)
		}, 5},
		{"a peer observes that it was lifted", func(t *ratelimit.Table) { t.ObserveLimit(1000, "e1", "a", 5); t.Merge(1100, lifted(0)) }, -1},
		{"a peer observed that it was lifted before it was named again", func(t *ratelimit.Table) {
			t.ObserveLimit(1000, "e1", "a", 5)
			t.Merge(1100, lifted(200*time.Millisecond))
		}, 5},
		{"a peer has not observed that it was lifted", func(t *ratelimit.Table) {
			t.ObserveLimit(1000, "e1", "a", 5)
			t.ObserveNoLimit(1100, "e1", 1050)
			t.Merge(1200, named(5, 150*time.Millisecond))
		}, -1},
		{"the limit is named again", func(t *ratelimit.Table) {
			t.ObserveLimit(1000, "e1", "a", 5)
			t.ObserveNoLimit(1100, "e1", 1050)
			t.ObserveLimit(1200, "e1", "a", 5)
		}, 5},
		{"no response confirms it", func(t *ratelimit.Table) { t.ObserveLimit(1000, "e1", "a", 5); t.Expire(32_000) }, -1},
		{"another endpoint's limit", func(t *ratelimit.Table) { t.ObserveLimit(1000, "e2", "a", 5) }, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := ratelimit.NewTable()
			test.apply(table)
			qt.Assert(t, rate(table), qt.Equals, test.want)
		})
	}
}

// A cold endpoint is limited for a time, whatever its responses name, and the lower of
// two rates applies. Peers are not informed, because each reads it from the endpoint's
// entry.
func TestColdEndpoint(t *testing.T) {
	cold := func(t *ratelimit.Table) { t.ObserveCold(1000, "e1", "a", 8, 3*time.Second) }
	tests := []struct {
		name  string
		apply func(t *ratelimit.Table)
		want  float64
	}{
		{"the endpoint is cold", cold, 8},
		{"a response names no limit", func(t *ratelimit.Table) { cold(t); t.ObserveNoLimit(2000, "e1", 1500) }, 8},
		{"a response names a lower rate", func(t *ratelimit.Table) { cold(t); t.ObserveLimit(2000, "e1", "a", 4) }, 4},
		{"a response names a higher rate", func(t *ratelimit.Table) { cold(t); t.ObserveLimit(2000, "e1", "a", 20) }, 8},
		{"just before it expires", func(t *ratelimit.Table) { cold(t); t.Expire(3999) }, 8},
		{"expired", func(t *ratelimit.Table) { cold(t); t.Expire(4000) }, -1},
		{"expired, and a response names a lower rate", func(t *ratelimit.Table) { cold(t); t.ObserveLimit(2000, "e1", "a", 4); t.Expire(4000) }, 4},
		{"cold again before it expires", func(t *ratelimit.Table) { cold(t); t.ObserveCold(3000, "e1", "a", 8, 3*time.Second); t.Expire(4000) }, 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := ratelimit.NewTable()
			test.apply(table)
			qt.Assert(t, rate(table), qt.Equals, test.want)
			qt.Assert(t, table.Empty(), qt.Equals, test.want < 0)
			qt.Assert(t, len(table.Limited()) == 1, qt.Equals, test.want >= 0)
			qt.Assert(t, table.Size(), qt.Equals, len(table.Zones()))
		})
	}
}

// Two peers that keep exchanging the same statement must not keep it from expiring.
func TestStatementsExpireBetweenPeers(t *testing.T) {
	c := qt.New(t)
	a, b := ratelimit.NewTable(), ratelimit.NewTable()
	a.ObserveLimit(1000, "e1", "a", 5)
	now := clock.Millis(1000)
	for ; now < 40_000; now = now.Add(250 * time.Millisecond) {
		const delay = 20 * time.Millisecond
		b.Merge(now.Add(delay), a.All(now))
		a.Merge(now.Add(2*delay), b.All(now.Add(delay)))
		a.Expire(now)
		b.Expire(now)
	}
	c.Assert(a.Empty() && b.Empty(), qt.IsTrue)
}

// Tables with the same limits have the same digest, whatever else they remember.
func TestDigest(t *testing.T) {
	c := qt.New(t)
	a, b := ratelimit.NewTable(), ratelimit.NewTable()
	c.Assert(a.Digest(), qt.Equals, b.Digest())
	a.ObserveLimit(1000, "e1", "a", 5)
	c.Assert(a.Digest(), qt.Not(qt.Equals), b.Digest())
	b.ObserveLimit(2000, "e1", "a", 5)
	c.Assert(a.Digest(), qt.Equals, b.Digest())
	b.ObserveLimit(2000, "e1", "a", 4)
	c.Assert(a.Digest(), qt.Not(qt.Equals), b.Digest())
	a.ObserveNoLimit(2000, "e1", 1500)
	b.ObserveNoLimit(3000, "e1", 2500)
	c.Assert(a.Digest(), qt.Equals, ratelimit.NewTable().Digest())
	c.Assert(a.Digest(), qt.Equals, b.Digest())
}

func ExampleTable() {
	t := ratelimit.NewTable()
	fmt.Println(t.ObserveLimit(1000, "e1", "a", 4.2), t.ObserveLimit(1100, "e1", "a", 4.2))
	rate, zone, limited := t.Limit("e1")
	fmt.Println(rate, zone, limited)
	// Output:
	// true false
	// 4.2 a true
}
