package experiment

import (
	"time"

	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/pkg/clock"
)

// request is a caller's request over all its attempts.
type request struct {
	id           string
	arrived      clock.Millis
	prompt       int // tokens
	answer       int // tokens
	attempts     int
	avoid        []string     // endpoints at which earlier attempts failed
	firstToken   clock.Millis // when the first token arrived; 0 if none has
	wastedTokens int64        // prompt tokens processed in attempts that have not finished
}

// attempt is one attempt at serving a request.
type attempt struct {
	*request
	id    cell.AttemptID
	grant cell.Grant
	phase cell.Phase
	ended bool
}

// arrive accepts a caller's request and sends its first attempt.
func (s *simulation) arrive(r *request) {
	r.arrived = s.now
	s.outcome.recordArrival(s.now)
	s.sendAttempt(r)
}

// sendAttempt starts a request's next attempt: it asks the dispatcher for a grant.
func (s *simulation) sendAttempt(r *request) {
	r.attempts++
	a := &attempt{request: r, id: cell.NewAttemptID(r.id, r.attempts)}
	s.running[a.id] = a
	attemptRequest := cell.AttemptRequest{
		Cell: emulatedCell, Attempt: a.id, Request: r.id, Owner: owner, Workspace: workspace, Kind: kind, Tokens: r.prompt,
		MaxTokens: s.plan.Load.Answer.Max, Budget: s.plan.Load.FirstToken - s.now.Sub(r.arrived),
		Avoid: r.avoid, Retry: r.attempts > 1,
	}
	s.after(messageDelay, func() { s.apply(attemptRequest) })
}

// granted handles a grant: the attempt goes to its prefill engine.
func (s *simulation) granted(g cell.Grant) {
	a := s.running[g.Attempt]
	if a == nil || a.ended {
		return
	}
	a.grant, a.phase = g, cell.Granted
	s.after(messageDelay, func() { s.prefill(s.engines[g.Prefill], a) })
}

// refused handles a refusal, which ends the request.
func (s *simulation) refused(f cell.Refusal) {
	a := s.running[f.Attempt]
	if a == nil || a.ended {
		return
	}
	s.closeAttempt(a)
	s.endRequest(a.request, func(o *Outcome) { o.Refused++ })
}

// progress reports the phase of an attempt to the dispatcher.
func (s *simulation) progress(a *attempt, p cell.Progress) {
	if a.ended {
		return
	}
	a.phase = p.Phase
	p.Cell, p.Attempt = emulatedCell, a.id
	s.after(messageDelay, func() { s.apply(p) })
}

// attemptFailed handles an attempt that an endpoint lost or rejected. The request is
// retried if the caller has received no token, the plan allows another attempt and the
// limit for the first token has not passed.
func (s *simulation) attemptFailed(a *attempt, at string) {
	if a.ended {
		return
	}
	s.progress(a, cell.Progress{Phase: cell.Failed, FailedEndpoint: at})
	s.closeAttempt(a)
	r := a.request
	left := s.plan.Load.FirstToken - s.now.Sub(r.arrived)
	if r.firstToken > 0 || r.attempts >= s.plan.Load.Attempts || left <= 0 {
		s.endRequest(r, func(o *Outcome) { o.Failed++ })
		return
	}
	r.avoid = append(r.avoid, at)
	s.outcome.Retries++
	s.sendAttempt(r)
}

// tokenGenerated records when the first token of a request was generated.
func (s *simulation) tokenGenerated(a *attempt) {
	if a.firstToken == 0 {
		a.firstToken = s.now
	}
}

// attemptFinished handles an attempt whose answer is complete; it ends the request.
func (s *simulation) attemptFinished(a *attempt, took time.Duration) {
	if a.ended {
		return
	}
	s.progress(a, cell.Progress{Phase: cell.Finished, Duration: took, Tokens: a.answer})
	s.closeAttempt(a)
	a.wastedTokens -= int64(a.prompt) // the prompt of the successful attempt is not wasted
	s.endRequest(a.request, func(o *Outcome) { o.recordAnswer(a.request, s.plan.Load.FirstToken) })
}

// closeAttempt marks an attempt as ended.
func (s *simulation) closeAttempt(a *attempt) {
	a.ended = true
	delete(s.running, a.id)
}

// endRequest records a request's result and the prompt tokens wasted on it.
func (s *simulation) endRequest(r *request, record func(*Outcome)) {
	s.unfinished--
	record(s.outcome)
	s.outcome.WastedTokens += r.wastedTokens
}

// announce sends the dispatcher all attempts of the entry: those that wait for a grant
// and those that run.
func (s *simulation) announce() {
	announcement := cell.Announcement{Cell: emulatedCell, Owner: owner}
	for _, id := range sortedKeys(s.running) {
		a := s.running[id]
		if a.phase == "" {
			announcement.Waiting = append(announcement.Waiting, id)
			continue
		}
		announcement.Running = append(announcement.Running, cell.AnnouncedAttempt{
			Attempt: id, Phase: a.phase, Prefill: a.grant.Prefill, Decode: a.grant.Decode, Workspace: workspace, Kind: kind, Tokens: a.prompt,
		})
	}
	s.after(messageDelay, func() { s.apply(announcement) })
}
