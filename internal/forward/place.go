package forward

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
)

// nextPlace returns the place where the request goes on after a silence, with
// the sends that were paid for, or asks for one.
func (p *passage) nextPlace(ctx context.Context) (place *broker.Place, paid int, refusal *placement.Refusal) {
	p.asks++
	if m := p.takeMove(); m != nil {
		return m.place, m.paid, nil
	}
	place, refusal = p.findPlace(ctx)
	return place, 0, refusal
}

func (p *passage) findPlace(ctx context.Context) (*broker.Place, *placement.Refusal) {
	ask := p.placeAsk(strconv.Itoa(p.asks))
	p.setPatience(&ask)
	ask.Exclude = slices.Concat(p.tried, p.prefill.tried, p.prefill.rejected, p.closed())
	ask.Avoid = p.Balancer.Ejected(p.Now())
	ask.Part = p.wantedPart()
	return p.FindPlace(ctx, ask, p.area())
}

// setPatience says how long the request may wait for a place.
func (p *passage) setPatience(ask *placement.Ask) {
	left := p.left()
	inTime := p.route.Target - p.Now().Sub(p.arrived)
	switch {
	case p.headSent: // the caller waits in the middle of its stream
		ask.Late, ask.Hold = true, min(resumeHold, left/holdPart)
	case p.prefill.handle != nil: // what was read must not lapse
		ask.Budget = min(lateBudget, left)
	default:
		ask.Budget, ask.Late = min(max(inTime, 0), left), inTime <= 0
		ask.Hold = min(inTime+holdTargets*p.route.Target, left/holdPart)
	}
}

// placeAsk is an ask for places, the suffix of whose id is unique within the
// request.
func (p *passage) placeAsk(suffix string) placement.Ask {
	return placement.Ask{
		ID: p.call.ID + "/" + suffix, Service: p.service, Route: p.route.Name,
		Prompt: p.call.Prompt, Output: p.call.Hint, Most: p.call.Output,
		Once:  !p.route.Repeatable() || p.runs+1 >= p.route.Attempts,
		Final: p.budget(p.service).Left(p.Now()) < 1,
	}
}

const (
	// lateBudget is how long a request whose prompt is read, or that moves on,
	// waits for a place.
	lateBudget = 600 * time.Millisecond
	// resumeHold is the same for a stream that has begun: callers give it up
	// after a gap of a few seconds.
	resumeHold = 1500 * time.Millisecond
	// lateReserve is kept of a request's time for the answer itself, if it moves
	// on.
	lateReserve = 1500 * time.Millisecond
	// holdTargets is for how many targets beyond the first a request that will be
	// late may wait for room: callers give up a stream of which no event has come
	// after four targets, and the last is for the prompt. It waits for no more
	// than a part of its time, holdPart, since the answer takes some too.
	holdTargets = 2
	holdPart    = 2
)

// wantedPart says which engines the request needs now.
func (p *passage) wantedPart() placement.Part {
	switch {
	case p.prefill.handle != nil:
		return placement.DecodeOnly
	case p.prefill.sends >= prefillSends || p.call.Prompt == 0:
		return placement.Whole
	default:
		return placement.Both
	}
}

// closed are the engines that take nothing from this instance, as their answers told
// it, and those without a permit for the request. Planners on other instances may not
// know.
func (p *passage) closed() []string {
	withheld := slices.Collect(maps.Keys(p.Permits.Withheld(p.urgency())))
	return slices.Concat(p.Directory.View().Leaving[p.service], p.Balancer.Resting(p.Now()), withheld)
}

// endpoint returns the engine with an id, unless it leaves or the request may not go to
// its zone. The planner may know one that this instance has not heard of yet, and tells
// where it is; it may not know yet that one leaves.
func (p *passage) endpoint(id string) *directory.Endpoint {
	area := p.area()
	if e := p.view.Find(id); e != nil && e.Service == p.service {
		if e.State != directory.Ready || !area.Allows(e.Zone) {
			return nil
		}
		return e
	}
	for _, e := range p.place.New {
		if e.ID == id && area.Allows(e.Zone) && !p.Directory.Refutes(e) {
			return &e
		}
	}
	return nil
}

// logPlace notes a place, and when the first event is predicted.
func (p *passage) logPlace(place *broker.Place) {
	n := p.line(eventlog.Placed, "", nil)
	n.Endpoint, n.Prefill, n.Zone, n.Wait, n.Count = place.Decode, place.Prefill, place.Zone, place.Wait, int64(place.Used)
	p.trail.Write(n)
	if p.headSent {
		return
	}
	p.predicted = p.Now().Sub(p.arrived) + place.Begin
	if p.prefill.handle == nil {
		p.predicted += place.Wait + place.Read
	}
}
