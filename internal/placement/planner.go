// Package placement gives out the KV memory of one zone's decode engines and
// the time of its prefill engines. One planner sees a whole zone, so that no
// memory is promised twice and no prompt is read before there is room for it:
// a prompt read for nothing costs as much as an answer is worth. Decisions are
// pure: Apply takes the time and an event and returns effects.
package placement

import (
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// useMemory is the part of an engine's KV memory that is given out; blocks
	// of 16 tokens and answers longer than expected take the rest.
	useMemory = 0.97
	// growth is the part of an expected answer that is reckoned as memory
	// from the start: requests at one engine are at different points.
	growth = 0.5
	// expectedPart of the longest answer is expected where no guess came.
	expectedPart = 0.42
	// stepTime is one token's time at a moderately filled engine (data sheet:
	// 3.41 ms and 0.1 ms for each running request).
	stepTime = 4500 * time.Microsecond
	// tokensPerMS is a prefill engine's speed, from its data sheet.
	tokensPerMS = 55.6
	// prefillSetup is a prefill's cost besides its tokens.
	prefillSetup = 10 * time.Millisecond
	// firstStep is the time from a prefill's end to the first event, with the
	// KV cache's way and the messages.
	firstStep = 70 * time.Millisecond
	// grantGrace is how long an announcement may still miss a new grant.
	grantGrace = 500 * time.Millisecond
	// ownerExpiry is how long places outlive their owner's silence.
	ownerExpiry = 2500 * time.Millisecond
	// fullFor keeps requests from an engine that turned one away: its memory
	// is fuller than reckoned, and answers end several times a second.
	fullFor = 250 * time.Millisecond
	// closedFor is how long an engine that changes its stage gets nothing, unless
	// it says earlier that it has changed; the change takes six seconds.
	closedFor = 8 * time.Second
	// failedFor does the same for one that failed.
	failedFor = time.Second
	// foreignFor is how long an engine's word on its load is believed; about
	// half of an answer's time.
	foreignFor = 1500 * time.Millisecond
	// foreignReadFor is the same for prefill engines, whose work is short.
	foreignReadFor = 300 * time.Millisecond
	// foreignSize is the memory of a request that this planner knows nothing
	// of, where it has placed none to compare with.
	foreignSize = 5000
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

// Answer is the effect of a decision: the word to one entry.
type Answer struct {
	ID      string
	Owner   string
	Verdict Verdict
}

// Planner is the aggregate of one zone. It is not safe for concurrent use.
type Planner struct {
	zone    string
	engines map[string]*engine
	places  map[string]*place
	owners  map[string]clock.Millis // when last heard
	over    map[string]clock.Millis // attempts that ended
	queue   []waiting
	effects []Answer
}

// place is what one attempt holds.
type place struct {
	id      string
	owner   string
	prefill string
	decode  string
	prompt  int
	output  int
	granted clock.Millis
}

// New returns the planner of a zone.
func New(zone string) *Planner {
	return &Planner{
		zone: zone, engines: map[string]*engine{}, places: map[string]*place{},
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
			engine.full = now.Add(closedFor)
		}
	case Announce:
		p.announce(now, e)
	case Known:
		p.learn(e.View)
	case Tick:
		p.expire(now)
	}
	p.serveQueue(now)
	return p.effects
}

func (p *Planner) learn(v *directory.View) {
	if v.Table == nil {
		return
	}
	seen := map[string]bool{}
	for e, data := range v.Engines(p.zone) {
		seen[e.ID] = true
		known := p.engines[e.ID]
		if known == nil {
			known = &engine{places: map[string]*place{}, reads: map[string]time.Duration{}}
			p.engines[e.ID] = known
		}
		if known.Stage != e.Stage {
			known.full = 0 // it has changed its stage and takes work again
		}
		known.Endpoint = *e
		known.capacity = int(useMemory * float64(data.KVTokens))
		known.slots = data.Slots
	}
	for id := range p.engines {
		if !seen[id] {
			delete(p.engines, id)
		}
	}
}

func (h *place) endsAt() clock.Millis {
	return h.granted.Add(time.Duration(h.output)*stepTime + 200*time.Millisecond)
}
