// Package staging decides how many engines of a service prefill prompts and how many
// decode, and changes their stages. The right split follows from the sizes of requests
// and from the engines' data. If the split deviates by more than the sizes vary, as
// many engines are changed as it deviates by, up to a fraction of all at a time: a
// change takes seconds, in which the engine serves nothing.
package staging

import (
	"cmp"
	"fmt"
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
	// prefillCapacityFactor is the wanted ratio of prefill capacity to decode capacity.
	// Queued prompts delay first events, while decode engines run all that fits.
	prefillCapacityFactor = 1.15
	// minDeviation is by how many engines the split must deviate before any is changed,
	// and minDeviationFraction by what fraction of all: means over sizeWindow requests
	// vary by a few percent.
	minDeviation         = 0.6
	minDeviationFraction = 0.03
	// minRequests is the number of requests that must have been observed.
	minRequests = 8
	// minVariation is the lower bound of the assumed standard deviation of request
	// sizes, as a fraction of their mean. It is about 0.7 for answers that end by
	// themselves, and a few similar ones say nothing about later ones.
	minVariation = 0.7
	// orderSlack is added to the duration of a stage change to get the time for which
	// an order counts as pending while the engine does not show its new stage: an order
	// without a response may be carried out seconds later.
	orderSlack = 7 * time.Second
	// maxChangingFraction is the fraction of a service's engines that may change at a
	// time, rounded down, but at least one.
	maxChangingFraction = 1.0 / 6
)

// Sizes holds running means of request sizes.
type Sizes struct {
	Requests    int
	Prompt      float64 // tokens
	Output      float64 // tokens
	meanSquares [2]float64
}

// Add adds one request.
func (s *Sizes) Add(prompt, output int) {
	s.Requests++
	weight := 1 / float64(min(s.Requests, sizeWindow))
	s.Prompt += (float64(prompt) - s.Prompt) * weight
	s.Output += (float64(output) - s.Output) * weight
	for i, v := range []int{prompt, output} {
		s.meanSquares[i] += (float64(v)*float64(v) - s.meanSquares[i]) * weight
	}
}

// uncertainty is the relative error of a split derived from these means: the variation
// of requests divided by the square root of their number.
func (s Sizes) uncertainty() float64 {
	variation := minVariation
	for i, mean := range []float64{s.Prompt, s.Output} {
		if mean > 0 {
			variation = max(variation, math.Sqrt(max(s.meanSquares[i]/(mean*mean)-1, 0)))
		}
	}
	return variation / math.Sqrt(float64(min(s.Requests, sizeWindow)))
}

// sizeWindow is the number of requests that the running means cover.
const sizeWindow = 200

// Order instructs one engine to change its stage.
type Order struct {
	Endpoint *directory.Endpoint
	Stage    directory.Stage
	Target   float64 // target number of prefill engines of the service
	Current  int     // current number, with pending orders counted as carried out
	Basis    Basis
}

// Basis is what the target of an order follows from.
type Basis struct {
	Prompt, Output int           // mean tokens of requests
	PrefillTime    time.Duration // engine time for a prompt
	DecodeTime     time.Duration // share of the engine time that an answer takes
}

// String describes the basis for operators.
func (b Basis) String() string {
	return fmt.Sprintf("prompts of %d tokens take %v, answers of %d tokens %v", b.Prompt, b.PrefillTime, b.Output, b.DecodeTime)
}

// Policy decides on orders. It is not safe for concurrent use.
type Policy struct {
	pending map[string]pendingOrder // by engine
}

// pendingOrder is an order that the engine has not visibly carried out yet.
type pendingOrder struct {
	stage directory.Stage
	until clock.Millis
}

// NewPolicy returns a policy without pending orders.
func NewPolicy() *Policy { return &Policy{pending: map[string]pendingOrder{}} }

// Withdraw removes a pending order that was not sent. Its engine keeps its stage, and
// another engine may change in its place.
func (p *Policy) Withdraw(o Order) { delete(p.pending, o.Endpoint.ID) }

// Decide returns the next orders for all services.
func (p *Policy) Decide(now clock.Millis, v *directory.View, sizes map[string]Sizes, paces *pace.Model) []Order {
	if v.Table == nil {
		return nil
	}
	var orders []Order
	for name, s := range sizes {
		service := v.Table.Service(name)
		if service == nil || service.Engine == nil || s.Requests < minRequests {
			continue
		}
		zones, total, changingCount := p.groupByZone(now, v.Service(name))
		maxOrders := max(int(maxChangingFraction*float64(total)), 1) - changingCount
		basis := basisOf(s, service, paces)
		for _, o := range chooseOrders(zones, basis.prefillFraction(), s.uncertainty(), maxOrders) {
			o.Basis = basis
			p.pending[o.Endpoint.ID] = pendingOrder{stage: o.Stage, until: now.Add(service.Engine.StageChangeTime() + orderSlack)}
			orders = append(orders, o)
		}
	}
	return orders
}

