package quota

import (
	"time"

	"github.com/trailshed/trailshed/internal/allotment"
)

// Limit is what a workspace may run on all instances together.
type Limit struct {
	Rate  float64 // units a second
	Burst float64 // additional units
}

// allowance returns how many units the limit allows in a window.
func (l Limit) allowance(window time.Duration) float64 { return l.Rate*window.Seconds() + l.Burst }

// Use is what was requested from one instance for a workspace and what of it ran, in
// units since the instance started. The values are cumulative, so that a lost message
// does no harm.
type Use struct {
	Workspace string  `cbor:"1,keyasint"`
	Requested float64 `cbor:"2,keyasint"`
	Ran       float64 `cbor:"3,keyasint"`
	// Classes is what was requested by class. Only workspaces near their limit have it.
	Classes []ClassUse `cbor:"4,keyasint,omitempty"`
}

// ClassUse is what was requested from one instance in one class, in units since the
// instance distinguishes the class.
type ClassUse struct {
	Class     allotment.Class `cbor:"1,keyasint"`
	Requested float64         `cbor:"2,keyasint"`
}

// Status is the status of one workspace near its limit, which a ledger sends to its zone.
type Status struct {
	Workspace  string  `cbor:"1,keyasint"`
	AdmitRatio float64 `cbor:"2,keyasint"` // fraction of the requests that may be admitted
	Used       float64 `cbor:"3,keyasint"` // units that ran within a window
	// Classes are the classes that are admitted at ratios of their own.
	Classes []ClassRatio `cbor:"4,keyasint,omitempty"`
}

// ClassRatio is the fraction of the requests of one class that may be admitted.
type ClassRatio struct {
	Class      allotment.Class `cbor:"1,keyasint"`
	AdmitRatio float64         `cbor:"2,keyasint"`
}

// Rates is what was requested from one zone for a workspace and what of it ran.
type Rates struct {
	Workspace string  `cbor:"1,keyasint"`
	Requested float64 `cbor:"2,keyasint"` // units a second
	Ran       float64 `cbor:"3,keyasint"` // units a second
	Total     float64 `cbor:"4,keyasint"` // units that ran since the ledger started
	// Classes is what was requested by class.
	Classes []ClassRate `cbor:"5,keyasint,omitempty"`
}

// ClassRate is what was requested from one zone in one class.
type ClassRate struct {
	Class     allotment.Class `cbor:"1,keyasint"`
	Requested float64         `cbor:"2,keyasint"` // units a second
}

// Sums is what one zone's ledger sends to the others.
type Sums struct {
	Zone        string  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"` // of the ledger: totals of different ledgers cannot be compared
	Rates       []Rates `cbor:"3,keyasint"`
	Reserved    float64 `cbor:"4,keyasint"` // fraction of each limit that is reserved for silent instances
}

// Report is what one instance sends to the ledgers of its zone.
type Report struct {
	Instance    string        `cbor:"1,keyasint"`
	Incarnation uint64        `cbor:"2,keyasint"` // changes when the instance restarts
	Age         time.Duration `cbor:"3,keyasint"` // time since that start
	Uses        []Use         `cbor:"4,keyasint"`
}
