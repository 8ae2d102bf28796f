package pace

import (
	"math"

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

	fitted bool // what follows is up to date
	fit    line
	known  bool      // the fit is more than the prior
	ratios []float64 // of outcomes to what their own engine is predicted to take
}

// track is the latest of one engine's requests.
type track struct {
	ring []sample
	next int
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
		t.ring[t.next] = s
		t.next = (t.next + 1) % ringSize
	}
	k.seen++
	k.latest = max(k.latest, s.at)
	k.fitted = false
}

func (k *kind) forget(live func(string) bool) {
	for engine := range k.engines {
		if !live(engine) {
			delete(k.engines, engine)
			k.fitted = false
		}
	}
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
// engines, each by its own line, and fellows are seen to take.
func (k *kind) refit() {
	if k.fitted {
		return
	}
	k.fitted = true
	k.fit = k.prior
	var lines []line
	var pooled []sample
	for _, t := range k.engines {
		pooled = append(pooled, t.ring...)
		if len(t.ring) >= enough {
			lines = append(lines, k.fitTo(t.ring))
		}
	}
	low, high := sizes(pooled)
	for _, f := range k.told {
		lines = append(lines, line{base: f.Base, slope: f.Slope})
		if len(pooled) == 0 {
			low, high = f.Low, f.High
		}
	}
	k.known = true
	switch {
	case len(lines) > 0:
		k.fit = middle(lines, low, high)
	case len(pooled) >= enough:
		k.fit = k.fitTo(pooled)
	default:
		k.known = false
	}
	k.compare()
}

// compare notes what outcomes came to, against what their own engine is
// predicted to take.
func (k *kind) compare() {
	k.ratios = k.ratios[:0]
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
			k.ratios = append(k.ratios, d)
		}
	}
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
	k.refit()
	if len(k.ratios) < enough {
		return spreadUnknown
	}
	return max(quantile(k.ratios, mostQuantile), 1)
}

// ratioMost bounds what a single answer weighs in the mean.
const ratioMost = 4

// meanRatio is the mean of what answers came to, as a part of the prediction.
func (k *kind) meanRatio() float64 {
	k.refit()
	if len(k.ratios) < enough {
		return 1
	}
	total := 0.0
	for _, r := range k.ratios {
		total += min(math.Exp(r), ratioMost)
	}
	return total / float64(len(k.ratios))
}
