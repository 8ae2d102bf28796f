package forward_test

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Times are in ms.
const (
	engineCount, memory           = 18, 10   // memory in streams; an engine has more slots than that
	tokenTime, tokenTimePerStream = 3.4, 0.1 // in which each stream that is running gets a token
	eventTokens, events           = 11, 70   // of an event, and of an answer
	promptTokens, readRate        = 5000, 55.0
	firstTarget, gapTarget        = 900.0, 300.0
	patience, timeLimit           = 3600.0, 14000.0 // callers leave after a gap of patience
	connectTimeout                = 100.0
	placeWait                     = 1500.0 // for memory, until a search fails
	maxPlaces                     = 5      // that can't be reached, until a search fails
	maxRuns                       = 2      // engines that work for a request
	backOff                       = 250.0  // after a search that failed
	ejection, maxEjection         = 1000.0, 8000.0
	entryLifetime                 = 3000.0 // of the entry of an engine that can't be reached
	step, checkEvery, arrivalsEnd = 5, 20, 12000
	allowanceSpan                 = 10000.0
	allowanceShare                = 0.2 // of the requests in the span
	allowanceBase                 = 52.0
	lateWorth                     = 0.2 // of an answer in time
)

// engine reads one prompt at a time, beside the streams that it runs. While it is silent, nothing reaches it or its
// callers, and its work goes on.
type engine struct {
	reading, running, finished        []*attempt
	silent                            bool
	silentSince, silentUntil          float64
	refusesUntil, slowUntil, slowness float64
	ejectedUntil, nextEjection        float64 // others are preferred to an ejected one
}

// attempt is a request at an engine.
type attempt struct {
	stream         *stream
	engine         *engine
	at             float64
	unread, tokens float64 // of the prompt, and made
	from, made     int     // events that the caller had before, and that are made
	reset          bool
	left           bool // canceled, which the engine may not have heard yet
	held           bool // its events are not passed on
}

type stream struct {
	at, last               float64 // of its arrival, and of the last event passed on
	passed                 int     // events
	attempts               []*attempt
	ran, unreached         []*engine // since its begin, and since the begin of the search
	searching, late, done  bool
	searchedAt, nextSearch float64
	connecting             *engine
	countedAt              float64
}

// way is a way to treat a stream whose engine is silent. Unless it is canceled before, an attempt goes on until another
// sends an event.
type way struct {
	name           string
	unbegun, begun float64 // silence before and after the first event until another place is sought
	again          float64 // until it is sought again, if there is none
	cancels        bool    // the attempt, when there is a place
	holds          bool    // its events back until a place is reached, and then cancels it
	waits          bool    // and searches again after a search that failed; sends that never ran are not charged
}

// result counts what callers and engines saw in a day: streams, tokens, sends, and seconds of a stream's memory.
type result struct{ arrived, inTime, late, broken, failed, wasted, sends, twice float64 }

func (r result) worth() float64 { return (r.inTime + lateWorth*r.late) / r.arrived }

func (r result) served() float64 { return (r.inTime + r.late) / r.arrived }

// fleet plays a load on the engines, with a way.
type fleet struct {
	way
	now             float64
	faults, choices *rand.Rand
	engines         []*engine
	streams         []*stream
	arrivals, extra []float64 // times of requests, and of sends beyond the first
	result
}

// play plays a day of a load with a number of streams a second.
func play(w way, disturb func(f *fleet, ms int), rate float64, seed uint64) result {
	f := &fleet{way: w, faults: rand.New(rand.NewPCG(seed, 1)), choices: rand.New(rand.NewPCG(seed, 2))}
	for range engineCount {
		f.engines = append(f.engines, &engine{nextEjection: ejection})
	}
	callers := rand.New(rand.NewPCG(seed, 3))
	next := callers.ExpFloat64() * 1000 / rate
	for ms := 0; ms < arrivalsEnd || len(f.streams) > 0; ms += step {
		f.now = float64(ms)
		for ; next <= f.now && ms < arrivalsEnd; next += callers.ExpFloat64() * 1000 / rate {
			f.streams, f.arrivals = append(f.streams, &stream{at: f.now, last: f.now}), append(f.arrivals, f.now)
			f.arrived++
		}
		if ms < arrivalsEnd {
			disturb(f, ms)
		}
		for _, e := range f.engines {
			f.work(e)
		}
		if ms%checkEvery == 0 {
			f.streams = slices.DeleteFunc(f.streams, f.check)
			f.countMemory()
		}
	}
	f.wasted -= promptTokens * (f.inTime + f.late)
	return f.result
}

