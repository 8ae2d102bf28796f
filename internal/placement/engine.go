package placement

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// engine is one endpoint of the zone.
type engine struct {
	directory.Endpoint
	joined     clock.Millis // when this planner learned of it
	seen       int          // number of the view that told of it last
	turn       uint64       // its place among equals at this planner
	capacity   int          // tokens
	slots      int
	switchTime time.Duration
	full       clock.Millis             // nothing is given to it until then
	failed     clock.Millis             // something is given to it before only if others have no room
	failures   float64                  // running rate of failed requests
	reads      map[string]time.Duration // prefills given to it and not finished
	readSince  clock.Millis             // when the first of them began
	lastRead   clock.Millis             // when it had read the latest prompt
	ownRead    clock.Millis             // decode: until when it reads a prompt itself
	foreign    int                      // requests there that this planner did not place
	foreignAt  clock.Millis             // when that was learned
	left       int                      // decode: tokens that others left there
	leftUntil  clock.Millis             // until when; prefill: until it has read what others left there
	places     map[string]*place
}

// read gives a prompt to a prefill engine.
func (e *engine) read(now clock.Millis, id string, work time.Duration) {
	if len(e.reads) == 0 {
		e.readSince = now
	}
	if e.reads == nil {
		e.reads = map[string]time.Duration{}
	}
	e.reads[id] = work
}

// serves says whether an engine may ever be used for a request.
func (e *engine) serves(a Ask) bool {
	return e.Service == a.Service && e.State == directory.Ready && !slices.Contains(a.Exclude, e.ID)
}

// own is what this planner's places are estimated to hold, in tokens.
func (e *engine) own(now clock.Millis) int {
	total := 0
	for _, h := range e.places {
		made := int(max(now.Sub(h.begins), 0) / max(h.step, time.Microsecond))
		total += h.ask.Prompt + max(fromStart(h.grant.Length), min(made, 2*h.grant.Length))
	}
	return total
}

// fromStart is the part of an answer that is estimated as memory from its start.
func fromStart(length int) int { return int(growth * float64(length)) }

// readDone takes a prompt off a prefill engine; the next one begins.
func (e *engine) readDone(now clock.Millis, id string) {
	if _, ok := e.reads[id]; !ok {
		return
	}
	delete(e.reads, id)
	e.readSince = now
}

// backlog predicts when a prefill engine has read what it was given, here and
// by others.
func (p *Planner) backlog(now clock.Millis, e *engine) time.Duration {
	var own time.Duration
	for _, work := range e.reads {
		own += work
	}
	done := now.Sub(e.readSince)
	others := time.Duration(0)
	if e.foreign > 0 {
		if usual := p.usualTurn(e); now.Sub(e.foreignAt) < foreignReads*usual {
			others = time.Duration(e.foreign) * usual
		}
	}
	left := max(e.leftUntil.Sub(now), 0)
	return max(own+others-done, max(own-done, 0)+left, 0)
}

// used is what an engine is estimated to hold, in tokens.
func (p *Planner) used(now clock.Millis, e *engine) int {
	total := e.own(now)
	if e.leftUntil > now {
		return total + e.left
	}
	if e.foreign == 0 || now.Sub(e.foreignAt) > p.foreignFor(e) {
		return total
	}
	size := p.usualSize(e)
	if len(e.places) > 0 {
		size = total / len(e.places)
	}
	return total + e.foreign*size
}

// roomAfter is how long until the decode engines that may serve a request have
// so much memory free, all together; false if there are no such engines. Running
// answers are taken to free theirs at the rate at which they are predicted to
// end, since when a single one ends is mostly chance.
func (p *Planner) roomAfter(now clock.Millis, a Ask, need int) (wait time.Duration, found bool) {
	perSecond := 0.0
	for _, e := range p.engines {
		if !e.serves(a) || e.Stage == directory.Prefill {
			continue
		}
		found = true
		need -= max(e.capacity-p.used(now, e), 0)
		for _, h := range e.places {
			perSecond += float64(h.size()) / max(h.endsIn(now), endLeast).Seconds()
		}
	}
	switch {
	case need <= 0:
		return 0, found
	case perSecond == 0:
		return comeBackMost, found
	default:
		return time.Duration(float64(need) / perSecond * float64(time.Second)), found
	}
}

// endLeast is how soon an answer is taken to end at the soonest.
const endLeast = 50 * time.Millisecond
