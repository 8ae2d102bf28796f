package cell

import (
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// reported reconciles the attempts listed in an endpoint's report with the
// reservations there.
func (c *Cell) reported(now clock.Millis, e Reported) {
	s, ok := c.servers[e.Endpoint]
	if !ok {
		return
	}
	s.report, s.reportedAt, s.missedReports = e.Report.Load, now, 0
	s.prefixes.apply(e.Report.Events)
	if s.Role == catalog.RoleDecode && s.report.StepUS > 0 && s.report.Running > 0 {
		s.step.learn(s.report.Running, s.report.Step())
	}
	held := map[AttemptID]bool{}
	for _, h := range e.Report.Held {
		held[AttemptID(h.Attempt)] = true
		c.checkHeld(now, s, AttemptID(h.Attempt))
	}
	for _, r := range selectReservations(c.ending, func(r *reservation) bool {
		return r.holdsAt(s.Name) && !held[r.attempt] && e.RequestedAt.Sub(r.endingSince) > maxStartDelay
	}) {
		c.release(now, r, s.Name)
	}
	for id := range s.orphans {
		if !held[id] {
			delete(s.orphans, id)
		}
	}
}

func (r *reservation) holdsAt(name string) bool {
	return (r.prefill == name && r.holdPrefill) || (r.decode == name && r.holdDecode)
}

// checkHeld cancels an attempt that an endpoint holds but that has ended or has
// no reservation. A new dispatcher first gives the entries time to announce
// their attempts.
func (c *Cell) checkHeld(now clock.Millis, s *server, id AttemptID) {
	if r, ok := c.reservations[id]; ok {
		if r.ending {
			c.cancelAt(now, r, s.Name)
		}
		return
	}
	first, ok := s.orphans[id]
	if !ok {
		s.orphans[id] = now
		return
	}
	if now.Sub(first) > c.options.OwnerExpiry && now.Sub(c.startedAt) > c.options.OwnerExpiry {
		c.options.OnDecision("stranger_cancelled")
		c.emit(Cancel{Endpoint: s.Name, Address: s.Address, Attempt: id})
	}
}

// unreachable records that an endpoint's report could not be read. Its slots
// stay reserved until it reports again, or until both its last report and the
// end of their attempts are long past.
func (c *Cell) unreachable(now clock.Millis, name string) {
	s, ok := c.servers[name]
	if !ok {
		return
	}
	s.missedReports++
	if s.missedReports == maxMissedReports {
		c.options.OnDecision("closed")
	}
	for _, r := range selectReservations(c.ending, func(r *reservation) bool {
		return r.holdsAt(name) && now.Sub(r.endingSince) > unreachableTimeout && now.Sub(s.reportedAt) > unreachableTimeout
	}) {
		c.release(now, r, name)
	}
}

// unreachableTimeout is the time without a report after which an endpoint is
// presumed dead, and the ended attempts it held are released.
const unreachableTimeout = 10 * time.Second
