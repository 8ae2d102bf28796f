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
	capacity  int // tokens
	slots     int
	full      clock.Millis             // nothing is given to it until then
	failed    clock.Millis             // something is given to it before only if all failed
	reads     map[string]time.Duration // prefills given to it and not finished
	readSince clock.Millis             // when the first of them began
	foreign   int                      // requests there that this planner did not place
	foreignAt clock.Millis             // when that was learned
	left      int                      // decode: tokens that others left there
	leftUntil clock.Millis             // until when; prefill: until it has read what others left there
	places    map[string]*place
}

// read gives a prompt to a prefill engine.
func (e *engine) read(now clock.Millis, a Ask) {
	if len(e.reads) == 0 {
		e.readSince = now
	}
	e.reads[a.ID] = prefillTime(a.Prompt)
}

// backlog predicts when a prefill engine has read what it was given, here and
// by others.
func (e *engine) backlog(now clock.Millis) time.Duration {
	var own time.Duration
	for _, work := range e.reads {
		own += work
	}
	done := now.Sub(e.readSince)
	others := time.Duration(0)
	if now.Sub(e.foreignAt) < foreignReadFor {
		others = time.Duration(e.foreign) * prefillTime(foreignSize)
	}
	left := max(e.leftUntil.Sub(now), 0)
	return max(own+others-done, max(own-done, 0)+left, 0)
}

// serves says whether an engine may ever be used for a request.
func (e *engine) serves(a Ask) bool {
	return e.Service == a.Service && e.State == directory.Ready && !slices.Contains(a.Exclude, e.ID)
}

// own is what this planner's places are reckoned to hold, in tokens.
func (e *engine) own(now clock.Millis) int {
	total := 0
	for _, h := range e.places {
		made := int(now.Sub(h.granted) / stepTime)
		total += h.prompt + max(expected(h.output), min(made, 2*h.output))
	}
	return total
}

// used is what an engine is reckoned to hold, in tokens.
func (e *engine) used(now clock.Millis) int {
	total := e.own(now)
	if e.leftUntil > now {
		return total + e.left
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

func expected(output int) int { return int(growth * float64(output)) }

// Expected guesses the length of an answer from the most that it may have.
func Expected(most int) int { return int(expectedPart * float64(most)) }

func prefillTime(prompt int) time.Duration {
	return prefillSetup + time.Duration(float64(prompt)/tokensPerMS*float64(time.Millisecond))
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

// readDone takes a prompt off a prefill engine; the next one begins.
func (e *engine) readDone(now clock.Millis, id string) {
	if _, ok := e.reads[id]; !ok {
		return
	}
	delete(e.reads, id)
	e.readSince = now
}
