package placement

import (
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// progress compares an engine's word with what was placed there. More runs
// there when another planner gives out the same engine, as when instances are
// cut off from each other.
func (p *Planner) progress(now clock.Millis, m Progress) {
	h := p.places[m.ID]
	if h == nil {
		return
	}
	if m.Read {
		p.promptRead(now, h, m.Running)
		return
	}
	if e := p.engines[h.decode]; e != nil {
		e.foreign, e.foreignAt = max(m.Running-len(e.places), 0), now
		e.leftUntil = 0 // this is newer
	}
}

// loaded takes an engine's word on its load, as at the start, when nobody can
// tell what those who are gone have left there. Prefill engines work it off;
// memory is believed for as long as answers take.
func (p *Planner) loaded(now clock.Millis, m Loaded) {
	e := p.engines[m.Engine]
	if e == nil {
		return
	}
	if e.Stage == directory.Prefill {
		unknown := max(m.Running+m.Waiting-len(e.reads), 0)
		e.leftUntil = now.Add(time.Duration(unknown) * prefillTime(foreignSize))
		return
	}
	e.left = max(m.Used-e.own(now), 0)
	e.leftUntil = now.Add(foreignFor)
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

// promptRead learns that a prefill engine has read a prompt.
func (p *Planner) promptRead(now clock.Millis, h *place, running int) {
	e := p.engines[h.prefill]
	if e == nil {
		return
	}
	e.readDone(now, h.id)
	e.foreign, e.foreignAt = max(running-1-len(e.reads), 0), now
}
