// Package balance chooses endpoints. It knows each endpoint by the requests
// that this instance has there, the load that answers tell, and how recent
// requests ended; it shares nothing with other instances.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/notice"
	"github.com/trailshed/trailshed/internal/residency"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// loadAge is how long an endpoint's load report is believed.
	loadAge = 1500 * time.Millisecond
	// zonePenalty is added to the predicted wait at endpoints of other zones:
	// it outweighs the 3 ms round trip because bytes between zones cost, and
	// cut links strike there.
	zonePenalty = 40.0 // ms
	// regionPenalty is added besides at endpoints of other regions: the way there is
	// several times as long, and bytes cost more.
	regionPenalty = 40.0 // ms
	// ejectBase doubles with each ejection in a row, up to ejectMost.
	ejectBase = time.Second
	ejectMost = 8 * time.Second
	// failureWeight is the weight of one result in the running failure rate;
	// half of a rate is forgotten in about four results.
	failureWeight = 0.15
	// ejectRate is the failure rate at which an endpoint is ejected. Some
	// kinds fail by themselves (one in seven); four failures of five reach it.
	ejectRate = 0.45
	// probePause is the least time between two requests to an endpoint that
	// could not be reached, while it is ejected: a silent address costs each of
	// them the whole time-out of a dial, and then a refusal that comes late.
	probePause = 400 * time.Millisecond
	// startWork is the assumed work of one request before any was measured.
	startWork = 60.0 // ms
)

// Ask is what a request wants.
type Ask struct {
	Service string
	Stage   directory.Stage
	Exclude []string // ids of endpoints already tried
	Area    residency.Area
	// Withheld are endpoints that may get no such request for a while, by id.
	Withheld map[string]time.Duration
}

// Result is how a send ended.
type Result int

// Results of a send.
const (
	Good        Result = iota // an answer, whatever its status
	Failed                    // a failure that another endpoint might not have had
	Rejected                  // the endpoint said that it did not run the request
	Unreachable               // no connection
	Abandoned                 // we ended it; says nothing about the endpoint
)

// Load is an endpoint's load report.
type Load struct {
	Running, Waiting, Slots int
}

// Balancer is the table of endpoints. Lock order: its own lock, then that of rests.
type Balancer struct {
	zone string
	// regions has the region of each zone.
	regions map[string]string
	rests   *notice.Table[string] // who wants no requests, by id
	mu      sync.Mutex
	byID    map[string]*state
}

type state struct {
	running  int // requests of this instance
	load     Load
	loadAt   clock.Millis
	work     float64 // running mean of a request's time, ms
	failures float64 // running rate of failures
	row      int     // ejections in a row
	ejected  clock.Millis
	usedAt   clock.Millis
	silent   bool // it could not be reached the last time
}

// New returns a balancer for an instance of zone; regions has the region of each zone.
func New(zone string, regions map[string]string) *Balancer {
	return &Balancer{zone: zone, regions: regions, rests: notice.NewTable[string](0), byID: map[string]*state{}}
}

// Reservation is a request's place at an endpoint, until Done.
type Reservation struct {
	Endpoint *directory.Endpoint
	balancer *Balancer
	began    clock.Millis
	done     bool
}

// Reserve picks the endpoint with the least predicted wait. Ejected endpoints
// are taken only if no other is left, those that rest never. It returns nil if there
// is none at all.
func (b *Balancer) Reserve(now clock.Millis, view *directory.View, a Ask) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *directory.Endpoint
	bestScore, bestEjected := 0.0, true
	resting, ties := b.rests.All(now), 0
	for e := range view.Service(a.Service) {
		if !a.fits(e) || slices.Contains(resting, e.ID) || a.Withheld[e.ID] > 0 {
			continue
		}
		s := b.known(e.ID)
		if s.silent && now < s.ejected && now.Sub(s.usedAt) < probePause {
			continue // one request at a time finds out whether it is back
		}
		score, out := b.score(now, e, s), now < s.ejected
		switch {
		case best == nil || bestEjected && !out || bestEjected == out && score < bestScore:
			best, bestScore, bestEjected, ties = e, score, out, 1
		case bestEjected == out && score == bestScore:
			if ties++; rand.IntN(ties) == 0 { // each of those that are equal is as likely
				best = e
			}
		}
	}
	if best == nil {
		return nil
	}
	return b.reserve(now, best)
}

// ReserveAt takes a place at an endpoint that was chosen elsewhere. It returns nil if
// the endpoint rests.
func (b *Balancer) ReserveAt(now clock.Millis, e *directory.Endpoint) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rests.Closed(now, e.ID) {
		return nil
	}
	return b.reserve(now, e)
}

// Resting returns the ids of the endpoints that rest now.
func (b *Balancer) Resting(now clock.Millis) []string { return b.rests.All(now) }

// Rests says whether an endpoint rests now.
func (b *Balancer) Rests(now clock.Millis, id string) bool { return b.rests.Closed(now, id) }

