package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/streams"
)

// Streams remember which software version of the endpoints began each stream: what two versions
// write does not fit together, and endpoints do not check it.
type Streams struct {
	// Begin records what began a stream, before its first event is passed on. left is how long the
	// caller waits.
	Begin func(s streams.Stream, o streams.Origin, left time.Duration)
	// Confirm returns nil once a stream may begin at a version of a service, by the routes of a bucket.
	Confirm func(ctx context.Context, service, software string, routes ...route.Bucket) error
	// Confirmed returns the versions of a service that Confirm confirms without a delay.
	Confirmed func(service string) []string
	// Find returns what began a stream.
	Find func(ctx context.Context, s streams.Stream, service string) streams.Finding
}

// Failure reasons of streams that cannot go on.
const (
	reasonVersionUnknown = "stream_version_unknown" // endpoints of several versions may have begun it
	reasonVersionGone    = "stream_version_gone"    // no endpoint of its version takes requests
	reasonServiceChanged = "stream_service_changed" // its route leads to another service now
	reasonNotResumable   = "stream_not_resumable"   // its route is not resumable, or not any more
	// reasonVersionUnconfirmed means that the store could not say whether its history of versions
	// holds the endpoint's. A stream that began there could not be taken up correctly.
	reasonVersionUnconfirmed = "version_unconfirmed"
)

// retryAfterUnanswered is the Retry-After of a stream whose record an instance may have that did
// not answer.
const retryAfterUnanswered = 300 * time.Millisecond

// streamVersion is the software version by which a request's stream is bound.
type streamVersion struct {
	began    bool   // the caller has received events, from this attempt or an earlier one
	software string // version that sent them; empty: unknown
}

// excludes reports whether the stream may not go on at an endpoint because of its version.
func (v streamVersion) excludes(e *directory.Endpoint) bool {
	return v.began && (v.software == "" || e.Software != v.software)
}

// stream identifies the request's stream.
func (p *proxyRequest) stream() streams.Stream {
	s := streams.Stream{Workspace: p.workspaceName(), ID: p.call.ID, Routes: p.routes}
	if p.version.began && p.call.LastEventID != "" {
		s.ID = p.call.BeganAs
	}
	return s
}

// takesUp reports whether the caller goes on with a stream of an earlier attempt.
func (p *proxyRequest) takesUp() bool {
	return p.call.LastEventID != "" && p.route.Kind == route.Streaming && p.route.Resumable
}

// findVersion finds out which version began the stream that the caller takes up. If the stream
// cannot go on, it refuses the request at once and returns false.
func (p *proxyRequest) findVersion(ctx context.Context) bool {
	if !p.takesUp() {
		return !p.refusedToTakeUp()
	}
	p.version.began = true
	found := p.Streams.Find(ctx, p.stream(), p.service)
	origin, outcome := found.Origin, found.Outcome
	p.version.software = origin.Software
	if p.route.LeadsTo(origin.Service) {
		p.service = origin.Service // the route's shares may have been others when the stream began
	}
	n := p.logLine(eventlog.TakenUp, "", nil)
	n.Outcome, n.Software, n.Detail = string(outcome), origin.Software, "stream of "+p.call.BeganAs+" after event "+p.call.LastEventID+"; "+found.Evidence.String()
	p.requestLog.Write(n)
	p.Scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("streams_taken_up").Inc(1)
	switch {
	case errors.Is(context.Cause(ctx), errStops):
		p.refuse(reasonStops, retryAfterElsewhere)
	case ctx.Err() != nil:
		p.canceled(nil)
	case outcome == streams.Unanswered:
		p.refuse(reasonVersionUnknown, retryAfterUnanswered)
	case outcome == streams.Unknown:
		p.refuse(reasonVersionUnknown, noRetryAfter)
	case origin.Service != p.service:
		p.refuse(reasonServiceChanged, noRetryAfter)
	case !p.view.TakesWork(p.service, origin.Software):
		p.refuse(reasonVersionGone, noRetryAfter)
	default:
		p.recordOrigin() // its caller may return for as long as it waits now
		return true
	}
	return false
}

// refusedToTakeUp refuses a request that goes on with a stream of an earlier attempt by a route that is
// not resumable. It returns false if the request is none. It is told by its attempt: clients repeat
// Last-Event-Id on their own.
func (p *proxyRequest) refusedToTakeUp() bool {
	if p.call.LastEventID == "" || p.call.BeganAs == "" {
		return false
	}
	p.refuse(reasonNotResumable, noRetryAfter)
	return true
}

// mayReturn reports whether the caller may take the request's stream up at any instance.
func (p *proxyRequest) mayReturn() bool {
	return p.route.Kind == route.Streaming && p.route.Resumable && p.stream().ID != ""
}

// mayBegin reports whether the request may be sent to an endpoint as far as its version matters:
// a stream begins only at versions that the history holds, as instances that have no record of it
// infer its version from the history.
func (p *proxyRequest) mayBegin(ctx context.Context, e *directory.Endpoint) bool {
	if p.version.began || !p.mayReturn() {
		return true
	}
	err := p.Streams.Confirm(ctx, p.service, e.Software, p.routes)
	if err == nil {
		return true
	}
	p.failure = reasonVersionUnconfirmed
	p.tried = append(p.tried, e.ID)
	p.history.add(e.ID + ": " + p.failure)
	p.requestLog.Write(p.endpointLine(eventlog.EndpointFailed, p.failure, err, e))
	p.Scope.Counter("streams_unconfirmed").Inc(1)
	return false
}

// preferConfirmed returns a place at a confirmed version instead of one at a version at which no
// stream has begun yet, if there is one at once. With the first stream at a further version, those
// without a record can't go on any more.
func (p *proxyRequest) preferConfirmed(ctx context.Context, place *broker.Place, req placement.Request) *broker.Place {
	if p.version.began || req.Software != "" || place.Software == "" || !p.mayReturn() {
		return place
	}
	confirmed := p.Streams.Confirmed(p.service)
	if slices.Contains(confirmed, place.Software) {
		return place
	}
	for _, software := range confirmed {
		other := req
		other.ID, other.Software, other.AtOnce = req.ID+"/"+software, software, true
		if found, _ := p.FindPlace(ctx, other, p.allowedArea()); found != nil {
			p.ReleasePlace(place, "", "", nil)
			return found
		}
	}
	return place
}

// recordOrigin records the version that began the stream.
func (p *proxyRequest) recordOrigin() {
	if p.mayReturn() {
		p.Streams.Begin(p.stream(), streams.Origin{Service: p.service, Software: p.version.software}, p.left())
	}
}

// bindVersion binds the stream to the endpoint that sends its first event. Only then is it recorded: a record of a
// send that brings no event would name the wrong version if that of a later send were lost.
func (p *proxyRequest) bindVersion(e *directory.Endpoint) {
	if p.version.began {
		return
	}
	p.version = streamVersion{began: true, software: e.Software}
	p.recordOrigin()
}

// neededSoftware returns the version that the next endpoint must run; empty: any. A KV cache
// fits only the version that wrote it.
func (p *proxyRequest) neededSoftware() string {
	if p.version.software == "" && p.prefill.handle != nil {
		return p.prefill.handle.Software
	}
	return p.version.software
}

// mayGoOn reports whether some endpoint may go on with the request's stream.
func (p *proxyRequest) mayGoOn() bool {
	switch {
	case !p.version.began:
		return true
	case p.version.software == "":
		p.failure = reasonVersionUnknown
		return false
	case !p.Directory.View().TakesWork(p.service, p.version.software):
		p.failure = reasonVersionGone
		return false
	default:
		return true
	}
}
