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

// A planner that has not yet answered this process gets time for its connection, also if it
// was restarted under the same name. With the short timeout, a restart of all instances
// after a power loss made 276 requests give up on planners to which the connection was
// being made, and wasted 156 prefills.
func TestPlannerTimeouts(t *testing.T) {
	now := clock.Millis(1000)
	log := eventlog.Open(io.Discard, "n1")
	defer func() { _ = log.Close() }()
	b := New(Options{Name: "n1", Zone: "a", Log: log, Scope: tally.NoopScope, Now: func() clock.Millis { return now }})
	original := roster.Instance{Name: "p", Fingerprint: "old"}
	restarted := roster.Instance{Name: "p", Fingerprint: "new"}
	steps := []struct {
		name       string
		do         func()
		planner    roster.Instance
		want       time.Duration
		backingOff bool
	}{
		{"never answered", func() {}, original, firstContactTimeout, false},
		{"answered", func() { b.markAlive(original) }, original, answerTimeout, false},
		{"not responding", func() { b.markSilent(original) }, original, answerTimeout, true},
		{"restarted", func() {}, restarted, firstContactTimeout, false},
		{"answered after the restart", func() { b.markAlive(restarted) }, restarted, answerTimeout, false},
		{"another that never answered", func() {}, roster.Instance{Fingerprint: "other"}, firstContactTimeout, false},
		{"never answered, after the startup period", func() { now = now.Add(2 * startupPeriod) }, roster.Instance{Fingerprint: "other"}, answerTimeout, false},
	}
	for _, step := range steps {
		step.do()
		qt.Check(t, b.timeoutFor(step.planner), qt.Equals, step.want, qt.Commentf(step.name))
		qt.Check(t, b.isBackingOff(step.planner), qt.Equals, step.backingOff, qt.Commentf(step.name))
	}
}
