package entry

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"time"

	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/internal/quarantine"
)

const (
	// heldRetryAfter is the retry delay sent to the caller of a held request, one
	// that is run no more because it ends endpoints. It is not run until an operator
	// has looked into it, which takes longer than callers wait.
	heldRetryAfter = time.Minute
	// sameEndInterval divides time into intervals: ends of an endpoint that are observed
	// within the same interval count as one. An endpoint keeps its name when it
	// restarts, but a restart takes longer.
	sameEndInterval = 2 * time.Second
)

// work returns the content of the request, which is the same for all attempts and for
// repetitions by the caller.
func (r *request) work() quarantine.Work {
	w := quarantine.Work{Workspace: r.Workspace, Host: r.Kind, Method: r.Method, Target: r.Path, Body: r.Body}
	if r.Prompt != "" {
		w.Target, w.Body = strconv.Itoa(r.MaxTokens), []byte(r.Prompt)
	}
	return w
}

// recordEndpointEnd checks, after an attempt failed at an endpoint, whether the process of
// the endpoint has ended, and records that with the request, which may be the cause. A
// request that ends every endpoint that runs it must not end three more, one for each
// attempt, each time its caller sends it.
func (e *Entry) recordEndpointEnd(ctx context.Context, r *request, f *attemptError, at netip.AddrPort) {
	if errors.Is(f.cause, endpoint.ErrNotRun) || ctx.Err() != nil || !e.client.Ended(ctx, at) {
		return
	}
	e.scope.Counter("endpoints_ended").Inc(1)
	interval := int64(e.options.Now()) / sameEndInterval.Milliseconds()
	e.options.Suspects.RecordEnd(r.work(), quarantine.Prompt{}, f.at+"@"+strconv.FormatInt(interval, 10))
}
