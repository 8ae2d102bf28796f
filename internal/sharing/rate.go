package sharing

import (
	"math"
	"time"

	"github.com/trailshed/trailshed/internal/demand"
)

const (
	// slowPeriod and fastPeriod are the time constants of averaged demand. The fast one
	// counts while demand rises.
	slowPeriod = time.Second
	fastPeriod = 250 * time.Millisecond
	// noiseDeviations is how many standard deviations of random arrivals an average may
	// exceed a share by chance.
	noiseDeviations = 2.0
)

func newDemand() *demand.Demand {
	d := demand.New(fastPeriod, slowPeriod)
	return &d
}

// noise returns by how much a measured rate may exceed the actual one by chance.
func noise(perSecond float64) float64 {
	return noiseDeviations * math.Sqrt(perSecond/(2*fastPeriod.Seconds()))
}
