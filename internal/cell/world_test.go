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
	tick    = 10 * time.Millisecond
	expiry  = 2 * time.Second
	maxWay  = 40 // milliseconds that a message is under way at most
	decodeS = 4  // slots of a decode endpoint
)

var name = catalog.Cell{Zone: "a", Serves: "m"}

// world is fakes of entries and endpoints around one real dispatcher.
type world struct {
	random     *rand.Rand
	now        clock.Millis
	cell       *cell.Cell
	catalog    *catalog.Catalog
	mail       map[clock.Millis][]func()
	engines    map[string]*engine
	entries    []*fakeEntry
	answers    map[cell.AttemptID]int
	granted    map[cell.AttemptID]*cell.Grant
	faults     []string
	full       int           // decodes refused for want of a slot
	longest    int           // milliseconds that an answer takes at most
	startDelay time.Duration // of a prefill's way to its engine
	loss       float64       // part of announcements, progress and cancels that is lost
}

// engine holds attempts and nothing else.
type engine struct {
	role  string
	slots int
	held  map[cell.AttemptID]bool
	most  int
}

// fakeEntry runs attempts as an entry would.
type fakeEntry struct {
	owner    cell.Owner
	dead     bool
	frozen   clock.Millis // until then it does nothing
	heard    clock.Millis // own last announcement
	attempts map[cell.AttemptID]*fakeAttempt
}

type fakeAttempt struct {
	grant   cell.Grant
	phase   cell.Phase
	granted bool
	over    bool
}

func newWorld(seed uint64, prefills, decodes int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), now: 1_000_000, catalog: catalog.New(),
		mail: map[clock.Millis][]func(){}, engines: map[string]*engine{}, answers: map[cell.AttemptID]int{}, granted: map[cell.AttemptID]*cell.Grant{}, longest: 60_000,
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
		w.addEngine(fmt.Sprintf("d%d", i), catalog.RoleDecode, decodeS)
	}
	w.restart()
	for i := range 3 {
		w.addEntry(fmt.Sprintf("e%d", i))
	}
	return w
}

func (w *world) addEngine(id, role string, slots int) {
	w.change(catalog.VerbCreate, "endpoint", id, "pool", role, "slots", fmt.Sprint(slots), "address", "127.0.0.1:1")
	w.engines[id] = &engine{role: role, slots: slots, held: map[cell.AttemptID]bool{}}
}

func (w *world) addEntry(id string) {
	w.entries = append(w.entries, &fakeEntry{
		owner: cell.Owner{Node: id, Incarnation: int64(w.now), Address: netip.MustParseAddrPort("127.0.0.1:2")},
		heard: w.now, attempts: map[cell.AttemptID]*fakeAttempt{},
	})
}

