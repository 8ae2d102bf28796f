// Package balance chooses endpoints. It knows each endpoint by the requests of this
// instance there, the load that answers report, and the results of recent requests. It
// shares nothing with other instances.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/notice"
	"github.com/trailshed/trailshed/internal/residency"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// maxLoadAge is how long an endpoint's load report is used.
	maxLoadAge = 1500 * time.Millisecond
	// zonePenalty is added to the predicted wait at endpoints of other zones. It
	// exceeds the 3 ms round trip because traffic between zones is charged, and is
	// affected when links between zones fail.
	zonePenalty = 40.0 // ms
	// regionPenalty is added as well at endpoints of other regions: the round trip is
	// several times as long, and traffic costs more.
	regionPenalty = 40.0 // ms
	// initialEjection doubles with each consecutive ejection, up to maxEjection.
	initialEjection = time.Second
	maxEjection     = 8 * time.Second
	// silenceLifetime is how long an endpoint counts as silent after a connection to it did not come up, or an
	// answer did not come. It exceeds the interval at which silent endpoints are probed.
	silenceLifetime = time.Second
	// failureWeight is the weight of one result in the moving averages; its half-life
	// is about four results.
	failureWeight = 0.15
	// ejectFailureRate is the failure rate at which an endpoint is ejected. Some types
	// of endpoints always fail one request in seven; four consecutive failures reach
	// it from zero.
	ejectFailureRate = 0.45
	// minProbeInterval is the minimum time between two requests to an ejected endpoint
	// that was unreachable: if it drops packets, each request takes the whole dial
	// timeout and is then refused late.
	minProbeInterval = 400 * time.Millisecond
	// factorLifetime is the time after which a statement of how long work takes says nothing any more.
	// Programs beside an endpoint come and go about as often.
	factorLifetime = 600 * time.Millisecond
	// slowFactor is the factor from which on an endpoint counts as slow.
	slowFactor = 1.5
	// initialWork is the assumed time of a request before any was measured.
	initialWork = 60.0 // ms
)

// Request describes the endpoints that a request may use.
type Request struct {
	Service string
	Stage   directory.Stage
	Exclude []string // ids of endpoints already tried
	Area    residency.Area
	// Withheld lists endpoints that must not be used for now, by id, with the time
	// left.
	Withheld map[string]time.Duration
	Software string // version that the endpoint must run; empty: any
}

// Result is the outcome of a request at an endpoint.
type Result int

// The values of Result.
const (
	Succeeded   Result = iota // an answer with any status
	Failed                    // a failure that another endpoint might not have had
	Rejected                  // the endpoint reported that it did not run the request
	Unreachable               // no connection
	Unconfirmed               // no connection, perhaps because of this instance's own links
	Silent                    // no connection or no answer in time; it may come a moment later
	Canceled                  // canceled on this side; says nothing about the endpoint
)

// Load is an endpoint's load report.
type Load struct {
	Running, Waiting, Slots int
	// WorkFactor is how long work takes there at the moment, relative to its usual time. 0 if it is
	// not stated.
	WorkFactor float64
}

// Balancer tracks endpoints and chooses among them. Lock order: mu, then the lock of
// backoffs.
type Balancer struct {
	zone string
	// regions maps zones to their regions.
	regions  map[string]string
	backoffs *notice.Table[string] // endpoints that asked for no requests, by id
	mu       sync.Mutex
	states   map[string]*state
	random   func() float64 // in [0, 1)
}

type state struct {
	running      int // requests of this instance
	load         Load
	loadAt       clock.Millis
	work         float64 // moving average of a request's usual time, ms
	failureRate  float64 // moving average of failures, 0 to 1
	ejections    int     // consecutive, at most 3
	ejectedUntil clock.Millis
	silentUntil  clock.Millis // 0 unless the last connection did not come up in time
	usedAt       clock.Millis
	unreachable  bool         // the last request could not connect
	heardAt      atomic.Int64 // clock.Millis at which the endpoint last sent something to this instance
}

// ejected reports whether the endpoint is used only if there is no other.
func (s *state) ejected(now clock.Millis) bool { return now < s.ejectedUntil || s.silent(now) }

