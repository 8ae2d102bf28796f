package entry

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/internal/claim"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/internal/notice"
)

const (
	maxAttempts = 3
	// attemptsPerAdmit is the step between the first attempt numbers of
	// successive admissions, each of which may ask several cells.
	attemptsPerAdmit = 10
	claimTimeout     = 800 * time.Millisecond
	// stallTimeout is the maximum time between two tokens of a stream.
	stallTimeout = 3 * time.Second
	// An attempt is canceled if its first token takes longer than
	// firstTokenFactor times the predicted times of KV transfer and first
	// decode step, plus firstTokenSlack.
	firstTokenSlack  = 700 * time.Millisecond
	firstTokenFactor = 3
	prefillTimeout   = 20 * time.Second
)

// ErrLeaving is the cause with which the context of a request ends if this process is about to exit.
var ErrLeaving = errors.New("this process is about to exit")

var (
	errFenced  = errors.New("attempt is no longer owned by this entry")
	errStalled = errors.New("timed out waiting for a token")
)

// Complete runs a model request and passes each token to emit, in order.
func (e *Entry) Complete(ctx context.Context, req Request, emit func(endpoint.Token) error) Outcome {
	return e.serve(ctx, req, func(ctx context.Context, r *request, a *attempt) error {
		return e.runModel(ctx, r, a, emit)
	})
}

// Call runs a plain service request.
func (e *Entry) Call(ctx context.Context, req Request) (answer endpoint.Response, o Outcome) {
	o = e.serve(ctx, req, func(ctx context.Context, r *request, a *attempt) error {
		var err error
		answer, err = e.runCall(ctx, r, a)
		return err
	})
	return answer, o
}

// attemptFunc executes a granted attempt.
type attemptFunc func(context.Context, *request, *attempt) error

// serve checks the workspace's limit and whether the request is held, runs the request
// and counts its outcome.
func (e *Entry) serve(ctx context.Context, req Request, run attemptFunc) Outcome {
	now := e.options.Catalog()
	r := &request{Request: req, now: e.options.Now, kind: now.Kinds[req.Kind], workspace: now.Workspaces[req.Workspace]}
	r.class = now.Classes[r.workspace.Class]
	done, ok := e.startRequest(r.Workspace, r.workspace.MaxRunning)
	if !ok {
		return e.recordOutcome(r, refused(reasonLimit, defaultRetryAfter))
	}
	defer done()
	if e.options.Suspects.Holds(r.work()) {
		return e.recordOutcome(r, refused(reasonHeld, heldRetryAfter))
	}
	o := e.runWithRetries(ctx, r, run)
	if isLeaving(ctx) && o.Result != Answered && o.EarlierClaim == nil {
		o.Reason, o.RetryAfter = reasonLeaving, defaultRetryAfter
	}
	e.abandonIfNotRun(r, o)
	return e.recordOutcome(r, o)
}

func (e *Entry) recordOutcome(r *request, o Outcome) Outcome {
	tags := map[string]string{"result": string(o.Result), "reason": o.Reason, "class": r.workspace.Class}
	e.scope.Tagged(tags).Counter("requests").Inc(1)
	return o
}

// runWithRetries runs attempts until one succeeds, none is granted or no retry is
// allowed.
func (e *Entry) runWithRetries(ctx context.Context, r *request, run attemptFunc) Outcome {
	var last Outcome
	for n := range maxAttempts {
		a, admitted := e.admit(ctx, r, n*attemptsPerAdmit+1)
		if a == nil {
			return r.adjustRefusal(admitted)
		}
		err := e.runAttempt(r, a, run)
		if err == nil {
			e.options.Suspects.RecordCompletion(r.work())
			return Outcome{Result: Answered}
		}
		var retry bool
		last, retry = e.evaluateFailure(ctx, r, a, err)
		if !retry || e.options.Suspects.Holds(r.work()) {
			return last
		}
	}
	return last
}

// adjustRefusal replaces the result RefusedNotRun, which promises that the request did
// not run, if an earlier attempt sent tokens or may have run.
func (r *request) adjustRefusal(o Outcome) Outcome {
	if o.Result != RefusedNotRun {
		return o
	}
	if r.sentTokens > 0 {
		o.Result = FailedAfterStart
	} else if r.possibleRuns > 0 {
		o.Result = FailedMayHaveRun
	}
	return o
}

// claimError is the error of a claim that was not granted, with the outcome for the caller.
type claimError struct{ outcome Outcome }

func (e claimError) Error() string { return e.outcome.Reason }

