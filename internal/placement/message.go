package placement

import (
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
)

// Request is a gateway's request for engines for one attempt.
type Request struct {
	ID             string        `cbor:"1,keyasint"` // of the attempt, unique among all gateways
	Owner          string        `cbor:"2,keyasint"` // name of the gateway's instance
	Service        string        `cbor:"3,keyasint"`
	Prompt         int           `cbor:"4,keyasint"`  // tokens
	ExpectedTokens int           `cbor:"5,keyasint"`  // tokens of the answer that the caller expects; 0 if unknown
	MaxTokens      int           `cbor:"12,keyasint"` // maximum tokens of the answer; 0 if unknown
	Route          string        `cbor:"13,keyasint"` // route, by which lengths of answers are learned
	Budget         time.Duration `cbor:"6,keyasint"`  // time left until the first event is late
	Exclude        []string      `cbor:"7,keyasint"`  // endpoints that must not be used
	Avoid          []string      `cbor:"10,keyasint"` // endpoints that are used only if there are no others
	Part           Part          `cbor:"8,keyasint"`
	MayQueue       bool          `cbor:"9,keyasint"`  // it may be queued until there is capacity
	Late           bool          `cbor:"11,keyasint"` // its first event can no longer be in time
	QueueTime      time.Duration `cbor:"14,keyasint"` // how long it may be queued, even past its deadline
	FinalDecode    bool          `cbor:"15,keyasint"` // a failure of the decode engine cannot be retried
	Final          bool          `cbor:"16,keyasint"` // no failure can be retried
	// Software is the version of software that the engines must run; empty: all run the same,
	// whichever it is.
	Software string `cbor:"17,keyasint,omitempty"`
	Begun    bool   `cbor:"18,keyasint,omitempty"` // the caller has received a part of the stream
	// Rank is the request's priority, by which the queue is ordered, and RouteRank that of its
	// route, which orders those of equal Rank.
	Rank      Rank   `cbor:"19,keyasint,omitempty"`
	Workspace string `cbor:"20,keyasint,omitempty"` // name of the caller's workspace, if any
	RouteRank Rank   `cbor:"21,keyasint,omitempty"`

	AtOnce bool `cbor:"-"` // it is not to be queued in any zone
}

// at returns the request for engines of a software version.
func (r Request) at(software string) Request {
	r.Software = software
	return r
}

// Part says which engines a request needs.
type Part int

// The values of Part.
const (
	Both        Part = iota // a prefill and a decode engine
	PrefillOnly             // a prefill engine only; another zone decodes
	DecodeOnly              // a decode engine only; the prompt is prefilled elsewhere
	Whole                   // a decode engine that also prefills the prompt
)

// Grant names the engines assigned to one request.
type Grant struct {
	ID             string        `cbor:"1,keyasint"`
	Prefill        string        `cbor:"2,keyasint"` // id of the prefill engine; empty: the decode engine prefills the prompt
	Decode         string        `cbor:"3,keyasint"` // id of the decode engine
	PrefillWait    time.Duration `cbor:"4,keyasint"` // predicted time until the prefill starts
	UsedTokens     int           `cbor:"5,keyasint"` // estimated tokens of KV memory in use at the decode engine
	PrefillTime    time.Duration `cbor:"6,keyasint"` // predicted time of the prefill
	FirstEventTime time.Duration `cbor:"7,keyasint"` // predicted time from sending to the decode engine to the first event
	ExpectedTokens int           `cbor:"8,keyasint"` // expected tokens of the answer
	// Software is the version that the decode engine runs; empty if unknown.
	Software string `cbor:"10,keyasint,omitempty"`
	// NewEngines lists those of the engines that were added recently, in case the
	// gateway does not know them yet.
	NewEngines []directory.Endpoint `cbor:"9,keyasint,omitempty"`
}

// Refusal says that there will be no capacity in time.
type Refusal struct {
	ID         string        `cbor:"1,keyasint"`
	Reason     string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"` // after which the caller may retry
	// SharePercent is the part of the memory in use that the request's workspace holds, in
	// percent of the part that it is entitled to; 0 if no workspaces share the engines.
	SharePercent int `cbor:"4,keyasint,omitempty"`
}

// Decision is a planner's answer to a request.
type Decision struct {
	Grant   *Grant   `cbor:"1,keyasint,omitempty"`
	Refusal *Refusal `cbor:"2,keyasint,omitempty"`
	Queued  bool     `cbor:"3,keyasint,omitempty"` // the decision follows later
}

// The reasons of a refusal.
const (
	ReasonNoEndpoint = "no_decode_endpoint"
	ReasonNoPrefill  = "no_prefill_endpoint" // although a decode engine has capacity
	ReasonLimited    = "endpoints_limited"   // the engines that could decode are at their limits at the moment
	ReasonFull       = "decode_memory_full"
	ReasonBusy       = "prefill_busy"
	ReasonMoved      = "planner_moved"
	ReasonNoZone     = "no_zone_allowed"
)

// Release frees the allocation of an attempt.
type Release struct {
	ID           string       `cbor:"1,keyasint"`
	Owner        string       `cbor:"2,keyasint"`
	FullEngine   string       `cbor:"3,keyasint"` // engine that turned the request away as full, if any
	FailedEngine string       `cbor:"4,keyasint"` // engine that failed, if any
	Observed     *Observation `cbor:"5,keyasint,omitempty"`
}

// Observation holds a gateway's timings of an answer, from which planners learn the
// speed of engines.
type Observation struct {
	FirstEventTime time.Duration `cbor:"1,keyasint"` // from sending to the decode engine to the first event
	Tokens         int           `cbor:"2,keyasint"` // of all events after the first
	DecodeTime     time.Duration `cbor:"3,keyasint"` // from the first event to the last
	TotalTokens    int           `cbor:"4,keyasint"` // tokens of the whole answer if it is complete; else 0
}

// Progress says that an engine has started to answer, with the load that the answer
// reports.
type Progress struct {
	ID        string `cbor:"1,keyasint"`
	Running   int    `cbor:"2,keyasint"` // requests running there, from all senders
	Prefilled bool   `cbor:"3,keyasint"` // from the prefill engine, which has finished the prompt
	// Took is how long the gateway waited for that answer.
	Took time.Duration `cbor:"4,keyasint"`
}

// LoadReport is a recent report of an engine's total load.
type LoadReport struct {
	Engine     string
	Running    int // requests
	Waiting    int // requests
	UsedTokens int // tokens of KV memory that cannot be evicted
}

// StageChange says that an engine accepts no requests until its stage has changed.
type StageChange struct {
	Engine string `cbor:"1,keyasint"`
}

// HeldAllocation is one allocation in an announcement.
type HeldAllocation struct {
	ID             string        `cbor:"1,keyasint"`
	Decode         string        `cbor:"2,keyasint"`
	Prompt         int           `cbor:"3,keyasint"`
	ExpectedTokens int           `cbor:"4,keyasint"` // as in the grant
	Running        time.Duration `cbor:"5,keyasint"` // time since the grant
	Rank           Rank          `cbor:"6,keyasint,omitempty"`
	Workspace      string        `cbor:"7,keyasint,omitempty"`
}

// Announcement lists all allocations of one gateway in a zone and renews them.
// Allocations that it omits are freed.
type Announcement struct {
	Owner       string           `cbor:"1,keyasint"`
	Zone        string           `cbor:"2,keyasint"`
	Allocations []HeldAllocation `cbor:"3,keyasint"`
	// Figures are learned engine timings, included from time to time.
	Figures []pace.Figure `cbor:"4,keyasint,omitempty"`
}
