package entry

import (
	"net/http"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Request is what a caller wants, checked and measured.
type Request struct {
	ID        string
	Workspace string
	Kind      string
	Key       string // idempotency key; may be empty
	Digest    uint64 // of the body
	Arrived   clock.Millis

	// For a model.
	Prompt    string
	Tokens    int
	Blocks    []uint64
	MaxTokens int

	// For a plain service.
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// request is a Request under way.
type request struct {
	Request
	workspace *catalog.Workspace
	class     *catalog.Class
	kind      *catalog.Kind
	now       func() clock.Millis
	avoid     []string
	tried     int  // attempts that reached an endpoint
	claimed   bool // holds the claim of its key
	sent      int  // tokens that went to the caller
}

// left returns what is left of the target for the first token. Once the answer
// has begun, a retry gets the whole target again.
func (r *request) left() time.Duration {
	if r.sent > 0 {
		return r.class.TTFT
	}
	return r.Arrived.Add(r.class.TTFT).Sub(r.now())
}

func (r *request) repeatable() bool { return r.kind.Repeat == catalog.RepeatAllowed }
