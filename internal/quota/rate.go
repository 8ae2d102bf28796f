package quota

import (
	"math"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// smoothing is over which time a rate is averaged: some requests of a workspace
	// come in it.
	smoothing = 500 * time.Millisecond
	// surge is the same where a rise must be seen soon. A workspace that sends six
	// times its usual when a general burst begins spends in half a second all by
	// which a limit may be exceeded.
	surge = 200 * time.Millisecond
)

// rate is an exponential average of units a second.
type rate struct {
	over  time.Duration
	value float64
	at    clock.Millis
}

func (r *rate) add(now clock.Millis, units float64) {
	r.value = r.now(now) + units/r.over.Seconds()
	r.at = now
}

func (r *rate) now(now clock.Millis) float64 {
	past := now.Sub(r.at)
	if past <= 0 {
		return r.value
	}
	return r.value * math.Exp(-past.Seconds()/r.over.Seconds())
}

// steep is by how much the rate of a short time must exceed that of a longer one to
// be taken for a rise rather than for chance.
const steep = 1.5

// demand is a rate that rises fast and falls slowly.
type demand struct{ fast, slow rate }

func newDemand() demand { return demand{fast: rate{over: surge}, slow: rate{over: smoothing}} }

func (d *demand) add(now clock.Millis, units float64) {
	d.fast.add(now, units)
	d.slow.add(now, units)
}

func (d *demand) now(now clock.Millis) float64 {
	fast, slow := d.fast.now(now), d.slow.now(now)
	if fast > steep*slow {
		return fast
	}
	return slow
}

// spans divides a window; the units of one leave together.
const spans = 40

// window sums units over a span of time, never over less than its length.
type window struct {
	length time.Duration
	units  [spans + 1]float64
	last   int64 // number of the newest span
}

// newWindow returns a window that ends at now and was filled at a rate.
func newWindow(now clock.Millis, length time.Duration, perSecond float64) window {
	w := window{length: length}
	w.last = w.span(now)
	for i := range w.units {
		w.units[i] = perSecond * w.spanLength().Seconds()
	}
	return w
}

func (w *window) spanLength() time.Duration { return max(w.length/spans, time.Millisecond) }

func (w *window) span(now clock.Millis) int64 { return int64(now) / w.spanLength().Milliseconds() }

func (w *window) add(now clock.Millis, units float64) {
	w.advance(now)
	w.units[w.last%(spans+1)] += units
}

// addOver adds units that came evenly over a span of time until now.
func (w *window) addOver(now clock.Millis, past time.Duration, units float64) {
	w.advance(now)
	n := int64(past/w.spanLength()) + 1
	for i := range min(n, spans+1) {
		w.units[(w.last-i)%(spans+1)] += units / float64(n)
	}
}

func (w *window) sum(now clock.Millis) float64 {
	w.advance(now)
	total := 0.0
	for _, u := range w.units {
		total += u
	}
	return max(total, 0) // credits may come in a later span than what they take back
}

func (w *window) advance(now clock.Millis) {
	newest := w.span(now)
	if newest-w.last > spans+1 {
		w.last = newest - spans - 1
	}
	for w.last < newest {
		w.last++
		w.units[w.last%(spans+1)] = 0
	}
}
