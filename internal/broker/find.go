package broker

import (
	"context"
	"slices"

	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/residency"
)

// Find requests a place for a whole request in an area. It tries in turn, until one
// succeeds: prefill and decode in this instance's zone; both in another zone; prefill in
// one zone and decode in another; if no zone has a prefill engine, a decode engine that
// computes the prefill too; and finally, waiting in the queue of the zone that promises to
// have room soonest.
func (b *Broker) Find(ctx context.Context, a placement.Request, area residency.Area) (*Place, *placement.Refusal) {
	a.Owner = b.Name
	zones := slices.DeleteFunc(b.zones(), func(zone string) bool { return !area.Allows(zone) })
	if len(zones) == 0 {
		return nil, &placement.Refusal{Reason: placement.ReasonNoZone, RetryAfter: minBackoff}
	}
	s := b.survey(ctx, zones, a)
	if s.place != nil {
		return s.place, nil
	}
	if p := b.findSplit(ctx, zones, s.noPrefill, a); p != nil {
		return p, nil
	}
	if s.best.Reason == placement.ReasonNoPrefill {
		a.Part = placement.Whole
		s = b.survey(ctx, zones, a)
	}
	if s.place != nil {
		return s.place, nil
	}
	if !worthWaiting(s.best) {
		return nil, s.best
	}
	a.MayQueue = true
	return b.findInZone(ctx, s.zone, a)
}

// surveyResult is the outcome of asking the planners of all zones for a place.
type surveyResult struct {
	place     *Place
	best      *placement.Refusal // the refusal that leaves most options
	zone      string             // zone of best
	noPrefill []string           // zones that could decode but have no prefill engine available
}

func (b *Broker) survey(ctx context.Context, zones []string, a placement.Request) surveyResult {
	var s surveyResult
	for _, zone := range zones {
		place, refusal := b.findInZone(ctx, zone, a)
		if place != nil {
			return surveyResult{place: place}
		}
		if refusal.Reason == placement.ReasonNoPrefill {
			s.noPrefill = append(s.noPrefill, zone)
		}
		if s.best == nil || preferable(refusal, s.best) {
			s.best, s.zone = refusal, zone
		}
	}
	return s
}

// findSplit places the prefill in one zone and the decode in another.
func (b *Broker) findSplit(ctx context.Context, zones, decodeZones []string, a placement.Request) *Place {
	for _, zone := range decodeZones {
		decode, prefill := a, a
		decode.Part, decode.ID = placement.DecodeOnly, a.ID+"/decode"
		prefill.Part, prefill.ID = placement.PrefillOnly, a.ID+"/read"
		place, _ := b.findInZone(ctx, zone, decode)
		if place == nil {
			continue
		}
		s := b.survey(ctx, zones, prefill)
		if s.place == nil {
			b.Release(place, "", "", nil)
			return nil
		}
		place.prefillPlace, place.Prefill, place.PrefillWait, place.PrefillTime = s.place, s.place.Prefill, s.place.PrefillWait, s.place.PrefillTime
		place.NewEngines = append(place.NewEngines, s.place.NewEngines...)
		return place
	}
	return nil
}

// worthWaiting reports whether a place may become free soon after this refusal.
func worthWaiting(r *placement.Refusal) bool {
	return r.Reason == placement.ReasonFull || r.Reason == placement.ReasonBusy
}

// preferable reports whether refusal a leaves more options than b.
func preferable(a, b *placement.Refusal) bool {
	if refusalRank(a) != refusalRank(b) {
		return refusalRank(a) > refusalRank(b)
	}
	return a.RetryAfter < b.RetryAfter
}

// refusalRank orders refusals by what can still be done, from most to least: wait, have a
// decode engine compute the prefill, retry later, nothing.
func refusalRank(r *placement.Refusal) int {
	switch {
	case worthWaiting(r):
		return 3
	case r.Reason == placement.ReasonNoPrefill:
		return 2
	case r.Reason == placement.ReasonLimited:
		return 1
	default:
		return 0
	}
}
