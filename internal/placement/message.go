package placement

import (
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
)

// Ask is an entry's wish for places for one request.
type Ask struct {
	ID      string        `cbor:"1,keyasint"` // of the attempt, unique among all entries
	Owner   string        `cbor:"2,keyasint"` // name of the entry's instance
	Service string        `cbor:"3,keyasint"`
	Prompt  int           `cbor:"4,keyasint"`  // tokens
	Output  int           `cbor:"5,keyasint"`  // tokens that the caller expects; 0 if it does not say
	Most    int           `cbor:"12,keyasint"` // tokens that the answer may have at most; 0 if unknown
	Route   string        `cbor:"13,keyasint"` // whose answers have a usual length
	Budget  time.Duration `cbor:"6,keyasint"`  // left until the first event is late
	Exclude []string      `cbor:"7,keyasint"`  // endpoints that the entry will not use
	Avoid   []string      `cbor:"10,keyasint"` // endpoints that it uses only if there are no others
	Part    Part          `cbor:"8,keyasint"`
	Patient bool          `cbor:"9,keyasint"`  // it waits for room if some comes free in time
	Late    bool          `cbor:"11,keyasint"` // it cannot be in time any more
	Hold    time.Duration `cbor:"14,keyasint"` // how long it may wait for room though it is late by then
	Once    bool          `cbor:"15,keyasint"` // a failure of the decode engine would be final
	Final   bool          `cbor:"16,keyasint"` // any failure would be
}

// Part says which engines an ask is for.
type Part int

// The parts of a request.
const (
	Both       Part = iota // a prefill and a decode engine
	ReadOnly               // a prefill engine; another zone decodes
	DecodeOnly             // a decode engine; the prompt is read elsewhere
	Whole                  // a decode engine that also reads the prompt
)

// Grant names the places of one request.
type Grant struct {
	ID      string        `cbor:"1,keyasint"`
	Prefill string        `cbor:"2,keyasint"` // id of the prefill engine; empty: the decode engine reads the prompt
	Decode  string        `cbor:"3,keyasint"` // id of the decode engine
	Wait    time.Duration `cbor:"4,keyasint"` // predicted until the prefill begins
	Used    int           `cbor:"5,keyasint"` // tokens that the decode engine is estimated to hold
	Read    time.Duration `cbor:"6,keyasint"` // predicted for the prefill itself
	Begin   time.Duration `cbor:"7,keyasint"` // predicted from the send to the decode engine to the first event
	Length  int           `cbor:"8,keyasint"` // tokens of the answer that are expected
	// New are those of the engines that the planner learned of a moment ago, in case
	// the entry does not know them yet.
	New []directory.Endpoint `cbor:"9,keyasint,omitempty"`
}

// Refusal says that no place will be free in time.
type Refusal struct {
	ID     string        `cbor:"1,keyasint"`
	Reason string        `cbor:"2,keyasint"`
	After  time.Duration `cbor:"3,keyasint"` // when to come back
}

// Verdict is a planner's answer to an ask.
type Verdict struct {
	Grant   *Grant   `cbor:"1,keyasint,omitempty"`
	Refusal *Refusal `cbor:"2,keyasint,omitempty"`
	Queued  bool     `cbor:"3,keyasint,omitempty"` // the answer comes later
}

// The reasons of a refusal.
const (
	ReasonNoEndpoint = "no_decode_endpoint"
	ReasonNoPrefill  = "no_prefill_endpoint" // though there is room to decode
	ReasonLimited    = "endpoints_limited"   // the engines that could decode may get no more requests now
	ReasonFull       = "decode_memory_full"
	ReasonBusy       = "prefill_busy"
	ReasonMoved      = "planner_moved"
	ReasonNoZone     = "no_zone_allowed"
)

// Release gives places back.
type Release struct {
	ID     string `cbor:"1,keyasint"`
	Owner  string `cbor:"2,keyasint"`
	Full   string `cbor:"3,keyasint"` // engine that turned the request away, if any
	Failed string `cbor:"4,keyasint"` // engine that failed, if any
	Seen   *Seen  `cbor:"5,keyasint,omitempty"`
}

// Seen is what an entry saw of an answer, from which planners learn how fast
// engines are.
type Seen struct {
	Begin    time.Duration `cbor:"1,keyasint"` // from the send to the decode engine to the first event
	Tokens   int           `cbor:"2,keyasint"` // of all events after the first
	Decoding time.Duration `cbor:"3,keyasint"` // from the first event to the last
	Ended    int           `cbor:"4,keyasint"` // tokens of the whole answer, once it has ended; else 0
}

// Progress tells that an engine has begun to answer, and what it said of its
// load.
type Progress struct {
	ID      string `cbor:"1,keyasint"`
	Running int    `cbor:"2,keyasint"` // requests running there, whoever sent them
	Read    bool   `cbor:"3,keyasint"` // it is the prefill engine, which has read the prompt
	// Took is how long the entry waited for that.
	Took time.Duration `cbor:"4,keyasint"`
}

// Loaded is an engine's load report, of all that it works on, from a moment ago.
type Loaded struct {
	Engine  string
	Running int // requests
	Waiting int // requests
	Used    int // tokens of KV memory that cannot give way
}

// Closed says that an engine takes nothing until its stage has changed.
type Closed struct {
	Engine string `cbor:"1,keyasint"`
}

// Hold is one request in an announcement.
type Hold struct {
	ID      string        `cbor:"1,keyasint"`
	Decode  string        `cbor:"2,keyasint"`
	Prompt  int           `cbor:"3,keyasint"`
	Length  int           `cbor:"4,keyasint"` // as in the grant
	Running time.Duration `cbor:"5,keyasint"` // since it was granted
}

// Announce renews all places of one entry in a zone. Places that it leaves out
// are free again.
type Announce struct {
	Owner string `cbor:"1,keyasint"`
	Zone  string `cbor:"2,keyasint"`
	Holds []Hold `cbor:"3,keyasint"`
	// Figures are what a planner has learned of engines, sent now and then.
	Figures []pace.Figure `cbor:"4,keyasint,omitempty"`
}
