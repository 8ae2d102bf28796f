package broker

import (
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/roster"
)

// figuresPeriod is the number of announcements, two seconds' worth, of which one carries
// what a planner has learned of the engines' speed. A planner that has just started
// predicts with it until it has served a few requests itself.
const figuresPeriod = 5

// announce sends each zone's planners the places that this instance holds there. If this
// instance is a planner, it also sends the speed of engines from time to time.
func (b *Broker) announce() {
	b.announceCount++
	var figures []pace.Figure
	if b.announceCount%figuresPeriod == 0 && b.IsPlanner() {
		figures = b.Paces.Figures()
		b.reportSpeeds()
	}
	for _, zone := range b.zones() {
		a := b.newAnnouncement(zone)
		a.Figures = figures
		if !b.recentlyUsed(zone) && len(a.Allocations) == 0 && len(figures) == 0 {
			continue
		}
		b.notifyPlanners(zone, topicAnnounce, a)
	}
}

// reportSpeeds updates the gauges of the speeds of this zone's decode engines.
func (b *Broker) reportSpeeds() {
	b.plannerMu.Lock()
	speeds := b.planner.DecodeSpeeds()
	b.plannerMu.Unlock()
	for service, s := range speeds {
		scope := b.Scope.Tagged(map[string]string{"service": service})
		scope.Gauge("engine_speed_slowest").Update(s.Slowest)
		scope.Gauge("engine_speed_median").Update(s.Median)
		scope.Gauge("engine_speed_fastest").Update(s.Fastest)
	}
}

// notifyPlanners sends an event to the planners of a zone, which may include this instance.
func (b *Broker) notifyPlanners(zone, topic string, e placement.Event) {
	for _, i := range b.notifiedInstances(zone) {
		if i.Name == b.Name {
			b.handleEvent(e)
		} else {
			b.send(i.Address, topic, e)
		}
	}
}

// notifiedInstances returns the instances of a zone that receive announcements: the
// planner, its successor, and all joining instances, which may precede these once they have
// joined.
func (b *Broker) notifiedInstances(zone string) []roster.Instance {
	var list []roster.Instance
	for _, i := range b.Roster.Ranked(zone, rolePlanner) {
		if !b.isBackingOff(i) {
			list = append(list, i)
		}
	}
	kept := list[:min(len(list), plannerCandidates)]
	for _, i := range list[len(kept):] {
		if i.Joining {
			kept = append(kept, i)
		}
	}
	return kept
}

func (b *Broker) recentlyUsed(zone string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.usedAt[zone]
	return ok && b.Now().Sub(at) < zoneUseTimeout
}

func (b *Broker) newAnnouncement(zone string) placement.Announcement {
	a := placement.Announcement{Owner: b.Name, Zone: zone}
	now := b.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.places {
		if p.Zone == zone {
			a.Allocations = append(a.Allocations, placement.HeldAllocation{
				ID: p.ID, Decode: p.Decode, Prompt: p.request.Prompt, ExpectedTokens: p.ExpectedTokens, Running: now.Sub(p.grantedAt),
				Rank: p.request.Rank, Workspace: p.request.Workspace,
			})
		}
	}
	return a
}

// handleAnnounce applies the places and the engine speeds that another instance announced.
func (b *Broker) handleAnnounce(a placement.Announcement) {
	b.Paces.SetFigures(a.Owner, a.Figures)
	b.handleEvent(a)
}
