package cell

import (
	"strings"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// maxDecisions bounds the decisions kept for Explain.
const maxDecisions = 4096

// Decision is a decision on an attempt, with the predictions behind it.
type Decision struct {
	At      clock.Millis `cbor:"1,keyasint" json:"at"`
	Attempt AttemptID    `cbor:"2,keyasint" json:"attempt"`
	Action  string       `cbor:"3,keyasint" json:"what"`
	Terms   Terms        `cbor:"4,keyasint" json:"terms"`
}

// decisions is a ring buffer of the latest decisions.
type decisions struct {
	ring []Decision
	next int
}

func newDecisions() decisions { return decisions{ring: make([]Decision, 0, 64)} }

func (c *Cell) recordDecision(now clock.Millis, id AttemptID, what string, t Terms) {
	d := Decision{At: now, Attempt: id, Action: what, Terms: t}
	if len(c.decisions.ring) < maxDecisions {
		c.decisions.ring = append(c.decisions.ring, d)
		return
	}
	c.decisions.ring[c.decisions.next] = d
	c.decisions.next = (c.decisions.next + 1) % maxDecisions
}

// Explain returns the kept decisions about a request, oldest first.
func (c *Cell) Explain(request string) []Decision {
	var found []Decision
	n := len(c.decisions.ring)
	for i := range n {
		d := c.decisions.ring[(c.decisions.next+i)%n]
		if strings.HasPrefix(string(d.Attempt), request+".") {
			found = append(found, d)
		}
	}
	return found
}

// RunningAttempt is a running attempt as operators see it.
type RunningAttempt struct {
	Attempt   AttemptID
	Workspace string
	Kind      string
	Class     string
	Entry     string
	Phase     string
	Prefill   string
	Decode    string
	Since     clock.Millis
}

// Running returns the attempts that hold reservations, ordered by id.
func (c *Cell) Running() []RunningAttempt {
	var all []RunningAttempt
	for _, r := range selectReservations(c.reservations, func(*reservation) bool { return true }) {
		phase := string(r.phase)
		if r.ending {
			phase = "ending"
		}
		all = append(all, RunningAttempt{
			Attempt: r.attempt, Workspace: r.workspace, Kind: r.kind, Class: r.class, Entry: r.owner.Node,
			Phase: phase, Prefill: r.prefill, Decode: r.decode, Since: r.granted,
		})
	}
	return all
}

// WaitingAttempt is a waiting attempt as operators see it.
type WaitingAttempt struct {
	Request    AttemptRequest
	Position   int
	Since      clock.Millis
	Deadline   clock.Millis
	WaitingFor string
}

// Waiting returns the queued attempts in the order of service, each with what
// it waits for.
func (c *Cell) Waiting(now clock.Millis) []WaitingAttempt {
	c.queue.sort()
	var all []WaitingAttempt
	for i, w := range c.queue.items {
		why := "a prefill endpoint"
		if c.slotWait(now, i) > c.prefillWait(now, i) {
			why = "a decode slot"
		}
		all = append(all, WaitingAttempt{Request: w.request, Position: i + 1, Since: w.since, Deadline: w.deadline, WaitingFor: why})
	}
	return all
}

// EndpointStatus is one endpoint as operators see it.
type EndpointStatus struct {
	catalog.Member
	Used            int
	Orphans         int // attempts held there without a reservation
	Pending         int
	Ejected         bool
	Unreachable     bool         // too many reports in a row failed
	NeedsReport     bool         // its next report should be read soon
	ReportedRunning int          // attempts running according to its latest report, which lags
	ReportedAt      clock.Millis // 0: never
}

// needsReport reports whether an endpoint's next report should be read soon:
// it has not reported yet, its last report or requests failed, the release of
// an ended attempt is unconfirmed, or it holds attempts without a reservation.
// The baselines depend on reports alone, so they always need them.
func (c *Cell) needsReport(s *server) bool {
	if s.reportedAt == 0 || s.missedReports > 0 || s.health.failures > 0 || len(s.orphans) > 0 || c.options.Policy != PolicyJoint {
		return true
	}
	for _, r := range c.ending {
		if r.holdsAt(s.Name) {
			return true
		}
	}
	return false
}

// Endpoints returns the status of the cell's endpoints, ordered by name.
func (c *Cell) Endpoints() []EndpointStatus {
	var all []EndpointStatus
	for _, s := range c.order {
		all = append(all, EndpointStatus{
			Member: s.Member, Used: len(s.used), Orphans: len(s.orphans), Pending: len(s.pending),
			Ejected: s.health.ejected, Unreachable: s.unreachable(), NeedsReport: c.needsReport(s),
			ReportedRunning: s.report.Running, ReportedAt: s.reportedAt,
		})
	}
	return all
}
