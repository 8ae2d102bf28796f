package broker

import (
	"net/netip"

	"github.com/trailshed/trailshed/internal/placement"
)

// tick lets time pass in the own planner; it is busy while requests wait. One that has
// given out nothing is left alone: most instances never plan, and need not follow what
// becomes of thousands of engines.
func (b *Broker) tick() (busy bool) {
	b.plannerMu.Lock()
	idle := b.planner.Idle()
	b.plannerMu.Unlock()
	if idle {
		v := b.Directory.View()
		b.Paces.Forget(func(engine string) bool { return v.Find(engine) != nil })
		return false
	}
	b.apply(placement.Tick{})
	b.plannerMu.Lock()
	defer b.plannerMu.Unlock()
	return b.planner.Queued() > 0
}

// Close tells the planners of a zone that an engine takes nothing until its
// stage has changed.
func (b *Broker) Close(zone, engine string) {
	b.inform(zone, topicClosed, placement.Closed{Engine: engine})
}

// Plans says whether this instance is the first planner of its zone.
func (b *Broker) Plans() bool {
	place, known := b.Roster.Rank(b.Zone, rolePlanner, b.Name)
	return known && place == 0
}

// decide asks the own planner and returns its first answer. Whatever else the ask
// brings about is passed on.
func (b *Broker) decide(a placement.Ask) placement.Verdict {
	b.Saw(a)
	spent, next := b.Spent()
	a.Exclude = append(a.Exclude, spent...)
	first := placement.Verdict{Queued: true} // if it is asked again while it waits
	found := false
	for _, answer := range b.step(a) {
		if answer.ID == a.ID && !found {
			first, found = answer.Verdict, true
			continue
		}
		b.pass(answer)
	}
	if r := first.Refusal; r != nil && r.Reason == placement.ReasonNoEndpoint && len(spent) > 0 {
		r.Reason, r.After = placement.ReasonLimited, max(r.After, next)
	}
	return first
}

// apply feeds the own planner and passes its answers on.
func (b *Broker) apply(e placement.Event) {
	for _, answer := range b.step(e) {
		b.pass(answer)
	}
}

func (b *Broker) step(e placement.Event) []placement.Answer {
	b.plannerMu.Lock()
	defer b.plannerMu.Unlock()
	now := b.Now()
	var answers []placement.Answer
	if v := b.Directory.View(); v != b.view {
		b.view = v
		answers = b.planner.Apply(now, placement.Known{View: v})
	}
	answers = append(answers, b.planner.Apply(now, e)...)
	b.Scope.Gauge("placement_queue").Update(float64(b.planner.Queued()))
	if b.planner.Queued() > 0 {
		b.ticker.Wake()
	}
	return answers
}

// asked notes where an entry that asks is reached. Its verdict may come later,
// and an instance whose entry in the store has lapsed, as when it is cut off
// from the store only, is in no roster by then.
func (b *Broker) asked(owner string, address netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.askers[owner] = address
}

func (b *Broker) pass(a placement.Answer) {
	if a.Owner == b.Name {
		b.deliver(a.Verdict)
		return
	}
	b.mu.Lock()
	address, known := b.askers[a.Owner]
	b.mu.Unlock()
	if known {
		b.send(address, topicVerdict, a.Verdict)
	}
}
