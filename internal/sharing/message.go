package sharing

import (
	"fmt"

	"github.com/trailshed/trailshed/internal/capacity"
)

// Class is a group of requests to a service that are treated alike.
type Class struct {
	Priority  int    `cbor:"1,keyasint,omitempty"` // 0 is the most urgent
	Workspace string `cbor:"2,keyasint,omitempty"` // empty: requests without a workspace
}

// Arrivals is the number of requests of a class that arrived at an instance since it
// started.
type Arrivals struct {
	Class
	Count float64 `cbor:"3,keyasint"`
}

// Use is what one instance knows about a service. All values are cumulative, so that a lost
// message does no harm.
type Use struct {
	Service  string           `cbor:"1,keyasint"`
	Arrivals []Arrivals       `cbor:"2,keyasint,omitempty"`
	Answers  capacity.Answers `cbor:"3,keyasint"`
}

// Report is what one instance sends to the ledgers of its zone.
type Report struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`           // changes when the instance restarts
	Full        bool   `cbor:"3,keyasint,omitempty"` // lists every class, not only changed ones
	Uses        []Use  `cbor:"4,keyasint,omitempty"`
}

// Rate is the demand of a class in requests a second.
type Rate struct {
	Class
	PerSecond float64 `cbor:"3,keyasint"`
}

// Sum is the demand for a service in one zone.
type Sum struct {
	Service string           `cbor:"1,keyasint"`
	Rates   []Rate           `cbor:"2,keyasint,omitempty"` // the largest ones
	Rest    float64          `cbor:"3,keyasint,omitempty"` // total of all others
	Answers capacity.Answers `cbor:"4,keyasint"`           // since the ledger started
}

// Sums is what one zone's ledger sends to the others.
type Sums struct {
	Zone        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // of the ledger: answers of different ledgers cannot be compared
	Sums        []Sum  `cbor:"3,keyasint,omitempty"`
}

// Cut is the fraction of a class's requests that is admitted.
type Cut struct {
	Class
	AdmitRatio float64 `cbor:"3,keyasint"`
	Share      float64 `cbor:"4,keyasint"` // requests a second of the whole class that are admitted
}

// Status is what a ledger sends to its zone's instances about a contended service.
// Classes without a cut are admitted in full.
type Status struct {
	Service  string  `cbor:"1,keyasint"`
	Capacity float64 `cbor:"2,keyasint"` // requests a second
	Demand   float64 `cbor:"3,keyasint"` // requests a second
	Cuts     []Cut   `cbor:"4,keyasint,omitempty"`
}

// String lists the largest cuts, for the log.
func (s Status) String() string {
	text := fmt.Sprintf("capacity %.0f/s, demand %.0f/s", s.Capacity, s.Demand)
	for _, c := range s.Cuts[:min(len(s.Cuts), maxListedCuts)] {
		text += fmt.Sprintf(", %q priority %d share %.1f/s pass %.2f", c.Workspace, c.Priority, c.Share, c.AdmitRatio)
	}
	return text
}

// maxListedCuts bounds the cuts in a log line.
const maxListedCuts = 4
