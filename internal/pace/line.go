package pace

import "math"

// line predicts an outcome from a size.
type line struct {
	base, slope float64
}

func (l line) at(size float64) float64 { return max(l.base+l.slope*size, 0) }

const (
	// minSizeDifference is how far two sizes must differ, as a fraction of the larger,
	// for the slope of the pair to be more than noise.
	minSizeDifference = 0.2
	// minPairs is the number of such pairs required.
	minPairs = 6
)

// fitScaled fits a line of times, with neither base nor slope below zero. If sizes are
// too similar to determine a slope, it scales the prior.
func fitScaled(list []sample, prior line) line {
	slope, ok := medianSlope(list)
	if !ok || slope < 0 {
		return prior.scaled(list)
	}
	l := line{base: medianBase(list, slope), slope: slope}
	if l.base >= 0 {
		return l
	}
	return line{slope: 1}.scaled(list)
}

// fitShifted fits a line of logarithms. If sizes are too similar to determine a slope,
// it shifts the prior.
func fitShifted(list []sample, prior line) line {
	slope, ok := medianSlope(list)
	if !ok || slope < 0 {
		slope = prior.slope
	}
	return line{base: medianBase(list, slope), slope: slope}
}

// medianSlope is the median slope of all pairs of samples (Theil-Sen estimator). Up to
// three samples in ten may be arbitrary without much effect on it.
func medianSlope(list []sample) (float64, bool) {
	var slopes []float64
	for i, a := range list {
		for _, b := range list[:i] {
			if math.Abs(a.size-b.size) > minSizeDifference*max(a.size, b.size) {
				slopes = append(slopes, (a.outcome-b.outcome)/(a.size-b.size))
			}
		}
	}
	if len(slopes) < minPairs {
		return 0, false
	}
	return median(slopes), true
}

func medianBase(list []sample, slope float64) float64 {
	bases := make([]float64, len(list))
	for i, s := range list {
		bases[i] = s.outcome - slope*s.size
	}
	return median(bases)
}

// scaled returns the line multiplied by the median ratio of the samples to it.
func (l line) scaled(list []sample) line {
	ratios := make([]float64, len(list))
	for i, s := range list {
		ratios[i] = s.outcome / max(l.at(s.size), minDivisor)
	}
	scale := median(ratios)
	return line{base: l.base * scale, slope: l.slope * scale}
}

// medianLine returns the line through the medians of the lines at two sizes.
func medianLine(lines []line, low, high float64) line {
	at := func(size float64) float64 {
		values := make([]float64, len(lines))
		for i, l := range lines {
			values[i] = l.at(size)
		}
		return median(values)
	}
	if high-low <= minSizeDifference*high {
		slopes := make([]float64, len(lines))
		for i, l := range lines {
			slopes[i] = l.slope
		}
		slope := median(slopes)
		return line{base: at(high) - slope*high, slope: slope}
	}
	slope := (at(high) - at(low)) / (high - low)
	return line{base: at(low) - slope*low, slope: slope}
}
