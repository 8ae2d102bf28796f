package placement

import (
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// waiting is a request that waits for room.
type waiting struct {
	ask   Ask
	need  int          // tokens of memory, as predicted when it came
	until clock.Millis // it can be in time if it gets its place by then
	end   clock.Millis // it is refused then
}

// late says whether the request cannot be in time any more.
func (w waiting) late(now clock.Millis) bool { return w.ask.Late || now >= w.until }

// Idle says whether there is nothing that time could change.
func (p *Planner) Idle() bool { return len(p.queue)+len(p.places)+len(p.over) == 0 }

// Queued is the number of requests that wait.
func (p *Planner) Queued() int { return len(p.queue) }

// wait lets a request wait, if it will probably get room before it has to be
// refused; else it says false.
func (p *Planner) wait(now clock.Millis, a Ask, room time.Duration) bool {
	patience := a.Budget - p.least(a)
	hopeless := room > unsure*patience
	if !a.Patient || hopeless && room > a.Hold {
		return false
	}
	w := waiting{ask: a, need: p.need(a), until: now.Add(max(patience, 0)), end: now.Add(max(patience, a.Hold, 0))}
	if hopeless {
		w.until = now
	}
	p.queue = append(p.queue, w)
	return true
}

// serveQueue grants what waits: first what can still be in time, in order, then
// what is late, which gets what the others leave. What has waited too long is
// refused. A late answer is worth something to its caller, and a caller that is refused
// comes back into the same burst.
func (p *Planner) serveQueue(now clock.Millis) {
	if len(p.queue) == 0 {
		return // as after most events
	}
	blocked := map[string]bool{} // services for which somebody waits who can be in time
	p.serveWaiting(now, func(w waiting) bool { return !w.late(now) }, blocked)
	p.serveWaiting(now, func(w waiting) bool { return w.late(now) && !blocked[w.ask.Service] }, nil)
	kept := p.queue[:0]
	for _, w := range p.queue {
		if now < w.end {
			kept = append(kept, w)
			continue
		}
		wait, _ := p.predict(now, w.ask)
		p.refuse(w.ask, ReasonFull, wait)
	}
	p.queue = kept
}

// serveWaiting grants those of the queue that may be granted and fit, and notes
// the services of those that do not.
func (p *Planner) serveWaiting(now clock.Millis, may func(waiting) bool, blocked map[string]bool) {
	failed := failures{}
	kept := p.queue[:0]
	for _, w := range p.queue {
		if p.over[w.ask.ID] != 0 {
			continue
		}
		if !may(w) {
			kept = append(kept, w)
			continue
		}
		w.ask.Late = w.late(now)
		if !failed.cover(w) {
			reason := p.place(now, w.ask)
			if reason == "" {
				continue
			}
			failed.note(w, reason)
		}
		if blocked != nil {
			blocked[w.ask.Service] = true
		}
		kept = append(kept, w)
	}
	p.queue = kept
}

// inTimeWaits says whether somebody waits for a service who can be in time.
func (p *Planner) inTimeWaits(now clock.Millis, service string) bool {
	for _, w := range p.queue {
		if w.ask.Service == service && !w.late(now) {
			return true
		}
	}
	return false
}