// silent reports whether the endpoint counts as silent: nothing has come from it since it was found to be.
func (s *state) silent(now clock.Millis) bool {
	return now < s.silentUntil && s.heardAt.Load() <= int64(s.silentUntil.Add(-silenceLifetime))
}

// New returns a balancer for an instance in zone; regions maps zones to their regions.
func New(zone string, regions map[string]string) *Balancer {
	return &Balancer{zone: zone, regions: regions, backoffs: notice.NewTable[string](0), states: map[string]*state{}, random: rand.Float64}
}

// Seed makes the balancer's random choices repeat. It is called before the first one.
func (b *Balancer) Seed(seed uint64) {
	b.random = rand.New(rand.NewPCG(seed, 0)).Float64 //nolint:gosec // choices must be reproducible, not secret
}

// Reservation counts a request at an endpoint until Done.
type Reservation struct {
	Endpoint *directory.Endpoint
	balancer *Balancer
	state    *state // while the reservation lasts; without the balancer's lock, only heardAt may be used
	start    clock.Millis
	factor   float64 // Load.WorkFactor of the answer
	done     bool
}

// Reserve chooses the endpoint with the shortest predicted wait, including by how much longer than usual
// the request itself will take. Ejected endpoints are
// used only if there are no others, and endpoints in backoff never. It returns nil if
// there is none.
func (b *Balancer) Reserve(now clock.Millis, view *directory.View, req Request) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *directory.Endpoint
	bestScore, bestEjected := 0.0, true
	backedOff, ties := b.backoffs.All(now), 0
	for e := range view.Service(req.Service) {
		if !req.fits(e) || slices.Contains(backedOff, e.ID) || req.Withheld[e.ID] > 0 {
			continue
		}
		s := b.stateOrDefault(e.ID)
		if s.unreachable && s.ejected(now) && now.Sub(s.usedAt) < minProbeInterval {
			continue // a single request probes whether it is back
		}
		score, ejected := b.score(now, e, s), s.ejected(now)
		switch {
		case best == nil || bestEjected && !ejected || bestEjected == ejected && score < bestScore:
			best, bestScore, bestEjected, ties = e, score, ejected, 1
		case bestEjected == ejected && score == bestScore:
			if ties++; b.random()*float64(ties) < 1 { // choose uniformly among equals
				best = e
			}
		}
	}
	if best == nil {
		return nil
	}
	return b.newReservation(now, best)
}

// ReserveAt reserves an endpoint that was chosen elsewhere. It returns nil if the
// endpoint is in backoff.
func (b *Balancer) ReserveAt(now clock.Millis, e *directory.Endpoint) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.backoffs.Unavailable(now, e.ID) {
		return nil
	}
	return b.newReservation(now, e)
}

// BackedOff returns the ids of the endpoints in backoff.
func (b *Balancer) BackedOff(now clock.Millis) []string { return b.backoffs.All(now) }

// InBackoff reports whether an endpoint is in backoff.
func (b *Balancer) InBackoff(now clock.Millis, id string) bool {
	return b.backoffs.Unavailable(now, id)
}

// BackoffLeft returns how long until the first of the endpoints for a request may be used,
// and whether that one is withheld, provided that all of them are in backoff or
// withheld; otherwise it returns 0.
func (b *Balancer) BackoffLeft(now clock.Millis, view *directory.View, req Request) (least time.Duration, withheld bool) {
	found := false
	for e := range view.Service(req.Service) {
		if !req.fits(e) {
			continue
		}
		backoff := b.backoffs.Remaining(now, e.ID)
		if backoff <= 0 && req.Withheld[e.ID] <= 0 {
			return 0, false
		}
		if left := max(backoff, req.Withheld[e.ID]); !found || left < least {
			least, found, withheld = left, true, left > backoff
		}
	}
	return least, withheld
}

// Ejected returns the ids of the ejected endpoints.
func (b *Balancer) Ejected(now clock.Millis) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, s := range b.states {
		if s.ejected(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Unreachable returns the number of endpoints to which the last request of this instance
// could not connect.
func (b *Balancer) Unreachable() (count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		if s.unreachable {
			count++
		}
	}
	return count
}

// Slow returns the number of endpoints that stated lately that work takes long there.
func (b *Balancer) Slow(now clock.Millis) (count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		if s.statesFactor(now) && s.load.WorkFactor >= slowFactor {
			count++
		}
	}
	return count
}

