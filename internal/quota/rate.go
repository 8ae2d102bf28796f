package quota

import (
	"time"

	"github.com/trailshed/trailshed/internal/demand"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// smoothingTime is the time constant of averaged rates. Several requests of a
	// workspace arrive within it.
	smoothingTime = 500 * time.Millisecond
	// fastSmoothingTime is the time constant where an increase must be noticed soon. A
	// workspace that sends six times its usual load when a general burst begins uses up
	// within half a second everything by which a limit may be exceeded.
	fastSmoothingTime = 200 * time.Millisecond
)

func newDemand() demand.Demand { return demand.New(fastSmoothingTime, smoothingTime) }

// windowSteps is how many steps a window is divided into; units expire a step at a
// time.
const windowSteps = 40

// window sums units over a sliding time span, never over less than its length.
type window struct {
	length time.Duration
	units  [windowSteps + 1]float64
	newest int64 // number of the newest step
}

// newWindow returns a window that ends at now and contains use at a constant rate.
func newWindow(now clock.Millis, length time.Duration, perSecond float64) window {
	w := window{length: length}
	w.newest = w.step(now)
	for i := range w.units {
		w.units[i] = perSecond * w.stepLength().Seconds()
	}
	return w
}

func (w *window) stepLength() time.Duration { return max(w.length/windowSteps, time.Millisecond) }

func (w *window) step(now clock.Millis) int64 { return int64(now) / w.stepLength().Milliseconds() }

func (w *window) add(now clock.Millis, units float64) {
	w.advance(now)
	w.units[w.newest%(windowSteps+1)] += units
}

// addOver adds units that were used evenly over a period until now.
func (w *window) addOver(now clock.Millis, period time.Duration, units float64) {
	w.advance(now)
	n := int64(period/w.stepLength()) + 1
	for i := range min(n, windowSteps+1) {
		w.units[(w.newest-i)%(windowSteps+1)] += units / float64(n)
	}
}

func (w *window) sum(now clock.Millis) float64 {
	w.advance(now)
	total := 0.0
	for _, u := range w.units {
		total += u
	}
	return max(total, 0) // a credit may be added in a later step than the use it reverts
}

// expiring returns the units that will leave the window within a time, if nothing is added.
func (w *window) expiring(now clock.Millis, within time.Duration) float64 {
	w.advance(now)
	total := 0.0
	for i := range min(int64(within/w.stepLength()), windowSteps) {
		total += w.units[(w.newest+1+i)%(windowSteps+1)]
	}
	return max(total, 0)
}

func (w *window) advance(now clock.Millis) {
	step := w.step(now)
	if step-w.newest > windowSteps+1 {
		w.newest = step - windowSteps - 1
	}
	for w.newest < step {
		w.newest++
		w.units[w.newest%(windowSteps+1)] = 0
	}
}
