package placement

import (
	"time"

	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/pkg/clock"
)

func (p *Planner) prefillTime(service, engine string, prompt int) time.Duration {
	return p.model.Median(pace.PrefillTime, service, engine, prompt)
}

// prefillInterval predicts how long a prompt delays the next one at a prefill engine.
func (p *Planner) prefillInterval(service, engine string, prompt int) time.Duration {
	return p.model.Median(pace.PrefillInterval, service, engine, prompt)
}

// decodeStartTime predicts a decode engine's time to the first event, provided that a
// request for both stages is prefilled by another engine.
func (p *Planner) decodeStartTime(req Request, engine string) time.Duration {
	return p.model.Median(firstEventQuantity(req.Part, true), req.Service, engine, req.Prompt)
}

// minTimeToFirstEvent predicts the time from a grant to the first event without
// queueing.
func (p *Planner) minTimeToFirstEvent(req Request) time.Duration {
	if req.Part == PrefillOnly || req.Part == Both {
		return p.prefillTime(req.Service, pace.AnyEngine, req.Prompt) + p.decodeStartTime(req, pace.AnyEngine)
	}
	return p.decodeStartTime(req, pace.AnyEngine)
}

func (p *Planner) answerTokens(req Request) int {
	return p.model.AnswerLength(req.Service, req.Route, req.ExpectedTokens, req.MaxTokens).Mean
}

// neededTokens is the KV memory that a request counts for from its start.
func (p *Planner) neededTokens(req Request) int {
	return req.Prompt + initialTokens(p.answerTokens(req))
}

// typicalTokens is the assumed KV memory of a request of another planner.
func (p *Planner) typicalTokens(e *engine) int {
	return p.typicalLength(pace.PromptTokens, e) + p.typicalLength(pace.AnswerTokens, e)
}

func (p *Planner) typicalLength(quantity pace.Quantity, e *engine) int {
	if tokens, known := p.model.Typical(quantity, e.Service); known {
		return tokens
	}
	if quantity == pace.PromptTokens {
		return e.capacity / unknownPromptDivisor
	}
	return 0
}

// typicalPrefillInterval is the assumed prefill interval of a prompt of another
// planner.
func (p *Planner) typicalPrefillInterval(e *engine) time.Duration {
	return p.prefillInterval(e.Service, e.ID, p.typicalLength(pace.PromptTokens, e))
}

// externalLoadLifetime is how long a decode engine's load report is used.
func (p *Planner) externalLoadLifetime(e *engine) time.Duration {
	answer := time.Duration(p.typicalLength(pace.AnswerTokens, e)) * p.model.TokenTime(e.Service, e.ID, len(e.allocations))
	return max(time.Duration(externalLoadAnswerFraction*float64(answer)), minExternalLoadLifetime)
}

// minExternalLoadLifetime is the lower bound of externalLoadLifetime while no answer
// has ended yet; reports of some engines are already a second old on arrival.
const minExternalLoadLifetime = time.Second

// Learn updates the model from a gateway's timings of an answer. running is the number
// of requests that the decode engine ran at the time, as far as known.
func Learn(m *pace.Model, now clock.Millis, req Request, g Grant, running int, o Observation) {
	learn := func(quantity pace.Quantity, engine string, size, outcome float64) {
		m.Learn(now, pace.Observation{Service: req.Service, Engine: engine, Quantity: quantity, Size: size, Outcome: outcome})
	}
	learn(firstEventQuantity(req.Part, g.Prefill != ""), g.Decode, float64(req.Prompt), clock.InMillis(o.FirstEventTime))
	if o.Tokens >= minTimedTokens {
		learn(pace.TokenTime, g.Decode, float64(running), clock.InMillis(o.DecodeTime)/float64(o.Tokens))
	}
	if o.TotalTokens == 0 {
		return
	}
	learn(pace.AnswerTokens, req.Route, 0, float64(o.TotalTokens))
	learn(pace.PromptTokens, req.Route, 0, float64(req.Prompt))
	if req.ExpectedTokens > 0 {
		learn(pace.AnswerLength, req.Route, float64(req.ExpectedTokens), float64(o.TotalTokens))
	}
}

// minTimedTokens is the minimum length from which a time per token is learned: events
// arrive in bursts.
const minTimedTokens = 32
