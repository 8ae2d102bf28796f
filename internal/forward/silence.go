package forward

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/route"
)

const (
	// silenceTargetRatio times the target is how long a repeatable request waits for the
	// beginning of a response before it moves to another endpoint.
	silenceTargetRatio = 0.8
	// minEngineSilence is the shortest wait for the first event of a stream, since the
	// prefill takes time.
	minEngineSilence = 1500 * time.Millisecond
	// silenceGapTargets times the gap target is how long a resumable stream waits for the
	// next event before it moves.
	silenceGapTargets = 3
)

// silenceWatch cancels an attempt whose endpoint has been silent for too long, if the
// request may be sent again and an alternative endpoint is available; without one, a late
// response is better than none. It guards against slow endpoints only; failures are
// detected elsewhere. A nil silenceWatch never cancels.
type silenceWatch struct {
	first, gap time.Duration
	cancel     context.CancelFunc
	find       func() *alternative // returns nil if no alternative is available now
	overloaded func() bool
	timer      *time.Timer

	suspended atomic.Bool // while an event is being written to the caller

	mu          sync.Mutex
	stopped     bool
	alternative *alternative
}

// alternative is a reservation at another endpoint, paid for from the retry budget.
type alternative struct {
	place       *broker.Place        // at model engines
	reservation *balance.Reservation // at an endpoint of a plain service
	paidSends   int                  // sends taken from the retry budget
	release     func()               // gives back the place, or the reservation with its permit, and the budget
}

// watchSilence starts the silence watch of an attempt at an endpoint.
func (p *proxyRequest) watchSilence(ctx context.Context, cancel context.CancelFunc, endpoint *directory.Endpoint) *silenceWatch {
	if !p.route.Repeatable() || p.runs+1 >= p.route.Attempts {
		return nil
	}
	s := &silenceWatch{first: time.Duration(silenceTargetRatio * float64(p.route.Target)), cancel: cancel, overloaded: p.Overloaded}
	exclude := append(slices.Clone(p.tried), endpoint.ID)
	if p.usesEngines() {
		s.find = p.engineFinder(ctx, exclude, endpoint.Software)
	} else {
		s.find = p.endpointFinder(ctx, exclude, endpoint.Software)
	}
	if p.route.Kind == route.Streaming {
		s.first = max(p.route.Target, minEngineSilence)
		s.gap = silenceGapTargets * p.route.GapTarget
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(s.first, s.fire)
	return s
}

func (s *silenceWatch) fire() {
	var alt *alternative
	if !s.suspended.Load() && !s.overloaded() {
		alt = s.find()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopped && alt != nil:
		alt.release()
	case s.stopped:
	case alt == nil:
		s.timer.Reset(s.first)
	default:
		s.alternative = alt
		s.cancel()
	}
}

// suspend stops counting silence while an event is written to the caller. Under
// backpressure nothing is read from the endpoint, so its silence means nothing.
func (s *silenceWatch) suspend() {
	if s != nil {
		s.suspended.Store(true)
	}
}

// reset is called after the endpoint has sent something. It ends a suspension and, for a
// stream, restarts the timer with the gap.
func (s *silenceWatch) reset() {
	if s == nil {
		return
	}
	s.suspended.Store(false)
	if s.gap > 0 {
		s.timer.Reset(s.gap)
	}
}

// canceled reports whether the watch has canceled the attempt.
func (s *silenceWatch) canceled() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alternative != nil
}

// stop ends the watch. It returns the alternative if the watch canceled the attempt.
func (s *silenceWatch) stop() *alternative {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true // first, so that a concurrent fire does not rearm the timer
	s.timer.Stop()
	return s.alternative
}

// engineFinder returns a function that finds a place at other engines. The function may run
// in another goroutine, so the request for the place, the number of prefills and the budget
// are captured here. current is the software version of this attempt's endpoint: once that has
// sent an event, the stream stays at its version.
func (p *proxyRequest) engineFinder(ctx context.Context, exclude []string, current string) func() *alternative {
	req := p.newPlaceRequest("m" + strconv.Itoa(p.sends))
	req.Late, req.Part = true, placement.Both
	req.Software = p.version.software
	hasPrefilled, budget := p.prefill.sends > 0, p.budget(p.service)
	return func() *alternative {
		left := p.left() - minAnswerTime
		if left <= 0 {
			return nil
		}
		req := req
		req.Budget = min(latePlaceWait, left)
		if p.headSent.Load() {
			req.Software, req.Begun = current, true
		}
		req.Exclude = slices.Concat(exclude, p.unavailableEngines())
		req.Avoid = p.Balancer.Ejected(p.Now())
		place, _ := p.FindPlace(ctx, req, p.allowedArea())
		if place == nil {
			return nil
		}
		alt := &alternative{place: place, paidSends: 1}
		if hasPrefilled && place.Prefill != "" {
			alt.paidSends++ // another prefill
		}
		alt.release = func() {
			p.ReleasePlace(place, "", "", nil)
			budget.Return(p.Now(), alt.paidSends)
		}
		if !budget.Take(p.Now(), alt.paidSends) {
			p.ReleasePlace(place, "", "", nil)
			return nil
		}
		return alt
	}
}

// endpointFinder is engineFinder for plain services.
func (p *proxyRequest) endpointFinder(ctx context.Context, exclude []string, current string) func() *alternative {
	service, budget, priority, software := p.service, p.budget(p.service), p.priority(), p.version.software
	return func() *alternative {
		criteria := balance.Request{Service: service, Exclude: exclude, Area: p.allowedArea(), Stage: directory.Decode, Software: software}
		if p.headSent.Load() {
			criteria.Software = current
		}
		r := p.reserve(ctx, &criteria, priority)
		if r == nil {
			return nil
		}
		if !budget.Take(p.Now(), 1) {
			r.Done(p.Now(), balance.Canceled)
			p.Permits.Return(r.Endpoint.ID)
			return nil
		}
		return &alternative{reservation: r, paidSends: 1, release: func() {
			r.Done(p.Now(), balance.Canceled)
			p.Permits.Return(r.Endpoint.ID)
			budget.Return(p.Now(), 1)
		}}
	}
}

// takeAlternative returns the alternative found during a silence, once.
func (p *proxyRequest) takeAlternative() *alternative {
	alt := p.alternative
	p.alternative = nil
	return alt
}
