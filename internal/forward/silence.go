package forward

import (
	"context"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/route"
)

const (
	// silenceTargetRatio times the target is how long a repeatable request waits for the
	// beginning of a response before it is sent to another endpoint as well.
	silenceTargetRatio = 0.8
	// minEngineSilence is the shortest wait for the first event of a stream, since the
	// prefill takes time.
	minEngineSilence = 1500 * time.Millisecond
	// silenceGapTargets times the gap target is how long a resumable stream waits for the
	// next event before it is sent to another engine as well.
	silenceGapTargets = 3
)

// silenceWatch starts a successor beside an attempt whose endpoint has been silent for too long, if the
// request may be sent again. The endpoint that speaks first answers the caller, and the other attempt is
// canceled: a silent endpoint may go on at any moment, and another one may turn out not to be usable. A
// nil silenceWatch never starts one.
type silenceWatch struct {
	first, gap time.Duration
	cancel     context.CancelFunc // ends the attempt
	request    *proxyRequest      // of the attempt, which alone may use it
	start      func(s *silenceWatch) *successor
	overloaded func() bool
	timer      *time.Timer

	mu        sync.Mutex
	suspended bool // while an event is being written to the caller
	stopped   bool // the attempt has ended
	lost      bool // the successor spoke first
	at        position
	starts    int      // of successors
	spent     spending // by successors that have ended
	successor *successor
}

// position is how much of a stream the caller has received.
type position struct {
	begun       bool
	lastEventID string
	version     streamVersion
}

func (p *proxyRequest) position() position {
	return position{begun: p.headSent.Load(), lastEventID: p.lastEventID, version: p.version}
}

// watchSilence starts the silence watch of an attempt at an endpoint, which is counted in p.runs already.
func (p *proxyRequest) watchSilence(ctx context.Context, cancel context.CancelFunc, endpoint *directory.Endpoint) *silenceWatch {
	if p.beside != nil || !p.route.Repeatable() || p.runs >= p.route.Attempts {
		return nil
	}
	s := &silenceWatch{
		first: time.Duration(silenceTargetRatio * float64(p.route.Target)), cancel: cancel,
		request: p, at: p.position(), start: p.successorStarter(ctx, endpoint), overloaded: p.Overloaded,
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	if !s.suspended && s.successor == nil && !s.overloaded() {
		if s.successor = s.start(s); s.successor != nil {
			s.starts++
			go s.run(s.successor)
		}
	}
	s.timer.Reset(s.first)
}

// run sends the successor's request until a response has begun or it fails.
func (s *silenceWatch) run(x *successor) {
	begun := x.request.seek(x.ctx) == stepBegun
	s.mu.Lock()
	x.begun = begun && !x.canceled
	switch {
	case !x.begun && !s.stopped:
		s.spent.add(x.spending())
		s.successor = nil
	case x.begun && !s.stopped:
		s.lost = true
		s.cancel()
	}
	s.mu.Unlock()
	if !x.begun {
		x.request.drop()
	}
	close(x.done)
}

// speak is called when the endpoint has sent something that ends its silence. It reports whether the attempt
// still answers the caller: it does unless another endpoint spoke first. The successor is canceled, and silence does
// not count until reset, while an event is written to the caller: under backpressure nothing is read
// from the endpoint.
func (s *silenceWatch) speak() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return false
	}
	s.suspended = true
	if s.successor != nil && !s.successor.canceled {
		s.successor.canceled = true
		s.successor.cancel()
		s.request.logKept(s.successor)
	}
	return true
}

// reset is called after the endpoint has sent something, when it is waited for again. It ends a suspension
// and, for a stream, restarts the timer with the gap.
func (s *silenceWatch) reset() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended, s.at = false, s.request.position()
	if s.gap > 0 && !s.stopped {
		s.timer.Reset(s.gap)
	}
}

// superseded reports whether another endpoint spoke first.
func (s *silenceWatch) superseded() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// stop ends the watch together with the attempt. It returns the successor if there is one, by which the request
// goes on, and what earlier ones have spent.
func (s *silenceWatch) stop() (*successor, spending) {
	if s == nil {
		return nil, spending{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true // first, so that a concurrent fire does not rearm the timer
	s.timer.Stop()
	return s.successor, s.spent
}
