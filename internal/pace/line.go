package pace

import "math"

// line predicts an outcome from a size.
type line struct {
	base, slope float64
}

func (l line) at(size float64) float64 { return max(l.base+l.slope*size, 0) }

const (
	// apart is how far two sizes must be from each other, as a part of the
	// larger, for the pair to tell a slope rather than chance.
	apart = 0.2
	// pairsLeast is how many such pairs there must be.
	pairsLeast = 6
)

// fitScaled fits a line of times: no part of it is below zero, and where sizes
// are too much alike to tell a slope, it is the prior at another scale.
func fitScaled(list []sample, prior line) line {
	slope, ok := slopeOf(list)
	if !ok || slope < 0 {
		return prior.scaled(list)
	}
	l := line{base: baseOf(list, slope), slope: slope}
	if l.base >= 0 {
		return l
	}
	return line{slope: 1}.scaled(list)
}

// fitShifted fits a line of logarithms; where sizes are too much alike, it is
// the prior, moved.
func fitShifted(list []sample, prior line) line {
	slope, ok := slopeOf(list)
	if !ok || slope < 0 {
		slope = prior.slope
	}
	return line{base: baseOf(list, slope), slope: slope}
}

// slopeOf is the median slope of all pairs of samples (Theil and Sen): up to
// three samples in ten may be anything without moving it far.
func slopeOf(list []sample) (float64, bool) {
	var slopes []float64
	for i, a := range list {
		for _, b := range list[:i] {
			if math.Abs(a.size-b.size) > apart*max(a.size, b.size) {
				slopes = append(slopes, (a.outcome-b.outcome)/(a.size-b.size))
			}
		}
	}
	if len(slopes) < pairsLeast {
		return 0, false
	}
	return median(slopes), true
}

func baseOf(list []sample, slope float64) float64 {
	rests := make([]float64, len(list))
	for i, s := range list {
		rests[i] = s.outcome - slope*s.size
	}
	return median(rests)
}

// scaled returns the line at the scale that samples show.
func (l line) scaled(list []sample) line {
	ratios := make([]float64, len(list))
	for i, s := range list {
		ratios[i] = s.outcome / max(l.at(s.size), smallest)
	}
	scale := median(ratios)
	return line{base: l.base * scale, slope: l.slope * scale}
}

// middle returns the line through the medians of lines at two sizes.
func middle(lines []line, low, high float64) line {
	at := func(size float64) float64 {
		values := make([]float64, len(lines))
		for i, l := range lines {
			values[i] = l.at(size)
		}
		return median(values)
	}
	if high-low <= apart*high {
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
