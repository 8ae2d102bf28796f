// Package allotment divides a rate among classes of requests that together ask for more.
//
// Decisions are pure: a policy sees only what is allowed and what is demanded.
package allotment

import (
	"cmp"
	"math"
	"slices"
)

// Class identifies requests that are admitted alike.
type Class struct {
	Key      string `cbor:"1,keyasint,omitempty"` // of the caller's choice, for example a workspace
	Priority int    `cbor:"2,keyasint,omitempty"` // 0 is the most urgent
	Size     int    `cbor:"3,keyasint,omitempty"` // power of two of a request's cost, see SizeOf
}

// Demand is what is asked for in one class.
type Demand struct {
	Class  Class
	Rate   float64 // units a second
	Weight float64 // of its fair share, relative to other classes; 0 counts as 1
}

// Policy returns for each demand the fraction of it that may be admitted, so that all
// together stay within the allowed units a second.
type Policy func(allowed float64, demands []Demand) []float64

// minRatioFraction is the fraction of the mean ratio at which each class is admitted at
// least. Requests arrive unevenly; the margin above a quarter covers that.
const minRatioFraction = 0.3

// roundingError is the fraction of the demand below which a rest counts as nothing.
const roundingError = 1e-9

// SizeOf returns the size of a request that costs a number of units.
func SizeOf(units float64) int {
	if !(units >= 1) || math.IsInf(units, 1) {
		return 0
	}
	_, exponent := math.Frexp(units)
	return exponent - 1
}

// ByUrgency admits classes in the order of what a request costs for its urgency: a level
// of priority counts as much as half the cost. Classes that are equal in that share a
// ratio. No class is admitted at less than a quarter of the mean ratio.
func ByUrgency(allowed float64, demands []Demand) []float64 {
	total := sum(demands)
	if total <= allowed {
		return full(len(demands))
	}
	minRatio := minRatioFraction * max(allowed, 0) / total
	ratios := make([]float64, len(demands))
	left := max(allowed, 0) - minRatio*total
	for _, group := range groups(demands, func(c Class) int { return c.Priority + c.Size }) {
		above := 0.0 // units a second beyond the minimum
		for _, i := range group {
			above += max(demands[i].Rate, 0) * (1 - minRatio)
		}
		part := 0.0
		switch {
		case left <= roundingError*total: // also for a class that asks for nothing now
		case above <= left:
			part = 1
		default:
			part = left / above
		}
		left -= part * above
		for _, i := range group {
			ratios[i] = minRatio + part*(1-minRatio)
		}
	}
	return ratios
}

// MaxMin gives each demand its fair share by weight. What one does not ask for goes to
// the others, so that a demand within its fair share is admitted in full.
func MaxMin(allowed float64, demands []Demand) []float64 {
	if sum(demands) <= allowed {
		return full(len(demands))
	}
	order, weights := make([]int, len(demands)), 0.0
	for i, d := range demands {
		order[i] = i
		weights += d.weight()
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a].Rate*demands[b].weight(), demands[b].Rate*demands[a].weight())
	})
	ratios, left := make([]float64, len(demands)), max(allowed, 0)
	for _, i := range order {
		d := demands[i]
		share := left * d.weight() / weights
		ratios[i] = 1
		if d.Rate > share {
			ratios[i] = share / d.Rate
		}
		left -= ratios[i] * max(d.Rate, 0)
		weights -= d.weight()
	}
	return ratios
}

func (d Demand) weight() float64 {
	if d.Weight > 0 {
		return d.Weight
	}
	return 1
}

// groups returns the indices of demands with the same rank, in ascending order of it.
func groups(demands []Demand, rank func(Class) int) [][]int {
	byRank := map[int][]int{}
	var ranks []int
	for i, d := range demands {
		r := rank(d.Class)
		if byRank[r] == nil {
			ranks = append(ranks, r)
		}
		byRank[r] = append(byRank[r], i)
	}
	slices.Sort(ranks)
	list := make([][]int, len(ranks))
	for i, r := range ranks {
		list[i] = byRank[r]
	}
	return list
}

func sum(demands []Demand) float64 {
	total := 0.0
	for _, d := range demands {
		total += max(d.Rate, 0)
	}
	return total
}

func full(n int) []float64 {
	ratios := make([]float64, n)
	for i := range ratios {
		ratios[i] = 1
	}
	return ratios
}
