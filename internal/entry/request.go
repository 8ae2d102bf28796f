package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Request is a caller's request after validation.
type Request struct {
	ID        string
	Workspace string
	Kind      string
	Key       string // idempotency key; may be empty
	Digest    uint64 // of the body
	Arrived   clock.Millis

	// Fields of requests to a model.
	Prompt    string
	Tokens    int
	Blocks    []uint64
	MaxTokens int

	// Fields of requests to a plain service.
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// request is a Request that is being run.
type request struct {
	Request
	workspace    *catalog.Workspace
	class        *catalog.Class
	kind         *catalog.Kind
	now          func() clock.Millis
	avoid        []string
	possibleRuns int  // failed attempts that an endpoint may have run
	claimed      bool // the claim of its key was granted
	sentTokens   int  // tokens sent to the caller
}

// remaining returns the time left until the deadline of the first token. Once tokens have
// been sent, a retry has the full target time again.
func (r *request) remaining() time.Duration {
	if r.sentTokens > 0 {
		return r.class.TTFT
	}
	return r.Arrived.Add(r.class.TTFT).Sub(r.now())
}

// targetDigest returns a digest of what the request is sent to, which is not 0.
func (r *request) targetDigest() uint64 {
	return max(xxhash.Sum64String(strings.Join([]string{r.Kind, r.Method, r.Path}, "\x00")), 1)
}

func (r *request) repeatable() bool { return r.kind.Repeat == catalog.RepeatAllowed }
