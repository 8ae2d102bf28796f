package placement

import (
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/pkg/clock"
)

// progress compares an engine's load report with what was placed there. More runs
// there when another planner gives out the same engine, as when instances are
// cut off from each other.
func (p *Planner) progress(now clock.Millis, m Progress) {
	h := p.places[m.ID]
	if h == nil {
		return
	}
	if m.Read {
		p.promptRead(now, h, m)
		return
	}
	if e := p.engines[h.grant.Decode]; e != nil {
		e.foreign, e.foreignAt = max(m.Running-len(e.places), 0), now
		e.leftUntil = 0 // this is newer
		e.answeredWell()
	}
}

// loaded takes an engine's load report, as at the start, when nobody can
// tell what those who are gone have left there. Prefill engines work it off;
// memory is believed for as long as answers take.
func (p *Planner) loaded(now clock.Millis, m Loaded) {
	e := p.engines[m.Engine]
	if e == nil {
		return
	}
	if e.Stage == directory.Prefill {
		unknown := max(m.Running+m.Waiting-len(e.reads), 0)
		e.leftUntil = now.Add(time.Duration(unknown) * p.usualTurn(e))
		return
	}
	e.left = max(m.Used-e.own(now), 0)
	e.leftUntil = now.Add(p.foreignFor(e))
}

func (p *Planner) release(now clock.Millis, r Release) {
	p.owners[r.Owner] = now
	p.over[r.ID] = now
	if h := p.places[r.ID]; h != nil {
		if r.Seen != nil {
			p.learnAnswer(now, h, *r.Seen)
		}
		p.drop(now, h)
	}
	if e := p.engines[r.Full]; e != nil {
		e.full = max(e.full, now.Add(fullFor))
	}
	if e := p.engines[r.Failed]; e != nil {
		e.answeredBadly(now)
	}
}

func (p *Planner) drop(now clock.Millis, h *place) {
	delete(p.places, h.ask.ID)
	if e := p.engines[h.grant.Prefill]; e != nil {
		e.readDone(now, h.ask.ID)
	}
	if e := p.engines[h.grant.Decode]; e != nil {
		delete(e.places, h.ask.ID)
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
		p.hold(e, p.takenOver(now, e, a.Owner, h))
	}
	for _, h := range p.places {
		if h.ask.Owner == a.Owner && !listed[h.ask.ID] && now.Sub(h.granted) > grantGrace {
			p.over[h.ask.ID] = now
			p.drop(now, h)
		}
	}
}

func (p *Planner) expire(now clock.Millis) {
	for _, h := range p.places {
		if now.Sub(max(p.owners[h.ask.Owner], h.granted)) > ownerExpiry {
			p.drop(now, h)
		}
	}
	for id, at := range p.over {
		if now.Sub(at) > askMemory {
			delete(p.over, id)
		}
	}
}

// takenOver is a place that a former planner gave.
func (p *Planner) takenOver(now clock.Millis, e *engine, owner string, h Hold) *place {
	granted := now.Add(-h.Running)
	return &place{
		ask:     Ask{ID: h.ID, Owner: owner, Service: e.Service, Prompt: h.Prompt},
		grant:   Grant{Decode: h.Decode, Length: h.Length},
		granted: granted, begins: granted,
		step: p.paces.Step(e.Service, e.ID, len(e.places)),
	}
}

// learnAnswer takes what an entry saw of an answer, if this planner knows what
// it was asked for.
func (p *Planner) learnAnswer(now clock.Millis, h *place, s Seen) {
	e := p.engines[h.grant.Decode]
	if e != nil && h.ask.Route != "" {
		Learn(p.paces, now, h.ask, h.grant, len(e.places), s)
	}
}

// promptRead learns that a prefill engine has read a prompt.
func (p *Planner) promptRead(now clock.Millis, h *place, m Progress) {
	e := p.engines[h.grant.Prefill]
	if e == nil {
		return
	}
	p.learnRead(now, e, h.ask.Prompt, m.Took)
	e.readDone(now, h.ask.ID)
	e.lastRead = now
	e.answeredWell()
	e.foreign, e.foreignAt = max(m.Running-1-len(e.reads), 0), now
}

// learnRead learns from a prompt that was read alone, or that had to wait for
// the one before it; between the two, what it took tells neither time.
func (p *Planner) learnRead(now clock.Millis, e *engine, prompt int, took time.Duration) {
	gap := now.Sub(e.lastRead)
	o := pace.Observation{Service: e.Service, Engine: e.ID, Size: float64(prompt)}
	switch {
	case gap >= took && len(e.reads) == 1:
		o.Act, o.Outcome = pace.Read, clock.InMillis(took)
	case took-gap >= p.readTime(e.Service, e.ID, 0):
		o.Act, o.Outcome = pace.Turn, clock.InMillis(gap)
	default:
		return
	}
	p.paces.Learn(now, o)
}
