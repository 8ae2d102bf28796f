package releases

import (
	"context"
	"sync"
	"time"
)

// shared runs a function for all calls that arrive while it runs for earlier ones. A run begins
// after the calls that it serves, so that what it finds is no older than they are.
type shared[Q, A any] struct {
	run   func([]Q) (A, error)
	pause func() time.Duration // before a run; nil: none

	mu      sync.Mutex
	next    *sharedRun[Q, A] // which has not begun; nil: no call waits for one
	running bool
}

// sharedRun is one run and the calls that wait for it.
type sharedRun[Q, A any] struct {
	calls  []Q
	done   chan struct{}
	answer A
	err    error
}

// do returns the result of a run that includes a call.
func (s *shared[Q, A]) do(ctx context.Context, call Q) (answer A, err error) {
	s.mu.Lock()
	if s.next == nil {
		s.next = &sharedRun[Q, A]{done: make(chan struct{})}
	}
	r := s.next
	r.calls = append(r.calls, call)
	if !s.running {
		s.running = true
		go s.runAll()
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.answer, r.err
	case <-ctx.Done():
		return answer, ctx.Err()
	}
}

// runAll runs until no call waits.
func (s *shared[Q, A]) runAll() {
	for s.isAwaited() {
		if s.pause != nil {
			time.Sleep(s.pause())
		}
		r := s.begin()
		r.answer, r.err = s.run(r.calls)
		close(r.done)
	}
}

// isAwaited reports whether calls wait for a run.
func (s *shared[Q, A]) isAwaited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = s.next != nil
	return s.running
}

// begin returns the next run. Later calls wait for the one after it.
func (s *shared[Q, A]) begin() *sharedRun[Q, A] {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.next
	s.next = nil
	return r
}
