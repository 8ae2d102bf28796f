package experiment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Outcome is what one run came to. Requests are counted once: as InTime, Late,
// Refused or Failed, or as Unended if the run was cut off.
type Outcome struct {
	Policy       string   `json:"policy"`
	Seed         uint64   `json:"seed"`
	Asked        int      `json:"asked"`
	InTime       int      `json:"in_time"` // first token within its limit, and whole
	Late         int      `json:"late"`    // whole, but its first token came late
	Refused      int      `json:"refused"` // not run
	Failed       int      `json:"failed"`
	Unended      int      `json:"unended"`
	Retries      int      `json:"retries"`
	ReadTokens   int64    `json:"read_tokens"`   // of prompts
	WastedTokens int64    `json:"wasted_tokens"` // of these, read for no answer
	FirstP50     int64    `json:"first_p50_ms"`  // time to the first token of what was answered
	FirstP99     int64    `json:"first_p99_ms"`  //
	Firsts       []int64  `json:"firsts_ms"`     // the same at each whole percent, from 0 to 100
	AskedBy      []int    `json:"asked_by_s"`    // by second of arrival
	InTimeBy     []int    `json:"in_time_by_s"`  //
	Violations   []string `json:"violations"`    // invariants that the decisions broke

	firsts *hdrhistogram.Histogram
}

// firstMost is the longest time to a first token that is told apart, in ms.
const firstMost = 10 * 60 * 1000

func newOutcome(policy string, seed uint64, length time.Duration) *Outcome {
	seconds := int((length + time.Second - 1) / time.Second)
	return &Outcome{
		Policy: policy, Seed: seed, AskedBy: make([]int, seconds), InTimeBy: make([]int, seconds),
		Violations: []string{}, firsts: hdrhistogram.New(1, firstMost, 3),
	}
}

func (o *Outcome) second(at clock.Millis) int {
	return min(int(at.Sub(begin)/time.Second), len(o.AskedBy)-1)
}

func (o *Outcome) asked(at clock.Millis) {
	o.Asked++
	o.AskedBy[o.second(at)]++
}

func (o *Outcome) answered(r *request, limit time.Duration) {
	first := r.first.Sub(r.arrived)
	_ = o.firsts.RecordValue(min(first.Milliseconds(), firstMost)) // it fails beyond the bound only
	if first > limit {
		o.Late++
		return
	}
	o.InTime++
	o.InTimeBy[o.second(r.arrived)]++
}

// close reads off the times to the first token.
func (o *Outcome) close() {
	var percents []float64
	for percent := range 101 {
		percents = append(percents, float64(percent))
	}
	at := o.firsts.ValueAtPercentiles(percents) // in one pass
	for _, percent := range percents {
		o.Firsts = append(o.Firsts, at[percent])
	}
	o.FirstP50, o.FirstP99 = o.Firsts[50], o.Firsts[99]
}

// Share is the part of the requests that were answered in time.
func (o *Outcome) Share() float64 { return part(o.InTime, o.Asked) }

// Waste is the part of the prompt tokens that were read for nothing.
func (o *Outcome) Waste() float64 { return part(int(o.WastedTokens), int(o.ReadTokens)) }

func part(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
