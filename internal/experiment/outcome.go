package experiment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Outcome holds the figures of one run. Each request is counted once: as InTime, Late,
// Refused or Failed, or as Unfinished if the run reached its time limit first.
type Outcome struct {
	Policy                string   `json:"policy"`
	Seed                  uint64   `json:"seed"`
	Requests              int      `json:"asked"`
	InTime                int      `json:"in_time"` // complete, with the first token within its limit
	Late                  int      `json:"late"`    // complete, with the first token after its limit
	Refused               int      `json:"refused"` // refused by the dispatcher, not run
	Failed                int      `json:"failed"`
	Unfinished            int      `json:"unended"`
	Retries               int      `json:"retries"`
	PrefillTokens         int64    `json:"read_tokens"`   // prompt tokens processed
	WastedTokens          int64    `json:"wasted_tokens"` // prompt tokens processed in attempts that did not finish
	FirstTokenP50         int64    `json:"first_p50_ms"`  // median time to the first token of answered requests
	FirstTokenP99         int64    `json:"first_p99_ms"`  // 99th percentile
	FirstTokenPercentiles []int64  `json:"firsts_ms"`     // all percentiles, from 0 to 100
	RequestsBySecond      []int    `json:"asked_by_s"`    // by second of arrival
	InTimeBySecond        []int    `json:"in_time_by_s"`  // by second of arrival
	Violations            []string `json:"violations"`    // invariants that the decisions violated

	firstTokens *hdrhistogram.Histogram
}

// maxFirstTokenMS bounds the recorded times to the first token; longer ones count as
// this.
const maxFirstTokenMS = 10 * 60 * 1000

func newOutcome(policy string, seed uint64, length time.Duration) *Outcome {
	seconds := int((length + time.Second - 1) / time.Second)
	return &Outcome{
		Policy: policy, Seed: seed, RequestsBySecond: make([]int, seconds), InTimeBySecond: make([]int, seconds),
		Violations: []string{}, firstTokens: hdrhistogram.New(1, maxFirstTokenMS, 3),
	}
}

// second returns the second of the run in which a moment lies, for the counts by second.
func (o *Outcome) second(at clock.Millis) int {
	return min(int(at.Sub(startTime)/time.Second), len(o.RequestsBySecond)-1)
}

// recordArrival counts a request.
func (o *Outcome) recordArrival(at clock.Millis) {
	o.Requests++
	o.RequestsBySecond[o.second(at)]++
}

// recordAnswer counts an answered request as in time or late.
func (o *Outcome) recordAnswer(r *request, limit time.Duration) {
	first := r.firstToken.Sub(r.arrived)
	_ = o.firstTokens.RecordValue(min(first.Milliseconds(), maxFirstTokenMS)) // fails only above the bound
	if first > limit {
		o.Late++
		return
	}
	o.InTime++
	o.InTimeBySecond[o.second(r.arrived)]++
}

// computePercentiles fills in the percentiles of the time to the first token.
func (o *Outcome) computePercentiles() {
	var percents []float64
	for percent := range 101 {
		percents = append(percents, float64(percent))
	}
	values := o.firstTokens.ValueAtPercentiles(percents) // one pass over the histogram for all
	for _, percent := range percents {
		o.FirstTokenPercentiles = append(o.FirstTokenPercentiles, values[percent])
	}
	o.FirstTokenP50, o.FirstTokenP99 = o.FirstTokenPercentiles[50], o.FirstTokenPercentiles[99]
}

// InTimeRatio is the fraction of the requests that were answered in time.
func (o *Outcome) InTimeRatio() float64 { return ratio(o.InTime, o.Requests) }

// WasteRatio is the fraction of the processed prompt tokens that were wasted.
func (o *Outcome) WasteRatio() float64 { return ratio(int(o.WastedTokens), int(o.PrefillTokens)) }

// ratio returns n/total, or 0 if total is 0.
func ratio(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
