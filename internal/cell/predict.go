package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// predictWait is how long a request waits that has so many before it: until
// the prefill endpoints have worked off what is before it, and until enough
// decode slots came free, whichever is later.
func (c *Cell) predictWait(now clock.Millis, before int) time.Duration {
	return max(c.prefillWait(now, before), c.slotWait(now, before))
}

func (c *Cell) prefillWait(now clock.Millis, before int) time.Duration {
	var total time.Duration
	n := 0
	rate := 0.0
	for _, s := range c.order {
		if s.Role == catalog.RolePrefill && s.open(now, nil) {
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
	for _, w := range c.queue.items[:before] {
		tokens += w.ask.Tokens
	}
	return max(wait+time.Duration(float64(tokens)/rate*float64(time.Second))-lookahead, 0)
}

func (c *Cell) slotWait(now clock.Millis, before int) time.Duration {
	free := c.freeSlots(func(s *server) bool { return s.promising(now, nil) })
	if before < free {
		return 0
	}
	var ends []clock.Millis
	for _, s := range c.order {
		if s.Role == catalog.RolePrefill || !s.open(now, nil) {
			continue
		}
		for _, r := range s.used {
			ends = append(ends, max(r.doneAt, now))
		}
	}
	if len(ends) == 0 {
		return retryCeiling
	}
	slices.SortFunc(ends, cmp.Compare)
	need := before - free
	rounds := need / len(ends) // slots that come free more than once
	last := ends[len(ends)-1].Sub(now)
	return time.Duration(rounds)*last + ends[need%len(ends)].Sub(now)
}

// openSlots counts the slots at open endpoints that nobody holds.
func (c *Cell) openSlots(now clock.Millis) int {
	return c.freeSlots(func(s *server) bool { return s.open(now, nil) })
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
