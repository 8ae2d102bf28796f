package placement

import (
	"math"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/pkg/clock"
)

// maxBudgetFraction is the fraction of a request's remaining time that the prediction
// for a prefill engine may use; beyond it the request is late too often. In a burst
// nine in ten first events come within 0.2 of a target of 0.9 s from their predicted
// time, and most of the others follow a lost answer.
const maxBudgetFraction = 0.75

// chooseSelfPrefiller returns a decode engine that should prefill the prompt itself
// because the prefill engines are too busy for the request to be in time; prefill is
// the one that is free the soonest, and reason says why there is none. It returns nil
// if there is no such engine or none is needed. A burst fills prefill engines at once
// and decode memory only over the duration of an answer, so decode engines have spare
// capacity at first.
//
// An engine prefills one prompt at a time itself. Its running answers get one token for
// each chunk of the prefill, and two prefills at once would stretch the gaps between
// tokens beyond what callers accept.
func (p *Planner) chooseSelfPrefiller(now clock.Millis, req Request, h health, decode, prefill *engine, reason string) *engine {
	if req.Part != Both || req.Late || prefill == nil && reason != ReasonBusy {
		return nil
	}
	separate := time.Duration(math.MaxInt64)
	if prefill != nil {
		separate = p.prefillBacklog(now, prefill) + p.prefillTime(req.Service, prefill.ID, req.Prompt) + p.decodeStartTime(req, decode.ID)
		if separate <= time.Duration(maxBudgetFraction*float64(req.Budget)) {
			return nil
		}
	}
	self, _ := p.chooseDecoder(now, req, h, func(e *engine) bool { return e.prefillingUntil <= now })
	if self == nil {
		return nil
	}
	combined := p.model.Median(pace.LocalPrefillTime, req.Service, self.ID, req.Prompt)
	if combined >= separate || combined > req.Budget {
		return nil
	}
	return self
}

// minSelfPrefillWait is how long until some decode engine is free to prefill a prompt.
func (p *Planner) minSelfPrefillWait(now clock.Millis, req Request) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, e := range p.engines {
		if e.Stage != directory.Prefill && e.canServe(req) {
			least = min(least, max(e.prefillingUntil.Sub(now), 0))
		}
	}
	return least
}
