package broker

import (
	"context"
	"slices"

	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/residency"
)

// Find requests a place for a whole request in an area. It tries in turn, until one
// succeeds: prefill and decode in this instance's zone; both in another zone; prefill in
// one zone and decode in another; if no zone has capacity to wait for, but some lacks only
// a prefill engine, a decode engine that computes the prefill too; and finally, waiting in
// the queue of the zone that promises capacity soonest.
func (b *Broker) Find(ctx context.Context, req placement.Request, area residency.Area) (*Place, *placement.Refusal) {
	req.Owner = b.Name
	zones := slices.DeleteFunc(b.zones(), func(zone string) bool { return !area.Allows(zone) })
	if len(zones) == 0 {
		return nil, &placement.Refusal{Reason: placement.ReasonNoZone, RetryAfter: minBackoff}
	}
	s := b.survey(ctx, zones, req)
	if s.place != nil {
		return s.place, nil
	}
	if p := b.findSplit(ctx, zones, s.noPrefill, req); p != nil {
		return p, nil
	}
	if s.best.Reason == placement.ReasonNoPrefill {
		req.Part = placement.Whole
		s = b.survey(ctx, zones, req)
	}
	if s.place != nil {
		return s.place, nil
	}
	if !worthWaiting(s.best) || req.AtOnce {
		return nil, s.best
	}
	req.MayQueue = true
	return b.findInZone(ctx, s.zone, req)
}

// surveyResult is the outcome of asking the planners of all zones for a place.
type surveyResult struct {
	place     *Place
	best      *placement.Refusal // the refusal that leaves most options
	zone      string             // zone of best
	noPrefill []string           // zones that could decode but have no prefill engine available
}

func (b *Broker) survey(ctx context.Context, zones []string, req placement.Request) surveyResult {
	var s surveyResult
	for _, zone := range zones {
		place, refusal := b.findInZone(ctx, zone, req)
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
func (b *Broker) findSplit(ctx context.Context, zones, decodeZones []string, req placement.Request) *Place {
	for _, zone := range decodeZones {
		decode, prefill := req, req
		decode.Part, decode.ID = placement.DecodeOnly, req.ID+"/decode"
		prefill.Part, prefill.ID = placement.PrefillOnly, req.ID+"/read"
		place, _ := b.findInZone(ctx, zone, decode)
		if place == nil {
			continue
		}
		prefill.Software = b.softwareOf(place)
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

// softwareOf returns the version that a place's decode engine runs. Planners of an earlier build
// do not name it.
func (b *Broker) softwareOf(p *Place) string {
	if p.Software != "" {
		return p.Software
	}
	if e := b.Directory.View().Find(p.Decode); e != nil {
		return e.Software
	}
	return ""
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
