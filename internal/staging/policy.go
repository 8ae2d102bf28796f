// Package staging changes the stages of engines: how many read prompts and how
// many decode. The right split follows from the sizes of requests and from the
// engines' data. Where it is off by more than the sizes vary, as many engines
// as it is off by are told to change, up to a part of all at a time, since a
// change takes seconds in which an engine does nothing.
package staging

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// prefillSpare is how much more prefill capacity than decode capacity is
	// wanted: prompts that queue make first events late, while decode engines
	// take what fits.
	prefillSpare = 1.15
	// offBy is by how many engines the split must be off, and offPart by which
	// part of all: means over sizeMemory requests vary by some hundredths.
	offBy   = 0.6
	offPart = 0.03
	// leastSizes is how many requests must have been seen.
	leastSizes = 8
	// variationLeast is what requests are taken to vary by at the least, as a
	// part of their mean: answers do by about 0.7 where they end by themselves,
	// and a few alike ones tell nothing of those to come.
	variationLeast = 0.7
	// settleSlack is how much longer than a change takes an order counts as under
	// way while the engine does not show its new stage: an unanswered order may
	// be carried out seconds later.
	settleSlack = 7 * time.Second
	// underWayPart of a service's engines may change at a time, at least one.
	underWayPart = 1.0 / 6
)

// Sizes are the running means of requests.
type Sizes struct {
	Requests int
	Prompt   float64 // tokens
	Output   float64 // tokens
	squares  [2]float64
}

// Add takes one request's tokens.
func (s *Sizes) Add(prompt, output int) {
	s.Requests++
	weight := 1 / float64(min(s.Requests, sizeMemory))
	s.Prompt += (float64(prompt) - s.Prompt) * weight
	s.Output += (float64(output) - s.Output) * weight
	for i, v := range []int{prompt, output} {
		s.squares[i] += (float64(v)*float64(v) - s.squares[i]) * weight
	}
}

// uncertainty is the relative error of a split that follows from these means:
// what requests vary by, divided by the square root of their number.
func (s Sizes) uncertainty() float64 {
	variation := variationLeast
	for i, mean := range []float64{s.Prompt, s.Output} {
		if mean > 0 {
			variation = max(variation, math.Sqrt(max(s.squares[i]/(mean*mean)-1, 0)))
		}
	}
	return variation / math.Sqrt(float64(min(s.Requests, sizeMemory)))
}

// sizeMemory is over how many requests the means run.
const sizeMemory = 200

// Order tells one engine to change its stage.
type Order struct {
	Endpoint *directory.Endpoint
	Stage    directory.Stage
	Wanted   float64 // prefill engines that the service should have
	Present  int     // that it has, counting orders under way as carried out
}

// Policy decides. It is not safe for concurrent use.
type Policy struct {
	ordered map[string]ordered // by engine
}

// ordered is a change under way.
type ordered struct {
	stage directory.Stage
	until clock.Millis
}

// NewPolicy returns a policy that has ordered nothing.
func NewPolicy() *Policy { return &Policy{ordered: map[string]ordered{}} }

// PutOff takes back an order that was not given: its engine is as it was, and the place
// among those that may change at a time is free.
func (p *Policy) PutOff(o Order) { delete(p.ordered, o.Endpoint.ID) }

// Decide returns the next orders, of all services.
func (p *Policy) Decide(now clock.Millis, v *directory.View, sizes map[string]Sizes, paces *pace.Model) []Order {
	if v.Table == nil {
		return nil
	}
	var orders []Order
	for name, s := range sizes {
		service := v.Table.Service(name)
		if service == nil || service.Engine == nil || s.Requests < leastSizes {
			continue
		}
		zones, all, underWay := p.split(now, v.Service(name))
		most := max(int(underWayPart*float64(all)), 1) - underWay
		for _, o := range choose(zones, wanted(s, service, paces), s.uncertainty(), most) {
			p.ordered[o.Endpoint.ID] = ordered{stage: o.Stage, until: now.Add(service.Engine.Switch() + settleSlack)}
			orders = append(orders, o)
		}
	}
	return orders
}

