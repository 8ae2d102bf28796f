// Package dispatcher runs the cells that this process dispatches: it feeds
// messages, endpoints' reports and time into each cell's decisions and carries
// out their effects.
package dispatcher

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/internal/member"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// The topics between entries and dispatchers.
const (
	TopicAsk      = "cell.ask"
	TopicProgress = "cell.progress"
	TopicAnnounce = "cell.announce"
	TopicGrant    = "cell.grant"
	TopicRefusal  = "cell.refusal"
	TopicFenced   = "cell.fenced"
	TopicUnknown  = "cell.unknown"
)

const (
	fastTick      = 10 * time.Millisecond  // while any request waits
	slowTick      = 100 * time.Millisecond // otherwise
	cancelWorkers = 16
	cancelQueue   = 4096
)

// Options are the settings and seams of a dispatcher.
type Options struct {
	Cell    cell.Options
	Listing time.Duration
	Node    string
	Zone    string
	Now     func() clock.Millis
	// Mine says whether this process is to dispatch a cell.
	Mine func(catalog.Cell) bool
}

// Dispatcher runs cells. Lock order: Dispatcher, then one cell.
type Dispatcher struct {
	options   Options
	transport *peer.Transport
	client    *endpoint.Client
	scope     tally.Scope
	log       zerolog.Logger
	cancels   chan cell.Cancel
	ticker    *ticker.Ticker

	mu      sync.Mutex
	catalog *catalog.Catalog
	layout  map[catalog.Cell][]catalog.Member
	cells   map[catalog.Cell]*running
}

// running is one cell with its lock.
type running struct {
	mu      sync.Mutex
	cell    *cell.Cell
	reading map[string]bool         // endpoints whose report is being read
	read    map[string]clock.Millis // when that was last begun
	after   map[string]int64        // last cache event read
}

// New returns a dispatcher without cells.
func New(o Options, t *peer.Transport, c *endpoint.Client, scope tally.Scope, log zerolog.Logger) *Dispatcher {
	return &Dispatcher{
		options: o, transport: t, client: c, scope: scope, log: log,
		cancels: make(chan cell.Cancel, cancelQueue), catalog: catalog.New(),
		cells: map[catalog.Cell]*running{}, ticker: ticker.New(fastTick, slowTick),
	}
}

// Register adds the handlers of entries' messages.
func (d *Dispatcher) Register(r *message.Router) {
	peer.Handle(r, d.transport, TopicAsk, func(_ peer.Sender, a cell.Ask) {
		if c := d.find(a.Cell); c != nil {
			d.apply(c, a)
			return
		}
		d.send(a.Owner.Address, TopicRefusal, cell.Refusal{Attempt: a.Attempt, Reason: cell.ReasonMoved})
	})
	peer.Handle(r, d.transport, TopicProgress, func(_ peer.Sender, p cell.Progress) {
		if c := d.find(p.Cell); c != nil {
			d.apply(c, p)
		}
	})
	peer.Handle(r, d.transport, TopicAnnounce, func(_ peer.Sender, a cell.Announce) {
		if c := d.find(a.Cell); c != nil {
			d.apply(c, a)
		}
	})
}

// Configure takes a newer catalog.
func (d *Dispatcher) Configure(c *catalog.Catalog) {
	layout := c.Layout(d.options.Zone)
	d.mu.Lock()
	if c.Revision < d.catalog.Revision {
		d.mu.Unlock()
		return
	}
	d.catalog, d.layout = c, layout
	d.mu.Unlock()
	d.each(func(r *running) {
		d.apply(r, cell.Configured{Catalog: c, Members: layout[r.cell.Name]})
	})
}

// Run lets time pass in all cells until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range cancelWorkers {
		group.Go(func() { d.cancelLoop(ctx) })
	}
	group.Go(func() { d.ticker.Run(ctx, d.tick) })
	group.Go(func() { ticker.Every(ctx, d.options.Listing, func() { d.readReports(ctx) }) })
	group.Wait()
}

