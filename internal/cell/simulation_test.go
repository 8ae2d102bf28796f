package cell_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	tick        = 10 * time.Millisecond
	expiry      = 2 * time.Second
	maxDelay    = 40 // maximum delay of a message in milliseconds
	decodeSlots = 4  // slots of a decode engine
)

var name = catalog.Cell{Zone: "a", Serves: "m"}

// simulation simulates entries and engines around one real dispatcher.
type simulation struct {
	random       *rand.Rand
	now          clock.Millis
	cell         *cell.Cell
	catalog      *catalog.Catalog
	scheduled    map[clock.Millis][]func()
	engines      map[string]*engine
	entries      []*fakeEntry
	answers      map[cell.AttemptID]int
	granted      map[cell.AttemptID]*cell.Grant
	violations   []string
	slotRefusals int           // decodes that engines refused without a free slot
	maxAnswer    int           // maximum duration of an answer in milliseconds
	startDelay   time.Duration // additional delay of the start of a prefill
	loss         float64       // fraction of grants, announcements, progress and cancels that are lost
}

// engine is a fake endpoint that only holds attempts.
type engine struct {
	role    string
	slots   int
	held    map[cell.AttemptID]bool
	maxHeld int
}

// fakeEntry runs attempts as an entry does.
type fakeEntry struct {
	owner         cell.Owner
	dead          bool
	frozen        clock.Millis // does nothing until then
	lastAnnounced clock.Millis // when it last sent announcements
	attempts      map[cell.AttemptID]*fakeAttempt
}

type fakeAttempt struct {
	grant   cell.Grant
	phase   cell.Phase
	granted bool
	over    bool
}

func newSimulation(seed uint64, prefills, decodes int) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: 1_000_000, catalog: catalog.New(),
		scheduled: map[clock.Millis][]func(){}, engines: map[string]*engine{}, answers: map[cell.AttemptID]int{}, granted: map[cell.AttemptID]*cell.Grant{}, maxAnswer: 60_000,
	}
	w.change(catalog.VerbCreate, "zone", "a")
	w.change(catalog.VerbCreate, "class", "c", "ttft", "1500ms", "tbt", "100ms")
	w.change(catalog.VerbCreate, "workspace", "w", "class", "c")
	w.change(catalog.VerbCreate, "kind", "k", "serves", "m")
	for _, p := range []string{catalog.RolePrefill, catalog.RoleDecode} {
		w.change(catalog.VerbCreate, "pool", p, "zone", "a", "role", p, "serves", "m")
	}
	for i := range prefills {
		w.addEngine(fmt.Sprintf("p%d", i), catalog.RolePrefill, 100)
	}
	for i := range decodes {
		w.addEngine(fmt.Sprintf("d%d", i), catalog.RoleDecode, decodeSlots)
	}
	w.restart()
	for i := range 3 {
		w.addEntry(fmt.Sprintf("e%d", i))
	}
	return w
}

func (w *simulation) addEngine(id, role string, slots int) {
	w.change(catalog.VerbCreate, "endpoint", id, "pool", role, "slots", fmt.Sprint(slots), "address", "127.0.0.1:1")
	w.engines[id] = &engine{role: role, slots: slots, held: map[cell.AttemptID]bool{}}
}

func (w *simulation) addEntry(id string) {
	w.entries = append(w.entries, &fakeEntry{
		owner:         cell.Owner{Node: id, Incarnation: int64(w.now), Address: netip.MustParseAddrPort("127.0.0.1:2")},
		lastAnnounced: w.now, attempts: map[cell.AttemptID]*fakeAttempt{},
	})
}

func (w *simulation) change(verb, noun, id string, fields ...string) {
	ch := catalog.Change{Revision: w.catalog.Revision + 1, Verb: verb, Noun: noun, Name: id}
	for i := 0; i < len(fields); i += 2 {
		ch.To = append(ch.To, catalog.Field{Name: fields[i], Value: fields[i+1]})
	}
	next, err := w.catalog.Apply(ch)
	if err != nil {
		panic(err)
	}
	w.catalog = next
	if w.cell != nil {
		w.apply(cell.Configured{Catalog: w.catalog, Members: w.catalog.Layout("a")[name]})
	}
}