// wanted is the share of engines that should read prompts: in proportion to
// the engine time that one request takes at each stage. Decoding shares an
// engine between as many requests as its memory and its slots hold.
func wanted(s Sizes, service *route.Service, paces *pace.Model) float64 {
	e := service.Engine
	read := prefillSpare * paces.Likely(pace.Turn, service.Name, pace.AnyEngine, int(s.Prompt)).Seconds()
	together := float64(max(e.KVTokens, 1)) / max(s.Prompt+s.Output/2, 1)
	if e.Slots > 0 {
		together = min(together, float64(e.Slots))
	}
	together = max(together, 1)
	decode := s.Output * paces.Step(service.Name, pace.AnyEngine, int(together)).Seconds() / together
	if read+decode == 0 {
		return 0.5
	}
	return read / (read + decode)
}

// zone is the engines of one zone. Those with an order under way count as they
// will be, and are not among those that may be ordered.
type zone struct {
	name                  string
	prefill, decode       int
	mayDecode, mayPrefill []*directory.Endpoint
}

// choose returns up to most orders that bring the split to share, once it is
// off by enough, as near as the uncertainty of share allows.
func choose(zones []*zone, share, uncertainty float64, most int) []Order {
	prefill, decode := 0, 0
	for _, z := range zones {
		prefill += z.prefill
		decode += z.decode
	}
	all := prefill + decode
	if all < 2 {
		return nil
	}
	want := min(max(share*float64(all), 1), float64(all-1))
	unsure := want * uncertainty
	if math.Abs(float64(prefill)-want) < max(offBy, offPart*float64(all))+unsure {
		return nil
	}
	var orders []Order
	for len(orders) < most {
		o := Order{Wanted: want, Present: prefill}
		switch off := float64(prefill) - want; {
		case off >= offBy+unsure:
			o.Endpoint, o.Stage = toDecode(zones), directory.Decode
			prefill--
		case off <= -offBy-unsure:
			o.Endpoint, o.Stage = toPrefill(zones), directory.Prefill
			prefill++
		}
		if o.Endpoint == nil {
			break
		}
		orders = append(orders, o)
	}
	return orders
}

// split sorts engines by zone and counts them and the orders under way.
func (p *Policy) split(now clock.Millis, engines iter.Seq[*directory.Endpoint]) (zones []*zone, all, underWay int) {
	byName := map[string]*zone{}
	for e := range engines {
		all++
		if e.State != directory.Ready || e.Stage == directory.Whole {
			continue
		}
		z := byName[e.Zone]
		if z == nil {
			z = &zone{name: e.Zone}
			byName[e.Zone] = z
			zones = append(zones, z)
		}
		stage := e.Stage
		o, changing := p.ordered[e.ID]
		switch {
		case changing && o.until <= now:
			delete(p.ordered, e.ID)
			changing = false
		case changing:
			stage = o.stage
			underWay++
		}
		z.add(e, stage, changing)
	}
	slices.SortFunc(zones, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	return zones, all, underWay
}

func (z *zone) add(e *directory.Endpoint, stage directory.Stage, changing bool) {
	mayChange := &z.mayPrefill
	if stage == directory.Prefill {
		z.prefill++
		mayChange = &z.mayDecode
	} else {
		z.decode++
	}
	if !changing {
		*mayChange = append(*mayChange, e)
	}
}

// toDecode takes a prefill engine from the zone that has most of them, for its
// decode engines, and never the last of a zone.
func toDecode(zones []*zone) *directory.Endpoint {
	from := slices.MaxFunc(zones, func(a, b *zone) int { return cmp.Compare(a.ratio(), b.ratio()) })
	if from.prefill < 2 || len(from.mayDecode) == 0 {
		return nil
	}
	from.prefill--
	from.decode++
	return take(&from.mayDecode)
}

// toPrefill takes a decode engine from the zone that has fewest prefill
// engines for its decode engines, and never the last of a zone.
func toPrefill(zones []*zone) *directory.Endpoint {
	from := slices.MinFunc(zones, func(a, b *zone) int { return cmp.Compare(a.ratio(), b.ratio()) })
	if from.decode < 2 || len(from.mayPrefill) == 0 {
		return nil
	}
	from.decode--
	from.prefill++
	return take(&from.mayPrefill)
}

// ratio is prefill engines for each decode engine; a zone with fewer than two
// prefill engines has none to give.
func (z *zone) ratio() float64 {
	if z.decode == 0 {
		return math.Inf(z.prefill - 1)
	}
	return float64(z.prefill) / float64(z.decode)
}

// take removes the engine with the lowest id from list.
func take(list *[]*directory.Endpoint) *directory.Endpoint {
	e := slices.MinFunc(*list, func(a, b *directory.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	*list = slices.DeleteFunc(*list, func(o *directory.Endpoint) bool { return o == e })
	return e
}
