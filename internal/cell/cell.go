// Package cell decides for one cell: the prefill and decode endpoints of one
// zone and model, or the endpoints of one plain service. One dispatcher sees
// the whole cell, so it chooses prefill endpoint, decode slot and link together
// and promises no slot twice. Decisions are pure: Apply takes the time and an
// event and returns effects, so the same code runs in processes, in replays and
// in long randomised runs.
package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// The policies. Joint is the product's; the others are baselines.
const (
	PolicyJoint      = "joint"
	PolicyLagged     = "lagged"
	PolicyRoundRobin = "round_robin"
)

// Options are the settings of a cell.
type Options struct {
	Policy      string
	OwnerExpiry time.Duration // how long attempts outlive their owner's silence
	RetryShare  float64       // retries allowed per success
	// Violated is told of every broken invariant; tests make it fatal.
	Violated func(what string)
	// Counted is told of every decision worth a counter.
	Counted func(what string)
}

// Cell is the state of one dispatcher. It is not safe for concurrent use.
type Cell struct {
	Name    catalog.Cell
	options Options
	born    clock.Millis
	catalog *catalog.Catalog

	servers      map[string]*server
	order        []*server // by name, so that decisions do not depend on map order
	queue        queue
	reservations map[AttemptID]*reservation
	byOwner      map[ownerID]map[AttemptID]*reservation
	ending       map[AttemptID]*reservation
	swept        clock.Millis               // when everything was last looked through
	owners       map[ownerID]clock.Millis   // when last heard
	over         map[AttemptID]clock.Millis // ended lately
	lengths      lengths
	retries      float64        // budget left
	turns        map[string]int // of the baselines, by role
	decisions    decisions
	effects      []Effect
}

// ownerID tells one life of an entry from another.
type ownerID struct {
	node        string
	incarnation int64
}

func (o Owner) id() ownerID { return ownerID{node: o.Node, incarnation: o.Incarnation} }

// New returns the dispatcher of a cell that begins at now.
func New(name catalog.Cell, now clock.Millis, o Options) *Cell {
	if o.Violated == nil {
		o.Violated = func(string) {}
	}
	if o.Counted == nil {
		o.Counted = func(string) {}
	}
	return &Cell{
		Name: name, options: o, born: now, catalog: catalog.New(),
		servers: map[string]*server{}, queue: newQueue(),
		reservations: map[AttemptID]*reservation{}, byOwner: map[ownerID]map[AttemptID]*reservation{},
		ending: map[AttemptID]*reservation{}, owners: map[ownerID]clock.Millis{},
		over:    map[AttemptID]clock.Millis{},
		lengths: newLengths(), retries: retryBurst, turns: map[string]int{}, decisions: newDecisions(),
	}
}

// Apply takes one event at a moment and returns what must be done.
func (c *Cell) Apply(now clock.Millis, e Event) []Effect {
	c.effects = nil
	switch e := e.(type) {
	case Ask:
		c.ask(now, e)
	case Progress:
		c.progress(now, e)
	case Announce:
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

// sweepInterval is how often everything is looked through. It is no event's
// duty, so that an event's cost does not grow with the cell.
const sweepInterval = 100 * time.Millisecond

func (c *Cell) sweep(now clock.Millis) {
	if now.Sub(c.swept) < sweepInterval {
		return
	}
	c.swept = now
	c.expireOwners(now)
	c.checkInvariants()
}

func (c *Cell) emit(e Effect) { c.effects = append(c.effects, e) }

// configure takes over new members; those that are gone from the catalog keep
// their server while attempts run there.
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
	c.relink()
}

// relink gives servers that were made anew the reservations of their name.
func (c *Cell) relink() {
	for id, r := range c.reservations {
		if s, ok := c.servers[r.decode]; ok && r.holdDecode {
			s.used[id] = r
		}
	}
}

// checkInvariants counts what must never be seen.
func (c *Cell) checkInvariants() {
	if c.options.Policy != PolicyJoint {
		return // the baselines promise slots without looking
	}
	for _, s := range c.order {
		if s.Role != catalog.RolePrefill && len(s.used) > s.Slots+s.adopted() {
			c.options.Violated("slots of " + s.Name + " promised twice")
		}
	}
	for id, r := range c.reservations {
		if r.owner.Node == "" || c.byOwner[r.owner.id()][id] != r {
			c.options.Violated("reservation " + string(id) + " has no owner")
		}
		if !r.holdPrefill && !r.holdDecode {
			c.options.Violated("reservation " + string(id) + " holds nothing")
		}
	}
}

// adopted counts reservations taken over from another dispatcher, which may
// overlap with own ones until the endpoint refuses.
func (s *server) adopted() int {
	n := 0
	for _, r := range s.used {
		if r.adopted {
			n++
		}
	}
	return n
}

// Queued returns how many attempts wait.
func (c *Cell) Queued() int { return len(c.queue.items) }

// Digest is the headroom that entries compare cells by.
type Digest struct {
	Free    int           `cbor:"1,keyasint"` // decode slots, or places of a plain service
	Waiting int           `cbor:"2,keyasint"`
	Wait    time.Duration `cbor:"3,keyasint"` // predicted for a new request
}

// Digest returns the cell's headroom.
func (c *Cell) Digest(now clock.Millis) Digest {
	n := len(c.queue.items)
	return Digest{Free: c.openSlots(now), Waiting: n, Wait: c.predictWait(now, n)}
}
