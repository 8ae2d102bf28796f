package broker

import (
	"net/netip"
	"slices"

	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/roster"
)

// tick advances the time of the local planner and reports whether requests are waiting. A
// planner without places to track is skipped: most instances never plan and need not follow
// the state of thousands of engines.
func (b *Broker) tick() (busy bool) {
	b.plannerMu.Lock()
	idle := b.planner.Idle()
	b.plannerMu.Unlock()
	if idle {
		v := b.Directory.View()
		b.Paces.Forget(func(engine string) bool { return v.Find(engine) != nil })
		return false
	}
	b.handleEvent(placement.Tick{})
	if b.Leaving() && b.hasSuccessor() {
		b.HandOver()
	}
	b.plannerMu.Lock()
	defer b.plannerMu.Unlock()
	return b.planner.Queued() > 0
}

// HandOver refuses what is queued at the local planner, so that other planners are asked. It is called at the exit, when
// the requests that are still queued would hear nothing.
func (b *Broker) HandOver() { b.handleEvent(placement.HandOver{}) }

// hasSuccessor reports whether another instance can be the planner of this zone.
func (b *Broker) hasSuccessor() bool {
	return slices.ContainsFunc(b.Roster.Ranked(b.Zone, rolePlanner), func(i roster.Instance) bool {
		return i.Name != b.Name && !i.Leaving && !b.isBackingOff(i)
	})
}

// ReportStageChange reports to the planners of a zone that an engine accepts nothing until its
// stage has changed.
func (b *Broker) ReportStageChange(zone, engine string) {
	b.notifyPlanners(zone, topicStageChange, placement.StageChange{Engine: engine})
}

// IsPlanner reports whether this instance is the current planner of its zone.
func (b *Broker) IsPlanner() bool {
	rank, known := b.Roster.Rank(b.Zone, rolePlanner, b.Name)
	return known && rank == 0
}

// decide asks the local planner and returns its first decision on this request. Decisions
// on other requests are sent to their instances.
func (b *Broker) decide(req placement.Request) placement.Decision {
	b.OnRequest(req)
	exhausted, next := b.Exhausted()
	req.Exclude = append(req.Exclude, exhausted...)
	first := placement.Decision{Queued: true} // a request repeated while it is queued
	found := false
	for _, answer := range b.applyEvent(req) {
		if answer.ID == req.ID && !found {
			first, found = answer.Decision, true
			continue
		}
		b.sendDecision(answer)
	}
	if r := first.Refusal; r != nil && r.Reason == placement.ReasonNoEndpoint && len(exhausted) > 0 {
		r.Reason, r.RetryAfter = placement.ReasonLimited, max(r.RetryAfter, next)
	}
	return first
}

// handleEvent applies an event to the local planner and sends the resulting decisions.
func (b *Broker) handleEvent(e placement.Event) {
	for _, answer := range b.applyEvent(e) {
		b.sendDecision(answer)
	}
}

// applyEvent applies an event to the local planner, after the latest view of the directory
// if that has changed.
func (b *Broker) applyEvent(e placement.Event) []placement.Answer {
	b.plannerMu.Lock()
	defer b.plannerMu.Unlock()
	now := b.Now()
	var answers []placement.Answer
	if v := b.Directory.View(); v != b.view {
		b.view = v
		answers = b.planner.Apply(now, placement.ViewUpdate{View: v})
	}
	answers = append(answers, b.planner.Apply(now, e)...)
	b.countAnswers(answers)
	if b.planner.Queued() > 0 {
		b.ticker.Wake()
	}
	return answers
}

// rememberOwner records the address of an instance that requests a place. Its decision may
// come later, and an instance whose entry in the store has expired, for example because
// only the store is unreachable for it, is no longer in the roster by then.
func (b *Broker) rememberOwner(owner string, address netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ownerAddresses[owner] = address
}

func (b *Broker) sendDecision(a placement.Answer) {
	if a.Owner == b.Name {
		b.deliver(a.Decision)
		return
	}
	b.mu.Lock()
	address, known := b.ownerAddresses[a.Owner]
	b.mu.Unlock()
	if known {
		b.send(address, topicDecision, a.Decision)
	}
}
