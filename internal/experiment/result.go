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

// Result holds the outcomes of all runs of a plan, ordered by policy, then by seed. It
// can be written to a file and compared with the result of another version.
type Result struct {
	Plan     string     `json:"plan"`
	Version  string     `json:"version"` // of trailshed
	Policies []string   `json:"policies"`
	Seeds    []uint64   `json:"seeds"`
	Runs     []*Outcome `json:"runs"`
}

// RunAll runs the plan with each policy and seed, jobs runs at a time. The result does not
// depend on jobs.
func (p *Plan) RunAll(version string, jobs int) *Result {
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

// ReadResult reads a result file.
func ReadResult(file string) (*Result, error) {
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

// runsOf returns a policy's runs by seed.
func (r *Result) runsOf(policy string) map[uint64]*Outcome {
	runs := map[uint64]*Outcome{}
	for _, o := range r.Runs {
		if o.Policy == policy {
			runs[o.Seed] = o
		}
	}
	return runs
}

// Difference is the mean of the paired differences in the ratio of requests in time.
type Difference struct {
	Mean      float64
	HalfWidth float64 // half the width of the 95 % confidence interval; NaN with fewer than two pairs
	Pairs     int
}

// confidence is the level of a Difference's confidence interval.
const confidence = 0.95

// Pair compares the runs of the same seeds: by how much the ratio in time is higher in b
// than in a.
func Pair(a, b map[uint64]*Outcome) Difference {
	var differences []float64
	for _, seed := range sortedKeys(a) {
		if other, ok := b[seed]; ok {
			differences = append(differences, other.InTimeRatio()-a[seed].InTimeRatio())
		}
	}
	if len(differences) == 0 {
		return Difference{HalfWidth: math.NaN()}
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	d := Difference{Mean: mean, HalfWidth: math.NaN(), Pairs: len(differences)}
	if len(differences) > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(differences) - 1)}
		d.HalfWidth = t.Quantile((1+confidence)/2) * stat.StdErr(deviation, float64(len(differences)))
	}
	return d
}

// String formats the difference in percentage points.
func (d Difference) String() string {
	switch {
	case d.Pairs == 0:
		return "no pairs"
	case math.IsNaN(d.HalfWidth):
		return fmt.Sprintf("%+.2f", 100*d.Mean)
	default:
		return fmt.Sprintf("%+.2f ± %.2f", 100*d.Mean, 100*d.HalfWidth)
	}
}

// Print writes a table with the means of each policy and the paired differences from the
// first policy. If earlier is not nil, a second table compares each policy with it.
func (r *Result) Print(out io.Writer, earlier *Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\t\n", args...) } // Flush returns the errors
	row("%s\tin time %%\tlate %%\trefused %%\tfailed %%\twasted prefill %%\tfirst token p50 ms\tp99 ms\tdifference from %s", r.Plan, r.Policies[0])
	first := r.runsOf(r.Policies[0])
	for i, policy := range r.Policies {
		runs := r.runsOf(policy)
		difference := ""
		if i > 0 {
			difference = Pair(first, runs).String()
		}
		row("%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%s", policy,
			100*mean(runs, (*Outcome).InTimeRatio),
			100*mean(runs, func(o *Outcome) float64 { return ratio(o.Late, o.Requests) }),
			100*mean(runs, func(o *Outcome) float64 { return ratio(o.Refused, o.Requests) }),
			100*mean(runs, func(o *Outcome) float64 { return ratio(o.Failed+o.Unfinished, o.Requests) }),
			100*mean(runs, (*Outcome).WasteRatio),
			mean(runs, func(o *Outcome) float64 { return float64(o.FirstTokenP50) }),
			mean(runs, func(o *Outcome) float64 { return float64(o.FirstTokenP99) }),
			difference)
	}
	if earlier != nil {
		row("")
		row("in time %%\t%s\t%s\tdifference", earlier.Version, r.Version)
		for _, policy := range r.Policies {
			before, now := earlier.runsOf(policy), r.runsOf(policy)
			row("%s\t%.2f\t%.2f\t%s", policy, 100*mean(before, (*Outcome).InTimeRatio), 100*mean(now, (*Outcome).InTimeRatio), Pair(before, now))
		}
	}
	return Error.Wrap(t.Flush())
}

func mean(runs map[uint64]*Outcome, value func(*Outcome) float64) float64 {
	var values []float64
	for _, seed := range sortedKeys(runs) {
		values = append(values, value(runs[seed]))
	}
	return stat.Mean(values, nil)
}