// restart replaces the dispatcher by a new one without state.
func (w *simulation) restart() {
	w.cell = cell.New(name, w.now, cell.Options{
		Policy: cell.PolicyJoint, OwnerExpiry: expiry, RetryRatio: 0.1,
		OnViolation: func(what string) { w.violations = append(w.violations, what) },
	})
	w.apply(cell.Configured{Catalog: w.catalog, Members: w.catalog.Layout("a")[name]})
}

func (w *simulation) deliver(do func()) {
	at := w.now.Add(time.Duration(1+w.random.IntN(maxDelay)) * time.Millisecond)
	w.scheduled[at] = append(w.scheduled[at], do)
}

func (w *simulation) schedule(d time.Duration, do func()) {
	at := w.now.Add(max(d, time.Millisecond))
	w.scheduled[at] = append(w.scheduled[at], do)
}

func (w *simulation) deliverLossy(do func()) {
	if w.random.Float64() >= w.loss {
		w.deliver(do)
	}
}

func (w *simulation) apply(e cell.Event) {
	for _, effect := range w.cell.Apply(w.now, e) {
		switch f := effect.(type) {
		case cell.SendGrant:
			// A grant that is sent again counts as one answer.
			if first := w.granted[f.Grant.Attempt]; first == nil || *first != f.Grant {
				w.answers[f.Grant.Attempt]++
				w.granted[f.Grant.Attempt] = &f.Grant
			}
			w.deliverLossy(func() { w.receiveGrant(f) })
		case cell.SendRefusal:
			w.answers[f.Refusal.Attempt]++
			w.deliver(func() { w.closeAttempt(f.To, f.Refusal.Attempt) })
		case cell.SendFenced:
			w.deliver(func() { w.closeAttempt(f.To, f.Fenced.Attempt) })
		case cell.Cancel:
			w.deliverLossy(func() { w.cancel(f) })
		}
	}
}

func (w *simulation) cancel(f cell.Cancel) {
	e := w.engines[f.Endpoint]
	known := e.held[f.Attempt]
	delete(e.held, f.Attempt)
	w.deliverLossy(func() { w.apply(cell.Cancelled{Endpoint: f.Endpoint, Attempt: f.Attempt, Freed: known}) })
}

func (w *simulation) entryOf(o cell.Owner) *fakeEntry {
	for _, e := range w.entries {
		if e.owner == o && !e.dead {
			return e
		}
	}
	return nil
}

// afterFreeze runs do now, or as soon as the entry is no longer frozen. A dead
// entry never runs it.
func (w *simulation) afterFreeze(e *fakeEntry, do func()) {
	if e == nil || e.dead {
		return
	}
	if e.frozen > w.now {
		w.schedule(e.frozen.Sub(w.now), func() { w.afterFreeze(e, do) })
		return
	}
	do()
}

func (w *simulation) closeAttempt(o cell.Owner, id cell.AttemptID) {
	e := w.entryOf(o)
	w.afterFreeze(e, func() {
		if a := e.attempts[id]; a != nil {
			a.over = true
			delete(e.attempts, id)
		}
	})
}

// ask sends a request. Its caller gives up after givesUp, or never if that is 0.
func (w *simulation) ask(e *fakeEntry, request string, tokens int, givesUp time.Duration) {
	id := cell.NewAttemptID(request, 1)
	a := &fakeAttempt{}
	e.attempts[id] = a
	ask := cell.AttemptRequest{
		Cell: name, Attempt: id, Request: request, Owner: e.owner, Workspace: "w", Kind: "k", Class: "c",
		Tokens: tokens, MaxTokens: 50, Budget: 1500 * time.Millisecond,
	}
	w.deliver(func() { w.apply(ask) })
	if givesUp > 0 {
		w.schedule(givesUp, func() { w.afterFreeze(e, func() { w.withdraw(e, id, a) }) })
	}
}

func (w *simulation) withdraw(e *fakeEntry, id cell.AttemptID, a *fakeAttempt) {
	if a.over {
		return
	}
	a.over = true
	delete(e.attempts, id)
	w.deliverLossy(func() { w.apply(cell.Progress{Cell: name, Attempt: id, Phase: cell.Withdrawn}) })
}

func (w *simulation) receiveGrant(f cell.SendGrant) {
	e := w.entryOf(f.To)
	w.afterFreeze(e, func() {
		a := e.attempts[f.Grant.Attempt]
		if a == nil || a.granted {
			return
		}
		a.granted, a.grant, a.phase = true, f.Grant, cell.Granted
		if w.now.Sub(e.lastAnnounced) > expiry/2 {
			w.withdraw(e, f.Grant.Attempt, a) // frozen too long, so the dispatcher may have expired it
			return
		}
		w.start(e, f.Grant.Attempt, a)
	})
}

