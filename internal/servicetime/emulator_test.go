package servicetime_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/servicetime"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Times of an emulated stop, in ms from its beginning. Requests in progress are ended at requestsEnd.
const (
	requestsEnd  = 7600.0
	firstRemoval = 2000.0 // the balancer removes the instance between these
	lastRemoval  = 3000.0
	idleEnd      = 3200.0 // from here on, connections that have been idle are ended
	stopIdle     = 1000.0 // for as long
	comeBack     = 21.0   // Retry-After and a round trip
	warmUp       = 60_000.0
)

// Loads of one instance.
const (
	idleConnections = 40     // kept by callers of plain requests
	meanIdle        = 2000.0 // ms until the next request on one of them
	meanThink       = 200.0  // ms from the end of a stream to the next request on its connection
)

// kind is a kind of request. Its times have a log-normal distribution up to its deadline.
type kind struct {
	name     string
	median   float64 // ms
	tail     float64 // ms, the 99th percentile
	deadline float64 // ms
	rate     float64 // new connections of an instance in a second
	streams  bool
	lost     bool // a stream that can't be taken up elsewhere
}

var kinds = [kindCount]kind{
	{name: "plain", median: 20, tail: 200, deadline: 4000, rate: 8},
	{name: "plain slow", median: 300, tail: 2000, deadline: 4000, rate: 5},
	{name: "stream", median: 2700, tail: 9500, deadline: 14_000, rate: 3, streams: true},
	{name: "stream that can't be taken up", median: 2700, tail: 9500, deadline: 14_000, rate: 2, streams: true, lost: true},
}

const (
	streamKind = 2
	kindCount  = 4
)

func (k kind) draw(r *rand.Rand) float64 {
	const normal99 = 2.326 // the 99th percentile of the normal distribution
	return min(k.median*math.Exp(r.NormFloat64()*math.Log(k.tail/k.median)/normal99), k.deadline)
}

// call is a request that comes to the stopping instance at first.
type call struct {
	at   float64
	kind int
	took float64 // if it is not ended
}

// stop is one planned stop of an instance.
type stop struct {
	seed    uint64
	removed float64 // when the balancer has removed the instance
	calls   []call
	times   [][]float64 // of requests before the stop by kind, in ascending order
	learned *servicetime.Table
}

// newStop draws the requests before and during a stop.
func newStop(seed uint64) *stop {
	r := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // repeatable
	s := &stop{seed: seed, removed: firstRemoval + r.Float64()*(lastRemoval-firstRemoval)}
	s.learn(r)
	for i, k := range kinds {
		for at := r.ExpFloat64() * 1000 / k.rate; at < s.removed; at += r.ExpFloat64() * 1000 / k.rate {
			s.calls = append(s.calls, call{at, i, k.draw(r)})
		}
	}
	for range idleConnections {
		if at := r.ExpFloat64() * meanIdle; at < idleEnd { // its answer asks to close the connection
			s.add(r, at, r.IntN(streamKind))
		}
	}
	s.addBehindStreams(r)
	return s
}

func (s *stop) add(r *rand.Rand, at float64, kind int) {
	s.calls = append(s.calls, call{at, kind, kinds[kind].draw(r)})
}

// addBehindStreams adds the next requests on the connections of streams that began before the stop.
func (s *stop) addBehindStreams(r *rand.Rand) {
	for _, k := range kinds[streamKind:] {
		s.addBehind(r, k)
	}
}

func (s *stop) addBehind(r *rand.Rand, k kind) {
	for began := -k.deadline; began < 0; began += r.ExpFloat64() * 1000 / k.rate {
		ends, think := began+k.draw(r), r.ExpFloat64()*meanThink
		at := ends + think
		if ends > 0 && at < requestsEnd && (at < idleEnd || think < stopIdle) {
			s.add(r, at, r.IntN(len(kinds)))
		}
	}
}

// learn draws the requests before the stop.
func (s *stop) learn(r *rand.Rand) {
	now := clock.Millis(0)
	table := servicetime.New(func() clock.Millis { return now })
	s.times = make([][]float64, len(kinds))
	for i, k := range kinds {
		for at := 0.0; at < warmUp; at += r.ExpFloat64() * 1000 / k.rate {
			took := k.draw(r)
			s.times[i] = append(s.times[i], took)
			table.Record(k.name, time.Duration(took*float64(time.Millisecond)))
		}
		slices.Sort(s.times[i])
	}
	s.learned = table
}

// shareLonger returns which share of the requests of a kind is known to take longer than a time.
func (s *stop) shareLonger(kind int, than float64) float64 {
	share, _ := s.learned.ShareLonger(kinds[kind].name, time.Duration(than)*time.Millisecond) // enough are known
	return share
}

// quantile returns the time within which a share of the requests of a kind had ended before the stop.
func (s *stop) quantile(kind int, share float64) float64 {
	return s.times[kind][int(share*float64(len(s.times[kind])-1))]
}

// phases of a stop, by the time at which a request is taken: while connections may be new, and later.
const (
	early = iota
	late
	phases
)

// result counts what came of the requests of a stop.
type result struct {
	taken, givenUp [phases]float64
	lateGivenUp    [kindCount]float64
	refused        float64
	cameBack       float64 // refused callers that came to a stopping instance again
	lost           float64 // callers that were refused there, too, or whose requests were given up and can't be taken up
	waited         float64 // ms that refused callers waited before they came to another one
	cost           float64
}

// fleet is the instances that share the callers of a zone, some of which stop at the same time. Callers that are
// refused come back once.
type fleet struct {
	instances, stopping int
}

// play plays a stop of one of the instances, which takes the requests that a way takes.
func (s *stop) play(f fleet, w way) (r result) {
	for i, c := range s.calls {
		if w.takes(s, c.at, c.kind, f) {
			r.take(c.at, c)
			continue
		}
		r.refuse()
		returns := rand.New(rand.NewPCG(s.seed, uint64(i)+1)) //nolint:gosec // repeatable
		at, to := c.at+comeBack, returns.IntN(f.instances)
		switch {
		case to >= f.stopping || to == 0 && at >= s.removed:
			continue
		case to > 0: // it began to stop at another time
			at = returns.Float64() * s.removed
		}
		r.cameBack++
		if w.takes(s, at, c.kind, f) {
			r.take(at, c)
			continue
		}
		r.lost++
		r.cost += lostCost
	}
	return r
}

func (r *result) take(at float64, c call) {
	phase := early
	if at > lastRemoval {
		phase = late
	}
	r.taken[phase]++
	if at+c.took <= requestsEnd {
		return
	}
	r.givenUp[phase]++
	if at > removalTime {
		r.lateGivenUp[c.kind]++
	}
	if kinds[c.kind].streams && !kinds[c.kind].lost {
		r.cost += takenUpCost
	} else {
		r.lost++
		r.cost += lostCost
	}
}

func (r *result) refuse() {
	r.refused++
	r.waited += comeBack
	r.cost += refusalCost
}
