package broker

import (
	"context"
	"slices"

	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/residency"
)

// Find asks for places for a whole request in an area. It tries, until one succeeds:
// prefill and decode in the own zone, in another zone, prefill in one zone and
// decode in another, decode engines that read the prompt themselves where no
// zone has a prefill engine, and, with patience, the zone that promised room
// the soonest.
func (b *Broker) Find(ctx context.Context, a placement.Ask, area residency.Area) (*Place, *placement.Refusal) {
	a.Owner = b.Name
	zones := slices.DeleteFunc(b.zones(), func(zone string) bool { return !area.Allows(zone) })
	if len(zones) == 0 {
		return nil, &placement.Refusal{Reason: placement.ReasonNoZone, After: downFor}
	}
	s := b.survey(ctx, zones, a)
	if s.place != nil {
		return s.place, nil
	}
	if p := b.findApart(ctx, zones, s.unread, a); p != nil {
		return p, nil
	}
	if s.best.Reason == placement.ReasonNoPrefill {
		a.Part = placement.Whole
		s = b.survey(ctx, zones, a)
	}
	if s.place != nil {
		return s.place, nil
	}
	if !hopeful(s.best) {
		return nil, s.best
	}
	a.Patient = true
	return b.findIn(ctx, s.zone, a)
}

// survey is what the planners of all zones say to an ask.
type survey struct {
	place  *Place
	best   *placement.Refusal // the one that gives most hope
	zone   string             // where best came from
	unread []string           // zones that could decode but have no prefill engine
}

func (b *Broker) survey(ctx context.Context, zones []string, a placement.Ask) survey {
	var s survey
	for _, zone := range zones {
		place, refusal := b.findIn(ctx, zone, a)
		if place != nil {
			return survey{place: place}
		}
		if refusal.Reason == placement.ReasonNoPrefill {
			s.unread = append(s.unread, zone)
		}
		if s.best == nil || better(refusal, s.best) {
			s.best, s.zone = refusal, zone
		}
	}
	return s
}

// findApart has one zone read the prompt and another decode it.
func (b *Broker) findApart(ctx context.Context, zones, decoders []string, a placement.Ask) *Place {
	for _, zone := range decoders {
		decode, read := a, a
		decode.Part, decode.ID = placement.DecodeOnly, a.ID+"/decode"
		read.Part, read.ID = placement.ReadOnly, a.ID+"/read"
		place, _ := b.findIn(ctx, zone, decode)
		if place == nil {
			continue
		}
		s := b.survey(ctx, zones, read)
		if s.place == nil {
			b.Release(place, "", "", nil)
			return nil
		}
		place.reader, place.Prefill, place.Wait, place.Read = s.place, s.place.Prefill, s.place.Wait, s.place.Read
		place.New = append(place.New, s.place.New...)
		return place
	}
	return nil
}

// hopeful says whether it pays to wait after a refusal.
func hopeful(r *placement.Refusal) bool {
	return r.Reason == placement.ReasonFull || r.Reason == placement.ReasonBusy
}

// better says whether refusal a gives more hope than b.
func better(a, b *placement.Refusal) bool {
	if hope(a) != hope(b) {
		return hope(a) > hope(b)
	}
	return a.After < b.After
}

// hope orders refusals by what can still be done: wait, have a decode engine read the
// prompt, come back, nothing.
func hope(r *placement.Refusal) int {
	switch {
	case hopeful(r):
		return 3
	case r.Reason == placement.ReasonNoPrefill:
		return 2
	case r.Reason == placement.ReasonLimited:
		return 1
	default:
		return 0
	}
}
