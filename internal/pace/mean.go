package pace

import (
	"math"
	"time"
)

// maxSpeed bounds the speed of one engine in a mean, relative to the typical engine.
const maxSpeed = 4

// MeanTime is like [Model.Median], or [Model.TokenTime], for an engine of the mean speed instead
// of the median one: what a service's engines do together follows from the mean. Without engines
// that differ the two are equal.
func (m *Model) MeanTime(quantity Quantity, service string, size int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.estimator(service, quantity)
	typical := e.predict(AnyEngine, float64(size))
	speed, _ := e.meanSpeed()
	return millisToDuration(typical / speed)
}

// meanSpeed returns the mean speed of the engines of which enough is known, relative to the
// common fit, and their number. Other instances' figures count for as many engines as they cover.
func (e *estimator) meanSpeed() (speed float64, engines int) {
	sum, engines := e.ownSpeeds()
	_, size := e.sizeRange()
	for _, f := range e.reported {
		if f.Engines <= 0 || !(f.Speed > 0) {
			continue // from an older version
		}
		if len(e.sizes) == 0 {
			size = f.High
		}
		reported := line{base: f.Base, slope: f.Slope}
		relative := reported.at(size) / max(e.fit.at(size), minDivisor)
		sum += float64(f.Engines) * boundedSpeed(relative/f.Speed)
		engines += f.Engines
	}
	if engines == 0 {
		return 1, 0
	}
	return sum / float64(engines), engines
}

// ownSpeeds returns the summed speed of the engines of which this process has enough recent
// samples, and their number.
func (e *estimator) ownSpeeds() (sum float64, engines int) {
	e.refit()
	for _, h := range e.engines {
		if residual, known := e.recentResidual(h); known {
			sum += boundedSpeed(residual)
			engines++
		}
	}
	return sum, engines
}

// boundedSpeed returns the speed of an engine that takes a multiple of the typical time. One that
// differs insignificantly counts as typical.
func boundedSpeed(multiple float64) float64 {
	if math.Abs(multiple-1) <= minDeviation {
		return 1
	}
	return min(max(1/max(multiple, minDivisor), 1.0/maxSpeed), maxSpeed)
}
