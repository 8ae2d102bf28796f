package experiment

import (
	"time"

	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/pkg/clock"
)

// request is one caller's.
type request struct {
	id       string
	arrived  clock.Millis
	prompt   int // tokens
	answer   int // tokens
	attempts int
	avoid    []string
	first    clock.Millis // when the first token came; 0: not yet
	read     int64        // prompt tokens that were read for it
}

// attempt is one send of a request.
type attempt struct {
	*request
	id    cell.AttemptID
	grant cell.Grant
	phase cell.Phase
	over  bool
}

// arrive is a caller's request.
func (w *world) arrive(r *request) {
	r.arrived = w.now
	w.outcome.asked(w.now)
	w.send(r)
}

// send makes a request's next attempt.
func (w *world) send(r *request) {
	r.attempts++
	a := &attempt{request: r, id: cell.NewAttemptID(r.id, r.attempts)}
	w.running[a.id] = a
	ask := cell.Ask{
		Cell: theCell, Attempt: a.id, Request: r.id, Owner: owner, Workspace: workspace, Kind: kind, Tokens: r.prompt,
		MaxTokens: w.plan.Load.Answer.Most, Budget: w.plan.Load.FirstToken - w.now.Sub(r.arrived),
		Avoid: r.avoid, Retry: r.attempts > 1,
	}
	w.after(way, func() { w.apply(ask) })
}

func (w *world) granted(g cell.Grant) {
	a := w.running[g.Attempt]
	if a == nil || a.over {
		return
	}
	a.grant, a.phase = g, cell.Granted
	w.after(way, func() { w.prefill(w.engines[g.Prefill], a) })
}

func (w *world) refused(f cell.Refusal) {
	a := w.running[f.Attempt]
	if a == nil || a.over {
		return
	}
	w.close(a)
	w.end(a.request, func(o *Outcome) { o.Refused++ })
}

// progress tells the dispatcher how far an attempt has come.
func (w *world) progress(a *attempt, p cell.Progress) {
	if a.over {
		return
	}
	a.phase = p.Phase
	p.Cell, p.Attempt = theCell, a.id
	w.after(way, func() { w.apply(p) })
}

// failed is an attempt that an endpoint lost or turned away. It is sent again
// if the caller has seen nothing of it and the plan allows another.
func (w *world) failed(a *attempt, at string) {
	if a.over {
		return
	}
	w.progress(a, cell.Progress{Phase: cell.Failed, At: at})
	w.close(a)
	r := a.request
	left := w.plan.Load.FirstToken - w.now.Sub(r.arrived)
	if r.first > 0 || r.attempts >= w.plan.Load.Attempts || left <= 0 {
		w.end(r, func(o *Outcome) { o.Failed++ })
		return
	}
	r.avoid = append(r.avoid, at)
	w.outcome.Retries++
	w.send(r)
}

func (w *world) token(a *attempt) {
	if a.first == 0 {
		a.first = w.now
	}
}

func (w *world) finished(a *attempt, took time.Duration) {
	if a.over {
		return
	}
	w.progress(a, cell.Progress{Phase: cell.Finished, Took: took, Tokens: a.answer})
	w.close(a)
	a.read -= int64(a.prompt) // this one was not read for nothing
	w.end(a.request, func(o *Outcome) { o.answered(a.request, w.plan.Load.FirstToken) })
}

func (w *world) close(a *attempt) {
	a.over = true
	delete(w.running, a.id)
}

// end counts a request's end, and what was read for nothing.
func (w *world) end(r *request, count func(*Outcome)) {
	w.open--
	count(w.outcome)
	w.outcome.WastedTokens += r.read
}

func (w *world) announce() {
	an := cell.Announce{Cell: theCell, Owner: owner}
	for _, id := range sortedKeys(w.running) {
		a := w.running[id]
		if a.phase == "" {
			an.Waiting = append(an.Waiting, id)
			continue
		}
		an.Running = append(an.Running, cell.Running{
			Attempt: id, Phase: a.phase, Prefill: a.grant.Prefill, Decode: a.grant.Decode, Workspace: workspace, Kind: kind, Tokens: a.prompt,
		})
	}
	w.after(way, func() { w.apply(an) })
}
