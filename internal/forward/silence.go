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
	// silencePart of the target is how long a repeatable request waits for an
	// answer to begin before it moves to another endpoint.
	silencePart = 0.8
	// silenceEngine bounds the same for engines, whose prompts take time.
	silenceEngine = 1500 * time.Millisecond
	// silenceGaps is how many of the longest good pauses between events a
	// resumable stream waits before it moves on.
	silenceGaps = 3
)

// silence watches an attempt that may go on elsewhere, and ends it when its
// endpoint has said nothing for too long and there is somewhere to go: without
// that, a late answer is better than none. It protects answers that are only
// slow. A nil silence never ends anything.
type silence struct {
	first, gap time.Duration
	cancel     context.CancelFunc
	find       func() *move // nil: there is nowhere to go now
	timer      *time.Timer

	held atomic.Bool // the caller does not read

	mu   sync.Mutex
	over bool
	move *move
}

// move is where a request goes on, paid for from the retry budget.
type move struct {
	place       *broker.Place        // at engines
	reservation *balance.Reservation // at a plain service
	paid        int                  // sends
	drop        func()               // gives everything back
}

// watchSilence arms the silence of an attempt at an endpoint.
func (p *passage) watchSilence(ctx context.Context, cancel context.CancelFunc, endpoint string) *silence {
	if !p.route.Repeatable() || p.runs+1 >= p.route.Attempts {
		return nil
	}
	s := &silence{first: time.Duration(silencePart * float64(p.route.Target)), cancel: cancel}
	exclude := append(slices.Clone(p.tried), endpoint)
	if p.engine() {
		s.find = p.findEngines(ctx, exclude)
	} else {
		s.find = p.findEndpoint(ctx, exclude)
	}
	if p.route.Kind == route.Streaming {
		s.first = max(p.route.Target, silenceEngine)
		s.gap = silenceGaps * p.route.GapTarget
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(s.first, s.fire)
	return s
}

func (s *silence) fire() {
	var m *move
	if !s.held.Load() {
		m = s.find()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.over && m != nil:
		m.drop()
	case s.over:
	case m == nil:
		s.timer.Reset(s.first)
	default:
		s.move = m
		s.cancel()
	}
}

// hold suspends the watch while an event is written. Under backpressure nothing is read
// from the endpoint, so that its silence means nothing.
func (s *silence) hold() {
	if s != nil {
		s.held.Store(true)
	}
}

// heard starts the time anew.
func (s *silence) heard() {
	if s == nil {
		return
	}
	s.held.Store(false)
	if s.gap > 0 {
		s.timer.Reset(s.gap)
	}
}

// stop ends the watch. It returns where the request goes on, if that was what
// ended the attempt.
func (s *silence) stop() *move {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true // first, so that a watch that is just ending is not armed again
	s.timer.Stop()
	return s.move
}

// findEngines returns a function that finds other engines. It may be called from
// another goroutine, so what it needs of the passage is taken now.
func (p *passage) findEngines(ctx context.Context, exclude []string) func() *move {
	ask := p.placeAsk("m" + strconv.Itoa(p.sends))
	ask.Late, ask.Part = true, placement.Both
	again, budget := p.prefill.sends > 0, p.budget(p.service)
	return func() *move {
		left := p.left() - lateReserve
		if left <= 0 {
			return nil
		}
		ask := ask
		ask.Budget = min(lateBudget, left)
		ask.Exclude = slices.Concat(exclude, p.closed())
		ask.Avoid = p.Balancer.Ejected(p.Now())
		place, _ := p.FindPlace(ctx, ask, p.area())
		if place == nil {
			return nil
		}
		m := &move{place: place, paid: 1}
		if again && place.Prefill != "" {
			m.paid++ // its prompt is read once more
		}
		m.drop = func() {
			p.ReleasePlace(place, "", "", nil)
			budget.Return(p.Now(), m.paid)
		}
		if !budget.Take(p.Now(), m.paid) {
			p.ReleasePlace(place, "", "", nil)
			return nil
		}
		return m
	}
}

// findEndpoint is the same for plain services.
func (p *passage) findEndpoint(ctx context.Context, exclude []string) func() *move {
	service, budget, priority := p.service, p.budget(p.service), p.priority()
	return func() *move {
		r := p.reserve(ctx, &balance.Ask{Service: service, Exclude: exclude, Area: p.area(), Stage: directory.Decode}, priority)
		if r == nil {
			return nil
		}
		if !budget.Take(p.Now(), 1) {
			r.Done(p.Now(), balance.Abandoned)
			p.Permits.Return(r.Endpoint.ID)
			return nil
		}
		return &move{reservation: r, paid: 1, drop: func() {
			r.Done(p.Now(), balance.Abandoned)
			p.Permits.Return(r.Endpoint.ID)
			budget.Return(p.Now(), 1)
		}}
	}
}

// takeMove returns where the request goes on after a silence, once.
func (p *passage) takeMove() *move {
	m := p.next
	p.next = nil
	return m
}
