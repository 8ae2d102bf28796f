package placement

import (
	"time"

	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/pkg/clock"
)

func (p *Planner) prefillTime(service, engine string, prompt int) time.Duration {
	return p.model.Likely(pace.Read, service, engine, prompt)
}

// prefillInterval predicts how long a prompt delays the next one at a prefill engine.
func (p *Planner) prefillInterval(service, engine string, prompt int) time.Duration {
	return p.model.Likely(pace.Turn, service, engine, prompt)
}

// decodeStartTime predicts a decode engine's time to the first event, provided that a
// request for both stages is prefilled by another engine.
func (p *Planner) decodeStartTime(req Ask, engine string) time.Duration {
	return p.model.Likely(firstEventQuantity(req.Part, true), req.Service, engine, req.Prompt)
}

// minTimeToFirstEvent predicts the time from a grant to the first event without
// queueing.
func (p *Planner) minTimeToFirstEvent(req Ask) time.Duration {
	if req.Part == ReadOnly || req.Part == Both {
		return p.prefillTime(req.Service, pace.AnyEngine, req.Prompt) + p.decodeStartTime(req, pace.AnyEngine)
	}
	return p.decodeStartTime(req, pace.AnyEngine)
}

func (p *Planner) answerTokens(req Ask) int {
	return p.model.Length(req.Service, req.Route, req.Output, req.Most).Mean
}

// neededTokens is the KV memory that a request counts for from its start.
func (p *Planner) neededTokens(req Ask) int { return req.Prompt + initialTokens(p.answerTokens(req)) }

// typicalTokens is the assumed KV memory of a request of another planner.
func (p *Planner) typicalTokens(e *engine) int {
	return p.typicalLength(pace.Prompt, e) + p.typicalLength(pace.Answer, e)
}

func (p *Planner) typicalLength(quantity pace.Act, e *engine) int {
	if tokens, known := p.model.Usual(quantity, e.Service); known {
		return tokens
	}
	if quantity == pace.Prompt {
		return e.capacity / unknownPromptDivisor
	}
	return 0
}

// typicalPrefillInterval is the assumed prefill interval of a prompt of another
// planner.
func (p *Planner) typicalPrefillInterval(e *engine) time.Duration {
	return p.prefillInterval(e.Service, e.ID, p.typicalLength(pace.Prompt, e))
}

// externalLoadLifetime is how long a decode engine's load report is used.
func (p *Planner) externalLoadLifetime(e *engine) time.Duration {
	answer := time.Duration(p.typicalLength(pace.Answer, e)) * p.model.Step(e.Service, e.ID, len(e.allocations))
	return max(time.Duration(externalLoadAnswerFraction*float64(answer)), minExternalLoadLifetime)
}

// minExternalLoadLifetime is the lower bound of externalLoadLifetime while no answer
// has ended yet; reports of some engines are already a second old on arrival.
const minExternalLoadLifetime = time.Second

// Learn updates the model from a gateway's timings of an answer. running is the number
// of requests that the decode engine ran at the time, as far as known.
func Learn(m *pace.Model, now clock.Millis, req Ask, g Grant, running int, s Seen) {
	learn := func(quantity pace.Act, engine string, size, outcome float64) {
		m.Learn(now, pace.Observation{Service: req.Service, Engine: engine, Act: quantity, Size: size, Outcome: outcome})
	}
	learn(firstEventQuantity(req.Part, g.Prefill != ""), g.Decode, float64(req.Prompt), clock.InMillis(s.Begin))
	if s.Tokens >= minTimedTokens {
		learn(pace.Step, g.Decode, float64(running), clock.InMillis(s.Decoding)/float64(s.Tokens))
	}
	if s.Ended == 0 {
		return
	}
	learn(pace.Answer, req.Route, 0, float64(s.Ended))
	learn(pace.Prompt, req.Route, 0, float64(req.Prompt))
	if req.Output > 0 {
		learn(pace.Length, req.Route, float64(req.Output), float64(s.Ended))
	}
}

// minTimedTokens is the minimum length from which a time per token is learned: events
// arrive in bursts.
const minTimedTokens = 32