// Absolve ends the ejection of an endpoint that was unreachable only because this instance's own
// links were lost.
func (b *Balancer) Absolve(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.states[id]; s != nil && s.unreachable {
		s.unreachable, s.ejectedUntil, s.silentUntil, s.ejections, s.failureRate = false, 0, 0, 0, 0
	}
}

// RecordSilence records that a connection to an endpoint did not come up in time. It says nothing of how
// requests fare there, so that neither the failure rate nor the length of later ejections changes.
func (b *Balancer) RecordSilence(now clock.Millis, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.states[id]; s != nil {
		s.recordSilence(now)
	}
}

// RecordConnection records that a connection to an endpoint came up, so that it is no longer silent.
func (b *Balancer) RecordConnection(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.states[id]; s != nil {
		s.endSilence()
	}
}

func (s *state) recordSilence(now clock.Millis) time.Duration {
	wasEjected := s.ejected(now)
	s.unreachable, s.silentUntil = true, now.Add(silenceLifetime)
	if wasEjected {
		return 0
	}
	return silenceLifetime
}

func (s *state) endSilence() {
	if s.silentUntil != 0 {
		s.unreachable, s.silentUntil = false, 0
	}
}

func (b *Balancer) newReservation(now clock.Millis, e *directory.Endpoint) *Reservation {
	s := b.state(e.ID)
	s.running++
	s.usedAt = now
	return &Reservation{Endpoint: e, balancer: b, state: s, start: now}
}

// score predicts the wait at an endpoint in ms, beyond the usual time of the request itself. Where endpoints
// state their speed it varies at random by half of that time, so that instances that know the same
// do not all choose the endpoint that seems the fastest.
func (b *Balancer) score(now clock.Millis, e *directory.Endpoint, s *state) float64 {
	running, waiting := float64(s.running), 0.0
	if now.Sub(s.loadAt) < maxLoadAge {
		weight := s.reportWeight(now)
		running = max(running, weight*float64(s.load.Running))
		waiting = weight * float64(s.load.Waiting)
	}
	slots, factor := float64(max(e.Slots, 1)), s.expectedFactor(now)
	work := s.work * factor
	score := work * waiting / slots
	score += work * max(running+1-slots, 0) / slots
	score += work * running / slots / 4 // spreads requests that fit into the slots
	if s.statesFactor(now) {
		affected := min(s.work, clock.InMillis(factorLifetime)) // a longer request outlasts the statement
		score += affected*(factor-1) + affected*(b.random()-0.5)
	}
	if e.Zone != b.zone {
		score += zonePenalty
	}
	if b.regions[e.Zone] != b.regions[b.zone] {
		score += regionPenalty
	}
	return score
}

// statesFactor reports whether the endpoint has stated lately how long work takes there.
func (s *state) statesFactor(now clock.Millis) bool {
	return s.load.WorkFactor != 0 && now.Sub(s.loadAt) < factorLifetime
}

// expectedFactor returns how long work is expected to take, relative to its usual time. A statement counts
// the less the older it is, since it is the less likely to hold still.
func (s *state) expectedFactor(now clock.Millis) float64 {
	if !s.statesFactor(now) {
		return 1
	}
	return 1 + (s.load.WorkFactor-1)*s.reportWeight(now)
}

// reportWeight returns how much a load report counts. Where the speed changes, the queue changes with it.
func (s *state) reportWeight(now clock.Millis) float64 {
	if s.load.WorkFactor == 0 {
		return 1
	}
	return max(0, 1-now.Sub(s.loadAt).Seconds()/factorLifetime.Seconds())
}

// defaultState is the state of an endpoint to which this instance has sent nothing.
var defaultState = state{work: initialWork}

// stateOrDefault returns an endpoint's state. It creates none, so that checking all
// endpoints of a large fleet uses no memory; only used endpoints have a state.
func (b *Balancer) stateOrDefault(id string) *state {
	if s := b.states[id]; s != nil {
		return s
	}
	return &defaultState
}

