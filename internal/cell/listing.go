package cell

import (
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// reported compares an endpoint's listing with what is reserved there.
func (c *Cell) reported(now clock.Millis, e Reported) {
	s, ok := c.servers[e.Endpoint]
	if !ok {
		return
	}
	s.report, s.heard, s.missed = e.Report.Load, now, 0
	s.prefixes.take(e.Report.Events)
	if s.Role == catalog.RoleDecode && s.report.StepUS > 0 && s.report.Running > 0 {
		s.step.learn(s.report.Running, s.report.Step())
	}
	held := map[AttemptID]bool{}
	for _, h := range e.Report.Held {
		held[AttemptID(h.Attempt)] = true
		c.checkHeld(now, s, AttemptID(h.Attempt))
	}
	for _, r := range where(c.ending, func(r *reservation) bool {
		return r.holdAt(s.Name) && !held[r.attempt] && e.Began.Sub(r.endingSince) > settle
	}) {
		c.release(now, r, s.Name)
	}
	for id := range s.strangers {
		if !held[id] {
			delete(s.strangers, id)
		}
	}
}

func (r *reservation) holdAt(name string) bool {
	return (r.prefill == name && r.holdPrefill) || (r.decode == name && r.holdDecode)
}

// checkHeld cancels what an endpoint holds for nobody. A new dispatcher first
// gives the entries time to announce their attempts.
func (c *Cell) checkHeld(now clock.Millis, s *server, id AttemptID) {
	if r, ok := c.reservations[id]; ok {
		if r.ending {
			c.cancelAt(now, r, s.Name)
		}
		return
	}
	first, ok := s.strangers[id]
	if !ok {
		s.strangers[id] = now
		return
	}
	if now.Sub(first) > c.options.OwnerExpiry && now.Sub(c.born) > c.options.OwnerExpiry {
		c.options.Counted("stranger_cancelled")
		c.emit(Cancel{Endpoint: s.Name, Address: s.Address, Attempt: id})
	}
}

// unreachable notes that an endpoint gave no report. What it holds stays
// reserved until it is heard again or its attempts have long ended.
func (c *Cell) unreachable(now clock.Millis, name string) {
	s, ok := c.servers[name]
	if !ok {
		return
	}
	s.missed++
	if s.missed == missedToClose {
		c.options.Counted("closed")
	}
	for _, r := range where(c.ending, func(r *reservation) bool {
		return r.holdAt(name) && now.Sub(r.endingSince) > goneAfter && now.Sub(s.heard) > goneAfter
	}) {
		c.release(now, r, name)
	}
}

// goneAfter is how long an endpoint must be silent before what it held counts
// as gone with it.
const goneAfter = 10 * time.Second