// work lets a step of time pass at an engine.
func (f *fleet) work(e *engine) {
	silent := f.now < e.silentUntil
	if silent && !e.silent {
		e.silentSince = f.now
	}
	spoke := e.silent && !silent
	if e.silent = silent; spoke { // what was made and canceled in the silence arrives
		for _, a := range slices.Concat(e.finished, e.running, e.reading) {
			if a.left {
				e.drop(a)
			}
			f.arrive(a)
		}
	}
	speed := 1.0
	if f.now < e.slowUntil {
		speed /= e.slowness
	}
	for left := readRate * step * speed; left > 0 && len(e.reading) > 0; {
		a := e.reading[0]
		read := min(a.unread, left)
		a.unread, left, f.wasted = a.unread-read, left-read, f.wasted+read
		if a.unread == 0 {
			e.reading, e.running = e.reading[1:], append(e.running, a)
		}
	}
	tokens := step * speed / (tokenTime + tokenTimePerStream*float64(len(e.running)))
	for _, a := range slices.Backward(e.running) { // the one at hand may be dropped
		a.tokens += tokens
		if made := int(a.tokens / eventTokens); made > a.made {
			if a.made = made; a.from+made == events {
				e.drop(a)
				e.finished = append(e.finished, a)
			}
			f.arrive(a)
		}
	}
}

// countMemory counts memory that is taken for a stream twice, or after it.
func (f *fleet) countMemory() {
	for _, e := range f.engines {
		for _, a := range slices.Concat(e.reading, e.running) {
			if a.stream.done || a.stream.countedAt == f.now {
				f.twice += checkEvery / 1000.0
			}
			a.stream.countedAt = f.now
		}
	}
}

func (e *engine) taken() float64 { return float64(len(e.reading) + len(e.running)) }

func (e *engine) drop(a *attempt) {
	isIt := func(b *attempt) bool { return a == b }
	e.reading, e.running = slices.DeleteFunc(e.reading, isIt), slices.DeleteFunc(e.running, isIt)
}

// crash ends the process of an engine.
func (e *engine) crash(refusesUntil float64) {
	for _, a := range slices.Concat(e.reading, e.running) {
		a.reset = true
	}
	e.reading, e.running, e.refusesUntil = nil, nil, refusesUntil
}

// arrive passes on the events of an attempt unless its engine is silent. They decide which attempt goes on.
func (f *fleet) arrive(a *attempt) {
	s := a.stream
	if a.engine.silent || a.held || a.left || s.done || a.from+a.made <= s.passed {
		return
	}
	gap := f.now - s.last
	s.late = s.late || gap > firstTarget || gap > gapTarget && s.passed > 0
	s.passed, s.last, s.searching = a.from+a.made, f.now, false
	s.keep(a)
	switch {
	case s.passed < events:
	case s.late:
		s.end(&f.late)
	default:
		s.end(&f.inTime)
	}
}

// keep cancels all attempts of a stream but the given ones.
func (s *stream) keep(kept ...*attempt) {
	for _, a := range s.attempts {
		if a.left = !slices.Contains(kept, a); a.left && !a.engine.silent {
			a.engine.drop(a)
		}
	}
	s.attempts = kept
}

func (s *stream) end(count *float64) {
	s.keep()
	s.done = true
	*count++
}

// gone reports whether the entry of an engine is gone.
func (f *fleet) gone(e *engine) bool { return e.silent && f.now-e.silentSince >= entryLifetime }

