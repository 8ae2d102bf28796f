// Package forward proxies callers' requests to endpoints: it matches the route, selects
// endpoints, enforces deadlines, the number of attempts and the retry budget, resumes
// streams, and reports whether a request that failed may have run.
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

// Call is a caller's decoded request.
type Call struct {
	ID        string
	Wait      time.Duration // how long the caller waits; 0 if not given
	Prompt    int           // tokens of the prompt; 0 if not given
	Output    int           // maximum tokens of the answer
	Hint      int           // tokens of the answer that the caller expects; 0 if not given
	Counted   bool          // the caller gave both token counts
	Key       route.Key     // digest of the caller's API key, if HasKey
	HasKey    bool
	LastEvent string      // ID of the event after which the stream resumes
	Header    http.Header // forwarded to endpoints, in addition to the headers of a Send
}

// Send holds what is specific to one send of a request to an endpoint.
type Send struct {
	Endpoint  *directory.Endpoint // only this endpoint may accept the request
	Wait      time.Duration       // how long the endpoint may work
	LastEvent string
	Priority  int             // 0 is the most urgent
	Workspace string          // empty if unknown
	PrefillAt *Handle         // KV cache that the endpoint fetches; may be nil
	Stage     directory.Stage // Prefill: only compute the KV cache
}

// Handle identifies the KV cache of a prompt that an endpoint keeps.
type Handle struct {
	At   netip.AddrPort
	Life string // ID of the endpoint at that address
	Zone string // of the endpoint
	ID   string
}

// Answer holds what the header of an endpoint's response says.
type Answer struct {
	ID       string // of the request that the response belongs to
	Signed   bool   // the response carries the endpoint's signature
	NotRun   bool   // the endpoint did not run the request
	Other    bool   // another endpoint has the address now
	Load     balance.Load
	HasLoad  bool
	Encoded  bool // the body was re-encoded on the way
	Streamed bool // the body is an event stream
	Limited  bool // the endpoint states how many requests per second it accepts
}

// Dialect maps the types above to and from HTTP headers.
type Dialect struct {
	// Decode parses a caller's request; its error is returned to the caller.
	Decode func(*http.Request) (Call, error)
	// Encode returns the header of one send.
	Encode func(Call, Send) http.Header
	// Read parses the header of an endpoint's response.
	Read func(*http.Response) Answer
	// Notice parses what the endpoint says of itself in the header of a response.
	Notice func(*http.Response) notice.Notice
	// Handle parses the body of a prefill's response: the ID of the KV cache.
	Handle func([]byte) (string, error)
	// Free returns the method and target of the request that frees a KV cache.
	Free func(Handle) (method, target string)
	// Passed returns the part of a response header that goes to the caller.
	Passed func(http.Header) http.Header
}
