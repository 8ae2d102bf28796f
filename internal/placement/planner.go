// Package placement gives out the KV memory of one zone's decode engines and
// the time of its prefill engines. One planner sees a whole zone, so that no
// memory is promised twice and no prompt is read before there is room for it:
// a prompt read for nothing costs as much as an answer is worth. Decisions are
// pure: Apply takes the time and an event and returns effects.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// useMemory is the part of an engine's KV memory that is given out; blocks
	// of 16 tokens and answers longer than expected take the rest.
	useMemory = 0.97
	// growth is the part of an expected answer that is estimated as memory
	// from the start: requests at one engine are at different points.
	growth = 0.5
	// grantGrace is how long an announcement may still miss a new grant.
	grantGrace = 500 * time.Millisecond
	// unsure is by which factor a wait for room may turn out shorter than
	// predicted; requests that are smaller than those before them also pass them.
	unsure = 2
	// ownerExpiry is how long places outlive their owner's silence.
	ownerExpiry = 2500 * time.Millisecond
	// fullFor keeps requests from an engine that turned one away: its memory
	// is fuller than estimated, and answers end several times a second.
	fullFor = 250 * time.Millisecond
	// closedSlack is how much longer than a change of stage takes an engine gets
	// nothing, unless it says earlier that it has changed: what it runs ends first.
	closedSlack = 2 * time.Second
	// failedFor is how long an engine that failed a request gets nothing while
	// others have room.
	failedFor = time.Second
	// foreignPart of a usual answer's time is how long an engine's load
	// report is believed: by then about as much of it has ended.
	foreignPart = 0.5
	// foreignReads is the same for prefill engines, in usual prompts.
	foreignReads = 3
	// unseenPart of an engine's memory is what a request is taken for while none
	// was seen: engines are bought to run some ten at a time.
	unseenPart = 8
	// newFor is how long an engine is told of with its grants: changes are in force
	// everywhere within three seconds. Empty engines get the most requests, and where
	// thirty came at once, a hundred requests were sent from grant to grant of engines
	// that their entries did not know, and a third of those refused.
	newFor = 4 * time.Second
	// askMemory bounds how long an ended attempt is remembered, so that a late
	// message does not take its place again.
	askMemory = 5 * time.Second
	// comeBackLeast and comeBackMost bound what refused callers are told.
	comeBackLeast = 250 * time.Millisecond
	comeBackMost  = 4 * time.Second
)

// Event is what a planner learns: Ask, Progress, Loaded, Release, Closed,
// Announce, Known and Tick.
type Event interface{ event() }

// Known brings the present endpoints of the zone.
type Known struct{ View *directory.View }

// Tick lets time pass.
type Tick struct{}

func (Ask) event()      {}
func (Progress) event() {}
func (Loaded) event()   {}
func (Release) event()  {}
func (Closed) event()   {}
func (Announce) event() {}
func (Known) event()    {}
func (Tick) event()     {}

// Answer is the effect of a decision: the answer to one entry.
type Answer struct {
	ID      string
	Owner   string
	Verdict Verdict
}

// Planner is the aggregate of one zone. It is not safe for concurrent use.
type Planner struct {
	zone     string
	instance string // on which it runs
	paces    *pace.Model
	engines  map[string]*engine
	views    int // that it has learned from
	places   map[string]*place
	owners   map[string]clock.Millis // when last heard
	over     map[string]clock.Millis // attempts that ended
	queue    []waiting
	effects  []Answer
}

// place is what one attempt holds.
type place struct {
	ask     Ask // of a place that a former planner gave: owner, id and prompt only
	grant   Grant
	granted clock.Millis
	begins  clock.Millis  // predicted first event
	step    time.Duration // predicted for one token
}

// New returns the planner of a zone that runs on an instance. It learns how fast
// engines are into paces and predicts by it.
func New(zone, instance string, paces *pace.Model) *Planner {
	return &Planner{
		zone: zone, instance: instance, paces: paces, engines: map[string]*engine{}, places: map[string]*place{},
		owners: map[string]clock.Millis{}, over: map[string]clock.Millis{},
	}
}

// Apply takes one event at a moment and returns the answers it brings about.
func (p *Planner) Apply(now clock.Millis, e Event) []Answer {
	p.effects = nil
	switch e := e.(type) {
	case Ask:
		p.ask(now, e)
	case Progress:
		p.progress(now, e)
	case Loaded:
		p.loaded(now, e)
	case Release:
		p.release(now, e)
	case Closed:
		if engine := p.engines[e.Engine]; engine != nil {
			engine.full = now.Add(engine.switchTime + closedSlack)
		}
	case Announce:
		p.announce(now, e)
	case Known:
		p.learn(now, e.View)
	case Tick:
		p.expire(now)
	}
	if mayMakeRoom(e) {
		p.serveQueue(now)
	}
	return p.effects
}

// mayMakeRoom says whether what waits is to be looked at after an event. Asks and
// first events take room; they are half of all events, and a look at 100 waiting
// requests takes as long as 50 asks.
func mayMakeRoom(e Event) bool {
	switch e := e.(type) {
	case Ask:
		return false
	case Progress:
		return e.Read
	default:
		return true
	}
}

func (p *Planner) learn(now clock.Millis, v *directory.View) {
	if v.Table == nil {
		return
	}
	p.views++
	for e, data := range v.Engines(p.zone) {
		known := p.engines[e.ID]
		if known == nil {
			known = &engine{joined: now, turn: xxhash.Sum64String(p.instance + "\x00" + e.ID)}
			p.engines[e.ID] = known
		}
		if known.Stage != e.Stage {
			known.full = 0 // it has changed its stage and takes work again
		}
		known.Endpoint, known.seen = *e, p.views
		known.capacity = int(useMemory * float64(data.KVTokens))
		known.slots = data.Slots
		known.switchTime = data.Switch()
	}
	for id, e := range p.engines {
		if e.seen != p.views {
			delete(p.engines, id)
		}
	}
	// The model also knows engines of other zones, which entries learn of.
	p.paces.Forget(func(engine string) bool { return v.Find(engine) != nil })
}

// endsIn predicts how long the answer still takes. One that is longer than
// predicted is probably long, and goes on for a part of what it took so far.
func (h *place) endsIn(now clock.Millis) time.Duration {
	left := h.begins.Add(time.Duration(h.grant.Length) * h.step).Sub(now)
	return max(left, time.Duration(longPart*float64(now.Sub(h.begins))))
}

// longPart is that part: lengths vary about as much as an exponential
// distribution, cut at a few times its mean.
const longPart = 0.3

// size is what an answer is estimated to hold from the start, in tokens.
func (h *place) size() int { return h.ask.Prompt + fromStart(h.grant.Length) }