// runAttempt runs one granted attempt and reports to the dispatcher how it ended.
func (e *Entry) runAttempt(r *request, a *attempt, run attemptFunc) error {
	defer e.endAttempt(a)
	ctx := a.ctx
	if e.announcementOverdue() {
		e.reportProgress(a, cell.Progress{Phase: cell.Withdrawn})
		return endpointError(endpoint.ErrNotRun, errFenced)
	}
	if err := e.claim(ctx, r); err != nil {
		e.reportProgress(a, cell.Progress{Phase: cell.Withdrawn})
		return err
	}
	err := run(ctx, r, a)
	if err == nil {
		return nil
	}
	at := a.grant.Decode
	if errors.Is(err, endpoint.ErrRejected) {
		r.avoid = append(r.avoid, at)
		return err // the attempt is finished
	}
	if cause := context.Cause(ctx); cause != nil {
		e.reportProgress(a, cell.Progress{Phase: cell.Withdrawn})
		return endpointError(endpoint.ErrMayHaveRun, cause)
	}
	if errors.Is(err, errUnavailable) {
		// The endpoint did not fail. The next request for a grant lists it in Avoid.
		e.reportProgress(a, cell.Progress{Phase: cell.Withdrawn})
		return err
	}
	var failed *attemptError
	if errors.As(err, &failed) {
		at = failed.at
		e.recordEndpointEnd(ctx, r, failed, a.addressOf(at))
	}
	r.avoid = append(r.avoid, at)
	e.reportProgress(a, cell.Progress{Phase: cell.Failed, FailedEndpoint: at})
	return err
}

// attemptError is the error of an attempt that failed at an endpoint.
type attemptError struct {
	at    string
	cause error
}

func (f *attemptError) Error() string { return f.at + ": " + f.cause.Error() }

func (f *attemptError) Unwrap() error { return f.cause }

// endpointError joins a cause with endpoint.ErrNotRun or endpoint.ErrMayHaveRun.
func endpointError(kind, cause error) error { return Error.Wrap(errors.Join(kind, cause)) }

// evaluateFailure returns the outcome for an attempt's error and whether another attempt
// is allowed.
func (e *Entry) evaluateFailure(ctx context.Context, r *request, a *attempt, err error) (o Outcome, retry bool) {
	if ctx.Err() != nil && !isLeaving(ctx) {
		return Outcome{Result: CallerGone}, false
	}
	var claimErr claimError
	if errors.As(err, &claimErr) {
		return r.adjustRefusal(claimErr.outcome), false
	}
	e.scope.Counter("attempts_failed").Inc(1)
	notRun := errors.Is(err, endpoint.ErrNotRun) && !a.ran
	if !notRun {
		r.possibleRuns++
	}
	o = r.adjustRefusal(refused(reasonEndpointFailed, defaultRetryAfter))
	switch {
	case errors.Is(err, errFenced):
		o.Reason = reasonFenced
	case errors.Is(err, endpoint.ErrRejected):
		o.Reason = reasonEndpointStatus
	}
	retry = o.Result == RefusedNotRun || r.repeatable() && !errors.Is(err, endpoint.ErrDeclined)
	return o, retry && r.remaining() > 0 && !isLeaving(ctx)
}

// isLeaving reports whether a request's context has ended because this process is about to exit.
func isLeaving(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrLeaving) }

// abandonIfNotRun releases the claim of a request that certainly did not run.
func (e *Entry) abandonIfNotRun(r *request, o Outcome) {
	if r.claimed && o.Result == RefusedNotRun {
		e.options.Abandon(r.newClaim(e))
	}
}

// newClaim returns the claim of the request's idempotency key.
func (r *request) newClaim(e *Entry) claim.Claim {
	return claim.Claim{
		Key: claim.NewKey(r.Workspace, r.Key), Request: r.ID, Holder: e.options.Owner.Address,
		ExpiresAt: e.options.Now().Add(r.kind.Window), RequestDigest: r.Digest,
		TargetDigest: r.targetDigest(),
	}
}

// claim claims the key of a request that may not be repeated. It does so once, before
// any byte of the request is sent to an endpoint.
func (e *Entry) claim(ctx context.Context, r *request) error {
	if r.repeatable() || r.claimed || r.Key == "" {
		return nil
	}
	c := r.newClaim(e)
	answer := e.options.Claim(ctx, c, claimTimeout)
	switch answer.Decision {
	case claim.Granted:
		if ctx.Err() != nil || e.announcementOverdue() {
			e.options.Abandon(c)
			return claimError{refused(reasonFenced, defaultRetryAfter)}
		}
		r.claimed = true
		return nil
	case claim.Taken:
		return claimError{keyTaken(answer.Claim, c)}
	default:
		return claimError{refused(reasonClaimUnavailable, defaultRetryAfter)}
	}
}

