package broker

import (
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/roster"
)

// figuresEvery is how many announcements go without what a planner has learned
// of engines: two seconds' worth. A planner that starts predicts by it until it
// has served a few requests itself.
const figuresEvery = 5

// announce tells each zone's planner what this instance holds there, and now and
// then, if it plans, how fast it has seen engines work.
func (b *Broker) announce() {
	b.announced++
	var figures []pace.Figure
	if b.announced%figuresEvery == 0 && b.Plans() {
		figures = b.Paces.Figures()
	}
	for _, zone := range b.zones() {
		a := b.announcement(zone)
		a.Figures = figures
		if !b.usedLately(zone) && len(a.Holds) == 0 && len(figures) == 0 {
			continue
		}
		b.inform(zone, topicAnnounce, a)
	}
}

// inform tells an event to the planners of a zone, of which this instance may be
// one.
func (b *Broker) inform(zone, topic string, e placement.Event) {
	for _, i := range b.hearers(zone) {
		if i.Name == b.Name {
			b.apply(e)
		} else {
			b.send(i.Address, topic, e)
		}
	}
}

// hearers are the planner of a zone, the next ones, and those that will be once
// they have taken up their work.
func (b *Broker) hearers(zone string) []roster.Instance {
	var list []roster.Instance
	for _, i := range b.Roster.Ranked(zone, rolePlanner) {
		if !b.isDown(i) {
			list = append(list, i)
		}
	}
	kept := list[:min(len(list), backups)]
	for _, i := range list[len(kept):] {
		if i.Joining {
			kept = append(kept, i)
		}
	}
	return kept
}

func (b *Broker) usedLately(zone string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.used[zone]
	return ok && b.Now().Sub(at) < zoneMemory
}

func (b *Broker) announcement(zone string) placement.Announce {
	a := placement.Announce{Owner: b.Name, Zone: zone}
	now := b.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.holds {
		if p.Zone == zone {
			a.Holds = append(a.Holds, placement.Hold{
				ID: p.ID, Decode: p.Decode, Prompt: p.ask.Prompt, Length: p.Length, Running: now.Sub(p.granted),
			})
		}
	}
	return a
}

// announcedBy takes an entry's places, and what a planner has learned.
func (b *Broker) announcedBy(a placement.Announce) {
	b.Paces.Tell(a.Owner, a.Figures)
	b.apply(a)
}
