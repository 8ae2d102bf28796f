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
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), 2, 2)
		w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
		w.run(500 * time.Millisecond)
		for i := range rapid.IntRange(5, 60).Draw(t, "events") {
			e := w.entries[w.random.IntN(len(w.entries))]
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				e.dead = true
				w.addEntry(fmt.Sprintf("e%d", len(w.entries)))
			case 1:
				e.frozen = w.now.Add(time.Duration(w.random.IntN(6000)) * time.Millisecond)
			case 2:
				w.restart()
			default:
				if !e.dead && e.frozen <= w.now {
					givesUp := time.Duration(w.random.IntN(4000)) * time.Millisecond
					w.ask(e, fmt.Sprintf("r%d", i), 500+w.random.IntN(2000), givesUp)
				}
			}
			w.run(time.Duration(w.random.IntN(150)) * time.Millisecond)
		}
		w.run(6 * time.Second) // until frozen entries resume
		for _, e := range w.entries {
			e.dead = true
		}
		w.run(maxReleaseTime)
		if n := w.held(); n != 0 {
			t.Fatalf("%d attempts are still held", n)
		}
		if left := w.cell.Running(); len(left) != 0 {
			t.Fatalf("remaining reservations: %v", left)
		}
		for id, n := range w.answers {
			if n > 1 {
				t.Fatalf("%s was answered %d times", id, n)
			}
		}
		if len(w.violations) > 0 {
			t.Fatalf("violated invariants: %v", w.violations)
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
		{"caller gives up", func(w *simulation) {
			for id, a := range w.entries[0].attempts {
				w.withdraw(w.entries[0], id, a)
			}
		}, 200 * time.Millisecond},
		{"cancel overtakes the start", func(w *simulation) {
			w.startDelay = 300 * time.Millisecond
			w.ask(w.entries[0], "late", 1000, 0)
			w.run(150 * time.Millisecond)
			for id, a := range w.entries[0].attempts {
				w.withdraw(w.entries[0], id, a)
			}
			w.run(200 * time.Millisecond)
		}, 500 * time.Millisecond},
		{"entry dies", func(w *simulation) { w.entries[0].dead = true }, expiry + 500*time.Millisecond},
		{"dispatcher dies", func(w *simulation) {
			w.restart()
			w.entries[0].dead = true
		}, 2*expiry + time.Second},
		{"entry freezes and resumes", func(w *simulation) {
			w.entries[0].frozen = w.now.Add(2 * expiry)
		}, expiry + 500*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newSimulation(1, 1, 1)
			w.run(500 * time.Millisecond)
			for i := range 3 {
				w.ask(w.entries[0], fmt.Sprintf("r%d", i), 1000, 0)
			}
			w.run(400 * time.Millisecond)
			c.Assert(w.held() > 0, qt.IsTrue)
			for _, e := range w.entries[1:] {
				e.dead = true
			}
			test.lose(w)
			lost := w.now
			for w.held() > 0 && w.now.Sub(lost) < time.Minute {
				w.run(tick)
			}
			t.Logf("released after %v", w.now.Sub(lost))
			c.Assert(w.now.Sub(lost) <= test.bound, qt.IsTrue, qt.Commentf("after %v", w.now.Sub(lost)))
		})
	}
}

// TestDrain checks that an endpoint gets no grants once its dispatcher knows
// that it is draining.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(3, 1, 2)
	w.run(500 * time.Millisecond)
	w.change(catalog.VerbSet, "endpoint", "d0", "state", catalog.EndpointDraining)
	for i := range 4 {
		w.ask(w.entries[0], fmt.Sprintf("r%d", i), 400, 0)
	}
	w.run(500 * time.Millisecond)
	c.Assert(w.engines["d0"].maxHeld, qt.Equals, 0)
	c.Assert(w.engines["d1"].maxHeld > 0, qt.IsTrue)
}

// TestLateRequestIsRefusedAtOnce checks that a request which cannot meet its
// deadline even in an empty cell is refused at once, with the predicted times.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(4, 1, 1)
	w.run(500 * time.Millisecond)
	w.ask(w.entries[0], "long", 60_000, 0)
	w.run(100 * time.Millisecond)
	explained := w.cell.Explain("long")
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
			w := newSimulation(5, 2, 2)
			w.maxAnswer = 20_000
			w.run(500 * time.Millisecond)
			for i := range 40 {
				w.ask(w.entries[i%3], fmt.Sprintf("r%d", i), 400, 0)
				w.run(60 * time.Millisecond)
				if i == 25 && test.restart {
					w.run(400 * time.Millisecond) // until the granted requests have arrived
					w.restart()
					for _, e := range w.entries { // no entry announces the running attempts
						e.frozen = w.now.Add(time.Second)
					}
					w.entries = nil
					for range 3 {
						w.addEntry("fresh")
					}
				}
			}
			c.Assert(w.slotRefusals, qt.Equals, 0)
			c.Assert(w.engines["d0"].maxHeld, qt.Equals, decodeSlots)
			c.Assert(w.violations, qt.HasLen, 0)
		})
	}
}

// TestNewDispatcherQueuesRequests checks that a dispatcher which has no reports
// of its endpoints yet queues requests instead of refusing them.
func TestNewDispatcherQueuesRequests(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(8, 1, 1)
	w.restart()
	w.ask(w.entries[0], "early", 400, 0)
	w.run(600 * time.Millisecond)
	c.Assert(w.cell.Running(), qt.HasLen, 1)
}

// TestLostGrantIsResent checks that a lost grant is sent again, with the same
// endpoints.
func TestLostGrantIsResent(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(9, 2, 2)
	w.run(500 * time.Millisecond)
	w.loss = 1
	w.ask(w.entries[0], "r", 400, 0)
	w.run(100 * time.Millisecond)
	c.Assert(w.answers["r.1"], qt.Equals, 1)
	c.Assert(w.entries[0].attempts["r.1"].granted, qt.IsFalse)
	w.loss = 0
	w.run(700 * time.Millisecond)
	c.Assert(w.entries[0].attempts["r.1"].grant, qt.Equals, *w.granted["r.1"])
	c.Assert(w.answers["r.1"], qt.Equals, 1)
}

// TestDuplicateAndReorderedMessages sends a dispatcher messages twice and out of
// order.
func TestDuplicateAndReorderedMessages(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(6, 1, 1)
	w.run(500 * time.Millisecond)
	owner := w.entries[0].owner
	ask := cell.AttemptRequest{
		Cell: name, Attempt: "r.1", Request: "r", Owner: owner, Workspace: "w", Kind: "k", Class: "c",
		Tokens: 100, MaxTokens: 10, Budget: time.Second,
	}
	w.apply(ask)
	w.apply(ask)
	c.Assert(w.answers["r.1"], qt.Equals, 1)
	c.Assert(w.cell.Running(), qt.HasLen, 1)
	running := cell.AnnouncedAttempt{Attempt: "r.1", Phase: cell.Streaming, Prefill: "p0", Decode: "d0"}
	w.apply(cell.Progress{Cell: name, Attempt: "r.1", Phase: cell.Finished, Duration: time.Second, Tokens: 10})
	w.apply(cell.Announcement{Cell: name, Owner: owner, Running: []cell.AnnouncedAttempt{running}})
	c.Assert(w.cell.Running(), qt.HasLen, 0)
	w.apply(ask) // the entry asked again before it received the grant
	c.Assert(w.answers["r.1"], qt.Equals, 1)
}
