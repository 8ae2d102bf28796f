// Package cell implements the dispatcher of one cell: the prefill and decode
// endpoints of one zone and model, or the endpoints of one plain service. One
// dispatcher sees the whole cell, so it chooses prefill endpoint, decode slot
// and link together and grants no slot twice. Cell does no I/O and reads no
// clock: Apply takes the time and an event and returns effects, so the same
// code runs in processes, in replays and in long randomized tests.
package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// The dispatch policies. PolicyJoint is used in production; the others are
// baselines for comparison.
const (
	PolicyJoint      = "joint"
	PolicyLagged     = "lagged"
	PolicyRoundRobin = "round_robin"
)

// Options are the settings of a cell.
type Options struct {
	Policy      string
	OwnerExpiry time.Duration // how long after its owner's last message an attempt is ended
	RetryRatio  float64       // retries allowed per finished request
	// OnViolation is called for every broken invariant; tests fail on it.
	OnViolation func(what string)
	// OnDecision is called with the name of every decision to be counted.
	OnDecision func(what string)
}

// Cell is the state of one dispatcher. It is not safe for concurrent use.
type Cell struct {
	Name      catalog.Cell
	options   Options
	startedAt clock.Millis
	catalog   *catalog.Catalog

	servers       map[string]*server
	order         []*server // by name, so that decisions do not depend on map order
	queue         queue
	reservations  map[AttemptID]*reservation
	byOwner       map[ownerID]map[AttemptID]*reservation
	ending        map[AttemptID]*reservation
	lastSweep     clock.Millis               // when sweep last ran
	owners        map[ownerID]clock.Millis   // time of the last announcement or request
	recentlyEnded map[AttemptID]clock.Millis // when they ended
	lengths       lengths
	retryBudget   float64        // retries left
	rotation      map[string]int // next endpoint of the baselines, by role
	decisions     decisions
	effects       []Effect
}

// ownerID identifies one incarnation of an entry.
type ownerID struct {
	node        string
	incarnation int64
}

func (o Owner) id() ownerID { return ownerID{node: o.Node, incarnation: o.Incarnation} }

// New returns the dispatcher of a cell, started at now.
func New(name catalog.Cell, now clock.Millis, o Options) *Cell {
	if o.OnViolation == nil {
		o.OnViolation = func(string) {}
	}
	if o.OnDecision == nil {
		o.OnDecision = func(string) {}
	}
	return &Cell{
		Name: name, options: o, startedAt: now, catalog: catalog.New(),
		servers: map[string]*server{}, queue: newQueue(),
		reservations: map[AttemptID]*reservation{}, byOwner: map[ownerID]map[AttemptID]*reservation{},
		ending: map[AttemptID]*reservation{}, owners: map[ownerID]clock.Millis{},
		recentlyEnded: map[AttemptID]clock.Millis{},
		lengths:       newLengths(), retryBudget: maxSavedRetries, rotation: map[string]int{}, decisions: newDecisions(),
	}
}

// Apply processes an event and returns the effects to carry out.
func (c *Cell) Apply(now clock.Millis, e Event) []Effect {
	c.effects = nil
	switch e := e.(type) {
	case AttemptRequest:
		c.admit(now, e)
	case Progress:
		c.progress(now, e)
	case Announcement:
		c.announce(now, e)
	case Configured:
		c.configure(now, e)
	case Reported:
		c.reported(now, e)
	case Unreachable:
		c.unreachable(now, e.Endpoint)
	case Cancelled:
		c.cancelled(now, e)
	case Tick:
		c.refuseLate(now)
		c.sweep(now)
	}
	c.dispatch(now)
	return c.effects
}

// sweepInterval is how often all attempts are checked for expiry and broken
// invariants. This is not done at each event, so that the cost of an event does
// not grow with the cell.
const sweepInterval = 100 * time.Millisecond

func (c *Cell) sweep(now clock.Millis) {
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	c.expireOwners(now)
	c.checkInvariants()
}

func (c *Cell) emit(e Effect) { c.effects = append(c.effects, e) }

// configure applies a new configuration. Endpoints that are no longer members
// keep their server while attempts run there.
func (c *Cell) configure(now clock.Millis, e Configured) {
	if e.Catalog.Revision < c.catalog.Revision {
		return // a configuration never reverts
	}
	c.catalog = e.Catalog
	wanted := map[string]bool{}
	for _, m := range e.Members {
		wanted[m.Name] = true
		s, ok := c.servers[m.Name]
		if !ok || s.Address != m.Address || s.Role != m.Role {
			s = newServer(m, now)
			c.servers[m.Name] = s
		}
		s.Member = m
	}
	for name, s := range c.servers {
		if !wanted[name] {
			s.Draining = true
			if !s.busy() {
				delete(c.servers, name)
			}
		}
	}
	c.order = nil
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		c.order = append(c.order, c.servers[name])
	}
	c.reattachReservations()
}

// reattachReservations assigns existing reservations to recreated servers of
// the same name.
func (c *Cell) reattachReservations() {
	for id, r := range c.reservations {
		if s, ok := c.servers[r.decode]; ok && r.holdDecode {
			s.used[id] = r
		}
	}
}

// checkInvariants reports every violated invariant to Options.OnViolation.
func (c *Cell) checkInvariants() {
	if c.options.Policy != PolicyJoint {
		return // the baselines grant slots without checking
	}
	for _, s := range c.order {
		if s.Role != catalog.RolePrefill && len(s.used) > s.Slots+s.adopted() {
			c.options.OnViolation("slots of " + s.Name + " granted twice")
		}
	}
	for id, r := range c.reservations {
		if r.owner.Node == "" || c.byOwner[r.owner.id()][id] != r {
			c.options.OnViolation("reservation " + string(id) + " has no owner")
		}
		if !r.holdPrefill && !r.holdDecode {
			c.options.OnViolation("reservation " + string(id) + " holds nothing")
		}
	}
}

// adopted counts reservations granted by another dispatcher. They may overlap
// with own ones until the endpoint refuses a request.
func (s *server) adopted() int {
	n := 0
	for _, r := range s.used {
		if r.adopted {
			n++
		}
	}
	return n
}

// Queued returns the number of waiting attempts.
func (c *Cell) Queued() int { return len(c.queue.items) }

// Headroom is the headroom of a cell, by which entries compare cells.
type Headroom struct {
	Free    int           `cbor:"1,keyasint"` // decode slots, or slots of a plain service
	Waiting int           `cbor:"2,keyasint"`
	Wait    time.Duration `cbor:"3,keyasint"` // predicted for a new request
}

// Headroom returns the cell's headroom.
func (c *Cell) Headroom(now clock.Millis) Headroom {
	n := len(c.queue.items)
	return Headroom{Free: c.openSlots(now), Waiting: n, Wait: c.predictWait(now, n)}
}
