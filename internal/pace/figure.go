package pace

import (
	"maps"
	"slices"
)

// Figure is the fitted line of one quantity, as sent to peers.
type Figure struct {
	Service  string   `cbor:"1,keyasint"`
	Quantity Quantity `cbor:"2,keyasint"`
	Base     float64  `cbor:"3,keyasint"`
	Slope    float64  `cbor:"4,keyasint"`
	Low      float64  `cbor:"5,keyasint"` // a small observed size
	High     float64  `cbor:"6,keyasint"` // a large one
	// Engines is the number of engines with recent samples, and Speed their mean speed relative
	// to the line. Both are 0 if unknown.
	Engines int     `cbor:"7,keyasint,omitempty"`
	Speed   float64 `cbor:"8,keyasint,omitempty"`
}

// Figures returns the lines of which this process has made enough observations itself.
func (m *Model) Figures() []Figure {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Figure
	for id, e := range m.estimators {
		if len(e.sizes) < minSamples {
			continue
		}
		e.refit()
		f := Figure{Service: id.service, Quantity: id.quantity, Base: e.fit.base, Slope: e.fit.slope}
		f.Low, f.High = e.sizeRange()
		if sum, engines := e.ownSpeeds(); id.quantity < AnswerLength && engines > 0 {
			f.Engines, f.Speed = engines, sum/float64(engines)
		}
		list = append(list, f)
	}
	return list
}

// SetFigures takes the figures of another instance, which replace earlier ones from the
// same source.
func (m *Model) SetFigures(source string, list []Figure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range list {
		if f.Quantity < 0 || f.Quantity >= quantityCount {
			continue // from a newer version with more quantities
		}
		e := m.estimator(f.Service, f.Quantity)
		if _, known := e.reported[source]; !known && len(e.reported) >= maxPeers {
			delete(e.reported, slices.Min(slices.Collect(maps.Keys(e.reported))))
		}
		e.reported[source] = f
		e.fitted = false
	}
}
