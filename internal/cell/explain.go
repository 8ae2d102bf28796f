package cell

import (
	"strings"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// decisionsKept bounds the decisions that can be asked about.
const decisionsKept = 4096

// Decision is one step in the life of an attempt, with its reason.
type Decision struct {
	At      clock.Millis `cbor:"1,keyasint" json:"at"`
	Attempt AttemptID    `cbor:"2,keyasint" json:"attempt"`
	What    string       `cbor:"3,keyasint" json:"what"`
	Terms   Terms        `cbor:"4,keyasint" json:"terms"`
}

// decisions is a ring of the latest ones.
type decisions struct {
	ring []Decision
	next int
}

func newDecisions() decisions { return decisions{ring: make([]Decision, 0, 64)} }

func (c *Cell) decide(now clock.Millis, id AttemptID, what string, t Terms) {
	d := Decision{At: now, Attempt: id, What: what, Terms: t}
	if len(c.decisions.ring) < decisionsKept {
		c.decisions.ring = append(c.decisions.ring, d)
		return
	}
	c.decisions.ring[c.decisions.next] = d
	c.decisions.next = (c.decisions.next + 1) % decisionsKept
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

// Running returns what holds a place, in a fixed order.
func (c *Cell) Running() []Holding {
	var all []Holding
	for _, r := range where(c.reservations, func(*reservation) bool { return true }) {
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

// Waiting returns the queue in the order of service, each with what it waits for.
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
	Strange  int // held there for nobody known
	Pending  int
	Ejected  bool
	Silent   bool         // counts as dead
	Urgent   bool         // its next report settles something
	Reported int          // attempts running by its own lagging report
	Heard    clock.Millis // 0: never
}

// urgent says whether an endpoint's next report should be read soon: it was
// never heard or gave cause for doubt, what ended there is not confirmed, or it
// holds what nobody claims. The baselines know nothing but reports.
func (c *Cell) urgent(s *server) bool {
	if s.heard == 0 || s.missed > 0 || s.health.strikes > 0 || len(s.strangers) > 0 || c.options.Policy != PolicyJoint {
		return true
	}
	for _, r := range c.ending {
		if r.holdAt(s.Name) {
			return true
		}
	}
	return false
}

// Endpoints returns the cell's endpoints by name.
func (c *Cell) Endpoints() []Status {
	var all []Status
	for _, s := range c.order {
		all = append(all, Status{
			Member: s.Member, Used: len(s.used), Strange: len(s.strangers), Pending: len(s.pending),
			Ejected: s.health.ejected, Silent: s.silent(), Urgent: c.urgent(s),
			Reported: s.report.Running, Heard: s.heard,
		})
	}
	return all
}
