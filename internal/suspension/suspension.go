// Package suspension notices that the machine was suspended: timers stand still then
// with the steady clock, and connections die unseen. What compares moments with the
// clock needs nothing of it.
package suspension

import (
	"context"
	"time"

	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// lookEvery is how often the clocks are looked at.
	lookEvery = 100 * time.Millisecond
	// least is the shortest suspension that is told of. Callers' waits may be late by
	// half a second.
	least = 100 * time.Millisecond
	// Long is from which length on peers and the store may have given up on
	// connections: what they sent to keep them alive, each 2 s, was not answered.
	Long = 2 * time.Second
)

// Watch calls do after each suspension, with its length, until ctx ends.
func Watch(ctx context.Context, c *clock.Clock, do func(slept time.Duration)) {
	seen := c.Slept()
	ticker.Every(ctx, lookEvery, func() {
		c.Now() // looks at the clocks
		slept := c.Slept()
		if slept-seen >= least {
			do(slept - seen)
			seen = slept
		}
	})
}
