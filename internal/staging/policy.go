// Package staging changes the stages of engines: how many read prompts and how
// many decode. The right split follows from the sizes of requests and from the
// engines' data; where it is off by most of an engine, one engine is told to
// change, which takes seconds, so it is done seldom.
package staging

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// tokensPerMS and stepMS are an engine's speeds, from its data sheet, at a
	// usual fill; setupMS is a prefill's cost besides its tokens.
	tokensPerMS = 55.6
	stepMS      = 4.5
	setupMS     = 10.0
	// prefillSpare is how much more prefill capacity than decode capacity is
	// wanted: prompts that queue make first events late, while decode engines
	// take what fits.
	prefillSpare = 1.35
	// offBy is by how many engines the split must be off.
	offBy = 0.6
	// leastSizes is how many requests must have been seen.
	leastSizes = 8
	// orderPause is the least time between two orders: an engine changes in six
	// seconds, and an unanswered order may be carried out twelve later.
	orderPause = 13 * time.Second
)

// Sizes are the running means of requests.
type Sizes struct {
	Requests int
	Prompt   float64 // tokens
	Output   float64 // tokens
}

// Add takes one request's tokens.
func (s *Sizes) Add(prompt, output int) {
	s.Requests++
	weight := 1 / float64(min(s.Requests, sizeMemory))
	s.Prompt += (float64(prompt) - s.Prompt) * weight
	s.Output += (float64(output) - s.Output) * weight
}

// sizeMemory is over how many requests the means run.
const sizeMemory = 200

// Order tells one engine to change its stage.
type Order struct {
	Endpoint *directory.Endpoint
	Stage    directory.Stage
	Wanted   float64 // prefill engines that the service should have
	Present  int     // that it has
}

// Policy decides. It is not safe for concurrent use.
type Policy struct {
	ordered map[string]clock.Millis // by service
}

// NewPolicy returns a policy that has ordered nothing.
func NewPolicy() *Policy { return &Policy{ordered: map[string]clock.Millis{}} }

// Decide returns the next order, or nil.
func (p *Policy) Decide(now clock.Millis, v *directory.View, sizes map[string]Sizes) *Order {
	if v.Table == nil {
		return nil
	}
	for name, s := range sizes {
		service := v.Table.Service(name)
		last, ordered := p.ordered[name]
		if service == nil || service.Engine == nil || s.Requests < leastSizes || ordered && now.Sub(last) < orderPause {
			continue
		}
		o := choose(v.Endpoints[name], wanted(s, service.Engine.KVTokens))
		if o != nil {
			p.ordered[name] = now
			return o
		}
	}
	return nil
}

// wanted is the share of engines that should read prompts: in proportion to
// the engine time that one request takes at each stage.
func wanted(s Sizes, memory int) float64 {
	read := (setupMS + s.Prompt/tokensPerMS) * prefillSpare
	decode := (s.Prompt + s.Output/2) / float64(max(memory, 1)) * s.Output * stepMS
	if read+decode == 0 {
		return 0.5
	}
	return read / (read + decode)
}

// zone is the engines of one zone by stage.
type zone struct {
	name            string
	prefill, decode []*directory.Endpoint
}

func choose(list []*directory.Endpoint, share float64) *Order {
	zones := split(list)
	prefill, decode := 0, 0
	for _, z := range zones {
		prefill += len(z.prefill)
		decode += len(z.decode)
	}
	if prefill+decode < 2 {
		return nil
	}
	want := min(max(share*float64(prefill+decode), 1), float64(prefill+decode-1))
	off := float64(prefill) - want
	switch {
	case off >= offBy:
		return toDecode(zones, want, prefill)
	case off <= -offBy && decode > 1:
		return toPrefill(zones, want, prefill)
	}
	return nil
}

func split(list []*directory.Endpoint) []*zone {
	byName := map[string]*zone{}
	var zones []*zone
	for _, e := range list {
		if e.State != directory.Ready || e.Stage == directory.Whole {
			continue
		}
		z := byName[e.Zone]
		if z == nil {
			z = &zone{name: e.Zone}
			byName[e.Zone] = z
			zones = append(zones, z)
		}
		if e.Stage == directory.Prefill {
			z.prefill = append(z.prefill, e)
		} else {
			z.decode = append(z.decode, e)
		}
	}
	slices.SortFunc(zones, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	return zones
}

// toDecode takes a prefill engine from the zone that has most of them, for its
// decode engines, and never the last of a zone.
func toDecode(zones []*zone, want float64, present int) *Order {
	from := slices.MaxFunc(zones, func(a, b *zone) int { return cmp.Compare(a.ratio(), b.ratio()) })
	if len(from.prefill) < 2 {
		return nil
	}
	return &Order{Endpoint: first(from.prefill), Stage: directory.Decode, Wanted: want, Present: present}
}

// toPrefill takes a decode engine from the zone that has fewest prefill
// engines for its decode engines, and never the last of a zone.
func toPrefill(zones []*zone, want float64, present int) *Order {
	from := slices.MinFunc(zones, func(a, b *zone) int { return cmp.Compare(a.ratio(), b.ratio()) })
	if len(from.decode) < 2 {
		return nil
	}
	return &Order{Endpoint: first(from.decode), Stage: directory.Prefill, Wanted: want, Present: present}
}

// ratio is prefill engines for each decode engine; a zone with fewer than two
// prefill engines has none to give.
func (z *zone) ratio() float64 {
	if len(z.decode) == 0 {
		return math.Inf(len(z.prefill) - 1)
	}
	return float64(len(z.prefill)) / float64(len(z.decode))
}

func first(list []*directory.Endpoint) *directory.Endpoint {
	return slices.MinFunc(list, func(a, b *directory.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}