// RestsFor is how long until the first of the endpoints that an ask fits may be used, if
// all of them rest or are withheld now, and whether that one is withheld; else it is 0.
func (b *Balancer) RestsFor(now clock.Millis, view *directory.View, a Ask) (least time.Duration, withheld bool) {
	found := false
	for e := range view.Service(a.Service) {
		if !a.fits(e) {
			continue
		}
		rest := b.rests.Left(now, e.ID)
		if rest <= 0 && a.Withheld[e.ID] <= 0 {
			return 0, false
		}
		if left := max(rest, a.Withheld[e.ID]); !found || left < least {
			least, found, withheld = left, true, left > rest
		}
	}
	return least, withheld
}

// Ejected returns the ids of the endpoints that are ejected now.
func (b *Balancer) Ejected(now clock.Millis) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, s := range b.byID {
		if now < s.ejected {
			ids = append(ids, id)
		}
	}
	return ids
}

func (b *Balancer) reserve(now clock.Millis, e *directory.Endpoint) *Reservation {
	s := b.state(e.ID)
	s.running++
	s.usedAt = now
	return &Reservation{Endpoint: e, balancer: b, began: now}
}

// score predicts the wait at an endpoint in ms.
func (b *Balancer) score(now clock.Millis, e *directory.Endpoint, s *state) float64 {
	running, waiting := s.running, 0
	if now.Sub(s.loadAt) < loadAge {
		running = max(running, s.load.Running)
		waiting = s.load.Waiting
	}
	slots := max(e.Slots, 1)
	score := s.work * float64(waiting) / float64(slots)
	score += s.work * float64(max(running+1-slots, 0)) / float64(slots)
	score += s.work * float64(running) / float64(slots) / 4 // spreads what fits
	if e.Zone != b.zone {
		score += zonePenalty
	}
	if b.regions[e.Zone] != b.regions[b.zone] {
		score += regionPenalty
	}
	return score
}

// untried is the state of an endpoint to which this instance has sent nothing.
var untried = state{work: startWork}

// known is what is known of an endpoint. Only what is used gets a state of its own: a
// look at all endpoints of a large fleet leaves nothing behind.
func (b *Balancer) known(id string) *state {
	if s := b.byID[id]; s != nil {
		return s
	}
	return &untried
}

func (b *Balancer) state(id string) *state {
	s := b.byID[id]
	if s == nil {
		s = &state{work: startWork}
		b.byID[id] = s
	}
	return s
}

// Told takes the load that an answer tells.
func (r *Reservation) Told(now clock.Millis, l Load) {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	s := r.balancer.state(r.Endpoint.ID)
	s.load, s.loadAt = l, now
}

// Rest takes an endpoint's word that it wants no request for so long. It returns
// false if that is known already. A request that is turned away counts neither as a
// failure nor as load: without this, an endpoint that turns all away looks like the best
// one to each next request, and second sends spend the retry allowance.
func (b *Balancer) Rest(now clock.Millis, id string, length time.Duration) (news bool) {
	return b.rests.Take(now, id, notice.Notice{Rest: length})
}

// Done gives the place back and learns from the result. It returns how long
// the endpoint is ejected for, 0 if it is not ejected now.
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
	case Good:
		s.silent = false
		s.failures *= 1 - failureWeight
		s.work += (float64(now.Sub(r.began).Milliseconds()) - s.work) * failureWeight
		s.row = 0
	case Failed:
		s.failures += (1 - s.failures) * failureWeight
		if s.failures >= ejectRate {
			return s.eject(now)
		}
	case Unreachable:
		s.silent = true
		return s.eject(now)
	case Rejected:
		s.silent = false
	case Abandoned:
	}
	return 0
}

func (s *state) eject(now clock.Millis) time.Duration {
	if now < s.ejected {
		return 0 // it was ejected while this request was there
	}
	length := min(ejectBase<<s.row, ejectMost)
	s.row = min(s.row+1, 3)
	s.ejected = now.Add(length)
	s.failures = ejectRate / 2 // one more failure in a few ejects again
	return length
}

// Forget drops endpoints that the view no longer holds and nothing uses. What one
// asked for outlasts a listing that lacks it.
func (b *Balancer) Forget(view *directory.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.byID {
		if s.running == 0 && view.Find(id) == nil {
			delete(b.byID, id)
		}
	}
}

// plays says whether an endpoint takes requests of a stage; it turns away those
// of the other one.
func plays(e *directory.Endpoint, s directory.Stage) bool {
	return e.Stage == s || e.Stage == directory.Whole && s == directory.Decode
}

// fits says whether an endpoint may ever be used for what is asked.
func (a Ask) fits(e *directory.Endpoint) bool {
	return e.State == directory.Ready && plays(e, a.Stage) && a.Area.Allows(e.Zone) && !slices.Contains(a.Exclude, e.ID)
}
