package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"sync"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Result is all runs of a plan, in the order of its policies and seeds. Written
// to a file it can be compared with that of another commit.
type Result struct {
	Plan     string     `json:"plan"`
	Version  string     `json:"version"` // of trailshed
	Policies []string   `json:"policies"`
	Seeds    []uint64   `json:"seeds"`
	Runs     []*Outcome `json:"runs"`
}

// Play makes all runs, several at a time; what comes of them does not depend on
// how many.
func (p *Plan) Play(version string, jobs int) *Result {
	r := &Result{Plan: p.Name, Version: version, Policies: p.Policies, Seeds: p.Seeds}
	r.Runs = make([]*Outcome, len(p.Policies)*len(p.Seeds))
	next := make(chan int)
	var group sync.WaitGroup
	for range max(jobs, 1) {
		group.Go(func() {
			for n := range next {
				r.Runs[n] = p.Run(p.Policies[n/len(p.Seeds)], p.Seeds[n%len(p.Seeds)])
			}
		})
	}
	for n := range r.Runs {
		next <- n
	}
	close(next)
	group.Wait()
	return r
}

// Read reads a result file.
func Read(file string) (*Result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.New("%s: %v", file, err)
	}
	r := &Result{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, Error.New("%s: %v", file, err)
	}
	return r, nil
}

// Write writes a result file.
func (r *Result) Write(file string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(file, append(data, '\n'), 0o600))
}

// of returns a policy's runs by seed.
func (r *Result) of(policy string) map[uint64]*Outcome {
	runs := map[uint64]*Outcome{}
	for _, o := range r.Runs {
		if o.Policy == policy {
			runs[o.Seed] = o
		}
	}
	return runs
}

// Difference is the mean of paired differences of the share in time.
type Difference struct {
	Mean  float64
	Half  float64 // of the interval that holds the mean in 95 of 100 cases; NaN for one pair
	Pairs int
}

// confidence of a Difference's interval.
const confidence = 0.95

// Pair compares runs of the same seed: what the share in time is more in b.
func Pair(a, b map[uint64]*Outcome) Difference {
	var more []float64
	for _, seed := range sortedKeys(a) {
		if other, ok := b[seed]; ok {
			more = append(more, other.Share()-a[seed].Share())
		}
	}
	if len(more) == 0 {
		return Difference{Half: math.NaN()}
	}
	mean, deviation := stat.MeanStdDev(more, nil)
	d := Difference{Mean: mean, Half: math.NaN(), Pairs: len(more)}
	if len(more) > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(more) - 1)}
		d.Half = t.Quantile((1+confidence)/2) * stat.StdErr(deviation, float64(len(more)))
	}
	return d
}

// String is the difference in points of a hundred.
func (d Difference) String() string {
	switch {
	case d.Pairs == 0:
		return "no pairs"
	case math.IsNaN(d.Half):
		return fmt.Sprintf("%+.2f", 100*d.Mean)
	default:
		return fmt.Sprintf("%+.2f ± %.2f", 100*d.Mean, 100*d.Half)
	}
}

// Print writes tables: the means of each policy, then the paired differences
// from the first policy and, if there is one, from an earlier result.
func (r *Result) Print(out io.Writer, earlier *Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\t\n", args...) } // Flush tells errors
	row("%s\tin time %%\tlate %%\trefused %%\tfailed %%\tread for nothing %%\tfirst p50 ms\tp99 ms\tthan %s", r.Plan, r.Policies[0])
	first := r.of(r.Policies[0])
	for i, policy := range r.Policies {
		runs := r.of(policy)
		difference := ""
		if i > 0 {
			difference = Pair(first, runs).String()
		}
		row("%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%s", policy,
			100*mean(runs, (*Outcome).Share),
			100*mean(runs, func(o *Outcome) float64 { return part(o.Late, o.Asked) }),
			100*mean(runs, func(o *Outcome) float64 { return part(o.Refused, o.Asked) }),
			100*mean(runs, func(o *Outcome) float64 { return part(o.Failed+o.Unended, o.Asked) }),
			100*mean(runs, (*Outcome).Waste),
			mean(runs, func(o *Outcome) float64 { return float64(o.FirstP50) }),
			mean(runs, func(o *Outcome) float64 { return float64(o.FirstP99) }),
			difference)
	}
	if earlier != nil {
		row("")
		row("in time %%\t%s\t%s\tmore", earlier.Version, r.Version)
		for _, policy := range r.Policies {
			before, now := earlier.of(policy), r.of(policy)
			row("%s\t%.2f\t%.2f\t%s", policy, 100*mean(before, (*Outcome).Share), 100*mean(now, (*Outcome).Share), Pair(before, now))
		}
	}
	return Error.Wrap(t.Flush())
}

func mean(runs map[uint64]*Outcome, of func(*Outcome) float64) float64 {
	var all []float64
	for _, seed := range sortedKeys(runs) {
		all = append(all, of(runs[seed]))
	}
	return stat.Mean(all, nil)
}
