package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/ratelimit"
	"github.com/trailshed/trailshed/pkg/clock"
)

// rates are what binds e1, or -1 if nothing does.
func rate(t *ratelimit.Table) float64 {
	r, _, limited := t.Limit("e1")
	if !limited {
		return -1
	}
	return r
}

// Of words that come in another order than they were said, the newest counts.
func TestTheNewestWordCounts(t *testing.T) {
	said := func(rate float64, age time.Duration) []ratelimit.Statement {
		return []ratelimit.Statement{{Endpoint: "e1", Zone: "a", Rate: rate, Age: age}}
	}
	over := func(age time.Duration) []ratelimit.Statement {
		return []ratelimit.Statement{{Endpoint: "e1", Over: true, Age: age}}
	}
	tests := []struct {
		name string
		hear func(t *ratelimit.Table)
		want float64
	}{
		{"nothing", func(*ratelimit.Table) {}, -1},
		{"a rate", func(t *ratelimit.Table) { t.Named(1000, "e1", "a", 5) }, 5},
		{"nothing is a rate", func(t *ratelimit.Table) { t.Named(1000, "e1", "a", 0) }, 0},
		{"it falls", func(t *ratelimit.Table) { t.Named(1000, "e1", "a", 5); t.Named(1100, "e1", "a", 2) }, 2},
		{"it rises", func(t *ratelimit.Table) { t.Named(1000, "e1", "a", 2); t.Named(1100, "e1", "a", 5) }, 5},
		{"it falls a little, which is not worth telling", func(t *ratelimit.Table) {
			t.Named(1000, "e1", "a", 5)
			t.Named(1100, "e1", "a", 4.8)
		}, 5},
		{"it falls a little again and again", func(t *ratelimit.Table) {
			for tenths := 50.0; tenths > 40; tenths-- {
				t.Named(1000, "e1", "a", tenths/10)
			}
		}, 4.1},
		{"a peer's", func(t *ratelimit.Table) { t.Merge(1000, said(5, 100*time.Millisecond)) }, 5},
		{"a peer's older one", func(t *ratelimit.Table) {
			t.Named(1000, "e1", "a", 5)
			t.Merge(1100, said(2, 200*time.Millisecond))
		}, 5},
		{"a peer's newer one", func(t *ratelimit.Table) {
			t.Named(1000, "e1", "a", 5)
			t.Merge(1100, said(2, 50*time.Millisecond))
		}, 2},
		{"it ends", func(t *ratelimit.Table) { t.Named(1000, "e1", "a", 5); t.Unnamed(1100, "e1", 1050) }, -1},
		{"a request sent before it was heard says nothing of its end", func(t *ratelimit.Table) {
			t.Named(1000, "e1", "a", 5)
			t.Unnamed(1100, "e1", 900)
		}, 5},
		{"a peer hears its end", func(t *ratelimit.Table) { t.Named(1000, "e1", "a", 5); t.Merge(1100, over(0)) }, -1},
		{"a peer heard its end before it was named again", func(t *ratelimit.Table) {
			t.Named(1000, "e1", "a", 5)
			t.Merge(1100, over(200*time.Millisecond))
		}, 5},
		{"a peer has not heard its end", func(t *ratelimit.Table) {
			t.Named(1000, "e1", "a", 5)
			t.Unnamed(1100, "e1", 1050)
			t.Merge(1200, said(5, 150*time.Millisecond))
		}, -1},
		{"it is named again", func(t *ratelimit.Table) {
			t.Named(1000, "e1", "a", 5)
			t.Unnamed(1100, "e1", 1050)
			t.Named(1200, "e1", "a", 5)
		}, 5},
		{"no answer tells it any more", func(t *ratelimit.Table) { t.Named(1000, "e1", "a", 5); t.Expire(32_000) }, -1},
		{"another one's", func(t *ratelimit.Table) { t.Named(1000, "e2", "a", 5) }, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := ratelimit.NewTable()
			test.hear(table)
			qt.Assert(t, rate(table), qt.Equals, test.want)
		})
	}
}

