package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
)

// Waits that refusals tell callers to come back after.
const (
	// comeBackStarting: a configuration arrives within a few store calls.
	comeBackStarting = 300 * time.Millisecond
	// comeBackElsewhere: a new connection leads to another instance at once.
	comeBackElsewhere = 20 * time.Millisecond
	// comeBackUnreachable: an endpoint that cannot be reached is tried again
	// after a second at the most.
	comeBackUnreachable = 500 * time.Millisecond
	// comeBackBusy: about one request's time at an endpoint.
	comeBackBusy = 200 * time.Millisecond
	// comeBackHeld: a request that ends endpoints is not run before somebody has
	// looked into it, which is longer than any caller waits.
	comeBackHeld = time.Minute
)

// ended answers a request whose time is over or whose caller has left.
func (p *passage) ended(ctx context.Context) {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		p.trail.Write(p.line(eventlog.Cancelled, "caller_left", nil))
		p.Scope.Counter("requests_cancelled").Inc(1)
		return
	}
	p.failure = "time_over"
	p.giveUp()
}

// giveUp ends a request that will not be sent again.
func (p *passage) giveUp() {
	switch {
	case p.headSent:
		p.trail.Write(p.line(eventlog.Broken, p.failure, nil))
		p.Scope.Counter("requests_broken").Inc(1)
		panic(http.ErrAbortHandler)
	case p.spare != nil:
		p.pass(p.spare)
	case p.runs > 0 && p.left() < leastLeft:
		p.fail(http.StatusGatewayTimeout)
	case p.runs > 0:
		p.fail(http.StatusBadGateway)
	default:
		p.refuse(p.failure, max(p.comeBack, comeBackBusy))
	}
}

// refuse tells the caller that the request did not run and when to come back.
func (p *passage) refuse(reason string, after time.Duration) {
	p.failure = reason
	p.refuseWith(http.StatusServiceUnavailable, after, p.line(eventlog.Refused, reason, nil))
}

// refuseWith is refuse with a status and a line that tells more.
func (p *passage) refuseWith(status int, after time.Duration, n eventlog.Line) {
	n.Status, n.Wait = status, after
	p.trail.Write(n)
	p.Scope.Counter("requests_refused").Inc(1)
	p.Scope.Tagged(map[string]string{"reason": n.Reason}).Counter("refusals").Inc(1)
	p.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(p.w, "not run: "+n.Reason, status)
}

// fail tells the caller that the request may have run.
func (p *passage) fail(status int) {
	n := p.line(eventlog.GaveUp, p.failure, nil)
	n.Status = status
	p.trail.Write(n)
	p.Scope.Counter("requests_failed").Inc(1)
	p.Scope.Tagged(map[string]string{"reason": p.failure}).Counter("failures").Inc(1)
	http.Error(p.w, "may have run: "+p.failure, status)
}

// reject tells the caller what is wrong with the request.
func (p *passage) reject(status int, reason string, err error) {
	n := p.line(eventlog.Refused, reason, err)
	n.Status = status
	p.trail.Write(n)
	p.Scope.Counter("requests_rejected").Inc(1)
	http.Error(p.w, err.Error(), status)
}

// line begins a log line of this request.
func (p *passage) line(e eventlog.Event, reason string, err error) eventlog.Line {
	n := eventlog.Line{
		Event: e, Request: p.call.ID, Attempt: p.sends, Reason: reason,
		Service: p.service, Workspace: p.workspaceName(), Took: p.Now().Sub(p.arrived),
	}
	if p.view.Table != nil {
		n.Version = p.view.Table.Version
	}
	if p.route != nil {
		n.Route = p.route.Name
		n.Left = p.left()
	}
	if err != nil {
		n.Detail = err.Error()
	}
	return n
}
