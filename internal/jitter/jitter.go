// Package jitter spreads what would otherwise happen at the same moment, evenly and without a
// random source.
package jitter

import (
	"math"
	"time"
)

// goldenRatio is the fractional part of the golden ratio; its multiples modulo 1 are
// evenly spread.
const goldenRatio = 0.6180339887

// Fraction returns the n-th of a sequence of evenly spread numbers in [0, 1).
func Fraction(n int) float64 {
	_, fraction := math.Modf(float64(n) * goldenRatio)
	return fraction
}

// Delay returns the n-th of a sequence of delays around a mean, which differ by up to a
// fraction of it.
func Delay(mean time.Duration, spread float64, n int) time.Duration {
	return time.Duration(float64(mean) * (1 + spread*(Fraction(n)-0.5)))
}
