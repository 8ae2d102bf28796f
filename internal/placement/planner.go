// Package placement gives out the KV memory of one zone's decode engines and
// the time of its prefill engines. One planner sees a whole zone, so that no
// memory is promised twice and no prompt is read before there is room for it:
// a prompt read for nothing costs as much as an answer is worth. Decisions are
// pure: Apply takes the time and an event and returns effects.
package placement

import (
	"cmp"
	"slices"
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
	// refusePart of a first event's time may be spent on waiting for room: a
	// refusal within a quarter of it lets the caller come back in good time.
	refusePart = 4
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

// Event is what a planner learns: Ask, Progress, Release, Closed, Announce,
// Known and Tick.
type Event interface{ event() }

// Known brings the present endpoints of the zone.
type Known struct{ View *directory.View }

// Tick lets time pass.
type Tick struct{}

func (Ask) event()      {}
func (Progress) event() {}
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

// engine is one endpoint of the zone.
type engine struct {
	directory.Endpoint
	capacity  int // tokens
	slots     int
	full      clock.Millis             // nothing is given to it until then
	failed    clock.Millis             // something is given to it before only if all failed
	reads     map[string]time.Duration // prefills given to it and not finished
	readSince clock.Millis             // when the first of them began
	foreign   int                      // requests there that this planner did not place
	foreignAt clock.Millis             // when that was learned
	places    map[string]*place
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

type waiting struct {
	ask   Ask
	until clock.Millis
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

// Queued is the number of requests that wait.
func (p *Planner) Queued() int { return len(p.queue) }

func (p *Planner) learn(v *directory.View) {
	if v.Table == nil {
		return
	}
	seen := map[string]bool{}
	for name, list := range v.Endpoints {
		service := v.Table.Service(name)
		if service == nil || service.Engine == nil {
			continue
		}
		for _, e := range list {
			if e.Zone != p.zone {
				continue
			}
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
			known.capacity = int(useMemory * float64(service.Engine.KVTokens))
			known.slots = service.Engine.Slots
		}
	}
	for id := range p.engines {
		if !seen[id] {
			delete(p.engines, id)
		}
	}
}

func (p *Planner) ask(now clock.Millis, a Ask) {
	if p.places[a.ID] != nil {
		return
	}
	if p.over[a.ID] != 0 {
		p.refuse(a, ReasonMoved, comeBackLeast)
		return
	}
	p.owners[a.Owner] = now
	reason := p.place(now, a)
	if reason == "" {
		return
	}
	wait, possible := p.predict(now, a)
	if !possible || reason == ReasonNoPrefill {
		p.refuse(a, reason, comeBackLeast)
		return
	}
	wait *= time.Duration(len(p.queue) + 1)
	patience := a.Budget - prefillTime(a.Prompt) - firstStep
	if !a.Patient || wait > patience {
		p.refuse(a, reason, wait)
		return
	}
	if !a.Late {
		patience = min(patience, a.Budget/refusePart)
	}
	p.queue = append(p.queue, waiting{ask: a, until: now.Add(patience)})
	p.effects = append(p.effects, Answer{ID: a.ID, Owner: a.Owner, Verdict: Verdict{Queued: true}})
}

// place grants a request if there is room for it now; else it says why not.
func (p *Planner) place(now clock.Millis, a Ask) (reason string) {
	g := Grant{ID: a.ID}
	var decode, reader *engine
	if a.Part != ReadOnly {
		if decode, reason = p.decoder(now, a); decode == nil {
			return reason
		}
		g.Decode, g.Used = decode.ID, decode.used(now)
	}
	if a.Part == Both || a.Part == ReadOnly {
		if reader, reason = p.reader(now, a); reader == nil {
			return reason
		}
		g.Prefill, g.Wait = reader.ID, reader.backlog(now)
		reader.read(now, a)
	}
	p.hold(decode, &place{
		id: a.ID, owner: a.Owner, prefill: g.Prefill, decode: g.Decode,
		prompt: a.Prompt, output: a.Output, granted: now,
	})
	p.effects = append(p.effects, Answer{ID: a.ID, Owner: a.Owner, Verdict: Verdict{Grant: &g}})
	return ""
}

// decoder returns the decode engine with the most room.
func (p *Planner) decoder(now clock.Millis, a Ask) (*engine, string) {
	need := a.Prompt + expected(a.Output)
	var best *engine
	least := 0.0
	list := p.open(now, a, func(s directory.Stage) bool { return s != directory.Prefill })
	for _, e := range list {
		used := e.used(now)
		if used+need > e.capacity && used > 0 || len(e.places) >= e.slots {
			continue
		}
		share := float64(used) / float64(max(e.capacity, 1))
		if best == nil || share < least {
			best, least = e, share
		}
	}
	switch {
	case best != nil:
		return best, ""
	case len(list) == 0 && !p.known(a, directory.Decode):
		return nil, ReasonNoEndpoint
	default:
		return nil, ReasonFull
	}
}

// reader returns the prefill engine that is free the soonest, if that is soon
// enough.
func (p *Planner) reader(now clock.Millis, a Ask) (*engine, string) {
	var best *engine
	for _, e := range p.open(now, a, func(s directory.Stage) bool { return s == directory.Prefill }) {
		if best == nil || e.backlog(now) < best.backlog(now) {
			best = e
		}
	}
	switch {
	case best == nil && p.known(a, directory.Prefill):
		return nil, ReasonBusy
	case best == nil:
		return nil, ReasonNoPrefill
	case best.backlog(now)+prefillTime(a.Prompt)+firstStep > a.Budget && !a.Late:
		return nil, ReasonBusy
	default:
		return best, ""
	}
}

// known says whether any engine of a stage may ever serve a request.
func (p *Planner) known(a Ask, stage directory.Stage) bool {
	for _, e := range p.engines {
		if e.serves(a) && (e.Stage == directory.Prefill) == (stage == directory.Prefill) {
			return true
		}
	}
	return false
}

func (p *Planner) hold(e *engine, h *place) {
	p.places[h.id] = h
	if e != nil {
		e.places[h.id] = h
	}
}

// read gives a prompt to a prefill engine.
func (e *engine) read(now clock.Millis, a Ask) {
	if len(e.reads) == 0 {
		e.readSince = now
	}
	e.reads[a.ID] = prefillTime(a.Prompt)
}

// readDone takes a prompt off a prefill engine; the next one begins.
func (e *engine) readDone(now clock.Millis, id string) {
	if _, ok := e.reads[id]; !ok {
		return
	}
	delete(e.reads, id)
	e.readSince = now
}

// backlog predicts when a prefill engine has read what it was given.
func (e *engine) backlog(now clock.Millis) time.Duration {
	var total time.Duration
	for _, work := range e.reads {
		total += work
	}
	if e.foreign > 0 && now.Sub(e.foreignAt) < foreignReadFor {
		total += time.Duration(e.foreign) * prefillTime(foreignSize)
	}
	return max(total-now.Sub(e.readSince), 0)
}

// open returns the engines that may be used: the sound ones, or all that are
// not full if none is sound.
func (p *Planner) open(now clock.Millis, a Ask, fits func(directory.Stage) bool) []*engine {
	var all, sound []*engine
	for _, e := range p.engines {
		if !e.serves(a) || !fits(e.Stage) {
			continue
		}
		all = append(all, e)
		if e.failed <= now && !slices.Contains(a.Avoid, e.ID) {
			sound = append(sound, e)
		}
	}
	if len(sound) == 0 {
		sound = all
	}
	sound = slices.DeleteFunc(sound, func(e *engine) bool { return e.full > now })
	slices.SortFunc(sound, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	return sound
}

// serves says whether an engine may ever be used for a request.
func (e *engine) serves(a Ask) bool {
	return e.Service == a.Service && e.State == directory.Ready && !slices.Contains(a.Exclude, e.ID)
}

// used is what an engine is reckoned to hold, in tokens.
func (e *engine) used(now clock.Millis) int {
	total := 0
	for _, h := range e.places {
		made := int(now.Sub(h.granted) / stepTime)
		total += h.prompt + max(expected(h.output), min(made, 2*h.output))
	}
	if e.foreign == 0 || now.Sub(e.foreignAt) > foreignFor {
		return total
	}
	size := foreignSize
	if len(e.places) > 0 {
		size = total / len(e.places)
	}
	return total + e.foreign*size
}

// progress compares an engine's word with what was placed there. More runs
// there when another planner gives out the same engine, as when instances are
// cut off from each other.
func (p *Planner) progress(now clock.Millis, m Progress) {
	h := p.places[m.ID]
	if h == nil {
		return
	}
	if m.Read {
		p.readDone(now, h, m.Running)
		return
	}
	if e := p.engines[h.decode]; e != nil {
		e.foreign, e.foreignAt = max(m.Running-len(e.places), 0), now
	}
}

// readDone learns that a prefill engine has read a prompt.
func (p *Planner) readDone(now clock.Millis, h *place, running int) {
	e := p.engines[h.prefill]
	if e == nil {
		return
	}
	e.readDone(now, h.id)
	e.foreign, e.foreignAt = max(running-1-len(e.reads), 0), now
}

func expected(output int) int { return int(growth * float64(output)) }

// Expected guesses the length of an answer from the most that it may have.
func Expected(most int) int { return int(expectedPart * float64(most)) }

func prefillTime(prompt int) time.Duration {
	return prefillSetup + time.Duration(float64(prompt)/tokensPerMS*float64(time.Millisecond))
}

// predict is how long until some engine has room; false if none can have.
func (p *Planner) predict(now clock.Millis, a Ask) (time.Duration, bool) {
	need := a.Prompt + expected(a.Output)
	best, found := time.Duration(0), false
	read := time.Duration(0)
	if a.Part == Both || a.Part == ReadOnly {
		read = p.leastBacklog(now, a)
	}
	if a.Part == ReadOnly {
		return read, p.known(a, directory.Prefill)
	}
	for _, e := range p.engines {
		if !e.serves(a) || e.Stage == directory.Prefill {
			continue
		}
		wait := e.roomAfter(now, need)
		if !found || wait < best {
			best, found = wait, true
		}
	}
	return max(best, read), found
}

// leastBacklog is how long until some prefill engine is free.
func (p *Planner) leastBacklog(now clock.Millis, a Ask) time.Duration {
	least, found := time.Duration(0), false
	for _, e := range p.engines {
		if e.Stage != directory.Prefill || !e.serves(a) {
			continue
		}
		if wait := e.backlog(now); !found || wait < least {
			least, found = wait, true
		}
	}
	return least
}

// roomAfter is how long until enough of the running answers have ended.
func (e *engine) roomAfter(now clock.Millis, need int) time.Duration {
	over := e.used(now) + need - e.capacity
	if over <= 0 {
		return max(e.full.Sub(now), 0)
	}
	ends := make([]*place, 0, len(e.places))
	for _, h := range e.places {
		ends = append(ends, h)
	}
	slices.SortFunc(ends, func(a, b *place) int { return int(a.endsAt() - b.endsAt()) })
	for _, h := range ends {
		over -= h.prompt + expected(h.output)
		if over <= 0 {
			return max(h.endsAt().Sub(now), 50*time.Millisecond)
		}
	}
	return comeBackMost
}

func (h *place) endsAt() clock.Millis {
	return h.granted.Add(time.Duration(h.output)*stepTime + 200*time.Millisecond)
}

func (p *Planner) refuse(a Ask, reason string, after time.Duration) {
	after = min(max(after, comeBackLeast), comeBackMost)
	p.effects = append(p.effects, Answer{ID: a.ID, Owner: a.Owner, Verdict: Verdict{
		Refusal: &Refusal{ID: a.ID, Reason: reason, After: after},
	}})
}

// serveQueue grants what waits, in order, and refuses what can no longer be in
// time.
func (p *Planner) serveQueue(now clock.Millis) {
	kept := p.queue[:0]
	for _, w := range p.queue {
		switch {
		case p.over[w.ask.ID] != 0:
		case p.place(now, w.ask) == "":
		case now >= w.until:
			wait, _ := p.predict(now, w.ask)
			p.refuse(w.ask, ReasonFull, wait*time.Duration(len(kept)+1))
		default:
			kept = append(kept, w)
		}
	}
	p.queue = kept
}

func (p *Planner) release(now clock.Millis, r Release) {
	p.owners[r.Owner] = now
	p.over[r.ID] = now
	if h := p.places[r.ID]; h != nil {
		p.drop(now, h)
	}
	if e := p.engines[r.Full]; e != nil {
		e.full = max(e.full, now.Add(fullFor))
	}
	if e := p.engines[r.Failed]; e != nil {
		e.failed = now.Add(failedFor)
	}
}

func (p *Planner) drop(now clock.Millis, h *place) {
	delete(p.places, h.id)
	if e := p.engines[h.prefill]; e != nil {
		e.readDone(now, h.id)
	}
	if e := p.engines[h.decode]; e != nil {
		delete(e.places, h.id)
	}
}

// announce takes an entry's list: unknown places are taken over from a former
// planner, missing ones are freed.
func (p *Planner) announce(now clock.Millis, a Announce) {
	p.owners[a.Owner] = now
	listed := map[string]bool{}
	for _, h := range a.Holds {
		listed[h.ID] = true
		e := p.engines[h.Decode]
		if e == nil || p.places[h.ID] != nil || p.over[h.ID] != 0 {
			continue
		}
		p.hold(e, &place{id: h.ID, owner: a.Owner, decode: h.Decode, prompt: h.Prompt, output: h.Output, granted: now.Add(-h.Running)})
	}
	for _, h := range p.places {
		if h.owner == a.Owner && !listed[h.id] && now.Sub(h.granted) > grantGrace {
			p.over[h.id] = now
			p.drop(now, h)
		}
	}
}

func (p *Planner) expire(now clock.Millis) {
	for _, h := range p.places {
		if now.Sub(max(p.owners[h.owner], h.granted)) > ownerExpiry {
			p.drop(now, h)
		}
	}
	for id, at := range p.over {
		if now.Sub(at) > askMemory {
			delete(p.over, id)
		}
	}
}
