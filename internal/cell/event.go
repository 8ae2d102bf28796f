package cell

import (
	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Event is something that the dispatcher of a cell learns. Besides those below,
// the messages Ask, Progress and Announce are events.
type Event interface{ event() }

// Configured brings a newer catalog with the cell's own members.
type Configured struct {
	Catalog *catalog.Catalog
	Members []catalog.Member
}

// Reported brings an endpoint's own report, read at or after Began.
type Reported struct {
	Endpoint string
	Report   endpoint.Report
	Began    clock.Millis
}

// Unreachable says that an endpoint gave no report.
type Unreachable struct{ Endpoint string }

// Cancelled is the result of a Cancel that reached the endpoint.
type Cancelled struct {
	Endpoint string
	Attempt  AttemptID
	Known    bool // the endpoint held the attempt and freed it
}

// Tick lets time pass.
type Tick struct{}

func (Ask) event()         {}
func (Progress) event()    {}
func (Announce) event()    {}
func (Configured) event()  {}
func (Reported) event()    {}
func (Unreachable) event() {}
func (Cancelled) event()   {}
func (Tick) event()        {}
