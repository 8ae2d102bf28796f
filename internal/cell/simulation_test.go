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
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: 1_000_000, catalog: catalog.New(),
		scheduled: map[clock.Millis][]func(){}, engines: map[string]*engine{}, answers: map[cell.AttemptID]int{}, granted: map[cell.AttemptID]*cell.Grant{}, maxAnswer: 60_000,
	}
	s.change(catalog.VerbCreate, "zone", "a")
	s.change(catalog.VerbCreate, "class", "c", "ttft", "1500ms", "tbt", "100ms")
	s.change(catalog.VerbCreate, "workspace", "w", "class", "c")
	s.change(catalog.VerbCreate, "kind", "k", "serves", "m")
	for _, p := range []string{catalog.RolePrefill, catalog.RoleDecode} {
		s.change(catalog.VerbCreate, "pool", p, "zone", "a", "role", p, "serves", "m")
	}
	for i := range prefills {
		s.addEngine(fmt.Sprintf("p%d", i), catalog.RolePrefill, 100)
	}
	for i := range decodes {
		s.addEngine(fmt.Sprintf("d%d", i), catalog.RoleDecode, decodeSlots)
	}
	s.restart()
	for i := range 3 {
		s.addEntry(fmt.Sprintf("e%d", i))
	}
	return s
}

func (s *simulation) addEngine(id, role string, slots int) {
	s.change(catalog.VerbCreate, "endpoint", id, "pool", role, "slots", fmt.Sprint(slots), "address", "127.0.0.1:1")
	s.engines[id] = &engine{role: role, slots: slots, held: map[cell.AttemptID]bool{}}
}

func (s *simulation) addEntry(id string) {
	s.entries = append(s.entries, &fakeEntry{
		owner:         cell.Owner{Node: id, Incarnation: int64(s.now), Address: netip.MustParseAddrPort("127.0.0.1:2")},
		lastAnnounced: s.now, attempts: map[cell.AttemptID]*fakeAttempt{},
	})
}

func (s *simulation) change(verb, noun, id string, fields ...string) {
	ch := catalog.Change{Revision: s.catalog.Revision + 1, Verb: verb, Noun: noun, Name: id}
	for i := 0; i < len(fields); i += 2 {
		ch.To = append(ch.To, catalog.Field{Name: fields[i], Value: fields[i+1]})
	}
	next, err := s.catalog.Apply(ch)
	if err != nil {
		panic(err)
	}
	s.catalog = next
	if s.cell != nil {
		s.apply(cell.Configured{Catalog: s.catalog, Members: s.catalog.Layout("a")[name]})
	}
}

// restart replaces the dispatcher by a new one without state.
func (s *simulation) restart() {
	s.cell = cell.New(name, s.now, cell.Options{
		Policy: cell.PolicyJoint, OwnerExpiry: expiry, RetryRatio: 0.1,
		OnViolation: func(what string) { s.violations = append(s.violations, what) },
	})
	s.apply(cell.Configured{Catalog: s.catalog, Members: s.catalog.Layout("a")[name]})
}

func (s *simulation) deliver(do func()) {
	at := s.now.Add(time.Duration(1+s.random.IntN(maxDelay)) * time.Millisecond)
	s.scheduled[at] = append(s.scheduled[at], do)
}

func (s *simulation) schedule(d time.Duration, do func()) {
	at := s.now.Add(max(d, time.Millisecond))
	s.scheduled[at] = append(s.scheduled[at], do)
}

func (s *simulation) deliverLossy(do func()) {
	if s.random.Float64() >= s.loss {
		s.deliver(do)
	}
}