func (w *world) change(verb, noun, id string, fields ...string) {
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

// restart replaces the dispatcher by a new one that knows nothing.
func (w *world) restart() {
	w.cell = cell.New(name, w.now, cell.Options{
		Policy: cell.PolicyJoint, OwnerExpiry: expiry, RetryShare: 0.1,
		Violated: func(what string) { w.faults = append(w.faults, what) },
	})
	w.apply(cell.Configured{Catalog: w.catalog, Members: w.catalog.Layout("a")[name]})
}

func (w *world) later(do func()) {
	at := w.now.Add(time.Duration(1+w.random.IntN(maxWay)) * time.Millisecond)
	w.mail[at] = append(w.mail[at], do)
}

func (w *world) after(d time.Duration, do func()) {
	at := w.now.Add(max(d, time.Millisecond))
	w.mail[at] = append(w.mail[at], do)
}

func (w *world) lossy(do func()) {
	if w.random.Float64() >= w.loss {
		w.later(do)
	}
}

func (w *world) apply(e cell.Event) {
	for _, effect := range w.cell.Apply(w.now, e) {
		switch f := effect.(type) {
		case cell.SendGrant:
			// The same grant said again is the same answer.
			if first := w.granted[f.Grant.Attempt]; first == nil || *first != f.Grant {
				w.answers[f.Grant.Attempt]++
				w.granted[f.Grant.Attempt] = &f.Grant
			}
			w.lossy(func() { w.take(f) })
		case cell.SendRefusal:
			w.answers[f.Refusal.Attempt]++
			w.later(func() { w.closeAttempt(f.To, f.Refusal.Attempt) })
		case cell.SendFenced:
			w.later(func() { w.closeAttempt(f.To, f.Fenced.Attempt) })
		case cell.Cancel:
			w.lossy(func() { w.cancel(f) })
		}
	}
}

func (w *world) cancel(f cell.Cancel) {
	e := w.engines[f.Endpoint]
	known := e.held[f.Attempt]
	delete(e.held, f.Attempt)
	w.lossy(func() { w.apply(cell.Cancelled{Endpoint: f.Endpoint, Attempt: f.Attempt, Known: known}) })
}

func (w *world) entryOf(o cell.Owner) *fakeEntry {
	for _, e := range w.entries {
		if e.owner == o && !e.dead {
			return e
		}
	}
	return nil
}

// awake runs do now, or when the entry is no longer frozen.
func (w *world) awake(e *fakeEntry, do func()) {
	if e == nil || e.dead {
		return
	}
	if e.frozen > w.now {
		w.after(e.frozen.Sub(w.now), func() { w.awake(e, do) })
		return
	}
	do()
}

func (w *world) closeAttempt(o cell.Owner, id cell.AttemptID) {
	e := w.entryOf(o)
	w.awake(e, func() {
		if a := e.attempts[id]; a != nil {
			a.over = true
			delete(e.attempts, id)
		}
	})
}

// ask sends a request; its caller may give up after a while.
func (w *world) ask(e *fakeEntry, request string, tokens int, givesUp time.Duration) {
	id := cell.NewAttemptID(request, 1)
	a := &fakeAttempt{}
	e.attempts[id] = a
	ask := cell.Ask{
		Cell: name, Attempt: id, Request: request, Owner: e.owner, Workspace: "w", Kind: "k", Class: "c",
		Tokens: tokens, MaxTokens: 50, Budget: 1500 * time.Millisecond,
	}
	w.later(func() { w.apply(ask) })
	if givesUp > 0 {
		w.after(givesUp, func() { w.awake(e, func() { w.withdraw(e, id, a) }) })
	}
}

func (w *world) withdraw(e *fakeEntry, id cell.AttemptID, a *fakeAttempt) {
	if a.over {
		return
	}
	a.over = true
	delete(e.attempts, id)
	w.lossy(func() { w.apply(cell.Progress{Cell: name, Attempt: id, Phase: cell.Withdrawn}) })
}

func (w *world) take(f cell.SendGrant) {
	e := w.entryOf(f.To)
	w.awake(e, func() {
		a := e.attempts[f.Grant.Attempt]
		if a == nil || a.granted {
			return
		}
		a.granted, a.grant, a.phase = true, f.Grant, cell.Granted
		if w.now.Sub(e.heard) > expiry/2 {
			w.withdraw(e, f.Grant.Attempt, a) // frozen too long: its fence
			return
		}
		w.start(e, f.Grant.Attempt, a)
	})
}

// start sends the prefill, which arrives even when the entry dies meanwhile.
func (w *world) start(e *fakeEntry, id cell.AttemptID, a *fakeAttempt) {
	w.after(w.startDelay+time.Duration(w.random.IntN(maxWay))*time.Millisecond, func() {
		w.engines[a.grant.Prefill].hold(id)
		w.after(50*time.Millisecond, func() { w.awake(e, func() { w.prefilled(e, id, a) }) })
		w.after(800*time.Millisecond, func() { delete(w.engines[a.grant.Prefill].held, id) })
	})
}

func (w *world) prefilled(e *fakeEntry, id cell.AttemptID, a *fakeAttempt) {
	if a.over || w.now.Sub(e.heard) > expiry/2 {
		w.withdraw(e, id, a)
		return
	}
	a.phase = cell.Prefilled
	w.lossy(func() {
		w.apply(cell.Progress{Cell: name, Attempt: id, Phase: cell.Prefilled, Took: 50 * time.Millisecond})
	})
	w.later(func() {
		if !w.engines[a.grant.Prefill].held[id] {
			return // the KV cache expired
		}
		delete(w.engines[a.grant.Prefill].held, id)
		d := w.engines[a.grant.Decode]
		if len(d.held) >= d.slots {
			w.full++
			return // the engine refuses
		}
		d.hold(id)
		w.lossy(func() { w.apply(cell.Progress{Cell: name, Attempt: id, Phase: cell.Streaming}) })
		a.phase = cell.Streaming
		w.after(time.Duration(200+w.random.IntN(w.longest))*time.Millisecond, func() { w.finish(e, id, a) })
	})
}

func (w *world) finish(e *fakeEntry, id cell.AttemptID, a *fakeAttempt) {
	delete(w.engines[a.grant.Decode].held, id)
	w.awake(e, func() {
		if a.over {
			return
		}
		a.over = true
		delete(e.attempts, id)
		w.lossy(func() {
			w.apply(cell.Progress{Cell: name, Attempt: id, Phase: cell.Finished, Took: time.Second, Tokens: 40})
		})
	})
}

func (e *engine) hold(id cell.AttemptID) {
	e.held[id] = true
	e.most = max(e.most, len(e.held))
}

// run lets time pass: mail, ticks, announcements and reports.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; w.now++ {
		for _, do := range w.mail[w.now] {
			do()
		}
		delete(w.mail, w.now)
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

func (w *world) announceAll() {
	for _, e := range w.entries {
		if e.dead || e.frozen > w.now {
			continue
		}
		e.heard = w.now
		an := cell.Announce{Cell: name, Owner: e.owner}
		for _, id := range slices.Sorted(maps.Keys(e.attempts)) {
			a := e.attempts[id]
			if a.granted {
				an.Running = append(an.Running, cell.Running{
					Attempt: id, Phase: a.phase, Prefill: a.grant.Prefill, Decode: a.grant.Decode,
				})
			} else {
				an.Waiting = append(an.Waiting, id)
			}
		}
		w.lossy(func() { w.apply(an) })
	}
}

func (w *world) reportAll() {
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		e, began := w.engines[id], w.now
		w.later(func() {
			r := endpoint.Report{Load: endpoint.Load{Running: len(e.held), StepUS: 20_000}}
			for _, h := range slices.Sorted(maps.Keys(e.held)) {
				r.Held = append(r.Held, endpoint.Held{Attempt: string(h)})
			}
			w.later(func() { w.apply(cell.Reported{Endpoint: id, Report: r, Began: began}) })
		})
	}
}

// held returns how many all attempts that any engine holds.
func (w *world) held() int {
	n := 0
	for _, e := range w.engines {
		n += len(e.held)
	}
	return n
}
