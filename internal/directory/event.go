package directory

import "github.com/trailshed/trailshed/internal/route"

// Event is a fact to apply; the types below are all of them.
type Event interface{ event() }

// Configured brings a version of the configuration.
type Configured struct {
	Table    *route.Table
	Revision int64
}

// Listed holds all endpoints and all evacuated zones, complete up to Revision.
type Listed struct {
	Endpoints []Endpoint
	// PresentEntries are the entries of endpoints that earlier events have brought.
	PresentEntries []string
	Evacuations    []Evacuation
	Revision       int64
	Stale          bool // it may be some seconds old
}

// PeerUpdate holds what a peer sent in response to a request: everything if Complete, else
// what changed and what is gone, up to Revision.
type PeerUpdate struct {
	Complete  bool
	Endpoints []Endpoint
	Removed   []Removed
	// Held are removals that the peer holds, as the store was out of its reach. The receiver decides on them for
	// itself.
	Held        []Removed
	Evacuations []Evacuation
	Revision    int64
	Digest      uint64 // of the peer's view at Revision; 0 if the response is not complete
	More        bool   // there is more after Revision
}

// Seen brings one endpoint's new entry.
type Seen struct{ Endpoint Endpoint }

// Removed says that an endpoint's entry is gone from the store.
type Removed struct {
	Entry    string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
}

// Evacuation says whether the operators have evacuated a zone: its endpoints get no
// requests until that is over.
type Evacuation struct {
	Zone     string `cbor:"1,keyasint"`
	Ended    bool   `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"` // of the store
}

// Denied says that another endpoint answered at this one's address.
type Denied struct{ ID string }

// Leaving says that an endpoint announced in an answer that it leaves.
type Leaving struct{ ID string }

// StoreLost says that the store no longer answers this instance.
type StoreLost struct{}

// StoreReached says that the store answers this instance, and that everything up to
// Revision has been applied.
type StoreReached struct{ Revision int64 }

// Tick says that time has passed.
type Tick struct{}

func (Configured) event()   {}
func (Listed) event()       {}
func (PeerUpdate) event()   {}
func (Seen) event()         {}
func (Removed) event()      {}
func (Evacuation) event()   {}
func (Denied) event()       {}
func (Leaving) event()      {}
func (StoreLost) event()    {}
func (StoreReached) event() {}
func (Tick) event()         {}

// ChangeKind names a kind of change, as log lines show it.
type ChangeKind string

// Kinds of changes.
const (
	ConfigurationChanged ChangeKind = "configuration_changed"
	EndpointJoined       ChangeKind = "endpoint_joined"
	EndpointChanged      ChangeKind = "endpoint_changed"
	EndpointLeaving      ChangeKind = "endpoint_leaving"
	EndpointSaysLeaving  ChangeKind = "endpoint_says_leaving" // in an answer
	EndpointMissing      ChangeKind = "endpoint_missing"
	EndpointGone         ChangeKind = "endpoint_gone"
	EndpointDenied       ChangeKind = "endpoint_denied"
	ZoneEvacuated        ChangeKind = "zone_evacuated"
	ZoneRestored         ChangeKind = "zone_restored"
	StoreRestored        ChangeKind = "store_restored" // from a copy
)

// Change is one change of the view.
type Change struct {
	Kind     ChangeKind
	Endpoint Endpoint // of endpoint changes
	Zone     string   // of evacuations
	Version  int64    // of configuration changes
	Revision int64    // of the store, at which it changed
	Before   int64    // of StoreRestored: the last revision known before
	Count    int      // of StoreRestored: endpoints known
}
