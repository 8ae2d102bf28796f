package experiment

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plots.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot draws two plots into dir, with a line for each policy: the percentage of requests
// in time by second of arrival, and the distribution of the time to the first token. The
// format is svg or png.
func (r *Result) Plot(dir, format string) error {
	plots := []struct {
		name  string
		x, y  string
		lines func(map[uint64]*Outcome) plotter.XYs
	}{
		{"in_time", "second of arrival", "requests in time, %", inTimeBySecond},
		{"first_token", "time to first token, ms", "answered requests, %", firstTokenDistribution},
	}
	for _, d := range plots {
		p := plot.New()
		p.Title.Text = r.Plan + " (" + r.Version + ")"
		p.X.Label.Text, p.Y.Label.Text = d.x, d.y
		p.Y.Min, p.Y.Max = 0, 100
		for i, policy := range r.Policies {
			line, err := plotter.NewLine(d.lines(r.runsOf(policy)))
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

// inTimeBySecond returns the percentage in time over all seeds; seconds without arrivals
// have no point.
func inTimeBySecond(runs map[uint64]*Outcome) plotter.XYs {
	var requests, inTime []int
	for _, o := range runs {
		if requests == nil {
			requests, inTime = make([]int, len(o.RequestsBySecond)), make([]int, len(o.RequestsBySecond))
		}
		for s := range min(len(requests), len(o.RequestsBySecond)) {
			requests[s] += o.RequestsBySecond[s]
			inTime[s] += o.InTimeBySecond[s]
		}
	}
	var line plotter.XYs
	for s := range requests {
		if requests[s] > 0 {
			line = append(line, plotter.XY{X: float64(s), Y: 100 * ratio(inTime[s], requests[s])})
		}
	}
	return line
}

// firstTokenDistribution returns the percentiles of the time to the first token, each the
// mean over the seeds.
func firstTokenDistribution(runs map[uint64]*Outcome) plotter.XYs {
	var line plotter.XYs
	for percent := range 101 {
		x := mean(runs, func(o *Outcome) float64 { return float64(o.FirstTokenPercentiles[percent]) })
		line = append(line, plotter.XY{X: x, Y: float64(percent)})
	}
	return line
}