// A cold endpoint takes a rate for a time, whatever its answers name, and the lower of
// two rates binds. Peers are not told, as each hears it with the endpoint's entry.
func TestColdEndpoint(t *testing.T) {
	cold := func(t *ratelimit.Table) { t.Warming(1000, "e1", "a", 8, 3*time.Second) }
	tests := []struct {
		name string
		hear func(t *ratelimit.Table)
		want float64
	}{
		{"it is cold", cold, 8},
		{"it answers and names nothing", func(t *ratelimit.Table) { cold(t); t.Unnamed(2000, "e1", 1500) }, 8},
		{"it names less", func(t *ratelimit.Table) { cold(t); t.Named(2000, "e1", "a", 4) }, 4},
		{"it names more", func(t *ratelimit.Table) { cold(t); t.Named(2000, "e1", "a", 20) }, 8},
		{"its time is nearly over", func(t *ratelimit.Table) { cold(t); t.Expire(3999) }, 8},
		{"its time is over", func(t *ratelimit.Table) { cold(t); t.Expire(4000) }, -1},
		{"its time is over, and it names less", func(t *ratelimit.Table) { cold(t); t.Named(2000, "e1", "a", 4); t.Expire(4000) }, 4},
		{"it turns cold again", func(t *ratelimit.Table) { cold(t); t.Warming(3000, "e1", "a", 8, 3*time.Second); t.Expire(4000) }, 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := ratelimit.NewTable()
			test.hear(table)
			qt.Assert(t, rate(table), qt.Equals, test.want)
			qt.Assert(t, table.Empty(), qt.Equals, test.want < 0)
			qt.Assert(t, len(table.Bound()) == 1, qt.Equals, test.want >= 0)
			qt.Assert(t, table.Size(), qt.Equals, len(table.Zones()))
		})
	}
}

// Two who tell each other the same word do not keep it alive.
func TestWordsGrowOldBetweenPeers(t *testing.T) {
	c := qt.New(t)
	a, b := ratelimit.NewTable(), ratelimit.NewTable()
	a.Named(1000, "e1", "a", 5)
	now := clock.Millis(1000)
	for ; now < 40_000; now = now.Add(250 * time.Millisecond) {
		const way = 20 * time.Millisecond
		b.Merge(now.Add(way), a.All(now))
		a.Merge(now.Add(2*way), b.All(now.Add(way)))
		a.Expire(now)
		b.Expire(now)
	}
	c.Assert(a.Empty() && b.Empty(), qt.IsTrue)
}

// Tables that bind alike have one digest, whatever they remember besides.
func TestDigest(t *testing.T) {
	c := qt.New(t)
	a, b := ratelimit.NewTable(), ratelimit.NewTable()
	c.Assert(a.Digest(), qt.Equals, b.Digest())
	a.Named(1000, "e1", "a", 5)
	c.Assert(a.Digest(), qt.Not(qt.Equals), b.Digest())
	b.Named(2000, "e1", "a", 5)
	c.Assert(a.Digest(), qt.Equals, b.Digest())
	b.Named(2000, "e1", "a", 4)
	c.Assert(a.Digest(), qt.Not(qt.Equals), b.Digest())
	a.Unnamed(2000, "e1", 1500)
	b.Unnamed(3000, "e1", 2500)
	c.Assert(a.Digest(), qt.Equals, ratelimit.NewTable().Digest())
	c.Assert(a.Digest(), qt.Equals, b.Digest())
}

func ExampleTable() {
	t := ratelimit.NewTable()
	fmt.Println(t.Named(1000, "e1", "a", 4.2), t.Named(1100, "e1", "a", 4.2))
	rate, zone, limited := t.Limit("e1")
	fmt.Println(rate, zone, limited)
	// Output:
	// true false
	// 4.2 a true
}
