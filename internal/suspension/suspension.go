// Package suspension detects that the machine was suspended: timers stop meanwhile with the
// monotonic clock, and connections die without notice. Code that compares times of package
// clock does not need it.
package suspension

import (
	"context"
	"time"

	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// pollInterval is how often the clocks are read.
	pollInterval = 100 * time.Millisecond
	// minSuspension is the shortest suspension that is reported. Callers' waits may be late
	// by half a second.
	minSuspension = 100 * time.Millisecond
	// Long is the length from which peers and the store may have given up on connections,
	// since the keep-alives that they send every 2 s were not answered.
	Long = 2 * time.Second
)

// Watch calls do after each suspension, with its length, until ctx ends.
func Watch(ctx context.Context, c *clock.Clock, do func(suspended time.Duration)) {
	seen := c.Suspended()
	ticker.Every(ctx, pollInterval, func() {
		c.Now() // updates the time that Suspended returns
		suspended := c.Suspended()
		if suspended-seen >= minSuspension {
			do(suspended - seen)
			seen = suspended
		}
	})
}
