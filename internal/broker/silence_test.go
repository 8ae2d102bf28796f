package broker

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

// A planner that was never heard gets time for its connection, also one that
// was started anew under its old name: after all instances had lost power, 276
// asks gave up on planners that were being connected to, and 156 prompts were
// read for nothing (grown couriers, trouble-2, 44 to 46 s).
func TestFirstAnswerOfAPlanner(t *testing.T) {
	now := clock.Millis(1000)
	log := eventlog.Open(io.Discard, "n1")
	defer func() { _ = log.Close() }()
	b := New(Options{Name: "n1", Zone: "a", Log: log, Scope: tally.NoopScope, Now: func() clock.Millis { return now }})
	before := roster.Instance{Name: "p", Fingerprint: "old"}
	anew := roster.Instance{Name: "p", Fingerprint: "new"}
	steps := []struct {
		name    string
		do      func()
		planner roster.Instance
		want    time.Duration
		down    bool
	}{
		{"never heard", func() {}, before, firstContact, false},
		{"heard", func() { b.heard(before) }, before, firstAnswer, false},
		{"silent", func() { b.silent(before) }, before, firstAnswer, true},
		{"started anew", func() {}, anew, firstContact, false},
		{"heard again", func() { b.heard(anew) }, anew, firstAnswer, false},
		{"another, never heard", func() {}, roster.Instance{Fingerprint: "other"}, firstContact, false},
		{"never heard, and no longer young", func() { now = now.Add(2 * young) }, roster.Instance{Fingerprint: "other"}, firstAnswer, false},
	}
	for _, step := range steps {
		step.do()
		qt.Check(t, b.firstAnswer(step.planner), qt.Equals, step.want, qt.Commentf(step.name))
		qt.Check(t, b.isDown(step.planner), qt.Equals, step.down, qt.Commentf(step.name))
	}
}
