package trace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// gapPart is the part of an answer's gaps that must meet the target.
const gapPart = 0.95

// Report is what came of a replay.
type Report struct {
	Name    string
	Elapsed time.Duration

	mu      sync.Mutex
	targets map[string]Class
	classes map[string]*tally
	repeats int // repeats with the same key that got the same answer
	refused int // repeats that were told that the first may have run
	strange int // repeats that got another answer
}

// tally is the count of one class.
type tally struct {
	offered  int
	answered int
	good     int // whole, right and within both targets
	wrong    int // somebody else's answer, or not whole
	lost     int // no final answer
	gone     int // the caller gave up
	untold   int // refused without when to come back
	reasons  map[string]int
	ttft     *hdrhistogram.Histogram
	gaps     *hdrhistogram.Histogram
}

func newReport(h Header) *Report {
	r := &Report{Name: h.Name, targets: map[string]Class{}, classes: map[string]*tally{}}
	for _, c := range h.Classes {
		r.targets[c.Name] = c
	}
	return r
}

func newTally() *tally {
	return &tally{
		reasons: map[string]int{},
		ttft:    hdrhistogram.New(1, 120_000_000, 3), gaps: hdrhistogram.New(1, 120_000_000, 3),
	}
}

func (r *Report) add(req Request, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.classes[req.Class]
	if !ok {
		t = newTally()
		r.classes[req.Class] = t
	}
	t.offered++
	switch {
	case res.gone:
		t.gone++
	case res.lost:
		t.lost++
		t.reasons["lost: "+res.reason]++
	case !res.whole:
		t.reasons[res.outcome+": "+res.reason]++
		if res.outcome == "refused_not_run" && !res.retry {
			t.untold++
		}
	case res.digest != req.Digest:
		t.wrong++
	default:
		r.answered(t, req, res)
	}
}

func (r *Report) answered(t *tally, req Request, res result) {
	t.answered++
	_ = t.ttft.RecordValue(res.ttft.Microseconds())
	for _, g := range res.gaps {
		_ = t.gaps.RecordValue(g.Microseconds())
	}
	target := r.targets[req.Class]
	inTime := res.ttft <= time.Duration(target.TTFTMS)*time.Millisecond
	if inTime && quantile(res.gaps, gapPart) <= time.Duration(target.TBTMS)*time.Millisecond {
		t.good++
	}
}

func quantile(gaps []time.Duration, part float64) time.Duration {
	if len(gaps) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(gaps))
	return sorted[int(part*float64(len(sorted)-1))]
}

func (r *Report) again(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case res.whole:
		r.repeats++
	case res.lost:
		r.strange++
	default:
		r.refused++
	}
}

// Totals are a replay's figures over all classes.
type Totals struct {
	Offered, Answered, Good, Wrong, Lost, Untold int
}

// Totals adds up the classes.
func (r *Report) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum Totals
	for _, t := range r.classes {
		sum.Offered += t.offered
		sum.Answered += t.answered
		sum.Good += t.good
		sum.Wrong += t.wrong
		sum.Lost += t.lost
		sum.Untold += t.untold
	}
	return sum
}

// Write prints the report for people.
func (r *Report) Write(w io.Writer) error {
	sum := r.Totals()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%s: %d requests in %.1f s, %d answered, goodput %.1f/s (%.1f%%), lost %d, wrong %d\n",
		r.Name, sum.Offered, r.Elapsed.Seconds(), sum.Answered,
		float64(sum.Good)/r.Elapsed.Seconds(), percent(sum.Good, sum.Offered), sum.Lost, sum.Wrong)
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "  class\toffered\tanswered\tin time\t%\tgave up\tTTFT p50\tp95\tp99 ms\tTBT p50\tp95\tp99 ms")
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		t := r.classes[name]
		_, _ = fmt.Fprintf(out, "  %s\t%d\t%d\t%d\t%.1f\t%d\t%s\t%s\n", name, t.offered, t.answered, t.good,
			percent(t.good, t.offered), t.gone, quantiles(t.ttft), quantiles(t.gaps))
	}
	if err := out.Flush(); err != nil {
		return Error.Wrap(err)
	}
	r.writeReasons(w)
	return nil
}

func (r *Report) writeReasons(w io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		t := r.classes[name]
		for _, reason := range slices.Sorted(maps.Keys(t.reasons)) {
			_, _ = fmt.Fprintf(w, "  %s: %d %s\n", name, t.reasons[reason], reason)
		}
		if t.untold > 0 {
			_, _ = fmt.Fprintf(w, "  %s: %d refused without saying when to come back\n", name, t.untold)
		}
	}
	if n := r.repeats + r.refused + r.strange; n > 0 {
		_, _ = fmt.Fprintf(w, "  asked again with the same key: %d, same answer %d, refused %d, lost %d\n",
			n, r.repeats, r.refused, r.strange)
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

func quantiles(h *hdrhistogram.Histogram) string {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("%.1f\t%.1f\t%.1f", ms(50), ms(95), ms(99))
}
