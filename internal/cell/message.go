package cell

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
)

// AttemptID identifies one attempt at a request: the request id, a dot and the
// attempt's number.
type AttemptID string

// NewAttemptID returns the id of an attempt at a request; numbers start at 1.
func NewAttemptID(request string, number int) AttemptID {
	return AttemptID(request + "." + strconv.Itoa(number))
}

// Owner is the entry that holds a caller's connection. A restarted process has
// a new incarnation, which distinguishes its attempts from earlier ones.
type Owner struct {
	Node        string         `cbor:"1,keyasint"`
	Incarnation int64          `cbor:"2,keyasint"`
	Address     netip.AddrPort `cbor:"3,keyasint"`
}

// AttemptRequest is an entry's request for a grant to run an attempt.
type AttemptRequest struct {
	Cell      catalog.Cell  `cbor:"1,keyasint"`
	Attempt   AttemptID     `cbor:"2,keyasint"`
	Request   string        `cbor:"3,keyasint"`
	Owner     Owner         `cbor:"4,keyasint"`
	Workspace string        `cbor:"5,keyasint"`
	Kind      string        `cbor:"6,keyasint"`
	Class     string        `cbor:"7,keyasint"`
	Tokens    int           `cbor:"8,keyasint"`  // of the prompt; 0 for a plain service
	Blocks    []uint64      `cbor:"9,keyasint"`  // prefix blocks, salted by workspace
	MaxTokens int           `cbor:"10,keyasint"` // of the answer
	Budget    time.Duration `cbor:"11,keyasint"` // left until the first token is late
	Avoid     []string      `cbor:"12,keyasint"` // endpoints that failed earlier attempts or accept no requests at present
	Retry     bool          `cbor:"13,keyasint"`
}

// Grant permits an entry to run an attempt on the named endpoints.
type Grant struct {
	Attempt     AttemptID      `cbor:"1,keyasint"`
	Prefill     string         `cbor:"2,keyasint"` // empty for a plain service
	PrefillAddr netip.AddrPort `cbor:"3,keyasint"`
	Decode      string         `cbor:"4,keyasint"` // or the plain service's endpoint
	DecodeAddr  netip.AddrPort `cbor:"5,keyasint"`
	Terms       Terms          `cbor:"6,keyasint"`
}

// Terms are the predictions on which a decision is based.
type Terms struct {
	Wait    time.Duration `cbor:"1,keyasint" json:"wait"`
	Prefill time.Duration `cbor:"2,keyasint" json:"prefill"`
	Cached  int           `cbor:"3,keyasint" json:"cached"` // prompt tokens expected in the prefix cache
	Link    time.Duration `cbor:"4,keyasint" json:"link"`
	Step    time.Duration `cbor:"5,keyasint" json:"step"`
	Budget  time.Duration `cbor:"6,keyasint" json:"budget"`
}

// FirstToken returns the predicted time to the first token.
func (t Terms) FirstToken() time.Duration { return t.Wait + t.Prefill + t.Link + t.Step }

// messageDelay is the time allowed for messages between processes.
const messageDelay = 25 * time.Millisecond

func (t Terms) late() bool { return t.FirstToken()+messageDelay > t.Budget }

// The reasons for a refusal.
const (
	ReasonLate        = "first_token_late"
	ReasonNoEndpoint  = "no_endpoint"
	ReasonRetryBudget = "retry_budget"
	ReasonMoved       = "dispatcher_moved"
)

// Refusal means that an attempt was not run and will not be.
type Refusal struct {
	Attempt    AttemptID     `cbor:"1,keyasint"`
	Reason     string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"`
	Terms      Terms         `cbor:"4,keyasint"`
}

// Fenced tells an entry that it must not run the attempt any more.
type Fenced struct {
	Attempt AttemptID `cbor:"1,keyasint"`
}

// Phase is a stage in the course of an attempt.
type Phase string

// The phases that entries report.
const (
	Granted   Phase = "granted"
	Prefilled Phase = "prefilled"
	Streaming Phase = "streaming"
	Finished  Phase = "finished"
	Failed    Phase = "failed"
	Withdrawn Phase = "withdrawn"
)

// Ended reports whether an attempt in this phase has ended.
func (p Phase) Ended() bool { return p == Finished || p == Failed || p == Withdrawn }

// Progress reports that an attempt reached a phase.
type Progress struct {
	Cell           catalog.Cell  `cbor:"1,keyasint"`
	Attempt        AttemptID     `cbor:"2,keyasint"`
	Phase          Phase         `cbor:"3,keyasint"`
	Duration       time.Duration `cbor:"4,keyasint"` // duration of the phase that ended
	Cached         int           `cbor:"5,keyasint"` // with Prefilled: prompt tokens that were cached
	Tokens         int           `cbor:"6,keyasint"` // with Finished: length of the answer
	FailedEndpoint string        `cbor:"7,keyasint"` // with Failed: the endpoint at fault
}

// AnnouncedAttempt is a granted attempt in an announcement.
type AnnouncedAttempt struct {
	Attempt   AttemptID     `cbor:"1,keyasint"`
	Phase     Phase         `cbor:"2,keyasint"`
	Prefill   string        `cbor:"3,keyasint"`
	Decode    string        `cbor:"4,keyasint"`
	Workspace string        `cbor:"5,keyasint"`
	Kind      string        `cbor:"6,keyasint"`
	Tokens    int           `cbor:"7,keyasint"`
	TBT       time.Duration `cbor:"8,keyasint"`
}

// Announcement lists an entry's attempts in one cell and renews them. Attempts that
// it leaves out are no longer wanted.
type Announcement struct {
	Cell    catalog.Cell       `cbor:"1,keyasint"`
	Owner   Owner              `cbor:"2,keyasint"`
	Running []AnnouncedAttempt `cbor:"3,keyasint"`
	Waiting []AttemptID        `cbor:"4,keyasint"`
}

// UnknownAttempts answers an announcement: the dispatcher does not know these waiting
// attempts, so the entry must request them again.
type UnknownAttempts struct {
	Cell     catalog.Cell `cbor:"1,keyasint"`
	Attempts []AttemptID  `cbor:"2,keyasint"`
}
