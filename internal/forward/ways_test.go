package forward_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	never  = math.Inf(1)
	cancel = way{name: "cancel for a place", unbegun: 1500, begun: 900, again: 1500, cancels: true}
	beside = way{name: "beside the first", unbegun: 1500, begun: 900, again: 1500, waits: true}
)

var ways = []way{
	cancel,
	{name: "cancel, and wait for a place", unbegun: 1500, begun: 900, again: 1500, cancels: true, waits: true},
	beside,
	{name: "beside, sought each 0.25 s", unbegun: 1500, begun: 900, again: 250, waits: true},
	{name: "only after a reset or without an entry", unbegun: never, begun: never, again: never, waits: true},
	{name: "hold the first, and back to it", unbegun: 1500, begun: 900, again: 1500, holds: true, waits: true},
	{name: "beside, from 1.5 s on", unbegun: 1500, begun: 1500, again: 1500, waits: true},
	{name: "beside, from 2.5 s on", unbegun: 2500, begun: 2500, again: 1500, waits: true},
}

// load disturbs engines. A full one takes 0.95 of their memory, others come with 20 to 60 streams a second.
type load struct {
	name    string
	full    bool
	disturb func(f *fleet, ms int)
}

// each disturbs a share of the engines each period ms, from a moment on.
func each(period, from int, share float64, do func(f *fleet, e *engine)) func(*fleet, int) {
	return func(f *fleet, ms int) {
		if ms < from || (ms-from)%period != 0 {
			return
		}
		for _, i := range f.faults.Perm(engineCount)[:int(math.Round(share*engineCount))] {
			do(f, f.engines[i])
		}
	}
}

func nothing(*fleet, int) {}

// fewSilent makes 0.15 of the engines silent, for 1,250 ms in the mean.
func fewSilent(f *fleet, _ int) {
	for _, e := range f.engines {
		if f.faults.Float64() < step*0.15/0.85/1250 && f.now >= e.silentUntil {
			e.silentUntil = f.now + 500 + 1500*f.faults.Float64()
		}
	}
}

var (
	silences = []load{
		{"60% silent for 1.5 s of 3", false, each(3000, 3000, 0.6, func(f *fleet, e *engine) { e.silentUntil = f.now + 1500 })},
		{"15% silent for 0.5 to 2 s", false, fewSilent},
	}
	failures = []load{
		{"15% slow", false, each(5000, 2000, 0.15, func(f *fleet, e *engine) { e.slowUntil, e.slowness = f.now+5000, 4+4*f.faults.Float64() })},
		{"15% end", false, each(5000, 3000, 0.15, func(f *fleet, e *engine) { e.crash(f.now + 4000) })},
		{"15% dark, half for good", false, each(6000, 3000, 0.15, func(f *fleet, e *engine) {
			e.silentUntil = max(e.silentUntil, []float64{f.now + 5000, never}[f.faults.IntN(2)])
		})},
	}
	others = []load{{"none", false, nothing}, {"full", true, nothing}, {"full, 15% silent", true, fewSilent}}
)

const (
	seeds    = 20
	fullRate = 0.95 * engineCount * memory * 1000 / (promptTokens/readRate + events*eventTokens*(tokenTime+tokenTimePerStream*memory))
)

// days plays the days of a load with a way, one for each seed.
func (l load) days(w way) []result {
	list := []result{}
	for seed := range uint64(seeds) {
		rate := 20 + 40*(float64(seed)+0.5)/seeds
		if l.full {
			rate = fullRate
		}
		list = append(list, play(w, l.disturb, rate, seed))
	}
	return list
}

func mean(days []result, of func(r result) float64) (m float64) {
	for _, r := range days {
		m += of(r) / float64(len(days))
	}
	return m
}

// gain compares a quantity of days by pairs and returns the mean and its standard error.
func gain(before, after []result, of func(r result) float64) (m, standardError float64) {
	m = mean(after, of) - mean(before, of)
	for i, r := range after {
		standardError += math.Pow(of(r)-of(before[i])-m, 2) / (seeds - 1) / seeds
	}
	return m, math.Sqrt(standardError)
}

func broken(r result) float64 { return r.broken }

// A stream whose engine was silent for a second was broken off with most of its time left, as the place for which its
// attempt was canceled could not be used. An attempt that is kept until its successor sends an event guards against it.
func TestStreamsAreNotBrokenOffInSilences(t *testing.T) {
	for _, l := range silences {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			qt.Check(t, play(cancel, l.disturb, 60, 1).broken > 0, qt.IsTrue, qt.Commentf("the load breaks off no stream that is canceled for a place"))
			qt.Check(t, mean(l.days(beside), broken), qt.Equals, 0.0)
		})
	}
}

// Where engines really fail, a second attempt beside the first is worth no less than a move and serves no fewer streams.
// Worth alone does not show it: at engines that are full, a stream that is lost makes room for one in time.
func TestAttemptsBesideTheFirstAtFailures(t *testing.T) {
	for _, l := range failures {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			before, after := l.days(cancel), l.days(beside)
			for _, of := range []func(r result) float64{result.worth, result.served} {
				m, standardError := gain(before, after, of)
				qt.Check(t, m >= -2*standardError, qt.IsTrue, qt.Commentf("%.4f ± %.4f", m, standardError))
			}
		})
	}
}

// The ways that were weighed, on the same days: means of a day.
func TestWays(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table")
	}
	table := "| load | way | in time | late | failed | broken | worth | than cancel | 1,000 tokens read for nothing | extra sends | s of memory taken twice |\n" +
		strings.Repeat("| --- ", 11) + "|\n"
	for _, l := range slices.Concat(others, silences, failures) {
		before := l.days(cancel)
		for _, w := range ways {
			d := l.days(w)
			m, standardError := gain(before, d, result.worth)
			table += fmt.Sprintf("| %s | %s | %.3f | %.3f | %.3f | %.2f | %.3f | %+.4f ± %.4f | %.0f | %.1f | %.1f |\n", l.name, w.name,
				mean(d, func(r result) float64 { return r.inTime / r.arrived }), mean(d, func(r result) float64 { return r.late / r.arrived }),
				mean(d, func(r result) float64 { return r.failed / r.arrived }), mean(d, broken), mean(d, result.worth), m, standardError,
				mean(d, func(r result) float64 { return r.wasted / 1000 }), mean(d, func(r result) float64 { return r.sends }),
				mean(d, func(r result) float64 { return r.twice }))
		}
	}
	t.Log("\n" + table)
}