// basisOf returns the engine time per request at each stage. A decode engine is shared by as
// many requests as fit into its memory and its slots.
func basisOf(s Sizes, service *route.Service, paces *pace.Model) Basis {
	e := service.Engine
	concurrent := float64(max(e.KVTokens, 1)) / max(s.Prompt+s.Output/2, 1)
	if e.Slots > 0 {
		concurrent = min(concurrent, float64(e.Slots))
	}
	concurrent = max(concurrent, 1)
	return Basis{
		Prompt: int(s.Prompt), Output: int(s.Output),
		PrefillTime: prefillInterval(service.Name, int(s.Prompt), paces),
		DecodeTime:  time.Duration(s.Output / concurrent * float64(paces.MeanTime(pace.TokenTime, service.Name, int(concurrent)))),
	}
}

// prefillFraction is the fraction of engines that should prefill, in proportion to the
// engine time per request at each stage.
func (b Basis) prefillFraction() float64 {
	prefill, decode := prefillCapacityFactor*b.PrefillTime.Seconds(), b.DecodeTime.Seconds()
	if prefill+decode == 0 {
		return 0.5
	}
	return prefill / (prefill + decode)
}

// zone holds the engines of one zone. Engines with a pending order count with their new
// stage and are not candidates for another. decodeCandidates are prefill engines that
// may switch to decode, prefillCandidates the reverse.
type zone struct {
	name                                string
	prefill, decode                     int
	decodeCandidates, prefillCandidates []*directory.Endpoint
}

// chooseOrders returns up to maxOrders orders that bring the fraction of prefill engines
// to the given one, as far as its uncertainty allows, if the split deviates enough.
func chooseOrders(zones []*zone, fraction, uncertainty float64, maxOrders int) []Order {
	prefill, decode := 0, 0
	for _, z := range zones {
		prefill += z.prefill
		decode += z.decode
	}
	total := prefill + decode
	if total < 2 {
		return nil
	}
	target := min(max(fraction*float64(total), 1), float64(total-1))
	margin := target * uncertainty
	if math.Abs(float64(prefill)-target) < max(minDeviation, minDeviationFraction*float64(total))+margin {
		return nil
	}
	var orders []Order
	for len(orders) < maxOrders {
		o := Order{Target: target, Current: prefill}
		switch deviation := float64(prefill) - target; {
		case deviation >= minDeviation+margin:
			o.Endpoint, o.Stage = switchToDecode(zones), directory.Decode
			prefill--
		case deviation <= -minDeviation-margin:
			o.Endpoint, o.Stage = switchToPrefill(zones), directory.Prefill
			prefill++
		}
		if o.Endpoint == nil {
			break
		}
		orders = append(orders, o)
	}
	return orders
}

// groupByZone groups engines by zone. It also counts all engines and the pending
// orders.
func (p *Policy) groupByZone(now clock.Millis, engines iter.Seq[*directory.Endpoint]) (zones []*zone, total, changingCount int) {
	byName := map[string]*zone{}
	for e := range engines {
		total++
		if e.State != directory.Ready || e.Stage == directory.Combined {
			continue
		}
		z := byName[e.Zone]
		if z == nil {
			z = &zone{name: e.Zone}
			byName[e.Zone] = z
			zones = append(zones, z)
		}
		stage := e.Stage
		o, changing := p.pending[e.ID]
		switch {
		case changing && o.until <= now:
			delete(p.pending, e.ID)
			changing = false
		case changing:
			stage = o.stage
			changingCount++
		}
		z.add(e, stage, changing)
	}
	slices.SortFunc(zones, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	return zones, total, changingCount
}

func (z *zone) add(e *directory.Endpoint, stage directory.Stage, changing bool) {
	candidates := &z.prefillCandidates
	if stage == directory.Prefill {
		z.prefill++
		candidates = &z.decodeCandidates
	} else {
		z.decode++
	}
	if !changing {
		*candidates = append(*candidates, e)
	}
}

// switchToDecode selects a prefill engine from the zone with the most of them per
// decode engine, but not a zone's last one.
func switchToDecode(zones []*zone) *directory.Endpoint {
	from := slices.MaxFunc(zones, func(a, b *zone) int { return cmp.Compare(a.ratio(), b.ratio()) })
	if from.prefill < 2 || len(from.decodeCandidates) == 0 {
		return nil
	}
	from.prefill--
	from.decode++
	return takeLowest(&from.decodeCandidates)
}

// switchToPrefill selects a decode engine from the zone with the fewest prefill engines
// per decode engine, but not a zone's last one.
func switchToPrefill(zones []*zone) *directory.Endpoint {
	from := slices.MinFunc(zones, func(a, b *zone) int { return cmp.Compare(a.ratio(), b.ratio()) })
	if from.decode < 2 || len(from.prefillCandidates) == 0 {
		return nil
	}
	from.decode--
	from.prefill++
	return takeLowest(&from.prefillCandidates)
}

// ratio is the number of prefill engines per decode engine, infinite without decode
// engines. A zone with fewer than two prefill engines gives none away, whatever its
// ratio.
func (z *zone) ratio() float64 {
	if z.decode == 0 {
		return math.Inf(z.prefill - 1)
	}
	return float64(z.prefill) / float64(z.decode)
}

// takeLowest removes the engine with the lowest id from list and returns it.
func takeLowest(list *[]*directory.Endpoint) *directory.Endpoint {
	e := slices.MinFunc(*list, func(a, b *directory.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	*list = slices.DeleteFunc(*list, func(o *directory.Endpoint) bool { return o == e })
	return e
}
