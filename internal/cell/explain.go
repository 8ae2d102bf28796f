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
	What    string       `cbor:"3,keyasint" json:"what"`
	Terms   Terms        `cbor:"4,keyasint" json:"terms"`
}

// decisions is a ring buffer of the latest decisions.
type decisions struct {
	ring []Decision
	next int
}

func newDecisions() decisions { return decisions{ring: make([]Decision, 0, 64)} }

func (c *Cell) recordDecision(now clock.Millis, id AttemptID, what string, t Terms) {
	d := Decision{At: now, Attempt: id, What: what, Terms: t}
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

// Holding is a running attempt as operators see it.
type Holding struct {
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
func (c *Cell) Running() []Holding {
	var all []Holding
	for _, r := range selectReservations(c.reservations, func(*reservation) bool { return true }) {
		phase := string(r.phase)
		if r.ending {
			phase = "ending"
		}
		all = append(all, Holding{
			Attempt: r.attempt, Workspace: r.workspace, Kind: r.kind, Class: r.class, Entry: r.owner.Node,
			Phase: phase, Prefill: r.prefill, Decode: r.decode, Since: r.granted,
		})
	}
	return all
}

// Pending is a waiting attempt as operators see it.
type Pending struct {
	Ask      Ask
	Position int
	Since    clock.Millis
	Deadline clock.Millis
	Why      string
}

// Waiting returns the queued attempts in the order of service, each with what
// it waits for.
func (c *Cell) Waiting(now clock.Millis) []Pending {
	c.queue.sort()
	var all []Pending
	for i, w := range c.queue.items {
		why := "a prefill endpoint"
		if c.slotWait(now, i) > c.prefillWait(now, i) {
			why = "a decode slot"
		}
		all = append(all, Pending{Ask: w.ask, Position: i + 1, Since: w.since, Deadline: w.deadline, Why: why})
	}
	return all
}

// Status is one endpoint as operators see it.
type Status struct {
	catalog.Member
	Used     int
	Strange  int // attempts held there without a reservation
	Pending  int
	Ejected  bool
	Silent   bool         // too many reports in a row failed
	Urgent   bool         // its next report should be read soon
	Reported int          // attempts running according to its latest report, which lags
	Heard    clock.Millis // 0: never
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
func (c *Cell) Endpoints() []Status {
	var all []Status
	for _, s := range c.order {
		all = append(all, Status{
			Member: s.Member, Used: len(s.used), Strange: len(s.orphans), Pending: len(s.pending),
			Ejected: s.health.ejected, Silent: s.unreachable(), Urgent: c.needsReport(s),
			Reported: s.report.Running, Heard: s.reportedAt,
		})
	}
	return all
}