func (s *simulation) apply(e cell.Event) {
	for _, effect := range s.cell.Apply(s.now, e) {
		switch f := effect.(type) {
		case cell.SendGrant:
			// A grant that is sent again counts as one answer.
			if first := s.granted[f.Grant.Attempt]; first == nil || *first != f.Grant {
				s.answers[f.Grant.Attempt]++
				s.granted[f.Grant.Attempt] = &f.Grant
			}
			s.deliverLossy(func() { s.receiveGrant(f) })
		case cell.SendRefusal:
			s.answers[f.Refusal.Attempt]++
			s.deliver(func() { s.closeAttempt(f.To, f.Refusal.Attempt) })
		case cell.SendFenced:
			s.deliver(func() { s.closeAttempt(f.To, f.Fenced.Attempt) })
		case cell.Cancel:
			s.deliverLossy(func() { s.cancel(f) })
		}
	}
}

func (s *simulation) cancel(f cell.Cancel) {
	e := s.engines[f.Endpoint]
	freed := e.held[f.Attempt]
	delete(e.held, f.Attempt)
	s.deliverLossy(func() { s.apply(cell.Cancelled{Endpoint: f.Endpoint, Attempt: f.Attempt, Freed: freed}) })
}

func (s *simulation) entryOf(o cell.Owner) *fakeEntry {
	for _, e := range s.entries {
		if e.owner == o && !e.dead {
			return e
		}
	}
	return nil
}

// afterFreeze runs do now, or as soon as the entry is no longer frozen. A dead
// entry never runs it.
func (s *simulation) afterFreeze(e *fakeEntry, do func()) {
	if e == nil || e.dead {
		return
	}
	if e.frozen > s.now {
		s.schedule(e.frozen.Sub(s.now), func() { s.afterFreeze(e, do) })
		return
	}
	do()
}

func (s *simulation) closeAttempt(o cell.Owner, id cell.AttemptID) {
	e := s.entryOf(o)
	s.afterFreeze(e, func() {
		if a := e.attempts[id]; a != nil {
			a.over = true
			delete(e.attempts, id)
		}
	})
}

// submit sends a request. Its caller gives up after givesUp, or never if that is 0.
func (s *simulation) submit(e *fakeEntry, request string, tokens int, givesUp time.Duration) {
	id := cell.NewAttemptID(request, 1)
	a := &fakeAttempt{}
	e.attempts[id] = a
	attemptRequest := cell.AttemptRequest{
		Cell: name, Attempt: id, Request: request, Owner: e.owner, Workspace: "w", Kind: "k", Class: "c",
		Tokens: tokens, MaxTokens: 50, Budget: 1500 * time.Millisecond,
	}
	s.deliver(func() { s.apply(attemptRequest) })
	if givesUp > 0 {
		s.schedule(givesUp, func() { s.afterFreeze(e, func() { s.withdraw(e, id, a) }) })
	}
}

func (s *simulation) withdraw(e *fakeEntry, id cell.AttemptID, a *fakeAttempt) {
	if a.over {
		return
	}
	a.over = true
	delete(e.attempts, id)
	s.deliverLossy(func() { s.apply(cell.Progress{Cell: name, Attempt: id, Phase: cell.Withdrawn}) })
}

func (s *simulation) receiveGrant(f cell.SendGrant) {
	e := s.entryOf(f.To)
	s.afterFreeze(e, func() {
		a := e.attempts[f.Grant.Attempt]
		if a == nil || a.granted {
			return
		}
		a.granted, a.grant, a.phase = true, f.Grant, cell.Granted
		if s.now.Sub(e.lastAnnounced) > expiry/2 {
			s.withdraw(e, f.Grant.Attempt, a) // frozen too long, so the dispatcher may have expired it
			return
		}
		s.start(e, f.Grant.Attempt, a)
	})
}

// start sends the prefill, which arrives even if the entry dies meanwhile.
func (s *simulation) start(e *fakeEntry, id cell.AttemptID, a *fakeAttempt) {
	s.schedule(s.startDelay+time.Duration(s.random.IntN(maxDelay))*time.Millisecond, func() {
		s.engines[a.grant.Prefill].hold(id)
		s.schedule(50*time.Millisecond, func() { s.afterFreeze(e, func() { s.prefilled(e, id, a) }) })
		s.schedule(800*time.Millisecond, func() { delete(s.engines[a.grant.Prefill].held, id) })
	})
}

