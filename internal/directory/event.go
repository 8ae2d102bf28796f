package directory

import "github.com/trailshed/trailshed/internal/route"

// Event is something learned; the types below are all of them.
type Event interface{ event() }

// Configured brings a version of the configuration.
type Configured struct {
	Table    *route.Table
	Revision int64
}

// Listed brings all endpoints and all zones that are evacuated, complete up to Revision.
type Listed struct {
	Endpoints []Endpoint
	// Present are the entries of those that were told before.
	Present     []string
	Evacuations []Evacuation
	Revision    int64
}

// Relayed brings what a peer believes beyond what was asked for: everything if
// Whole, else what changed and what is gone, up to Revision.
type Relayed struct {
	Whole       bool
	Endpoints   []Endpoint
	Gone        []Removed
	Evacuations []Evacuation
	Revision    int64
	Digest      uint64 // of the peer's beliefs at Revision; 0 if that is not all
	More        bool   // there is more after Revision
}

// Seen brings one endpoint's new entry.
type Seen struct{ Endpoint Endpoint }

// Removed says that an endpoint's entry is gone from the store.
type Removed struct {
	Entry    string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
}

// Evacuation says whether the operators have a zone evacuated: its endpoints get
// nothing until that is over.
type Evacuation struct {
	Zone     string `cbor:"1,keyasint"`
	Over     bool   `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"` // of the store
}

// Denied says that another endpoint answered at this one's address.
type Denied struct{ ID string }

// Leaving says that an endpoint's answer told that it leaves.
type Leaving struct{ ID string }

// StoreLost says that the store stopped answering this instance.
type StoreLost struct{}

// StoreReached says that the store answers this instance, and that everything
// up to Revision has been told.
type StoreReached struct{ Revision int64 }

// Tick lets time pass.
type Tick struct{}

func (Configured) event()   {}
func (Listed) event()       {}
func (Relayed) event()      {}
func (Seen) event()         {}
func (Removed) event()      {}
func (Evacuation) event()   {}
func (Denied) event()       {}
func (Leaving) event()      {}
func (StoreLost) event()    {}
func (StoreReached) event() {}
func (Tick) event()         {}

// What names a change of belief, as log lines show it.
type What string

// The changes of belief.
const (
	ConfigurationChanged What = "configuration_changed"
	EndpointJoined       What = "endpoint_joined"
	EndpointChanged      What = "endpoint_changed"
	EndpointLeaving      What = "endpoint_leaving"
	EndpointSaysLeaving  What = "endpoint_says_leaving" // in an answer
	EndpointMissing      What = "endpoint_missing"
	EndpointGone         What = "endpoint_gone"
	EndpointDenied       What = "endpoint_denied"
	ZoneEvacuated        What = "zone_evacuated"
	ZoneRestored         What = "zone_restored"
)

// Change is one change of belief.
type Change struct {
	What     What
	Endpoint Endpoint // of endpoint changes
	Zone     string   // of evacuations
	Version  int64    // of configuration changes
	Revision int64    // of the store, that brought it
}
