package clock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/pkg/clock"
)

// A machine was suspended for some seconds, while leases, waits of callers and what
// others were told went on. Its steady clock had stood still, and whoever counts on it
// alone takes a lease that is over for its own.

// machine is the clocks of a machine.
type machine struct {
	day, steady, asleep time.Duration
	looks               int
}

func (m *machine) source() clock.Source {
	return clock.Source{
		Read: func() (day, steady time.Duration) { return m.day, m.steady },
		Asleep: func() (time.Duration, error) {
			m.looks++
			return m.asleep, nil
		},
	}
}

func (m *machine) run(d time.Duration) { m.day, m.steady = m.day+d, m.steady+d }

func (m *machine) suspend(d time.Duration) { m.day, m.asleep = m.day+d, m.asleep+d }

func (m *machine) step(d time.Duration) { m.day += d }

func TestSuspendedTimeCounts(t *testing.T) {
	tests := []struct {
		name   string
		happen func(m *machine)
		passed time.Duration
	}{
		{"runs", func(m *machine) { m.run(3 * time.Second) }, 3 * time.Second},
		{"suspended", func(m *machine) { m.run(time.Second); m.suspend(5 * time.Second) }, 6 * time.Second},
		{"suspended for a moment", func(m *machine) { m.suspend(40 * time.Millisecond) }, 40 * time.Millisecond},
		{"time of day steps ahead", func(m *machine) { m.run(time.Second); m.step(4 * time.Second) }, time.Second},
		{"time of day steps back", func(m *machine) { m.run(time.Second); m.step(-4 * time.Second) }, time.Second},
		{
			"suspended, and the time of day steps back by as much",
			func(m *machine) { m.suspend(2 * time.Second); m.step(-2 * time.Second); m.run(1100 * time.Millisecond) },
			3100 * time.Millisecond,
		},
		{
			"suspended twice, with a step between",
			func(m *machine) {
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
			m := &machine{day: 400_000 * time.Hour, asleep: 30 * time.Second} // it had been suspended before the process began
			now := clock.From(m.source())
			began := now()
			test.happen(m)
			qt.Assert(t, now().Sub(began), qt.Equals, test.passed)
		})
	}
}

// While nothing happens, the clock that goes on is looked at once a second: a look is
// three calls of the system.
func TestLooksAreFew(t *testing.T) {
	m := &machine{}
	now := clock.From(m.source())
	for range 5000 {
		m.run(2 * time.Millisecond)
		now()
	}
	qt.Assert(t, m.looks <= 12, qt.IsTrue, qt.Commentf("%d looks in ten seconds", m.looks))
}

// This machine's clocks can be read, and agree with each other.
func TestMachine(t *testing.T) {
	s := clock.Machine()
	first, err := s.Asleep()
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
