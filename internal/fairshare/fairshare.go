// Package fairshare orders workspaces that compete for one resource. Each is entitled to a part
// in proportion to its weight, and the one that holds least for its weight goes first: repeated,
// that is max-min fairness. Nothing is reserved: what one does not use is free for the others.
package fairshare

import "math"

// Shares tracks what each workspace holds of a resource. It is not safe for concurrent use.
type Shares struct {
	weights     map[string]float64
	totalWeight float64
	leastWeight float64
	held        map[string]int
	totalHeld   int
}

// New returns Shares of which nothing is held.
func New() *Shares {
	s := &Shares{held: map[string]int{}}
	s.SetWeights(nil)
	return s
}

// SetWeights replaces the weights. Those that are not positive and finite are ignored.
func (s *Shares) SetWeights(weights map[string]float64) {
	s.weights, s.totalWeight, s.leastWeight = map[string]float64{}, 0, math.Inf(1)
	for name, weight := range weights {
		if weight > 0 && !math.IsInf(weight, 0) {
			s.weights[name] = weight
			s.totalWeight += weight
			s.leastWeight = min(s.leastWeight, weight)
		}
	}
	if len(s.weights) == 0 {
		s.totalWeight, s.leastWeight = 1, 1
	}
}

// Add adds an amount to what a workspace holds; a negative amount is given back.
func (s *Shares) Add(workspace string, amount int) {
	s.totalHeld += amount
	s.held[workspace] += amount
	if s.held[workspace] == 0 {
		delete(s.held, workspace)
	}
}

// Share returns what a workspace holds for its weight: 1 if that is the part it is entitled to of
// all that is held, less if it holds less. A workspace that is not known has the least weight. A
// request without a workspace counts as one of average share.
func (s *Shares) Share(workspace string) float64 {
	if workspace == "" {
		return 1
	}
	weight, known := s.weights[workspace]
	if !known {
		weight = s.leastWeight
	}
	return float64(s.held[workspace]) / max(float64(s.totalHeld), 1) * s.totalWeight / weight
}
