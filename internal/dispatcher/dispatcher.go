// Package dispatcher runs the cells that this process dispatches. It passes
// messages from entries, reports of endpoints and timer ticks to each cell as
// events and executes the effects that the cell returns.
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

// Topics of the messages between entries and dispatchers.
const (
	TopicRequest  = "cell.ask"
	TopicProgress = "cell.progress"
	TopicAnnounce = "cell.announce"
	TopicGrant    = "cell.grant"
	TopicRefusal  = "cell.refusal"
	TopicFenced   = "cell.fenced"
	TopicUnknown  = "cell.unknown"
)

const (
	fastTick          = 10 * time.Millisecond  // while any request is queued
	slowTick          = 100 * time.Millisecond // otherwise
	cancelWorkerCount = 16
	cancelQueueSize   = 4096
)

// Options are the settings and dependencies of a dispatcher.
type Options struct {
	Cell           cell.Options
	ReportInterval time.Duration
	Node           string
	Zone           string
	Now            func() clock.Millis
	// IsDispatcher reports whether this process is the dispatcher of a cell.
	IsDispatcher func(catalog.Cell) bool
}

// Dispatcher runs cells. Lock order: first the Dispatcher, then a single cell.
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
	cells   map[catalog.Cell]*activeCell
}

// activeCell is a cell that this process dispatches, and the lock that guards it.
type activeCell struct {
	mu        sync.Mutex
	cell      *cell.Cell
	reading   map[string]bool         // endpoints with a report request in progress
	lastRead  map[string]clock.Millis // when the last report request of each endpoint started
	lastEvent map[string]int64        // sequence number of the last cache event read, by endpoint
}

// New returns a dispatcher without cells; Configure and Reconcile add them.
func New(o Options, t *peer.Transport, c *endpoint.Client, scope tally.Scope, log zerolog.Logger) *Dispatcher {
	return &Dispatcher{
		options: o, transport: t, client: c, scope: scope, log: log,
		cancels: make(chan cell.Cancel, cancelQueueSize), catalog: catalog.New(),
		cells: map[catalog.Cell]*activeCell{}, ticker: ticker.New(fastTick, slowTick),
	}
}

// Register adds the handlers for messages from entries.
func (d *Dispatcher) Register(r *message.Router) {
	peer.Handle(r, d.transport, TopicRequest, func(_ peer.Sender, a cell.AttemptRequest) {
		if c := d.findCell(a.Cell); c != nil {
			d.apply(c, a)
			return
		}
		d.send(a.Owner.Address, TopicRefusal, cell.Refusal{Attempt: a.Attempt, Reason: cell.ReasonMoved})
	})
	peer.Handle(r, d.transport, TopicProgress, func(_ peer.Sender, p cell.Progress) {
		if c := d.findCell(p.Cell); c != nil {
			d.apply(c, p)
		}
	})
	peer.Handle(r, d.transport, TopicAnnounce, func(_ peer.Sender, a cell.Announcement) {
		if c := d.findCell(a.Cell); c != nil {
			d.apply(c, a)
		}
	})
}

// Configure replaces the catalog, unless the given one is older than the current one.
func (d *Dispatcher) Configure(c *catalog.Catalog) {
	layout := c.Layout(d.options.Zone)
	d.mu.Lock()
	if c.Revision < d.catalog.Revision {
		d.mu.Unlock()
		return
	}
	d.catalog, d.layout = c, layout
	d.mu.Unlock()
	d.each(func(r *activeCell) {
		d.apply(r, cell.Configured{Catalog: c, Members: layout[r.cell.Name]})
	})
}

// Run sends ticks to all cells, reads the reports of their endpoints and sends
// cancel requests until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range cancelWorkerCount {
		group.Go(func() { d.cancelLoop(ctx) })
	}
	group.Go(func() { d.ticker.Run(ctx, d.tick) })
	group.Go(func() { ticker.Every(ctx, d.options.ReportInterval, func() { d.readReports(ctx) }) })
	group.Wait()
}

