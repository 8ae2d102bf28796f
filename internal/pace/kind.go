package pace

import (
	"math"
	"slices"

	"github.com/trailshed/trailshed/pkg/clock"
)

// kind is one figure of all engines of a service.
type kind struct {
	prior    line
	additive bool // sizes and outcomes are logarithms
	engines  map[string]*track
	told     map[string]Figure // by the instance that told
	seen     int
	latest   clock.Millis

	sizes []float64 // of all samples, in order

	fitted bool // what follows is up to date
	fit    line
	known  bool // the fit is more than the prior
}

// track is the latest of one engine's requests.
type track struct {
	ring []sample
	next int

	fitted bool // fit is up to date
	fit    line
}

type sample struct {
	size, outcome float64
	at            clock.Millis
}

func (k *kind) learn(engine string, s sample) {
	t := k.engines[engine]
	if t == nil {
		t = &track{}
		k.engines[engine] = t
	}
	if len(t.ring) < ringSize {
		t.ring = append(t.ring, s)
	} else {
		k.removeSize(t.ring[t.next].size)
		t.ring[t.next] = s
		t.next = (t.next + 1) % ringSize
	}
	k.addSize(s.size)
	t.fitted = false
	k.seen++
	k.latest = max(k.latest, s.at)
	k.fitted = false
}

func (k *kind) forget(live func(string) bool) {
	for engine, t := range k.engines {
		if live(engine) {
			continue
		}
		for _, s := range t.ring {
			k.removeSize(s.size)
		}
		delete(k.engines, engine)
		k.fitted = false
	}
}

func (k *kind) addSize(size float64) {
	at, _ := slices.BinarySearch(k.sizes, size)
	k.sizes = slices.Insert(k.sizes, at, size)
}

func (k *kind) removeSize(size float64) {
	at, _ := slices.BinarySearch(k.sizes, size)
	k.sizes = slices.Delete(k.sizes, at, at+1)
}

// span returns a small and a large size of the samples.
func (k *kind) span() (low, high float64) {
	if len(k.sizes) == 0 {
		return 0, 0
	}
	return ofSorted(k.sizes, 1-mostQuantile), ofSorted(k.sizes, mostQuantile)
}

// pooled returns the samples of all engines.
func (k *kind) pooled() []sample {
	var all []sample
	for _, t := range k.engines {
		all = append(all, t.ring...)
	}
	return all
}

// predict is the outcome that an engine is expected to have.
func (k *kind) predict(engine string, size float64) float64 {
	k.refit()
	usual := k.fit.at(size)
	t := k.engines[engine]
	if t == nil {
		return usual
	}
	own, known := k.own(t)
	if !known {
		return usual
	}
	if k.additive {
		return max(usual+own, 0)
	}
	return usual * own
}

// own is how an engine differs from its kind: by which factor, or by how much
// where outcomes are logarithms.
func (k *kind) own(t *track) (float64, bool) {
	var differences []float64
	for _, s := range t.ring {
		if k.latest.Sub(s.at) <= sampleLife {
			differences = append(differences, k.difference(k.fit, s))
		}
	}
	if len(differences) < enough {
		return 0, false
	}
	own := median(differences)
	if k.additive {
		return own, math.Abs(own) > kindTolerance
	}
	return own, math.Abs(own-1) > kindTolerance
}

// difference of a sample from a line.
func (k *kind) difference(l line, s sample) float64 {
	if k.additive {
		return s.outcome - l.at(s.size)
	}
	return s.outcome / max(l.at(s.size), smallest)
}

// smallest keeps divisions from the impossible; a microsecond, in ms.
const smallest = 0.001

// refit fits the kind's line: at a small and at a large size, the median of what
// engines, each by its own line, and peers are seen to take.
func (k *kind) refit() {
	if k.fitted {
		return
	}
	k.fitted = true
	k.fit = k.prior
	var lines []line
	for _, t := range k.engines {
		if len(t.ring) >= enough {
			lines = append(lines, k.lineOf(t))
		}
	}
	low, high := k.span()
	for _, f := range k.told {
		lines = append(lines, line{base: f.Base, slope: f.Slope})
		if len(k.sizes) == 0 {
			low, high = f.Low, f.High
		}
	}
	k.known = true
	switch {
	case len(lines) > 0:
		k.fit = middle(lines, low, high)
	case len(k.sizes) >= enough:
		k.fit = k.fitTo(k.pooled())
	default:
		k.known = false
	}
}

// lineOf is an engine's own line.
func (k *kind) lineOf(t *track) line {
	if !t.fitted {
		t.fit, t.fitted = k.fitTo(t.ring), true
	}
	return t.fit
}

// ratios are what outcomes came to, against what their own engine is predicted
// to take.
func (k *kind) ratios() []float64 {
	k.refit()
	ratios := make([]float64, 0, len(k.sizes))
	for _, t := range k.engines {
		own, known := k.own(t)
		for _, s := range t.ring {
			d := k.difference(k.fit, s)
			switch {
			case k.additive && known:
				d -= own
			case known:
				d /= max(own, smallest)
			}
			ratios = append(ratios, d)
		}
	}
	return ratios
}

func (k *kind) fitTo(list []sample) line {
	if k.additive {
		return fitShifted(list, k.prior)
	}
	return fitScaled(list, k.prior)
}

// spreadUnknown is the spread that is assumed before enough was seen.
const spreadUnknown = 1.5

// spread is by which factor the slowest tenth goes beyond the prediction.
func (k *kind) spread() float64 {
	ratios := k.ratios()
	if len(ratios) < enough {
		return spreadUnknown
	}
	return max(quantile(ratios, mostQuantile), 1)
}

// ratioMost bounds what a single answer weighs in the mean.
const ratioMost = 4

// meanRatio is the mean of what answers came to, as a part of the prediction.
func (k *kind) meanRatio() float64 {
	ratios := k.ratios()
	if len(ratios) < enough {
		return 1
	}
	total := 0.0
	for _, r := range ratios {
		total += min(math.Exp(r), ratioMost)
	}
	return total / float64(len(ratios))
}
