package experiment

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of plots.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot draws the share in time by second of arrival, and the times to the first
// token, a line for each policy. The format is svg or png.
func (r *Result) Plot(dir, format string) error {
	drawings := []struct {
		name  string
		x, y  string
		lines func(map[uint64]*Outcome) plotter.XYs
	}{
		{"in_time", "second of arrival", "in time, %", inTimeBySecond},
		{"first_token", "time to the first token, ms", "of answers, %", firstTokens},
	}
	for _, d := range drawings {
		p := plot.New()
		p.Title.Text = r.Plan + " (" + r.Version + ")"
		p.X.Label.Text, p.Y.Label.Text = d.x, d.y
		p.Y.Min, p.Y.Max = 0, 100
		for i, policy := range r.Policies {
			line, err := plotter.NewLine(d.lines(r.of(policy)))
			if err != nil {
				return Error.Wrap(err)
			}
			line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
			p.Add(line)
			p.Legend.Add(policy, line)
		}
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, r.Plan+"_"+d.name+"."+format)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// inTimeBySecond adds up all seeds; seconds without arrivals have no point.
func inTimeBySecond(runs map[uint64]*Outcome) plotter.XYs {
	var asked, good []int
	for _, o := range runs {
		if asked == nil {
			asked, good = make([]int, len(o.AskedBy)), make([]int, len(o.AskedBy))
		}
		for s := range min(len(asked), len(o.AskedBy)) {
			asked[s] += o.AskedBy[s]
			good[s] += o.InTimeBy[s]
		}
	}
	var line plotter.XYs
	for s := range asked {
		if asked[s] > 0 {
			line = append(line, plotter.XY{X: float64(s), Y: 100 * part(good[s], asked[s])})
		}
	}
	return line
}

// firstTokens is the mean over the seeds at each whole percent.
func firstTokens(runs map[uint64]*Outcome) plotter.XYs {
	var line plotter.XYs
	for percent := range 101 {
		x := mean(runs, func(o *Outcome) float64 { return float64(o.Firsts[percent]) })
		line = append(line, plotter.XY{X: x, Y: float64(percent)})
	}
	return line
}
