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
	// heldRetryAfter is what the caller of a request is told that ends endpoints: it is
	// not run before somebody has looked into it, which is longer than callers wait.
	heldRetryAfter = time.Minute
	// lifeSpan is the time within which two ends seen of one endpoint are the same one.
	// Endpoints keep their names when they start anew, which takes them longer.
	lifeSpan = 2 * time.Second
)

// work is what the request asks for, whichever try of it this is.
func (r *request) work() quarantine.Work {
	w := quarantine.Work{Workspace: r.Workspace, Host: r.Kind, Method: r.Method, Target: r.Path, Body: r.Body}
	if r.Prompt != "" {
		w.Target, w.Body = strconv.Itoa(r.MaxTokens), []byte(r.Prompt)
	}
	return w
}

// runCut takes that an endpoint broke off a run. If its process has ended, the
// request may be why: what ends whoever runs it must not go to three endpoints with
// each try of its caller.
func (e *Entry) runCut(ctx context.Context, r *request, f *failure, at netip.AddrPort) {
	if errors.Is(f.cause, endpoint.ErrNotRun) || ctx.Err() != nil || !e.client.Ended(ctx, at) {
		return
	}
	e.scope.Counter("endpoints_ended").Inc(1)
	life := int64(e.options.Now()) / lifeSpan.Milliseconds()
	e.options.Suspects.Ended(r.work(), f.at+"@"+strconv.FormatInt(life, 10))
}
