package quota

import "time"

// Limit is what a workspace may run in all instances together.
type Limit struct {
	Rate  float64 // units a second
	Burst float64 // units besides
}

// over is how many units the limit allows in a window.
func (l Limit) over(window time.Duration) float64 { return l.Rate*window.Seconds() + l.Burst }

// Use is what one instance was asked for a workspace and what of it ran, in units
// since the instance began. Sums bear the loss of messages.
type Use struct {
	Workspace string  `cbor:"1,keyasint"`
	Asked     float64 `cbor:"2,keyasint"`
	Ran       float64 `cbor:"3,keyasint"`
}

// Word is what a ledger tells gates of one workspace that is near its limit.
type Word struct {
	Workspace string  `cbor:"1,keyasint"`
	Pass      float64 `cbor:"2,keyasint"` // part of what is asked that may be admitted
	Used      float64 `cbor:"3,keyasint"` // units that ran within a window
}

// Rates are what was asked of one zone for a workspace and what of it ran.
type Rates struct {
	Workspace string  `cbor:"1,keyasint"`
	Asked     float64 `cbor:"2,keyasint"` // units a second
	Ran       float64 `cbor:"3,keyasint"` // units a second
	Total     float64 `cbor:"4,keyasint"` // units that ran since the ledger began
}

// Sums is what one zone's ledger tells the others.
type Sums struct {
	Zone  string  `cbor:"1,keyasint"`
	Life  uint64  `cbor:"2,keyasint"` // of the ledger: totals of two cannot be compared
	Rates []Rates `cbor:"3,keyasint"`
	Away  float64 `cbor:"4,keyasint"` // part of each limit that is kept for instances which the ledger does not hear
}

// Report is what one instance tells the ledgers of its zone.
type Report struct {
	Instance string        `cbor:"1,keyasint"`
	Life     uint64        `cbor:"2,keyasint"` // tells the lives of an instance apart
	Age      time.Duration `cbor:"3,keyasint"` // of that life
	Uses     []Use         `cbor:"4,keyasint"`
}
