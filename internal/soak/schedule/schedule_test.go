package schedule_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/soak/schedule"
)

// A seed always draws the same steps, and all kinds are drawn over many seeds.
func TestSeedsReproduceSchedules(t *testing.T) {
	c := qt.New(t)
	c.Assert(schedule.New(7, time.Minute, ""), qt.DeepEquals, schedule.New(7, time.Minute, ""))
	kinds := map[schedule.Kind]bool{}
	for seed := range uint64(40) {
		for _, s := range schedule.New(seed, 20*time.Second, "") {
			kinds[s.Kind] = true
			c.Assert(s.At < 20*time.Second && s.Duration > 0, qt.IsTrue)
		}
	}
	c.Assert(kinds, qt.HasLen, 23)
	extra := schedule.Extra(7, time.Minute, "")
	c.Assert(extra, qt.DeepEquals, schedule.Extra(7, time.Minute, ""))
	for _, s := range extra {
		kinds[s.Kind] = true
	}
	c.Assert(kinds, qt.HasLen, 42)
	c.Assert(schedule.Merge(schedule.New(7, time.Minute, ""), extra), qt.HasLen, len(schedule.New(7, time.Minute, ""))+len(extra))
	for _, s := range schedule.New(7, time.Minute, schedule.Retire) {
		c.Assert(s.Kind, qt.Equals, schedule.Retire)
	}
	rejoins := schedule.Extra(7, time.Minute, schedule.Rejoin)
	c.Assert(len(rejoins) > 0, qt.IsTrue)
	for _, s := range rejoins {
		c.Assert(s.Kind, qt.Equals, schedule.Rejoin)
	}
}
