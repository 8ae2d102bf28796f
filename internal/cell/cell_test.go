package cell_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/pkg/clock"
)

// maxReleaseTime is how long an engine may hold an attempt after its owner is
// gone: until the owner expires, and then until a cancel arrives, as some are
// lost.
const maxReleaseTime = 8 * time.Second

// TestAbandonedAttemptsAreReleased runs a simulation in which callers give up,
// entries die and freeze, the dispatcher restarts and messages are lost, alone
// and together. In the end no engine holds anything, no reservation is left, no
// request was answered twice and no invariant was violated.
func TestAbandonedAttemptsAreReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), 2, 2)
		s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
		s.run(500 * time.Millisecond)
		for i := range rapid.IntRange(5, 60).Draw(t, "events") {
			e := s.entries[s.random.IntN(len(s.entries))]
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				e.dead = true
				s.addEntry(fmt.Sprintf("e%d", len(s.entries)))
			case 1:
				e.frozen = s.now.Add(time.Duration(s.random.IntN(6000)) * time.Millisecond)
			case 2:
				s.restart()
			default:
				if !e.dead && e.frozen <= s.now {
					givesUp := time.Duration(s.random.IntN(4000)) * time.Millisecond
					s.submit(e, fmt.Sprintf("r%d", i), 500+s.random.IntN(2000), givesUp)
				}
			}
			s.run(time.Duration(s.random.IntN(150)) * time.Millisecond)
		}
		s.run(6 * time.Second) // until frozen entries resume
		for _, e := range s.entries {
			e.dead = true
		}
		s.run(maxReleaseTime)
		if n := s.held(); n != 0 {
			t.Fatalf("%d attempts are still held", n)
		}
		if left := s.cell.Running(); len(left) != 0 {
			t.Fatalf("remaining reservations: %v", left)
		}
		for id, n := range s.answers {
			if n > 1 {
				t.Fatalf("%s was answered %d times", id, n)
			}
		}
		if len(s.violations) > 0 {
			t.Fatalf("violated invariants: %v", s.violations)
		}
	})
}

// TestReleaseTime checks how long, in simulated time, the engines hold attempts
// after their owner is lost, for each way to lose it.
func TestReleaseTime(t *testing.T) {
	tests := []struct {
		name  string
		lose  func(*simulation)
		bound time.Duration
	}{
		{"caller gives up", func(s *simulation) {
			for id, a := range s.entries[0].attempts {
				s.withdraw(s.entries[0], id, a)
			}
		}, 200 * time.Millisecond},
		{"cancel overtakes the start", func(s *simulation) {
			s.startDelay = 300 * time.Millisecond
			s.submit(s.entries[0], "late", 1000, 0)
			s.run(150 * time.Millisecond)
			for id, a := range s.entries[0].attempts {
				s.withdraw(s.entries[0], id, a)
			}
			s.run(200 * time.Millisecond)
		}, 500 * time.Millisecond},
		{"entry dies", func(s *simulation) { s.entries[0].dead = true }, expiry + 500*time.Millisecond},
		{"dispatcher dies", func(s *simulation) {
			s.restart()
			s.entries[0].dead = true
		}, 2*expiry + time.Second},
		{"entry freezes and resumes", func(s *simulation) {
			s.entries[0].frozen = s.now.Add(2 * expiry)
		}, expiry + 500*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(1, 1, 1)
			s.run(500 * time.Millisecond)
			for i := range 3 {
				s.submit(s.entries[0], fmt.Sprintf("r%d", i), 1000, 0)
			}
			s.run(400 * time.Millisecond)
			c.Assert(s.held() > 0, qt.IsTrue)
			for _, e := range s.entries[1:] {
				e.dead = true
			}
			test.lose(s)
			lost := s.now
			for s.held() > 0 && s.now.Sub(lost) < time.Minute {
				s.run(tick)
			}
			t.Logf("released after %v", s.now.Sub(lost))
			c.Assert(s.now.Sub(lost) <= test.bound, qt.IsTrue, qt.Commentf("after %v", s.now.Sub(lost)))
		})
	}
}

// TestDrain checks that an endpoint gets no grants once its dispatcher knows
// that it is draining.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(3, 1, 2)
	s.run(500 * time.Millisecond)
	s.change(catalog.VerbSet, "endpoint", "d0", "state", catalog.EndpointDraining)
	for i := range 4 {
		s.submit(s.entries[0], fmt.Sprintf("r%d", i), 400, 0)
	}
	s.run(500 * time.Millisecond)
	c.Assert(s.engines["d0"].maxHeld, qt.Equals, 0)
	c.Assert(s.engines["d1"].maxHeld > 0, qt.IsTrue)
}

