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
	"github.com/trailshed/trailshed/internal/prompt"
	"github.com/trailshed/trailshed/internal/route"
)

// Call is a caller's decoded request.
type Call struct {
	ID                   string
	Wait                 time.Duration // how long the caller waits; 0 if not given
	PromptTokens         int           // tokens of the prompt; 0 if not given
	MaxOutputTokens      int           // maximum tokens of the answer
	ExpectedOutputTokens int           // tokens of the answer that the caller expects; 0 if not given
	HasTokenCounts       bool          // the caller gave both token counts
	Key                  route.Key     // digest of the caller's API key, if HasKey
	HasKey               bool
	LastEventID          string // ID of the event after which the stream resumes
	BeganAs              string // ID of the caller's attempt that brought the stream's first event; empty if not given
	// Parts are the leading parts of the prompt, in order and each once. The last part of a
	// prompt belongs to the request or its session and is left out.
	Parts  []prompt.Part
	Header http.Header // forwarded to endpoints, in addition to the headers of a Send
}

// Send holds what is specific to one send of a request to an endpoint.
type Send struct {
	Endpoint    *directory.Endpoint // only this endpoint may accept the request
	Wait        time.Duration       // how long the endpoint may work
	LastEventID string
	Priority    int             // 0 is the most urgent
	Workspace   string          // empty if unknown
	KVHandle    *KVHandle       // KV cache that the endpoint fetches; may be nil
	Stage       directory.Stage // Prefill: only compute the KV cache
}

// KVHandle identifies the KV cache of a prompt that an endpoint keeps.
type KVHandle struct {
	Address    netip.AddrPort
	EndpointID string // ID of the endpoint at that address
	Zone       string // of the endpoint
	Software   string // version of the endpoint's software; empty if unknown
	ID         string
}

// ResponseHead holds what the header of an endpoint's response says.
type ResponseHead struct {
	RequestID   string // of the request that the response belongs to
	Signed      bool   // the response carries the endpoint's signature
	NotRun      bool   // the endpoint did not run the request
	Misdirected bool   // the endpoint is not the one that was meant, or does not serve requests of this stage
	Sender      string // entry of the endpoint that responded; empty if not stated
	Load        balance.Load
	HasLoad     bool
	Reencoded   bool // the body was re-encoded on the way
	Streamed    bool // the body is an event stream
	StatesLimit bool // the endpoint states how many requests per second it accepts
}

// addressReused reports whether another endpoint than the one that was meant has its address now, as far as is known.
func (h ResponseHead) addressReused(meant *directory.Endpoint) bool {
	return h.Misdirected && (h.Sender == "" || h.Sender != meant.Entry)
}

// Codec maps the types above to and from HTTP headers.
type Codec struct {
	// DecodeRequest parses a caller's request; its error is returned to the caller.
	DecodeRequest func(*http.Request) (Call, error)
	// EncodeHeader returns the header of one send.
	EncodeHeader func(Call, Send) http.Header
	// ReadHead parses the header of an endpoint's response.
	ReadHead func(*http.Response) ResponseHead
	// ReadNotice parses what the endpoint says of itself in the header of a response.
	ReadNotice func(*http.Response) notice.Notice
	// ReadHandle parses the body of a prefill's response: the ID of the KV cache.
	ReadHandle func([]byte) (string, error)
	// FreeRequest returns the method and target of the request that frees a KV cache.
	FreeRequest func(KVHandle) (method, target string)
	// CallerHeader returns the part of a response header that goes to the caller.
	CallerHeader func(http.Header) http.Header
}