// Reconcile takes up the cells that are this process's and drops the others.
// Whoever waited in a dropped cell is sent on to its new dispatcher.
func (d *Dispatcher) Reconcile() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.layout {
		_, have := d.cells[name]
		if mine := d.options.Mine(name); mine && !have {
			d.take(name)
		} else if !mine && have {
			d.drop(name)
		}
	}
	for name := range d.cells {
		if _, ok := d.layout[name]; !ok {
			d.drop(name)
		}
	}
}

// take starts a cell; the caller holds the lock.
func (d *Dispatcher) take(name catalog.Cell) {
	now := d.options.Now()
	r := &running{cell: cell.New(name, now, d.options.Cell), reading: map[string]bool{}, read: map[string]clock.Millis{}, after: map[string]int64{}}
	r.cell.Apply(now, cell.Configured{Catalog: d.catalog, Members: d.layout[name]})
	d.cells[name] = r
	d.log.Info().Stringer("cell", name).Msg("dispatching cell")
}

// drop ends a cell; the caller holds the lock.
func (d *Dispatcher) drop(name catalog.Cell) {
	r := d.cells[name]
	delete(d.cells, name)
	d.log.Info().Stringer("cell", name).Msg("no longer dispatching cell")
	r.mu.Lock()
	waiting := r.cell.Waiting(d.options.Now())
	r.mu.Unlock()
	for _, w := range waiting {
		d.send(w.Ask.Owner.Address, TopicRefusal, cell.Refusal{Attempt: w.Ask.Attempt, Reason: cell.ReasonMoved})
	}
}

// Statuses returns the headroom of the cells dispatched here.
func (d *Dispatcher) Statuses() []member.CellStatus {
	now := d.options.Now()
	var all []member.CellStatus
	d.Each(func(name catalog.Cell, c *cell.Cell) {
		all = append(all, member.CellStatus{
			Cell: name, Node: d.options.Node, Address: d.transport.Address(), Stamp: now, Digest: c.Digest(now),
		})
	})
	return all
}

// Each calls do with every cell under its lock.
func (d *Dispatcher) Each(do func(catalog.Cell, *cell.Cell)) {
	d.each(func(r *running) {
		r.mu.Lock()
		defer r.mu.Unlock()
		do(r.cell.Name, r.cell)
	})
}

// each calls do with every cell, without its lock.
func (d *Dispatcher) each(do func(*running)) {
	d.mu.Lock()
	cells := maps.Clone(d.cells)
	d.mu.Unlock()
	for _, r := range cells {
		do(r)
	}
}

func (d *Dispatcher) find(name catalog.Cell) *running {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cells[name]
}

func (d *Dispatcher) tick() (busy bool) {
	d.each(func(r *running) {
		if d.apply(r, cell.Tick{}) > 0 {
			busy = true
		}
	})
	return busy
}

// apply feeds a cell one event and returns how many requests wait after it.
func (d *Dispatcher) apply(r *running, e cell.Event) (waiting int) {
	r.mu.Lock()
	effects := r.cell.Apply(d.options.Now(), e)
	waiting = r.cell.Queued()
	r.mu.Unlock()
	for _, effect := range effects {
		d.carryOut(effect)
	}
	if waiting > 0 {
		d.ticker.Wake()
	}
	return waiting
}

func (d *Dispatcher) carryOut(e cell.Effect) {
	switch e := e.(type) {
	case cell.SendGrant:
		d.send(e.To.Address, TopicGrant, e.Grant)
	case cell.SendRefusal:
		d.send(e.To.Address, TopicRefusal, e.Refusal)
	case cell.SendFenced:
		d.send(e.To.Address, TopicFenced, e.Fenced)
	case cell.SendUnknown:
		d.send(e.To.Address, TopicUnknown, e.Unknown)
	case cell.Cancel:
		select {
		case d.cancels <- e:
		default: // the next listing shows the attempt again
			d.scope.Counter("cancel_queue_full").Inc(1)
		}
	}
}

func (d *Dispatcher) send(to netip.AddrPort, topic string, v any) {
	if err := peer.Send(d.transport, to, topic, v); err != nil {
		d.scope.Counter("dispatcher_send_failed").Inc(1)
	}
}
