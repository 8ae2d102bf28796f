package cell

import (
	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Event is an input to the dispatcher of a cell. Besides the types below, the
// messages AttemptRequest, Progress and Announcement are events.
type Event interface{ event() }

// Configured contains a newer catalog and the cell's members in it.
type Configured struct {
	Catalog *catalog.Catalog
	Members []catalog.Member
}

// Reported contains an endpoint's report, read at or after RequestedAt.
type Reported struct {
	Endpoint    string
	Report      endpoint.Report
	RequestedAt clock.Millis
}

// Unreachable means that an endpoint's report could not be read.
type Unreachable struct{ Endpoint string }

// Cancelled is the result of a Cancel that reached the endpoint.
type Cancelled struct {
	Endpoint string
	Attempt  AttemptID
	Freed    bool // the endpoint held the attempt and freed it
}

// Tick triggers the periodic checks.
type Tick struct{}

func (AttemptRequest) event() {}
func (Progress) event()       {}
func (Announcement) event()   {}
func (Configured) event()     {}
func (Reported) event()       {}
func (Unreachable) event()    {}
func (Cancelled) event()      {}
func (Tick) event()           {}