func (b *Balancer) state(id string) *state {
	s := b.states[id]
	if s == nil {
		s = &state{work: initialWork}
		b.states[id] = s
	}
	return s
}

// Heard records that the endpoint has sent something in answer to the request.
func (r *Reservation) Heard(now clock.Millis) { r.state.heardAt.Store(int64(now)) }

// HeardSince reports whether the endpoint has sent this instance anything since a time, in answer to any request.
func (r *Reservation) HeardSince(t clock.Millis) bool { return r.state.heardAt.Load() >= int64(t) }

// ReportLoad records the load that an answer reports.
func (r *Reservation) ReportLoad(now clock.Millis, l Load) {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	s := r.balancer.state(r.Endpoint.ID)
	s.load, s.loadAt = l, now
	r.factor = l.WorkFactor
}

// BackOff records an endpoint's notice that it wants no requests for a time. It returns
// false if that was known already. A rejected request counts neither as a failure nor
// as load. Without the backoff, an endpoint that rejects everything looks like the best
// one to each new request, and retries use up the retry budget.
func (b *Balancer) BackOff(now clock.Millis, id string, length time.Duration) (changed bool) {
	return b.backoffs.Record(now, id, notice.Notice{Backoff: length})
}

// Done ends the reservation and records the result. If the result ejects the endpoint,
// it returns for how long, otherwise 0.
func (r *Reservation) Done(now clock.Millis, result Result) time.Duration {
	b := r.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.done {
		return 0
	}
	r.done = true
	s := b.state(r.Endpoint.ID)
	s.running--
	switch result {
	case Succeeded:
		s.unreachable, s.silentUntil = false, 0
		s.failureRate *= 1 - failureWeight
		s.work += (r.usualTime(now) - s.work) * failureWeight
		s.ejections = 0
	case Failed:
		s.failureRate += (1 - s.failureRate) * failureWeight
		if s.failureRate >= ejectFailureRate {
			return s.eject(now)
		}
	case Unreachable:
		s.unreachable, s.silentUntil = true, 0
		return s.eject(now)
	case Unconfirmed:
		s.ejections = 0 // as if for the first time
		return s.recordSilence(now)
	case Silent:
		return s.recordSilence(now)
	case Rejected:
		s.unreachable, s.silentUntil = false, 0
	case Canceled:
	}
	return 0
}

// usualTime returns the time in ms that the request would have taken if work took its usual time. A request
// that took longer than a statement lasts is taken as it is.
func (r *Reservation) usualTime(now clock.Millis) float64 {
	length := now.Sub(r.start)
	if r.factor == 0 || length >= factorLifetime {
		return float64(length.Milliseconds())
	}
	return float64(length.Milliseconds()) / r.factor
}

func (s *state) eject(now clock.Millis) time.Duration {
	if now < s.ejectedUntil {
		return 0 // ejected while this request was running
	}
	length := min(initialEjection<<s.ejections, maxEjection)
	s.ejections = min(s.ejections+1, 3)
	s.ejectedUntil = now.Add(length)
	s.failureRate = ejectFailureRate / 2 // three more failures in a row eject it again
	return length
}

// Forget drops the state of unused endpoints that are not in the view. Backoffs are
// kept, in case the view lacks an endpoint only temporarily.
func (b *Balancer) Forget(view *directory.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if s.running == 0 && view.Find(id) == nil {
			delete(b.states, id)
		}
	}
}

// servesStage reports whether an endpoint accepts requests of a stage; it rejects those
// of the other one.
func servesStage(e *directory.Endpoint, s directory.Stage) bool {
	return e.Stage == s || e.Stage == directory.Combined && s == directory.Decode
}

// fits reports whether the request may use the endpoint, regardless of its state here.
func (req Request) fits(e *directory.Endpoint) bool {
	return e.State == directory.Ready && servesStage(e, req.Stage) && req.Area.Allows(e.Zone) && !slices.Contains(req.Exclude, e.ID) &&
		(req.Software == "" || e.Software == req.Software)
}