// runCall sends a request to the granted endpoint of a plain service.
func (e *Entry) runCall(ctx context.Context, r *request, a *attempt) (endpoint.Response, error) {
	if err := e.acquirePermit(a.grant.DecodeAddr); err != nil {
		return endpoint.Response{}, err
	}
	startedAt := e.options.Now()
	e.reportProgress(a, cell.Progress{Phase: cell.Streaming})
	answer, err := e.client.Call(ctx, a.grant.DecodeAddr, endpoint.Call{
		Attempt: string(a.request.Attempt), Method: r.Method, Path: r.Path, Header: r.Header, Body: r.Body,
		AtMostOnce: !r.repeatable(),
	})
	if err != nil && !errors.Is(err, endpoint.ErrRejected) {
		return answer, &attemptError{at: a.grant.Decode, cause: err}
	}
	// The endpoint has answered and did not fail: an application may reject a request.
	e.reportProgress(a, cell.Progress{Phase: cell.Finished, Duration: e.options.Now().Sub(startedAt)})
	return answer, err
}

// runModel computes the KV cache of the prompt at the prefill endpoint, has the decode
// endpoint fetch it and passes the generated tokens to emit.
func (e *Entry) runModel(ctx context.Context, r *request, a *attempt, emit func(endpoint.Token) error) error {
	// Get the permits for both endpoints first: a prefill is wasted if the decode
	// endpoint then accepts no request.
	for _, at := range []netip.AddrPort{a.grant.DecodeAddr, a.grant.PrefillAddr} {
		if err := e.acquirePermit(at); err != nil {
			return err
		}
	}
	startedAt := e.options.Now()
	prefillCtx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	result, err := e.client.Prefill(prefillCtx, a.grant.PrefillAddr, endpoint.PrefillRequest{
		Attempt: string(a.request.Attempt), Prompt: r.Prompt, Tokens: r.Tokens, Blocks: r.Blocks,
	})
	if err != nil {
		return &attemptError{at: a.grant.Prefill, cause: err}
	}
	a.ran = true
	e.reportProgress(a, cell.Progress{Phase: cell.Prefilled, Duration: e.options.Now().Sub(startedAt), Cached: result.CachedTokens})
	if e.announcementOverdue() {
		return endpointError(endpoint.ErrMayHaveRun, errFenced)
	}
	if err := e.checkAvailable(a.grant.DecodeAddr); err != nil {
		return err
	}
	return e.decode(ctx, r, a, emit)
}

// errUnavailable means that nothing was sent to an endpoint because it accepts no requests
// at present.
var errUnavailable = errors.New("endpoint accepts no requests at present")

// acquirePermit takes a permit to send a request to an endpoint. It returns an error if the
// endpoint has stopped accepting requests since the grant was requested, or if this process
// has used up its share of the endpoint's rate limit. In the latter case this process backs
// off from the endpoint, so that the next request for a grant lists it in Avoid.
func (e *Entry) acquirePermit(at netip.AddrPort) error {
	now := e.options.Now()
	if after := e.options.Limits.Take(now, at.String()); after > 0 {
		e.options.Notices.Record(now, at, notice.Notice{Backoff: after})
	}
	return e.checkAvailable(at)
}

// checkAvailable returns an error if an endpoint accepts no requests at present.
func (e *Entry) checkAvailable(at netip.AddrPort) error {
	if !e.options.Notices.Unavailable(e.options.Now(), at) {
		return nil
	}
	return endpointError(endpoint.ErrNotRun, errUnavailable)
}

// decode streams the tokens of the decode endpoint to emit and cancels the stream if
// the next token takes too long.
func (e *Entry) decode(ctx context.Context, r *request, a *attempt, emit func(endpoint.Token) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	firstTokenTimeout := firstTokenFactor*(a.grant.Terms.Link+a.grant.Terms.Step) + firstTokenSlack
	watchdog := time.AfterFunc(firstTokenTimeout, func() { cancel(errStalled) })
	defer watchdog.Stop()
	startedAt, offset := e.options.Now(), r.sentTokens
	first := true
	err := e.client.Decode(ctx, a.grant.DecodeAddr, endpoint.DecodeRequest{
		Attempt: string(a.request.Attempt), Source: a.grant.PrefillAddr, MaxTokens: r.MaxTokens, Offset: r.sentTokens,
	}, func(t endpoint.Token) error {
		watchdog.Reset(stallTimeout)
		if first {
			e.reportProgress(a, cell.Progress{Phase: cell.Streaming, Duration: e.options.Now().Sub(startedAt)})
			startedAt, first = e.options.Now(), false
		}
		if err := emit(t); err != nil {
			return err
		}
		if !t.Done {
			r.sentTokens++
		}
		return nil
	})
	if err == nil {
		e.reportProgress(a, cell.Progress{Phase: cell.Finished, Duration: e.options.Now().Sub(startedAt), Tokens: r.sentTokens - offset})
		return nil
	}
	at := a.grant.Decode
	if errors.Is(context.Cause(ctx), errStalled) && first {
		at = a.grant.Prefill // no token at all: the KV transfer stalled, which is blamed on its source
	}
	return &attemptError{at: at, cause: err}
}
