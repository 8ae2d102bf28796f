package pace

import (
	"maps"
	"slices"
)

// Figure is one kind's line in short, for peers.
type Figure struct {
	Service string  `cbor:"1,keyasint"`
	Act     Act     `cbor:"2,keyasint"`
	Base    float64 `cbor:"3,keyasint"`
	Slope   float64 `cbor:"4,keyasint"`
	Low     float64 `cbor:"5,keyasint"` // a small size, of those seen
	High    float64 `cbor:"6,keyasint"` // a large one
}

// Figures returns what this process has seen enough of itself.
func (m *Model) Figures() []Figure {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Figure
	for at, k := range m.kinds {
		if len(k.sizes) < enough {
			continue
		}
		k.refit()
		f := Figure{Service: at.service, Act: at.act, Base: k.fit.base, Slope: k.fit.slope}
		f.Low, f.High = k.span()
		list = append(list, f)
	}
	return list
}

// Tell takes what an instance knows; it replaces what the same
// teller told before.
func (m *Model) Tell(teller string, list []Figure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range list {
		if f.Act < 0 || f.Act >= acts {
			continue // of a newer version, which knows more acts
		}
		k := m.kind(f.Service, f.Act)
		if _, known := k.told[teller]; !known && len(k.told) >= peersMost {
			delete(k.told, slices.Min(slices.Collect(maps.Keys(k.told))))
		}
		k.told[teller] = f
		k.fitted = false
	}
}
