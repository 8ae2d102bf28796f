package placement

import (
	"github.com/trailshed/trailshed/pkg/clock"
)

type waiting struct {
	ask   Ask
	until clock.Millis
}

// Queued is the number of requests that wait.
func (p *Planner) Queued() int { return len(p.queue) }

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
			p.refuse(w.ask, ReasonFull, wait)
		default:
			kept = append(kept, w)
		}
	}
	p.queue = kept
}
