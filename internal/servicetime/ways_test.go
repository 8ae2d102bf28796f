package servicetime_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Costs, in failed plain requests. See TestWays.
const (
	lostCost    = 1.0
	takenUpCost = 0.52
	refusalCost = 0.021
)

// removalTime is how long after the begin of a stop callers are expected to be led to the instance, in ms.
const removalTime = 2800.0

// way decides whether a stopping instance takes a request.
type way struct {
	name  string
	takes func(s *stop, at float64, kind int, f fleet) bool
}

// chosen is the way of forward.Forwarder.
var chosen = way{"less likely to be given up than to be led to a stopping instance", takesLikelier}

var ways = []way{
	{"streams until 2.8 s, plain ones always", func(_ *stop, at float64, kind int, _ fleet) bool { return !kinds[kind].streams || at < removalTime }},
	chosen,
	{"learned 99th percentile", takesQuantile(0.99)},
	{"learned 90th percentile", takesQuantile(0.9)},
	{"learned median", takesQuantile(0.5)},
	{"the whole deadline", takesDeadline},
}

func takesLikelier(s *stop, at float64, kind int, f fleet) bool {
	left, returning := requestsEnd-at, float64(f.stopping)/float64(f.instances)
	switch {
	case takesDeadline(s, at, kind, f):
		return true
	case at >= removalTime && kinds[kind].streams:
		return false
	case at >= removalTime:
		returning = 0
	}
	loss := s.shareLonger(kind, left)
	if kinds[kind].streams && !kinds[kind].lost {
		loss *= takenUpCost
	}
	return loss <= returning
}

func takesQuantile(share float64) func(s *stop, at float64, kind int, f fleet) bool {
	return func(s *stop, at float64, kind int, _ fleet) bool { return at+s.quantile(kind, share) <= requestsEnd }
}

func takesDeadline(_ *stop, at float64, kind int, _ fleet) bool {
	return at+kinds[kind].deadline <= requestsEnd
}

const (
	seeds = 40
	// lateSeeds bring some thousand late requests, so that one in a thousand shows.
	lateSeeds = 2000
)

var fleets = []fleet{{2, 1}, {6, 1}, {30, 1}, {30, 9}}

// stops returns one stop for each seed.
func stops(seeds uint64) []*stop {
	list := make([]*stop, 0, seeds)
	for seed := range seeds {
		list = append(list, newStop(seed))
	}
	return list
}

// play plays all stops.
func play(stops []*stop, f fleet, w way) []result {
	results := make([]result, 0, len(stops))
	for _, s := range stops {
		results = append(results, s.play(f, w))
	}
	return results
}

func sum(results []result) (total result) {
	for _, r := range results {
		for p := range phases {
			total.taken[p] += r.taken[p]
			total.givenUp[p] += r.givenUp[p]
		}
		for k := range r.lateGivenUp {
			total.lateGivenUp[k] += r.lateGivenUp[k]
		}
		total.refused += r.refused
		total.cameBack += r.cameBack
		total.lost += r.lost
		total.waited += r.waited
		total.cost += r.cost
	}
	return total
}

// gain compares the costs of stops by pairs and returns the mean difference and its standard error.
func gain(before, after []result) (mean, standardError float64) {
	n := float64(len(before))
	for i := range before {
		mean += (after[i].cost - before[i].cost) / n
	}
	for i := range before {
		d := after[i].cost - before[i].cost - mean
		standardError += d * d / (n - 1) / n
	}
	return mean, math.Sqrt(standardError)
}

// A stopping instance took streams that it then gave up. Where callers that are refused find another instance, at most
// 1% of those taken in the first 3 s are to be given up.
func TestFewTakenRequestsAreGivenUp(t *testing.T) {
	list, f := stops(seeds), fleet{30, 1}
	former := sum(play(list, f, ways[0]))
	qt.Assert(t, former.givenUp[early] > former.taken[early]/100, qt.IsTrue, qt.Commentf("the former way gives up no more"))
	r := sum(play(list, f, chosen))
	qt.Check(t, r.givenUp[early] <= r.taken[early]/100, qt.IsTrue, qt.Commentf("%v of %v", r.givenUp[early], r.taken[early]))
}

// Callers were refused by one stopping instance after the other, or their streams were given up. No more are to be lost
// than by taking all.
func TestFewCallersAreLost(t *testing.T) {
	list := stops(lateSeeds)
	for _, f := range fleets {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			former, r := sum(play(list, f, ways[0])), sum(play(list, f, chosen))
			qt.Check(t, r.lost <= former.lost, qt.IsTrue, qt.Commentf("%v, %v before", r.lost, former.lost))
		})
	}
}

// A request that comes on a kept connection when new connections no longer lead to the instance can be refused at the
// price of a round trip. Of those taken then, none is to be given up.
func TestNoLateRequestIsGivenUp(t *testing.T) {
	list := stops(lateSeeds)
	for _, f := range fleets {
		r := sum(play(list, f, chosen))
		for k, kind := range kinds {
			qt.Check(t, r.lateGivenUp[k], qt.Equals, 0.0, qt.Commentf("%s, of %v", kind.name, r.taken[late]))
		}
	}
}

// The ways that were weighed, on the same stops: means of a stop. Costs rest on assumptions: a failed plain request,
// which is the unit, is as bad as a second of a caller's wait, and so is a caller that is refused twice, or whose stream
// is given up and can't be taken up; one that is taken up elsewhere takes half a second for its prompt and a new
// connection; a refusal costs its Retry-After and a round trip, and the other instances have room for all who come.
func TestWays(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table")
	}
	list := stops(seeds)
	table := "| instances, stopping | way | taken within 3 s | given up of them | taken later | given up of them | refused | lost | cost | than chosen |\n" +
		strings.Repeat("| --- ", 10) + "|\n"
	for _, f := range fleets {
		before := play(list, f, chosen)
		for _, w := range ways {
			results := play(list, f, w)
			r := sum(results)
			m, standardError := gain(before, results)
			table += fmt.Sprintf("| %v | %s | %.1f | %.2f%% | %.1f | %.2f%% | %.2f | %.2f | %.3f | %+.3f ± %.3f |\n", f, w.name,
				r.taken[early]/seeds, 100*r.givenUp[early]/r.taken[early], r.taken[late]/seeds, 100*r.givenUp[late]/max(r.taken[late], 1),
				r.refused/seeds, r.lost/seeds, r.cost/seeds, m, standardError)
		}
	}
	t.Log("\n" + table)
}
