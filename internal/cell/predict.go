package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// predictWait predicts how long a request waits with the given number of queued
// requests ahead of it: until the prefill endpoints have processed those, and
// until enough decode slots are free, whichever is later.
func (c *Cell) predictWait(now clock.Millis, ahead int) time.Duration {
	return max(c.prefillWait(now, ahead), c.slotWait(now, ahead))
}

func (c *Cell) prefillWait(now clock.Millis, ahead int) time.Duration {
	var total time.Duration
	n := 0
	rate := 0.0
	for _, s := range c.order {
		if s.Role == catalog.RolePrefill && s.available(now, nil) {
			total += s.backlog(now)
			rate += s.rate
			n++
		}
	}
	if n == 0 {
		return 0
	}
	wait := total / time.Duration(n)
	tokens := 0
	for _, w := range c.queue.items[:ahead] {
		tokens += w.request.Tokens
	}
	return max(wait+time.Duration(float64(tokens)/rate*float64(time.Second))-maxPrefillBacklog, 0)
}

func (c *Cell) slotWait(now clock.Millis, ahead int) time.Duration {
	free := c.freeSlots(func(s *server) bool { return s.mayBecomeAvailable(now, nil) })
	if ahead < free {
		return 0
	}
	var ends []clock.Millis
	for _, s := range c.order {
		if s.Role == catalog.RolePrefill || !s.available(now, nil) {
			continue
		}
		for _, r := range s.used {
			ends = append(ends, max(r.doneAt, now))
		}
	}
	if len(ends) == 0 {
		return maxRetryAfter
	}
	slices.SortFunc(ends, cmp.Compare)
	need := ahead - free
	rounds := need / len(ends) // full rounds in which every slot comes free once
	last := ends[len(ends)-1].Sub(now)
	return time.Duration(rounds)*last + ends[need%len(ends)].Sub(now)
}

// openSlots counts the free slots of available endpoints.
func (c *Cell) openSlots(now clock.Millis) int {
	return c.freeSlots(func(s *server) bool { return s.available(now, nil) })
}

func (c *Cell) freeSlots(fits func(*server) bool) int {
	free := 0
	for _, s := range c.order {
		if s.Role != catalog.RolePrefill && fits(s) {
			free += s.free()
		}
	}
	return free
}
