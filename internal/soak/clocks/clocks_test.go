package clocks_test

import (
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/soak/clocks"
	"github.com/trailshed/trailshed/pkg/clock"
)

// A process whose machine was suspended twice counts that time, and no other.
func TestSuspend(t *testing.T) {
	c := qt.New(t)
	path := clocks.Path(filepath.Join(t.TempDir(), "settings"))
	source, err := clocks.Open(path)
	c.Assert(err, qt.IsNil)
	k := clock.Open(source)
	c.Assert(k.Slept(), qt.Equals, time.Duration(0))
	for range 2 {
		c.Assert(clocks.Suspend(path, 3*time.Second), qt.IsNil)
		k.Now()
	}
	c.Assert(k.Slept().Round(100*time.Millisecond), qt.Equals, 6*time.Second)
	again, err := clocks.Open(path) // the next process there
	c.Assert(err, qt.IsNil)
	c.Assert(clock.Open(again).Slept(), qt.Equals, time.Duration(0))
}
