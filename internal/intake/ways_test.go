package intake_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/intake"
)

// way is a way to decide which connections are read.
type way struct {
	name string
	open func(e *emulation)
}

// limit lets a Limit decide. ownWait says whether it hears how long each connection waited, refuse whether
// connections above it are refused instead of closed.
func limit(e *emulation, ownWait, refuse bool) {
	l := &intake.Limit{}
	refusing := false
	full := func(e *emulation) bool {
		l.Update(e.clock(), intake.Measure(e.clock(), e.waits, e.connects), e.running)
		room, few := l.Room(e.clock(), e.running+e.unread)
		refusing = room == 0 || refusing && room < few
		return refusing
	}
	e.admit = func(e *emulation, waited time.Duration) bool {
		if ownWait && l.Late(e.clock(), waited) {
			return false
		}
		return refuse || !full(e)
	}
	if refuse {
		e.refuses = full
	}
}

func ways() []way {
	return []way{
		{"all", func(e *emulation) { e.admit = func(*emulation, time.Duration) bool { return true } }},
		{"own wait", func(e *emulation) {
			e.admit = func(_ *emulation, waited time.Duration) bool { return waited <= 20*time.Millisecond }
		}},
		{"standing waits", func(e *emulation) {
			e.admit = func(e *emulation, _ time.Duration) bool {
				return e.waits.Standing(e.clock()) <= 20*time.Millisecond && e.connects.Standing(e.clock()) <= 40*time.Millisecond
			}
		}},
		{"limit", func(e *emulation) { limit(e, false, false) }},
		{"limit and own wait", func(e *emulation) { limit(e, true, false) }},
		{"limit that refuses", func(e *emulation) { limit(e, true, true) }},
	}
}

// floodSeconds is the time of a flood whose requests count.
const floodSeconds = (crowdEnds - crowdBegins - settled) / 1000

// sized is an emulated instance with the requests a second that it can serve, about.
type sized struct {
	name string
	machine
	capacity float64
}

// play plays a flood of several times the capacity and returns what came before it settled, and after.
func (s sized) play(factor float64) (before, during result) {
	e := &emulation{machine: s.machine}
	limit(e, true, true)
	e.play(crowd{usual: s.capacity / 2, most: s.capacity * factor}, 1)
	return e.result[0], e.result[1]
}

func (r result) perSecond() float64 { return r.served / floodSeconds }

var machines = []sized{
	{"0.192 of a core, 10 Mbit/s", machine{0.192, 1250, false}, 125},
	{"0.192 of a core, 200 Mbit/s", machine{0.192, 25000, false}, 125},
	{"0.8 of a core, 10 Mbit/s", machine{0.8, 1250, false}, 150},
	{"0.8 of a core, 200 Mbit/s", machine{0.8, 25000, false}, 500},
	{"0.192 of a core by quota, 10 Mbit/s", machine{0.192, 1250, true}, 120},
}

// Load: connections come up to eight times as often as the instance can serve, and callers whose connection is refused
// come back at once. The users' bound: what is read is served three quarters as often as before. Ours is 0.95, from
// a second after the begin of the flood on, and no connection is closed while the instance can serve all.
func TestFloodsOfAllSizes(t *testing.T) {
	for _, m := range machines {
		for _, factor := range []float64{0.5, 0.8, 1.2, 2, 4, 8} {
			before, during := m.play(factor)
			served := during.served / during.read
			t.Logf("%-36s %3.1f times: served %.2f, in time %.2f, %3.0f a second of %4.0f; in the first second %.2f", m.name, factor, served, during.inTime/during.read, during.perSecond(), during.arrived/floodSeconds, before.served/before.read)
			comment := qt.Commentf("%s, %.1f times its capacity", m.name, factor)
			qt.Check(t, served >= 0.95, qt.IsTrue, comment)
			if factor < 1 {
				qt.Check(t, during.read, qt.Equals, during.arrived, comment)
			}
		}
	}
}

// The same loads: the instance serves nine tenths of the requests a second that it serves at the edge of its capacity,
// less what closing connections costs.
func TestThroughputInFloods(t *testing.T) {
	for _, m := range machines {
		best := 0.0
		for _, factor := range []float64{1.2, 2, 4, 8} {
			_, during := m.play(factor)
			closing := during.closed / floodSeconds * acceptedWork / 1000 / m.share
			qt.Check(t, during.perSecond() >= 0.9*best*(1-closing), qt.IsTrue, qt.Commentf("%s, %.1f times its capacity: %.0f a second, %.0f at best", m.name, factor, during.perSecond(), best))
			best = max(best, during.perSecond())
		}
	}
}

// The ways that were weighed, on the same loads and seeds.
func TestWays(t *testing.T) {
	for _, m := range machines {
		for _, w := range ways() {
			e := &emulation{machine: m.machine}
			w.open(e)
			e.play(crowd{usual: m.capacity / 2, most: 4 * m.capacity}, 1)
			d := e.result[1]
			t.Logf("%-36s %-18s served %.2f, in time %.2f, %3.0f a second", m.name, w.name, d.served/max(d.read, 1), d.inTime/max(d.read, 1), d.perSecond())
			if w.name == "all" {
				qt.Check(t, d.served/d.read < 0.75, qt.IsTrue, qt.Commentf("%s: the load is no flood", m.name))
			}
		}
	}
}
