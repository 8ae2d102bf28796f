package rotation_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/rotation"
	"github.com/trailshed/trailshed/pkg/clock"
)

// An instance leaves rotation if it refuses connections most of the time, for longer each time that they come back at
// once, and not for short refusals.
func TestRotation(t *testing.T) {
	const ms = time.Millisecond
	steps := []struct {
		at      clock.Millis
		refused time.Duration
		absence time.Duration // 0: it stays
	}{
		{10_000, 200 * ms, 0},
		{10_500, 200 * ms, 0},
		{11_600, 400 * ms, 0}, // in another window
		{11_900, 300 * ms, 4 * time.Second},
		{12_900, 900 * ms, 0}, // it is out
		{16_000, 400 * ms, 0},
		{16_300, 200 * ms, 8 * time.Second}, // again
		{25_000, 600 * ms, 16 * time.Second},
		{42_000, 600 * ms, 16 * time.Second},
		{80_000, 600 * ms, 4 * time.Second}, // it was calm
	}
	r := &rotation.Rotation{}
	qt.Check(t, r.In(9_000), qt.IsTrue)
	for _, s := range steps {
		left, absence := r.RecordRefusals(s.at, s.refused)
		qt.Check(t, left, qt.Equals, s.absence > 0, qt.Commentf("at %d", s.at))
		qt.Check(t, absence, qt.Equals, s.absence, qt.Commentf("at %d", s.at))
		if left {
			qt.Check(t, r.In(s.at), qt.IsFalse)
			qt.Check(t, r.In(s.at.Add(absence-time.Millisecond)), qt.IsFalse)
			qt.Check(t, r.In(s.at.Add(absence)), qt.IsTrue)
		}
	}
}