// Reconcile starts the cells that this process is to dispatch and stops all
// others. Requests queued in a stopped cell are refused with ReasonMoved, so that
// their entries ask the new dispatcher.
func (d *Dispatcher) Reconcile() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.layout {
		_, running := d.cells[name]
		if local := d.options.IsDispatcher(name); local && !running {
			d.startCell(name)
		} else if !local && running {
			d.stopCell(name)
		}
	}
	for name := range d.cells {
		if _, ok := d.layout[name]; !ok {
			d.stopCell(name)
		}
	}
}

// startCell starts a cell. The caller holds d.mu.
func (d *Dispatcher) startCell(name catalog.Cell) {
	now := d.options.Now()
	r := &activeCell{cell: cell.New(name, now, d.options.Cell), reading: map[string]bool{}, lastRead: map[string]clock.Millis{}, lastEvent: map[string]int64{}}
	r.cell.Apply(now, cell.Configured{Catalog: d.catalog, Members: d.layout[name]})
	d.cells[name] = r
	d.log.Info().Stringer("cell", name).Msg("dispatching cell")
}

// stopCell stops a cell and refuses its queued requests with ReasonMoved. The
// caller holds d.mu.
func (d *Dispatcher) stopCell(name catalog.Cell) {
	r := d.cells[name]
	delete(d.cells, name)
	d.log.Info().Stringer("cell", name).Msg("no longer dispatching cell")
	r.mu.Lock()
	waiting := r.cell.Waiting(d.options.Now())
	r.mu.Unlock()
	for _, w := range waiting {
		d.send(w.Request.Owner.Address, TopicRefusal, cell.Refusal{Attempt: w.Request.Attempt, Reason: cell.ReasonMoved})
	}
}

// Statuses returns the free capacity and queue of each cell dispatched here.
func (d *Dispatcher) Statuses() []member.CellStatus {
	now := d.options.Now()
	var all []member.CellStatus
	d.ForEachCell(func(name catalog.Cell, c *cell.Cell) {
		all = append(all, member.CellStatus{
			Cell: name, Node: d.options.Node, Address: d.transport.Address(), Stamp: now, Headroom: c.Headroom(now),
		})
	})
	return all
}

// ForEachCell calls fn for every cell with the lock of that cell held.
func (d *Dispatcher) ForEachCell(fn func(catalog.Cell, *cell.Cell)) {
	d.each(func(r *activeCell) {
		r.mu.Lock()
		defer r.mu.Unlock()
		fn(r.cell.Name, r.cell)
	})
}

// each calls fn for every cell without holding its lock.
func (d *Dispatcher) each(fn func(*activeCell)) {
	d.mu.Lock()
	cells := maps.Clone(d.cells)
	d.mu.Unlock()
	for _, r := range cells {
		fn(r)
	}
}

func (d *Dispatcher) findCell(name catalog.Cell) *activeCell {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cells[name]
}

func (d *Dispatcher) tick() (busy bool) {
	d.each(func(r *activeCell) {
		if d.apply(r, cell.Tick{}) > 0 {
			busy = true
		}
	})
	return busy
}

// apply passes one event to a cell, executes the effects and returns how many
// requests are queued in the cell afterwards.
func (d *Dispatcher) apply(r *activeCell, e cell.Event) (waiting int) {
	r.mu.Lock()
	effects := r.cell.Apply(d.options.Now(), e)
	waiting = r.cell.Queued()
	r.mu.Unlock()
	for _, effect := range effects {
		d.execute(effect)
	}
	if waiting > 0 {
		d.ticker.Wake()
	}
	return waiting
}

func (d *Dispatcher) execute(e cell.Effect) {
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
		default: // the queue is full; the endpoint's next report shows the attempt again
			d.scope.Counter("cancel_queue_full").Inc(1)
		}
	}
}

func (d *Dispatcher) send(to netip.AddrPort, topic string, v any) {
	if err := peer.Send(d.transport, to, topic, v); err != nil {
		d.scope.Counter("dispatcher_send_failed").Inc(1)
	}
}
