// Package forward takes a caller's request to an endpoint and the answer back:
// it matches the route, picks endpoints, keeps to deadlines, attempts and the
// retry budget, resumes streams, and says truthfully whether a request ran.
package forward

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/notice"
	"github.com/trailshed/trailshed/internal/route"
)

// Call is a caller's request, decoded.
type Call struct {
	ID        string
	Wait      time.Duration // how long the caller waits; 0 if it does not say
	Prompt    int           // tokens of the prompt; 0 if it does not say
	Output    int           // most tokens of the answer
	Hint      int           // tokens of the answer that the caller expects; 0 if it does not say
	Counted   bool          // it tells Prompt and Output
	Key       route.Key     // what the caller names itself by, if HasKey
	HasKey    bool
	LastEvent string      // the stream goes on after this event
	Header    http.Header // what goes to endpoints besides what Send adds
}

// Send is what one send to an endpoint adds to the caller's request.
type Send struct {
	Endpoint  *directory.Endpoint // every other endpoint must turn it away
	Wait      time.Duration       // how long the endpoint may work
	LastEvent string
	Priority  int    // 0 is the most urgent
	Workspace string // whose request it is; empty if that is not known
	PrefillAt *Handle
	Stage     directory.Stage // Prefill: compute the KV cache only
}

// Handle names the KV cache of a prompt that an endpoint keeps.
type Handle struct {
	At   netip.AddrPort
	Life string // id of the endpoint there
	Zone string // of that endpoint
	ID   string
}

// Answer is what the head of an endpoint's answer tells.
type Answer struct {
	ID       string // of the request that it answers
	Signed   bool   // it carries the endpoint's signature
	NotRun   bool   // the endpoint did not run the request
	Other    bool   // another endpoint has this address
	Load     balance.Load
	HasLoad  bool
	Encoded  bool // the body is not the endpoint's own
	Streamed bool // the body is a series of events
	Limited  bool // it names how many requests a second the endpoint takes
}

// Dialect translates between the types above and headers.
type Dialect struct {
	// Decode reads a caller's request; its error is told to the caller.
	Decode func(*http.Request) (Call, error)
	// Encode makes the header of one send.
	Encode func(Call, Send) http.Header
	// Read reads the head of an endpoint's answer.
	Read func(*http.Response) Answer
	// Notice reads what the endpoint says of itself in the head of an answer.
	Notice func(*http.Response) notice.Notice
	// Handle reads the body of an answer to a prefill: the id of the KV cache.
	Handle func([]byte) (string, error)
	// Free makes the request that frees a KV cache.
	Free func(Handle) (method, target string)
	// Passed returns what of an answer's header goes to the caller.
	Passed func(http.Header) http.Header
}
