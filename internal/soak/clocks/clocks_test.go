package clocks_test

import (
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/soak/clocks"
	"github.com/trailshed/trailshed/pkg/clock"
)

// A process counts the time of both suspensions of its machine. A process started later
// does not count them.
func TestSuspend(t *testing.T) {
	c := qt.New(t)
	path := clocks.Path(filepath.Join(t.TempDir(), "settings"))
	source, err := clocks.Open(path)
	c.Assert(err, qt.IsNil)
	first := clock.Open(source)
	c.Assert(first.Suspended(), qt.Equals, time.Duration(0))
	for range 2 {
		c.Assert(clocks.Suspend(path, 3*time.Second), qt.IsNil)
		first.Now()
	}
	c.Assert(first.Suspended().Round(100*time.Millisecond), qt.Equals, 6*time.Second)
	later, err := clocks.Open(path) // a process started after the suspensions
	c.Assert(err, qt.IsNil)
	c.Assert(clock.Open(later).Suspended(), qt.Equals, time.Duration(0))
}