// check does the forwarder's part of a stream and reports whether the stream has ended.
func (f *fleet) check(s *stream) bool {
	ended := func(a *attempt) bool { return a.reset || f.gone(a.engine) }
	if slices.ContainsFunc(s.attempts, ended) {
		s.keep(slices.DeleteFunc(slices.Clone(s.attempts), ended)...)
		if !s.searching {
			s.nextSearch = f.now
		}
	}
	none, begun := len(s.attempts) == 0, s.passed > 0
	switch {
	case s.done:
	case f.now-s.at >= timeLimit || f.now-s.last >= patience:
		s.end(&f.failed)
	case f.now < s.nextSearch:
	case s.searching:
		f.search(s)
	case none && len(s.ran) == maxRuns:
		f.fail(s)
	case len(s.ran) == maxRuns || begun && !none && f.now-s.last < f.begun || !begun && !none && f.now-s.attempts[0].at < f.unbegun:
	case !none && f.findPlace(s) == nil:
		s.nextSearch = f.now + f.again
	default:
		for _, a := range s.attempts {
			a.held = f.holds
		}
		if f.cancels {
			s.keep()
		}
		s.searching, s.searchedAt, s.connecting, s.unreached = true, f.now, nil, nil
		f.search(s)
	}
	return s.done
}

// findPlace returns the engine with the most free memory. A second run needs a part of the allowance.
func (f *fleet) findPlace(s *stream) (best *engine) {
	recent := func(times []float64) float64 {
		old, _ := slices.BinarySearch(times, f.now-allowanceSpan)
		return float64(len(times) - old)
	}
	if len(s.ran) > 0 && recent(f.extra)+1 > allowanceBase+allowanceShare*recent(f.arrivals) {
		return nil
	}
	least := math.Inf(1)
	for _, e := range f.engines {
		taken := e.taken()
		if taken >= memory || f.gone(e) || slices.Contains(s.ran, e) || slices.Contains(s.unreached, e) {
			continue
		}
		if f.now < e.ejectedUntil {
			taken += memory
		}
		if taken += f.choices.Float64() / 2; taken < least {
			best, least = e, taken
		}
	}
	return best
}

// search tries a place.
func (f *fleet) search(s *stream) {
	e, begins := s.connecting, s.connecting == nil
	if s.connecting = nil; begins {
		e = f.findPlace(s)
	}
	if begins && e != nil && len(s.ran) > 0 && !f.waits {
		f.extra = append(f.extra, f.now)
	}
	reached := e != nil && !e.silent && f.now >= e.refusesUntil
	switch {
	case e == nil && f.now-s.searchedAt >= placeWait:
		f.fail(s)
		return
	case e == nil:
		return
	case begins && e.silent:
		s.connecting, s.nextSearch = e, f.now+connectTimeout
		return
	case reached && e.taken() < memory:
		f.run(s, e)
		return
	}
	if !reached && f.now >= e.ejectedUntil {
		e.ejectedUntil, e.nextEjection = f.now+e.nextEjection, min(2*e.nextEjection, maxEjection)
	}
	if s.unreached = append(s.unreached, e); len(s.unreached) == maxPlaces {
		f.fail(s)
	}
}

// run sends a stream to an engine.
func (f *fleet) run(s *stream, e *engine) {
	if s.searching = false; f.holds {
		s.keep()
	}
	if len(s.ran) > 0 {
		f.sends++
		if f.waits {
			f.extra = append(f.extra, f.now)
		}
	}
	a := &attempt{stream: s, engine: e, at: f.now, from: s.passed, unread: float64(promptTokens + eventTokens*s.passed)}
	e.reading, e.nextEjection = append(e.reading, a), ejection
	s.attempts, s.ran = append(s.attempts, a), append(s.ran, e)
}

// fail ends a search without a place. The first attempt goes on if it is left; else a stream that has run may end.
func (f *fleet) fail(s *stream) {
	s.searching, s.nextSearch = false, f.now+backOff
	for _, a := range slices.Clone(s.attempts) {
		a.held = false
		f.arrive(a)
	}
	switch {
	case s.done || len(s.attempts) > 0 || len(s.ran) == 0 || f.waits && len(s.ran) < maxRuns:
	case s.passed > 0:
		s.end(&f.broken)
	default:
		s.end(&f.failed)
	}
}