func (s *simulation) prefilled(e *fakeEntry, id cell.AttemptID, a *fakeAttempt) {
	if a.over || s.now.Sub(e.lastAnnounced) > expiry/2 {
		s.withdraw(e, id, a)
		return
	}
	a.phase = cell.Prefilled
	s.deliverLossy(func() {
		s.apply(cell.Progress{Cell: name, Attempt: id, Phase: cell.Prefilled, Duration: 50 * time.Millisecond})
	})
	s.deliver(func() {
		if !s.engines[a.grant.Prefill].held[id] {
			return // the KV cache expired
		}
		delete(s.engines[a.grant.Prefill].held, id)
		d := s.engines[a.grant.Decode]
		if len(d.held) >= d.slots {
			s.slotRefusals++
			return // the engine refuses the request
		}
		d.hold(id)
		s.deliverLossy(func() { s.apply(cell.Progress{Cell: name, Attempt: id, Phase: cell.Streaming}) })
		a.phase = cell.Streaming
		s.schedule(time.Duration(200+s.random.IntN(s.maxAnswer))*time.Millisecond, func() { s.finish(e, id, a) })
	})
}

func (s *simulation) finish(e *fakeEntry, id cell.AttemptID, a *fakeAttempt) {
	delete(s.engines[a.grant.Decode].held, id)
	s.afterFreeze(e, func() {
		if a.over {
			return
		}
		a.over = true
		delete(e.attempts, id)
		s.deliverLossy(func() {
			s.apply(cell.Progress{Cell: name, Attempt: id, Phase: cell.Finished, Duration: time.Second, Tokens: 40})
		})
	})
}

func (e *engine) hold(id cell.AttemptID) {
	e.held[id] = true
	e.maxHeld = max(e.maxHeld, len(e.held))
}

// run advances the time by d, with all deliveries, ticks, announcements and
// reports.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now++ {
		for _, do := range s.scheduled[s.now] {
			do()
		}
		delete(s.scheduled, s.now)
		if s.now%10 == 0 {
			s.apply(cell.Tick{})
		}
		if s.now%300 == 0 {
			s.announceAll()
		}
		if s.now%200 == 0 {
			s.reportAll()
		}
	}
}

func (s *simulation) announceAll() {
	for _, e := range s.entries {
		if e.dead || e.frozen > s.now {
			continue
		}
		e.lastAnnounced = s.now
		announcement := cell.Announcement{Cell: name, Owner: e.owner}
		for _, id := range slices.Sorted(maps.Keys(e.attempts)) {
			a := e.attempts[id]
			if a.granted {
				announcement.Running = append(announcement.Running, cell.AnnouncedAttempt{
					Attempt: id, Phase: a.phase, Prefill: a.grant.Prefill, Decode: a.grant.Decode,
				})
			} else {
				announcement.Waiting = append(announcement.Waiting, id)
			}
		}
		s.deliverLossy(func() { s.apply(announcement) })
	}
}

func (s *simulation) reportAll() {
	for _, id := range slices.Sorted(maps.Keys(s.engines)) {
		e, requestedAt := s.engines[id], s.now
		s.deliver(func() {
			r := endpoint.Report{Load: endpoint.Load{Running: len(e.held), StepUS: 20_000}}
			for _, h := range slices.Sorted(maps.Keys(e.held)) {
				r.Held = append(r.Held, endpoint.HeldAttempt{Attempt: string(h)})
			}
			s.deliver(func() { s.apply(cell.Reported{Endpoint: id, Report: r, RequestedAt: requestedAt}) })
		})
	}
}

// held returns how many attempts all engines hold.
func (s *simulation) held() int {
	n := 0
	for _, e := range s.engines {
		n += len(e.held)
	}
	return n
}