// start sends the prefill, which arrives even if the entry dies meanwhile.
func (w *simulation) start(e *fakeEntry, id cell.AttemptID, a *fakeAttempt) {
	w.schedule(w.startDelay+time.Duration(w.random.IntN(maxDelay))*time.Millisecond, func() {
		w.engines[a.grant.Prefill].hold(id)
		w.schedule(50*time.Millisecond, func() { w.afterFreeze(e, func() { w.prefilled(e, id, a) }) })
		w.schedule(800*time.Millisecond, func() { delete(w.engines[a.grant.Prefill].held, id) })
	})
}

func (w *simulation) prefilled(e *fakeEntry, id cell.AttemptID, a *fakeAttempt) {
	if a.over || w.now.Sub(e.lastAnnounced) > expiry/2 {
		w.withdraw(e, id, a)
		return
	}
	a.phase = cell.Prefilled
	w.deliverLossy(func() {
		w.apply(cell.Progress{Cell: name, Attempt: id, Phase: cell.Prefilled, Duration: 50 * time.Millisecond})
	})
	w.deliver(func() {
		if !w.engines[a.grant.Prefill].held[id] {
			return // the KV cache expired
		}
		delete(w.engines[a.grant.Prefill].held, id)
		d := w.engines[a.grant.Decode]
		if len(d.held) >= d.slots {
			w.slotRefusals++
			return // the engine refuses the request
		}
		d.hold(id)
		w.deliverLossy(func() { w.apply(cell.Progress{Cell: name, Attempt: id, Phase: cell.Streaming}) })
		a.phase = cell.Streaming
		w.schedule(time.Duration(200+w.random.IntN(w.maxAnswer))*time.Millisecond, func() { w.finish(e, id, a) })
	})
}

func (w *simulation) finish(e *fakeEntry, id cell.AttemptID, a *fakeAttempt) {
	delete(w.engines[a.grant.Decode].held, id)
	w.afterFreeze(e, func() {
		if a.over {
			return
		}
		a.over = true
		delete(e.attempts, id)
		w.deliverLossy(func() {
			w.apply(cell.Progress{Cell: name, Attempt: id, Phase: cell.Finished, Duration: time.Second, Tokens: 40})
		})
	})
}

func (e *engine) hold(id cell.AttemptID) {
	e.held[id] = true
	e.maxHeld = max(e.maxHeld, len(e.held))
}

// run advances the time by d, with all deliveries, ticks, announcements and
// reports.
func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; w.now++ {
		for _, do := range w.scheduled[w.now] {
			do()
		}
		delete(w.scheduled, w.now)
		if w.now%10 == 0 {
			w.apply(cell.Tick{})
		}
		if w.now%300 == 0 {
			w.announceAll()
		}
		if w.now%200 == 0 {
			w.reportAll()
		}
	}
}

func (w *simulation) announceAll() {
	for _, e := range w.entries {
		if e.dead || e.frozen > w.now {
			continue
		}
		e.lastAnnounced = w.now
		an := cell.Announcement{Cell: name, Owner: e.owner}
		for _, id := range slices.Sorted(maps.Keys(e.attempts)) {
			a := e.attempts[id]
			if a.granted {
				an.Running = append(an.Running, cell.AnnouncedAttempt{
					Attempt: id, Phase: a.phase, Prefill: a.grant.Prefill, Decode: a.grant.Decode,
				})
			} else {
				an.Waiting = append(an.Waiting, id)
			}
		}
		w.deliverLossy(func() { w.apply(an) })
	}
}

func (w *simulation) reportAll() {
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		e, began := w.engines[id], w.now
		w.deliver(func() {
			r := endpoint.Report{Load: endpoint.Load{Running: len(e.held), StepUS: 20_000}}
			for _, h := range slices.Sorted(maps.Keys(e.held)) {
				r.Held = append(r.Held, endpoint.HeldAttempt{Attempt: string(h)})
			}
			w.deliver(func() { w.apply(cell.Reported{Endpoint: id, Report: r, RequestedAt: began}) })
		})
	}
}

// held returns how many attempts all engines hold.
func (w *simulation) held() int {
	n := 0
	for _, e := range w.engines {
		n += len(e.held)
	}
	return n
}
