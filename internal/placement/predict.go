package placement

import (
	"time"

	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/pkg/clock"
)

func (p *Planner) readTime(service, engine string, prompt int) time.Duration {
	return p.paces.Likely(pace.Read, service, engine, prompt)
}

// turnTime is how long a prompt keeps a prefill engine from the next one.
func (p *Planner) turnTime(service, engine string, prompt int) time.Duration {
	return p.paces.Likely(pace.Turn, service, engine, prompt)
}

// beginTime is how long a decode engine takes to its first event, if another one
// reads the prompt of a request for both.
func (p *Planner) beginTime(a Ask, engine string) time.Duration {
	return p.paces.Likely(decodeAct(a.Part, true), a.Service, engine, a.Prompt)
}

// least is the shortest time from a place to the first event.
func (p *Planner) least(a Ask) time.Duration {
	if a.Part == ReadOnly || a.Part == Both {
		return p.readTime(a.Service, pace.AnyEngine, a.Prompt) + p.beginTime(a, pace.AnyEngine)
	}
	return p.beginTime(a, pace.AnyEngine)
}

func (p *Planner) length(a Ask) int {
	return p.paces.Length(a.Service, a.Route, a.Output, a.Most).Mean
}

// need is the memory that an answer takes from the start, in tokens.
func (p *Planner) need(a Ask) int { return a.Prompt + fromStart(p.length(a)) }

// usualSize is the memory of a request that this planner knows nothing of.
func (p *Planner) usualSize(e *engine) int {
	return p.usual(pace.Prompt, e) + p.usual(pace.Answer, e)
}

func (p *Planner) usual(act pace.Act, e *engine) int {
	if tokens, known := p.paces.Usual(act, e.Service); known {
		return tokens
	}
	if act == pace.Prompt {
		return e.capacity / unseenPart
	}
	return 0
}

// usualTurn is the time of a prompt that this planner knows nothing of.
func (p *Planner) usualTurn(e *engine) time.Duration {
	return p.turnTime(e.Service, e.ID, p.usual(pace.Prompt, e))
}

// foreignFor is how long an engine's load report is believed.
func (p *Planner) foreignFor(e *engine) time.Duration {
	answer := time.Duration(p.usual(pace.Answer, e)) * p.paces.Step(e.Service, e.ID, len(e.places))
	return max(time.Duration(foreignPart*float64(answer)), foreignLeast)
}

// foreignLeast bounds foreignFor from below while no answer has ended yet; some
// engines' reports are a second old when they come.
const foreignLeast = time.Second

// Learn takes what an entry saw of an answer; running is how many requests the
// decode engine ran then, as far as is known.
func Learn(m *pace.Model, now clock.Millis, a Ask, g Grant, running int, s Seen) {
	learn := func(act pace.Act, engine string, size, outcome float64) {
		m.Learn(now, pace.Observation{Service: a.Service, Engine: engine, Act: act, Size: size, Outcome: outcome})
	}
	learn(decodeAct(a.Part, g.Prefill != ""), g.Decode, float64(a.Prompt), clock.InMillis(s.Begin))
	if s.Tokens >= tokensLeast {
		learn(pace.Step, g.Decode, float64(running), clock.InMillis(s.Decoding)/float64(s.Tokens))
	}
	if s.Ended == 0 {
		return
	}
	learn(pace.Answer, a.Route, 0, float64(s.Ended))
	learn(pace.Prompt, a.Route, 0, float64(a.Prompt))
	if a.Output > 0 {
		learn(pace.Length, a.Route, float64(a.Output), float64(s.Ended))
	}
}

// tokensLeast is how many tokens tell their time: events come in bunches.
const tokensLeast = 32
