package clock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/pkg/clock"
)

// These tests guard against using expired leases after a suspension. While a machine
// is suspended for some seconds, leases, waits of callers and the validity of what
// other instances know continue, but its monotonic clock stands still: an instance
// that relies on that clock alone takes an expired lease for valid.

// fakeMachine simulates the clocks of a machine.
type fakeMachine struct {
	wall, monotonic, suspended time.Duration
	suspendedReads             int
}

func (m *fakeMachine) source() clock.Source {
	return clock.Source{
		Read: func() (wall, monotonic time.Duration) { return m.wall, m.monotonic },
		SuspendedTime: func() (time.Duration, error) {
			m.suspendedReads++
			return m.suspended, nil
		},
	}
}

func (m *fakeMachine) run(d time.Duration) { m.wall, m.monotonic = m.wall+d, m.monotonic+d }

func (m *fakeMachine) suspend(d time.Duration) { m.wall, m.suspended = m.wall+d, m.suspended+d }

func (m *fakeMachine) step(d time.Duration) { m.wall += d }

func TestSuspendedTimeCounts(t *testing.T) {
	tests := []struct {
		name   string
		happen func(m *fakeMachine)
		passed time.Duration
	}{
		{"runs", func(m *fakeMachine) { m.run(3 * time.Second) }, 3 * time.Second},
		{"suspended", func(m *fakeMachine) { m.run(time.Second); m.suspend(5 * time.Second) }, 6 * time.Second},
		{"suspended for 40 ms", func(m *fakeMachine) { m.suspend(40 * time.Millisecond) }, 40 * time.Millisecond},
		{"wall clock steps forward", func(m *fakeMachine) { m.run(time.Second); m.step(4 * time.Second) }, time.Second},
		{"wall clock steps back", func(m *fakeMachine) { m.run(time.Second); m.step(-4 * time.Second) }, time.Second},
		{
			"suspended, and the wall clock steps back by the same time",
			func(m *fakeMachine) {
				m.suspend(2 * time.Second)
				m.step(-2 * time.Second)
				m.run(1100 * time.Millisecond)
			},
			3100 * time.Millisecond,
		},
		{
			"suspended twice, with a wall clock step between",
			func(m *fakeMachine) {
				m.suspend(2 * time.Second)
				m.step(time.Hour)
				m.run(time.Second)
				m.suspend(3 * time.Second)
				m.step(-time.Hour)
			},
			6 * time.Second,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := &fakeMachine{wall: 400_000 * time.Hour, suspended: 30 * time.Second} // suspended before the process started
			now := clock.From(m.source())
			began := now()
			test.happen(m)
			qt.Assert(t, now().Sub(began), qt.Equals, test.passed)
		})
	}
}

// While the clocks run normally, SuspendedTime is called only once a second, as it
// takes three system calls.
func TestLooksAreFew(t *testing.T) {
	m := &fakeMachine{}
	now := clock.From(m.source())
	for range 5000 {
		m.run(2 * time.Millisecond)
		now()
	}
	qt.Assert(t, m.suspendedReads <= 12, qt.IsTrue, qt.Commentf("%d calls of SuspendedTime in ten seconds", m.suspendedReads))
}

// This machine's clocks can be read, and Now does not go backwards.
func TestMachine(t *testing.T) {
	s := clock.Machine()
	first, err := s.SuspendedTime()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first >= 0, qt.IsTrue)
	now := clock.From(s)
	began := now()
	qt.Assert(t, now() >= began, qt.IsTrue)
}

func BenchmarkSystem(b *testing.B) {
	now := clock.System()
	for b.Loop() {
		now()
	}
}
