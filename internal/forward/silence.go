package forward

import (
	"context"
	"slices"
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

// silenceWatch starts successors beside an attempt whose endpoint has been silent for too long, if the
// request may be sent again. The endpoint that speaks first answers the caller, and the other attempts are
// canceled: a silent endpoint may go on at any moment, and another one may turn out not to be usable. If the
// attempt fails by itself, the request goes on by its successors. A nil silenceWatch never starts one.
type silenceWatch struct {
	first, gap time.Duration
	cancel     context.CancelFunc // ends the attempt
	request    *proxyRequest      // of the attempt, which alone may use it
	start      func(s *silenceWatch) *successor
	overloaded func() bool
	timer      *time.Timer

	mu         sync.Mutex
	suspended  bool // while an event is being written to the caller
	ended      bool // the attempt has ended without an answer
	stopped    bool // no successor is started or needed any more
	at         position
	starts     int           // of successors
	successors []*successor  // that run
	winner     *successor    // the one that spoke first
	spent      spending      // by successors that have ended
	settled    chan struct{} // closed once the attempt has ended, and a successor has spoken or none is left
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

// watchSilence starts the silence watch of an attempt at an endpoint, which is recorded already.
func (p *proxyRequest) watchSilence(ctx context.Context, cancel context.CancelFunc, endpoint *directory.Endpoint) *silenceWatch {
	if p.beside != nil || !p.route.Repeatable() || p.record.MayHaveRun() >= p.route.Attempts {
		return nil
	}
	s := &silenceWatch{
		first: time.Duration(silenceTargetRatio * float64(p.route.Target)), cancel: cancel,
		request: p, at: p.position(), start: p.successorStarter(ctx, endpoint), overloaded: p.Overloaded, settled: make(chan struct{}),
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
	if s.stopped || s.winner != nil {
		return
	}
	if !s.suspended && !s.overloaded() {
		if x := s.start(s); x != nil {
			s.starts++
			s.successors = append(s.successors, x)
			go s.run(x)
		}
	}
	s.timer.Reset(s.first)
}

// run sends the successor's request until a response has begun or it fails.
func (s *silenceWatch) run(x *successor) {
	begun := x.seek()
	s.mu.Lock()
	s.successors = slices.DeleteFunc(s.successors, func(y *successor) bool { return x == y })
	won := begun && !x.canceled && !s.stopped && s.winner == nil
	if won {
		s.winner = x
		s.cancelSuccessors()
		if !s.ended {
			s.cancel()
		}
	} else {
		s.spent.add(x.spending())
		x.request.planned.Withdraw()
	}
	s.settle()
	s.mu.Unlock()
	if !won {
		x.request.drop()
	}
}

// cancelSuccessors cancels those that run. The lock must be held.
func (s *silenceWatch) cancelSuccessors() (canceled bool) {
	for _, x := range s.successors {
		if !x.canceled {
			x.canceled, canceled = true, true
			x.cancel()
		}
	}
	return canceled
}

// settle closes settled if it is time. The lock must be held.
func (s *silenceWatch) settle() {
	if s.ended && !s.stopped && (s.winner != nil || len(s.successors) == 0) {
		s.stopped = true
		s.timer.Stop()
		close(s.settled)
	}
}

// speak is called when the endpoint has sent something that ends its silence. It reports whether the attempt
// still answers the caller: it does unless another endpoint spoke first. Successors are canceled, and silence does
// not count until reset, while an event is written to the caller: under backpressure nothing is read
// from the endpoint.
func (s *silenceWatch) speak() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.winner != nil {
		return false
	}
	s.suspended = true
	if s.cancelSuccessors() {
		s.request.logKept()
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
	return s.winner != nil
}

// end is called when the attempt has ended without an answer. Its successors go on until settled is closed.
func (s *silenceWatch) end() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.settle()
}

// result returns the successor that spoke first, or nil, and what the others have spent, once settled is closed. Those
// that have not ended yet count as having been sent.
func (s *silenceWatch) result() (*successor, spending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	winner, spent := s.winner, s.spent
	s.winner = nil
	spent.sends += len(s.successors)
	return winner, spent
}

// stop ends the watch and all successors.
func (s *silenceWatch) stop() {
	if s == nil {
		return
	}
	s.mu.Lock()
	s.stopped = true // first, so that a concurrent fire does not rearm the timer
	s.timer.Stop()
	s.cancelSuccessors()
	winner := s.winner
	s.winner = nil
	s.mu.Unlock()
	if winner != nil {
		winner.cancel()
		winner.request.drop()
	}
}

// running returns what has been spent by successors, those that have not ended included, without waiting for them.
func (s *silenceWatch) running() spending {
	if s == nil {
		return spending{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	spent, n := s.spent, len(s.successors)
	if s.winner != nil {
		n++
	}
	spent.sends += n
	return spent
}
