package pace

import (
	"math"
	"slices"

	"github.com/trailshed/trailshed/pkg/clock"
)

// estimator learns one quantity of all engines of a service.
type estimator struct {
	prior        line
	logarithmic  bool // whether sizes and outcomes are logarithms
	engines      map[string]*history
	reported     map[string]Figure // figures of other instances, by source
	observations int
	latestAt     clock.Millis

	sizes []float64 // of all samples, sorted

	fitted bool // whether the fields below are up to date
	fit    line
	known  bool // whether fit is based on samples or reported figures, not only on the prior
}

// history holds the latest samples of one engine.
type history struct {
	samples []sample
	next    int

	fitted bool // whether fit is up to date
	fit    line
}

type sample struct {
	size, outcome float64
	at            clock.Millis
}

func (e *estimator) learn(engine string, s sample) {
	h := e.engines[engine]
	if h == nil {
		h = &history{}
		e.engines[engine] = h
	}
	if len(h.samples) < maxSamples {
		h.samples = append(h.samples, s)
	} else {
		e.removeSize(h.samples[h.next].size)
		h.samples[h.next] = s
		h.next = (h.next + 1) % maxSamples
	}
	e.addSize(s.size)
	h.fitted = false
	e.observations++
	e.latestAt = max(e.latestAt, s.at)
	e.fitted = false
}

func (e *estimator) forget(live func(string) bool) {
	for engine, h := range e.engines {
		if live(engine) {
			continue
		}
		for _, s := range h.samples {
			e.removeSize(s.size)
		}
		delete(e.engines, engine)
		e.fitted = false
	}
}

func (e *estimator) addSize(size float64) {
	at, _ := slices.BinarySearch(e.sizes, size)
	e.sizes = slices.Insert(e.sizes, at, size)
}

func (e *estimator) removeSize(size float64) {
	at, _ := slices.BinarySearch(e.sizes, size)
	e.sizes = slices.Delete(e.sizes, at, at+1)
}

// sizeRange returns a small and a large size of the samples.
func (e *estimator) sizeRange() (low, high float64) {
	if len(e.sizes) == 0 {
		return 0, 0
	}
	return quantileOfSorted(e.sizes, 1-highQuantile), quantileOfSorted(e.sizes, highQuantile)
}

// allSamples returns the samples of all engines.
func (e *estimator) allSamples() []sample {
	var all []sample
	for _, h := range e.engines {
		all = append(all, h.samples...)
	}
	return all
}

// predict returns the expected outcome at an engine.
func (e *estimator) predict(engine string, size float64) float64 {
	e.refit()
	common := e.fit.at(size)
	h := e.engines[engine]
	if h == nil {
		return common
	}
	deviation, known := e.deviation(h)
	if !known {
		return common
	}
	if e.logarithmic {
		return max(common+deviation, 0)
	}
	return common * deviation
}

// deviation returns how an engine's recent samples differ from the common fit: as a
// factor, or as an offset if outcomes are logarithms. It returns false if there are too
// few samples or the difference is insignificant.
func (e *estimator) deviation(h *history) (float64, bool) {
	deviation, known := e.recentResidual(h)
	if !known {
		return 0, false
	}
	if e.logarithmic {
		return deviation, math.Abs(deviation) > minDeviation
	}
	return deviation, math.Abs(deviation-1) > minDeviation
}

// recentResidual returns the median residual of an engine's recent samples, or false if there
// are too few.
func (e *estimator) recentResidual(h *history) (float64, bool) {
	var residuals []float64
	for _, s := range h.samples {
		if e.latestAt.Sub(s.at) <= maxSampleAge {
			residuals = append(residuals, e.residual(e.fit, s))
		}
	}
	if len(residuals) < minSamples {
		return 0, false
	}
	return median(residuals), true
}

// residual is the difference of a sample from a line, as a factor or an offset.
func (e *estimator) residual(l line, s sample) float64 {
	if e.logarithmic {
		return s.outcome - l.at(s.size)
	}
	return s.outcome / max(l.at(s.size), minDivisor)
}

// minDivisor avoids division by zero. It is a microsecond, in ms.
const minDivisor = 0.001

// refit updates the common line, which at a small and at a large size passes through
// the medians of the engines' own lines and the peers' lines.
func (e *estimator) refit() {
	if e.fitted {
		return
	}
	e.fitted = true
	e.fit = e.prior
	var lines []line
	for _, h := range e.engines {
		if len(h.samples) >= minSamples {
			lines = append(lines, e.engineLine(h))
		}
	}
	low, high := e.sizeRange()
	for _, f := range e.reported {
		lines = append(lines, line{base: f.Base, slope: f.Slope})
		if len(e.sizes) == 0 {
			low, high = f.Low, f.High
		}
	}
	e.known = true
	switch {
	case len(lines) > 0:
		e.fit = medianLine(lines, low, high)
	case len(e.sizes) >= minSamples:
		e.fit = e.fitLine(e.allSamples())
	default:
		e.known = false
	}
}

// engineLine returns an engine's own line.
func (e *estimator) engineLine(h *history) line {
	if !h.fitted {
		h.fit, h.fitted = e.fitLine(h.samples), true
	}
	return h.fit
}

// ratios returns each sample's outcome relative to the prediction for its engine.
func (e *estimator) ratios() []float64 {
	e.refit()
	ratios := make([]float64, 0, len(e.sizes))
	for _, h := range e.engines {
		deviation, known := e.deviation(h)
		for _, s := range h.samples {
			d := e.residual(e.fit, s)
			switch {
			case e.logarithmic && known:
				d -= deviation
			case known:
				d /= max(deviation, minDivisor)
			}
			ratios = append(ratios, d)
		}
	}
	return ratios
}

func (e *estimator) fitLine(list []sample) line {
	if e.logarithmic {
		return fitShifted(list, e.prior)
	}
	return fitScaled(list, e.prior)
}

// defaultSpread is assumed until there are enough samples.
const defaultSpread = 1.5

// spread is the factor by which the slowest tenth of requests exceeds the prediction.
func (e *estimator) spread() float64 {
	ratios := e.ratios()
	if len(ratios) < minSamples {
		return defaultSpread
	}
	return max(quantile(ratios, highQuantile), 1)
}

// maxRatio bounds the weight of a single answer in the mean.
const maxRatio = 4

// meanRatio is the mean length of answers relative to the prediction.
func (e *estimator) meanRatio() float64 {
	ratios := e.ratios()
	if len(ratios) < minSamples {
		return 1
	}
	total := 0.0
	for _, r := range ratios {
		total += min(math.Exp(r), maxRatio)
	}
	return total / float64(len(ratios))
}