// TestLateRequestIsRefusedAtOnce checks that a request which cannot meet its
// deadline even in an empty cell is refused at once, with the predicted times.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(4, 1, 1)
	s.run(500 * time.Millisecond)
	s.submit(s.entries[0], "long", 60_000, 0)
	s.run(100 * time.Millisecond)
	explained := s.cell.Explain("long")
	c.Assert(explained, qt.HasLen, 1)
	c.Assert(explained[0].Action, qt.Equals, "refused: first_token_late")
	c.Assert(explained[0].Terms.FirstToken() > explained[0].Terms.Budget, qt.IsTrue)
	c.Assert(clock.Millis(0) < explained[0].At, qt.IsTrue)
}

// TestSlotsAreGrantedOnce sends a pool several times the requests it has slots
// for, then replaces its dispatcher by one without state. No engine may receive
// more requests than it has slots: a new dispatcher must first read what its
// endpoints hold.
func TestSlotsAreGrantedOnce(t *testing.T) {
	tests := []struct {
		name    string
		restart bool
	}{
		{"one dispatcher", false},
		{"dispatcher replaced", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(5, 2, 2)
			s.maxAnswer = 20_000
			s.run(500 * time.Millisecond)
			for i := range 40 {
				s.submit(s.entries[i%3], fmt.Sprintf("r%d", i), 400, 0)
				s.run(60 * time.Millisecond)
				if i == 25 && test.restart {
					s.run(400 * time.Millisecond) // until the granted requests have arrived
					s.restart()
					for _, e := range s.entries { // no entry announces the running attempts
						e.frozen = s.now.Add(time.Second)
					}
					s.entries = nil
					for range 3 {
						s.addEntry("fresh")
					}
				}
			}
			c.Assert(s.slotRefusals, qt.Equals, 0)
			c.Assert(s.engines["d0"].maxHeld, qt.Equals, decodeSlots)
			c.Assert(s.violations, qt.HasLen, 0)
		})
	}
}

// TestNewDispatcherQueuesRequests checks that a dispatcher which has no reports
// of its endpoints yet queues requests instead of refusing them.
func TestNewDispatcherQueuesRequests(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(8, 1, 1)
	s.restart()
	s.submit(s.entries[0], "early", 400, 0)
	s.run(600 * time.Millisecond)
	c.Assert(s.cell.Running(), qt.HasLen, 1)
}

// TestLostGrantIsResent checks that a lost grant is sent again, with the same
// endpoints.
func TestLostGrantIsResent(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(9, 2, 2)
	s.run(500 * time.Millisecond)
	s.loss = 1
	s.submit(s.entries[0], "r", 400, 0)
	s.run(100 * time.Millisecond)
	c.Assert(s.answers["r.1"], qt.Equals, 1)
	c.Assert(s.entries[0].attempts["r.1"].granted, qt.IsFalse)
	s.loss = 0
	s.run(700 * time.Millisecond)
	c.Assert(s.entries[0].attempts["r.1"].grant, qt.Equals, *s.granted["r.1"])
	c.Assert(s.answers["r.1"], qt.Equals, 1)
}

// TestDuplicateAndReorderedMessages sends a dispatcher messages twice and out of
// order.
func TestDuplicateAndReorderedMessages(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(6, 1, 1)
	s.run(500 * time.Millisecond)
	owner := s.entries[0].owner
	request := cell.AttemptRequest{
		Cell: name, Attempt: "r.1", Request: "r", Owner: owner, Workspace: "w", Kind: "k", Class: "c",
		Tokens: 100, MaxTokens: 10, Budget: time.Second,
	}
	s.apply(request)
	s.apply(request)
	c.Assert(s.answers["r.1"], qt.Equals, 1)
	c.Assert(s.cell.Running(), qt.HasLen, 1)
	running := cell.AnnouncedAttempt{Attempt: "r.1", Phase: cell.Streaming, Prefill: "p0", Decode: "d0"}
	s.apply(cell.Progress{Cell: name, Attempt: "r.1", Phase: cell.Finished, Duration: time.Second, Tokens: 10})
	s.apply(cell.Announcement{Cell: name, Owner: owner, Running: []cell.AnnouncedAttempt{running}})
	c.Assert(s.cell.Running(), qt.HasLen, 0)
	s.apply(request) // the entry repeated its request before it received the grant
	c.Assert(s.answers["r.1"], qt.Equals, 1)
}
