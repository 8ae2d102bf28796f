package placement

import (
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/pkg/clock"
)

// handleProgress compares the number of running requests in an engine's load report
// with this planner's allocations. More run there if another planner assigns the same
// engine, for example during a network partition between instances.
func (p *Planner) handleProgress(now clock.Millis, m Progress) {
	a := p.allocations[m.ID]
	if a == nil {
		return
	}
	if m.Prefilled {
		p.prefillDone(now, a, m)
		return
	}
	if e := p.engines[a.grant.Decode]; e != nil {
		e.externalRequests, e.externalAt = max(m.Running-len(e.allocations), 0), now
		e.leftoverUntil = 0 // the report is newer
		e.rejections = 0
		e.recordSuccess()
	}
}

// handleLoadReport takes an engine's load report, which is requested at start-up, when
// allocations of instances that are gone are unknown. Work that they left at prefill
// engines is assumed to be worked off one prompt at a time; memory that they left at
// decode engines counts for externalLoadLifetime, half the time of a typical answer but
// at least a second.
func (p *Planner) handleLoadReport(now clock.Millis, m LoadReport) {
	e := p.engines[m.Engine]
	if e == nil {
		return
	}
	if e.Stage == directory.Prefill {
		unknown := max(m.Running+m.Waiting-len(e.prefills), 0)
		e.leftoverUntil = now.Add(time.Duration(unknown) * p.typicalPrefillInterval(e))
		return
	}
	e.leftoverTokens = max(m.UsedTokens-e.ownTokens(now), 0)
	e.leftoverUntil = now.Add(p.externalLoadLifetime(e))
}

func (p *Planner) handleRelease(now clock.Millis, r Release) {
	p.ownerSeenAt[r.Owner] = now
	p.ended[r.ID] = now
	if a := p.allocations[r.ID]; a != nil {
		if r.Observed != nil {
			p.learnAnswer(now, a, *r.Observed)
		}
		p.removeAllocation(now, a)
	}
	if e := p.engines[r.FullEngine]; e != nil {
		e.recordRejection(now, p.usedTokens(now, e))
	}
	if e := p.engines[r.FailedEngine]; e != nil {
		e.recordFailure(now)
	}
}

func (p *Planner) removeAllocation(now clock.Millis, a *allocation) {
	delete(p.allocations, a.req.ID)
	if s := p.shares[a.req.Service]; s != nil && a.grant.Decode != "" {
		s.Add(a.req.Workspace, -a.tokens())
	}
	if e := p.engines[a.grant.Prefill]; e != nil {
		e.endPrefill(now, a.req.ID)
	}
	if e := p.engines[a.grant.Decode]; e != nil {
		delete(e.allocations, a.req.ID)
	}
}

// handleAnnouncement takes a gateway's list of allocations. Unknown ones were granted
// by a previous planner and are adopted; allocations missing from the list are freed.
func (p *Planner) handleAnnouncement(now clock.Millis, a Announcement) {
	p.ownerSeenAt[a.Owner] = now
	listed := map[string]bool{}
	for _, held := range a.Allocations {
		listed[held.ID] = true
		e := p.engines[held.Decode]
		if e == nil || p.allocations[held.ID] != nil || p.ended[held.ID] != 0 {
			continue
		}
		p.addAllocation(e, p.adoptedAllocation(now, e, a.Owner, held))
	}
	for _, held := range p.allocations {
		if held.req.Owner == a.Owner && !listed[held.req.ID] && now.Sub(held.grantedAt) > grantGrace {
			p.ended[held.req.ID] = now
			p.removeAllocation(now, held)
		}
	}
}

func (p *Planner) expire(now clock.Millis) {
	for _, a := range p.allocations {
		if now.Sub(max(p.ownerSeenAt[a.req.Owner], a.grantedAt)) > ownerExpiry {
			p.removeAllocation(now, a)
		}
	}
	for id, at := range p.ended {
		if now.Sub(at) > endedAttemptRetention {
			delete(p.ended, id)
		}
	}
}

// adoptedAllocation returns an allocation that a previous planner granted.
func (p *Planner) adoptedAllocation(now clock.Millis, e *engine, owner string, h HeldAllocation) *allocation {
	granted := now.Add(-h.Running)
	return &allocation{
		req:       Request{ID: h.ID, Owner: owner, Service: e.Service, Prompt: h.Prompt, Rank: h.Rank, Workspace: h.Workspace},
		grant:     Grant{Decode: h.Decode, ExpectedTokens: h.ExpectedTokens},
		grantedAt: granted, firstEventAt: granted,
		tokenTime: p.model.TokenTime(e.Service, e.ID, len(e.allocations)),
	}
}

// learnAnswer updates the model from a gateway's timings of an answer, if this planner
// knows the request.
func (p *Planner) learnAnswer(now clock.Millis, a *allocation, o Observation) {
	e := p.engines[a.grant.Decode]
	if e != nil && a.req.Route != "" {
		Learn(p.model, now, a.req, a.grant, len(e.allocations), o)
	}
}

// prefillDone handles the end of a prefill.
func (p *Planner) prefillDone(now clock.Millis, a *allocation, m Progress) {
	e := p.engines[a.grant.Prefill]
	if e == nil {
		return
	}
	p.learnPrefill(now, e, a.req.Prompt, m.Took)
	e.endPrefill(now, a.req.ID)
	e.lastPrefillEnd = now
	e.rejections = 0
	e.recordSuccess()
	e.externalRequests, e.externalAt = max(m.Running-1-len(e.prefills), 0), now
}

// learnPrefill learns the prefill time from a prompt that had the engine to itself, and
// the interval between prompts from one that queued behind another. Anything in between
// shows neither.
func (p *Planner) learnPrefill(now clock.Millis, e *engine, prompt int, took time.Duration) {
	gap := now.Sub(e.lastPrefillEnd)
	o := pace.Observation{Service: e.Service, Engine: e.ID, Size: float64(prompt)}
	switch {
	case gap >= took && len(e.prefills) == 1:
		o.Quantity, o.Outcome = pace.PrefillTime, clock.InMillis(took)
	case took-gap >= p.prefillTime(e.Service, e.ID, 0):
		o.Quantity, o.Outcome = pace.PrefillInterval, clock.InMillis(gap)
	default:
		return
	}
	p.model.Learn(now, o)
}
