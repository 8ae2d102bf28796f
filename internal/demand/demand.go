// Package demand averages how much is asked for a second. The caller passes the time.
package demand

import (
	"math"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Rate is an exponential average of units a second. It is not safe for concurrent use.
type Rate struct {
	period time.Duration
	value  float64
	at     clock.Millis
}

// NewRate returns a rate of 0 with the time constant period.
func NewRate(period time.Duration) Rate { return Rate{period: period} }

// Add adds units that were asked for now.
func (r *Rate) Add(now clock.Millis, units float64) {
	r.value = r.Now(now) + units/r.period.Seconds()
	r.at = now
}

// Now returns the average in units a second.
func (r *Rate) Now(now clock.Millis) float64 {
	return r.value * math.Exp(-max(now.Sub(r.at), 0).Seconds()/r.period.Seconds())
}

// RiseRatio is how many times the slow average the fast one must exceed to count as an
// increase rather than noise.
const RiseRatio = 1.5

// Demand is a rate that rises fast and falls slowly. It is not safe for concurrent use.
type Demand struct{ fast, slow Rate }

// New returns a demand of 0 that rises with one time constant and falls with another.
func New(fast, slow time.Duration) Demand {
	return Demand{fast: NewRate(fast), slow: NewRate(slow)}
}

// Add adds units that were asked for now.
func (d *Demand) Add(now clock.Millis, units float64) {
	d.fast.Add(now, units)
	d.slow.Add(now, units)
}

// Averages returns the average with the fast time constant and that with the slow one.
func (d *Demand) Averages(now clock.Millis) (fast, slow float64) {
	return d.fast.Now(now), d.slow.Now(now)
}

// Now returns the demand in units a second.
func (d *Demand) Now(now clock.Millis) float64 {
	fast, slow := d.Averages(now)
	if fast > RiseRatio*slow {
		return fast
	}
	return slow
}
