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

// gapQuantile is the quantile of the gaps between an answer's tokens that is compared
// with the class's TBT target.
const gapQuantile = 0.95

// Report is the result of a replay.
type Report struct {
	Name    string
	Elapsed time.Duration

	mu              sync.Mutex
	targets         map[string]Class
	classes         map[string]*tally
	repeatsAnswered int // repeats with the same key that got a complete answer
	repeatsRefused  int // repeats that were refused, failed or cancelled
	repeatsLost     int // repeats without a complete response
}

// tally is the figures of one class.
type tally struct {
	offered      int
	answered     int
	good         int // answered, and within both targets
	wrong        int // complete, but with another digest than expected
	lost         int // no complete response
	cancelled    int // the caller disconnected
	noRetryAfter int // refused without a Retry-After header
	reasons      map[string]int
	ttft         *hdrhistogram.Histogram
	gaps         *hdrhistogram.Histogram
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
	case res.cancelled:
		t.cancelled++
	case res.lost:
		t.lost++
		t.reasons["lost: "+res.reason]++
	case !res.complete:
		t.reasons[res.outcome+": "+res.reason]++
		if res.outcome == "refused_not_run" && !res.hasRetryAfter {
			t.noRetryAfter++
		}
	case res.digest != req.Digest:
		t.wrong++
	default:
		r.addAnswer(t, req, res)
	}
}

func (r *Report) addAnswer(t *tally, req Request, res result) {
	t.answered++
	_ = t.ttft.RecordValue(res.ttft.Microseconds())
	for _, g := range res.gaps {
		_ = t.gaps.RecordValue(g.Microseconds())
	}
	target := r.targets[req.Class]
	inTime := res.ttft <= time.Duration(target.TTFTMS)*time.Millisecond
	if inTime && quantile(res.gaps, gapQuantile) <= time.Duration(target.TBTMS)*time.Millisecond {
		t.good++
	}
}

func quantile(gaps []time.Duration, q float64) time.Duration {
	if len(gaps) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(gaps))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (r *Report) addRepeat(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case res.complete:
		r.repeatsAnswered++
	case res.lost:
		r.repeatsLost++
	default:
		r.repeatsRefused++
	}
}

// Totals are the sums of a replay's figures over all classes.
type Totals struct {
	Offered, Answered, Good, Wrong, Lost, NoRetryAfter int
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
		sum.NoRetryAfter += t.noRetryAfter
	}
	return sum
}

// Write prints the report as a table, followed by the reasons of failures.
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
			percent(t.good, t.offered), t.cancelled, quantiles(t.ttft), quantiles(t.gaps))
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
		if t.noRetryAfter > 0 {
			_, _ = fmt.Fprintf(w, "  %s: %d refused without Retry-After\n", name, t.noRetryAfter)
		}
	}
	if n := r.repeatsAnswered + r.repeatsRefused + r.repeatsLost; n > 0 {
		_, _ = fmt.Fprintf(w, "  repeated with the same key: %d, answered %d, refused %d, lost %d\n",
			n, r.repeatsAnswered, r.repeatsRefused, r.repeatsLost)
	}
}

func percent(n, total int) float64 { return 100 * float64(n) / float64(max(total, 1)) }

func quantiles(h *hdrhistogram.Histogram) string {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("%.1f\t%.1f\t%.1f", ms(50), ms(95), ms(99))
}
