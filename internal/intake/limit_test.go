package intake_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/intake"
	"github.com/trailshed/trailshed/pkg/clock"
)

const ms = time.Millisecond

var (
	onTime     = intake.Waits{Processor: 2 * ms, Connect: 4 * ms}
	late       = intake.Waits{Processor: 80 * ms}
	linkIsFull = intake.Waits{Connect: 160 * ms}
)

// The limit begins with the first long wait, is halved at most in a step, grows while waits are short, and ends two
// seconds after the last long one.
func TestLimit(t *testing.T) {
	c := qt.New(t)
	l := &intake.Limit{}
	steps := []struct {
		at      clock.Millis
		waits   intake.Waits
		running int
		change  intake.Change
		value   int
	}{
		{10_000, onTime, 0, intake.None, 0},
		{10_200, linkIsFull, 60, intake.Began, 30},
		{10_300, linkIsFull, 60, intake.None, 30}, // not a step later
		{10_400, late, 50, intake.None, 15},
		{10_600, late, 20, intake.None, 7},
		{10_800, late, 6, intake.None, 4},
		{11_000, onTime, 4, intake.None, 5},
		{11_200, onTime, 20, intake.None, 7},
		{12_700, onTime, 2, intake.None, 4},
		{12_800, onTime, 2, intake.None, 4},
		{12_900, onTime, 2, intake.Ended, 0},
	}
	for _, s := range steps {
		c.Check(l.Update(s.at, s.waits, s.running), qt.Equals, s.change, qt.Commentf("at %d", s.at))
		c.Check(l.Value(), qt.Equals, s.value, qt.Commentf("at %d", s.at))
	}
}

// Guards against callers that are refused by an instance that lacks processor time for a moment, with no more requests
// than usual.
func TestUsualRequestsAreTaken(t *testing.T) {
	c := qt.New(t)
	l := &intake.Limit{}
	now := clock.Millis(10_000)
	for range 100 {
		now = now.Add(200 * ms)
		l.Update(now, onTime, 12)
	}
	for range 10 {
		now = now.Add(200 * ms)
		l.Update(now, late, 11)
		room, _ := l.Room(now, 11)
		c.Check(room, qt.Equals, 1)
	}
}

// Connections that waited for longer than any pause are not read while the limit is in force, and the limit stays in
// force while there are such, or no room.
func TestLimitIsNeeded(t *testing.T) {
	c := qt.New(t)
	l := &intake.Limit{}
	c.Check(l.Late(10_000, time.Second), qt.IsFalse)
	l.Update(10_000, late, 8)
	c.Check(l.Late(10_000, 100*ms), qt.IsFalse)
	c.Check(l.Late(10_000, 200*ms), qt.IsTrue)
	room, few := l.Room(10_000, 1)
	c.Check([]int{room, few}, qt.DeepEquals, []int{3, 1})
	now := clock.Millis(10_000)
	for range 20 {
		now = now.Add(200 * ms)
		c.Check(l.Update(now, onTime, 4), qt.Equals, intake.None)
		room, _ = l.Room(now, 100)
		c.Check(room, qt.Equals, 0)
	}
	ended := false
	for range 12 {
		now = now.Add(200 * ms)
		ended = ended || l.Update(now, onTime, 4) == intake.Ended
	}
	c.Check(ended, qt.IsTrue)
}
