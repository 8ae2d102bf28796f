package forward

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/keepalive"
)

// Values of Retry-After in refusals.
const (
	// retryAfterStarting: the configuration arrives within a few store calls.
	retryAfterStarting = 300 * time.Millisecond
	// retryAfterElsewhere: a new connection leads to another instance at once.
	retryAfterElsewhere = 20 * time.Millisecond
	// retryAfterUnreachable: an unreachable endpoint is tried again after one second at
	// most.
	retryAfterUnreachable = 500 * time.Millisecond
	// retryAfterBusy: about the time of one request at an endpoint.
	retryAfterBusy = 200 * time.Millisecond
	// noRetryAfter: waiting does not help.
	noRetryAfter = time.Duration(-1)
	// retryAfterQuarantined: a request that crashes endpoints does not run again before an
	// operator has looked into it, which takes longer than any caller waits.
	retryAfterQuarantined = time.Minute
)

// contextEnded ends a request whose deadline has passed, whose caller has disconnected, or whose instance is to exit.
func (p *proxyRequest) contextEnded(ctx context.Context) {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStops):
		p.failure, p.retryAfter = reasonStops, retryAfterElsewhere
		p.giveUp()
	case errors.Is(cause, context.DeadlineExceeded):
		p.recordTime()
		p.failure = "time_over"
		p.giveUp()
	default:
		p.canceled(p.w.failure)
	}
}

// Reasons why a request ended without a complete answer though neither its time nor this instance's was over.
const (
	reasonCallerLeft    = "caller_left"
	reasonCallerStalled = "caller_stalled" // it does not read
)

// canceled records a request that ended because its caller left or does not read, which err is the failure of a write
// to show. Once requests in progress have been ended, it is the instance that closes connections.
func (p *proxyRequest) canceled(err error) {
	reason := reasonCallerLeft
	switch {
	case p.stopping.ended.Load():
		reason = reasonStops
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = reasonCallerStalled
	}
	p.writeLast(p.logLine(eventlog.Cancelled, reason, err))
	p.Scope.Counter("requests_cancelled").Inc(1)
}

// giveUp ends a request that will not be sent again, with the best response still possible.
func (p *proxyRequest) giveUp() {
	switch {
	case p.headSent.Load():
		n := p.logLine(eventlog.Broken, p.failure, nil)
		n.Detail = p.history.String()
		p.writeLast(n)
		p.Scope.Counter("requests_broken").Inc(1)
		p.Scope.Tagged(map[string]string{"reason": p.failure}).Counter("breaks").Inc(1)
		if p.failure == reasonStops {
			panic(keepalive.ErrStopped)
		}
		panic(http.ErrAbortHandler)
	case p.fallback != nil:
		p.writeBuffered(p.fallback)
	case p.record.MayHaveRun() > 0 && p.left() < minTimeLeft:
		p.fail(http.StatusGatewayTimeout)
	case p.record.MayHaveRun() > 0:
		p.fail(http.StatusBadGateway)
	case p.failure == reasonStops:
		p.refuse(p.failure, p.retryAfter)
	default:
		p.refuse(p.failure, max(p.retryAfter, retryAfterBusy))
	}
}

// refuse tells the caller that the request did not run and when to retry.
func (p *proxyRequest) refuse(reason string, after time.Duration) {
	p.failure = reason
	n := p.logLine(eventlog.Refused, reason, nil)
	n.Share = p.sharePercent
	p.refuseWith(http.StatusServiceUnavailable, after, n)
}

// refuseWith is refuse with a given status and log line. A request that may have run is not refused, but fails.
func (p *proxyRequest) refuseWith(status int, after time.Duration, n eventlog.Line) {
	if p.record.MayHaveRun() > 0 {
		p.failure = n.Reason
		p.fail(http.StatusBadGateway)
		return
	}
	n.Status, n.Wait = status, max(after, 0)
	p.writeLast(n)
	p.Scope.Counter("requests_refused").Inc(1)
	p.Scope.Tagged(map[string]string{"evidence": p.record.Evidence()}).Counter("promises").Inc(1)
	p.Scope.Tagged(map[string]string{"reason": n.Reason}).Counter("refusals").Inc(1)
	if after != noRetryAfter {
		p.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	http.Error(p.w, "not run: "+n.Reason, status)
}

// withholds reports whether a status promises that the request did not run, though it may have run, and counts that.
func (p *proxyRequest) withholds(status int) bool {
	if !attempts.PromisesNotRun(status) || p.record.MayHaveRun() == 0 {
		return false
	}
	p.Scope.Counter("promises_withheld").Inc(1)
	return true
}

// fail tells the caller that the request may have run.
func (p *proxyRequest) fail(status int) {
	n := p.logLine(eventlog.GaveUp, p.failure, nil)
	n.Status = status
	p.writeLast(n)
	p.Scope.Counter("requests_failed").Inc(1)
	p.Scope.Tagged(map[string]string{"reason": p.failure}).Counter("failures").Inc(1)
	http.Error(p.w, "may have run: "+p.failure, status)
}

// reject tells the caller what is wrong with the request.
func (p *proxyRequest) reject(status int, reason string, err error) {
	n := p.logLine(eventlog.Refused, reason, err)
	n.Status = status
	p.writeLast(n)
	p.Scope.Counter("requests_rejected").Inc(1)
	http.Error(p.w, err.Error(), status)
}

// writeLast writes the line that tells how the request ended.
func (p *proxyRequest) writeLast(n eventlog.Line) {
	p.outcome = n.Event
	n.Sends = p.record.String()
	p.requestLog.Write(n)
}

// logLine returns a log line with the fields of this request.
func (p *proxyRequest) logLine(e eventlog.Event, reason string, err error) eventlog.Line {
	n := eventlog.Line{
		Event: e, Request: p.call.ID, Attempt: p.sends, Reason: reason,
		Parts: string(p.heldPart), Service: p.service, Workspace: p.workspaceName(), Took: p.Now().Sub(p.arrived),
	}
	if p.view.Table != nil {
		n.Version = p.view.Table.Version
	}
	if p.route != nil {
		n.Route, n.Priority = p.route.Name, p.priority()
		n.TimeLeft = p.left()
	}
	if err != nil {
		n.Detail = err.Error()
	}
	return n
}

// endpointLine returns a log line with the fields of this request and of an endpoint.
func (p *proxyRequest) endpointLine(e eventlog.Event, reason string, err error, endpoint *directory.Endpoint) eventlog.Line {
	n := p.logLine(e, reason, err)
	n.Endpoint, n.Software, n.Address = endpoint.ID, endpoint.Software, endpoint.Address.String()
	return n
}
