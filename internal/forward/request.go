package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/prompt"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/sharegate"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// proxyRequest is the state of one request, from its arrival until the caller has been
// answered. An attempt that runs beside a silent one has a proxyRequest of its own, with a copy of the
// progress and without a caller to write to.
type proxyRequest struct {
	*Forwarder
	w          *timeoutWriter // nil for an attempt beside another
	arrived    clock.Millis
	requestLog *eventlog.RequestLog
	inTime     bool           // answered successfully within the route's target
	outcome    eventlog.Event // of the line that ended it; Panicked as long as there is none
	call       Call
	route      *route.Route
	// workspace is the caller's workspace; nil in a deployment without workspaces,
	// and on open routes for callers without a key.
	workspace     *route.Workspace
	chargedUnits  float64            // units counted against the workspace's limit
	share         sharegate.Decision // on the workspace's share of a plain service
	service       string
	routes        route.Bucket // of the routes that a resumable stream matched
	deadline      clock.Millis // end of the caller's wait or of the route's timeout, whichever is earlier
	message       uplink.Message
	reservedBytes int64            // reserved for bodies
	sample        float64          // for quarantine.Prompt
	headSent      atomic.Bool      // the caller has the head of the answer
	firstEvent    time.Duration    // from arrival to the first event; 0 before
	cancelledHeld atomic.Bool      // CancelHeld cancelled a send
	pauses        int              // waits of a stream that has begun for an endpoint
	beside        *successor       // the attempt that this is; nil for the caller's request
	record        *attempts.Record // of all sends, shared with the attempts beside each other
	planned       *attempts.Send   // the next send of an attempt beside another one; nil for the caller's request

	readLock sync.Mutex // guards reading and the deadline of reads
	reading  bool       // the body

	progress
}

// progress is what has been done for a request so far.
type progress struct {
	view          *directory.View
	engines       bool              // model engines serve the request; a service that is removed meanwhile does not change that
	sends         int               // sends that may have reached an endpoint
	tried         []string          // IDs of endpoints that failed this request
	attempt       *attempts.Send    // the last one
	final         bool              // the endpoint has answered the request, so that it is not sent elsewhere
	broke         []string          // IDs of endpoints that broke off a run
	failure       string            // reason for the last failure
	history       history           // how the steps so far ended
	sharePercent  int               // workspace's share of the engines at the last refusal of a place
	retryAfter    time.Duration     // Retry-After of a refusal
	fallback      *bufferedResponse // last 5xx response of an endpoint, sent if no better one comes
	predicted     time.Duration     // prediction of firstEvent, made when the request got its place
	events        int               // passed on in this send
	sentAt        clock.Millis      // time of this send
	heardAt       clock.Millis      // when this send was made, or its endpoint last heard
	begunAt       clock.Millis      // time of the first event of this send
	wroteOn       bool              // the endpoint went on writing after it began the answer to this send
	heldPart      prompt.Part       // part of the prompt for which the request is refused
	lastEventID   string            // of the last event passed on
	version       streamVersion     // of the stream
	longestWrite  time.Duration     // longest write of an event to the caller, of this send
	prefill       prefillState
	placeRequests int            // requests for places
	placeLimit    int            // of placeRequests
	placePrefix   string         // of their IDs
	place         *broker.Place  // place at engines of the send in progress
	fullEngine    string         // ID of the engine that rejected the request at this place
	failedEngine  string         // ID of the engine that failed at this place
	timing        responseTiming // of the response at this place
	answer        *answer        // response that has begun
	throughPeer   bool           // a peer carried the connection of the last send
	ownLinkLost   bool           // the last send failed because of this instance's own link
	silence       *silenceWatch  // of the last send
	hedge         *silenceWatch  // of the last attempt, if others that ran beside it go on
}

// admit checks the request and reads its body. If it returns false, the caller has been
// answered.
func (p *proxyRequest) admit(r *http.Request) bool {
	if r.ContentLength != 0 {
		p.limitBodyTime(unreadBodyTimeout)
	}
	if p.view.Table == nil {
		p.refuse("no_configuration", retryAfterStarting)
		return false
	}
	if p.Isolated() {
		p.refuse("out_of_touch", retryAfterElsewhere)
		return false
	}
	call, err := p.Codec.DecodeRequest(r)
	if err != nil {
		p.reject(http.StatusBadRequest, "malformed", err)
		return false
	}
	p.call, p.lastEventID = call, call.LastEventID
	path := r.URL.EscapedPath()
	match, ok := p.view.Table.Match(r.Host, path)
	if !ok {
		p.reject(http.StatusNotFound, "no_route", Error.New("no route for host %q and path %q", r.Host, r.URL.Path))
		return false
	}
	p.setRoute(match, p.view.Table.Bucket(r.Host, path))
	if !p.identify() {
		return false
	}
	p.deadline = p.arrived.Add(match.Timeout)
	if call.Wait > 0 {
		p.deadline = min(p.deadline, p.arrived.Add(call.Wait))
	}
	p.message = uplink.Message{Method: r.Method, Target: r.RequestURI, Host: r.Host}
	if p.refusedForStop() || !p.readBody(r) || p.refusedForStop() {
		return false
	}
	if p.quarantined() {
		p.refuse(p.failure, p.retryAfter)
		return false
	}
	if !p.findVersion(r.Context()) || !p.charge() || !p.takeShare() {
		return false
	}
	p.budget(p.service).CountRequest(p.arrived)
	return true
}

// setRoute sets the route that the request matched, and the service that it leads to.
func (p *proxyRequest) setRoute(match *route.Route, routes route.Bucket) {
	p.route, p.service, p.routes = match, match.Service(p.call.ID), routes
	switch {
	case !p.takesUp():
	case p.call.BeganAs != "":
		p.service = match.Service(p.call.BeganAs) // a route's shares are drawn by ID
	case len(match.Shares) > 1:
		p.routes.Digest = "" // any of them may have begun the stream
	}
}

// run sends the request until it is answered or given up.
func (p *proxyRequest) run(ctx context.Context) {
	ctx, cancel := p.deadlines.Context(ctx, p.deadline.Add(timeoutGrace))
	defer cancel()
	defer p.credit()
	defer p.freeHandle()
	defer func() { p.hedge.stop() }()
	for {
		switch p.seek(ctx) {
		case stepAnswered:
			return
		case stepBegun:
			if p.deliver(ctx) {
				return
			}
		case stepRetry, stepGiveUp:
			if ctx.Err() != nil {
				p.record.Close()
				p.spend(p.hedge.running())
				p.contextEnded(ctx)
				return
			}
			if !p.pause(ctx) {
				p.giveUp()
				return
			}
		}
	}
}

// seek sends the request until a response has begun, which is left in p.answer.
func (p *proxyRequest) seek(ctx context.Context) stepResult {
	for ctx.Err() == nil {
		if p.hedge != nil {
			if p.awaitSuccessor(ctx) {
				return stepBegun
			}
			continue
		}
		if !p.maySend() {
			return stepGiveUp
		}
		next := p.plainStep
		if p.engines = p.engines || p.usesEngines(); p.engines {
			next = p.engineStep
		}
		if result := next(ctx); result != stepRetry {
			return result
		}
	}
	return stepGiveUp
}

const (
	// firstPause and maxPause are the first and the longest pause of a stream that has begun and for which
	// there is no endpoint.
	firstPause = 50 * time.Millisecond
	maxPause   = 500 * time.Millisecond
	// maxPauseDoublings bounds how often a pause is doubled.
	maxPauseDoublings = 4
	// pausesBeforeReturn is the number of pauses before a stream may return to an endpoint that broke it off,
	// which may have started again by then: about a second.
	pausesBeforeReturn = 5
)

// pause waits a little if the request is a stream that has begun and may still go on at an endpoint later:
// its caller has a part of the answer, which would be lost. It returns false if the request is to be
// given up.
func (p *proxyRequest) pause(ctx context.Context) bool {
	if !p.headSent.Load() || !p.mayRepeat() || p.left() < minTimeLeft || p.version.software == "" || p.quarantined() {
		return false
	}
	length := min(firstPause<<min(p.pauses, maxPauseDoublings), maxPause, p.left())
	if p.pauses++; p.pauses == 1 {
		p.requestLog.Write(p.logLine(eventlog.Waiting, p.failure, nil))
		p.Scope.Counter("streams_waiting").Inc(1)
	}
	ticker.Sleep(ctx, length)
	p.tried, p.placeLimit = nil, p.placeRequests+maxPlaceRequests
	if p.pauses < pausesBeforeReturn {
		p.tried = slices.Clone(p.broke)
	}
	p.prefill.tried, p.prefill.rejected, p.prefill.avoid = nil, nil, nil
	return true
}

// stepResult is the outcome of one step of a request.
type stepResult int

// The outcomes of a step.
const (
	stepRetry    stepResult = iota // try again, usually at another endpoint
	stepBegun                      // a response has begun
	stepAnswered                   // the caller has been answered or has disconnected
	stepGiveUp                     // the request is not sent again now, mostly for lack of an endpoint or of retry budget
)

// timeoutGrace is how long after the deadline an endpoint may still report the timeout
// itself before the forwarder does. Operators require an answer within 500 ms after the
// timeout.
const timeoutGrace = 120 * time.Millisecond

// mayRepeat reports whether the request may be sent to another endpoint, after what has run so far.
func (p *proxyRequest) mayRepeat() bool {
	runs := p.otherRuns()
	return !p.final && (runs == 0 || p.route.Repeatable() && runs < p.route.Attempts)
}

// otherRuns returns the number of sends that may have run, without the one that is planned for this attempt.
func (p *proxyRequest) otherRuns() int {
	runs := p.record.MayHaveRun()
	if p.planned != nil && p.planned.Planned() {
		runs--
	}
	return runs
}

// beginSend records a send to an endpoint. It returns false if the send must not be made: the request has ended without
// this attempt beside it, or as many other sends as its route allows may have run.
func (p *proxyRequest) beginSend(endpoint string) bool {
	if p.planned == nil {
		p.attempt = p.record.Begin(endpoint)
		return true
	}
	if !p.planned.Planned() && p.planned.MayHaveRun() {
		next := p.record.Plan(p.route.Attempts)
		if next == nil {
			return false
		}
		p.planned = next
	}
	p.attempt = p.planned
	return p.attempt.At(endpoint)
}

// finishNotRun records that the last send did not run the request. An attempt beside another one keeps its place for
// its next send.
func (p *proxyRequest) finishNotRun(end attempts.End) {
	if p.planned == nil {
		p.attempt.Finish(end)
		return
	}
	p.planned = p.attempt.Replan(end)
}

// maySend reports whether the request may be sent, for the first time or again.
func (p *proxyRequest) maySend() bool {
	if !p.mayRepeat() {
		return false
	}
	if p.left() < minTimeLeft {
		p.failure = "no_time_left"
		return false
	}
	return p.mayGoOn() && !p.quarantined()
}

// usesEngines reports whether model engines serve the request.
func (p *proxyRequest) usesEngines() bool {
	s := p.view.Table.Service(p.service)
	return s != nil && s.Engine != nil
}

// takeBudget takes extra sends from the retry budget. It returns false if too little is
// left.
func (p *proxyRequest) takeBudget(extra int) bool {
	return extra == 0 || p.budget(p.service).Take(p.Now(), extra)
}

// extraSends returns how many sends of the next attempt count against the retry budget: a
// repeated send and, if withPrefill is set, a repeated prefill before it.
func (p *proxyRequest) extraSends(withPrefill bool) int {
	extra := 0
	if p.sends > 0 {
		extra++
	}
	if withPrefill && p.prefill.sends > 0 {
		extra++
	}
	return extra
}

// budgetSpent ends a request for lack of retry budget.
func (p *proxyRequest) budgetSpent() stepResult {
	p.requestLog.Write(p.logLine(eventlog.BudgetSpent, p.failure, nil))
	p.history.add("retry budget spent")
	p.Scope.Counter("budget_spent").Inc(1)
	p.failure = "budget_spent"
	return stepGiveUp
}

// plainStep sends the request to an endpoint of a plain service.
func (p *proxyRequest) plainStep(ctx context.Context) stepResult {
	p.view = p.Directory.View()
	criteria := p.endpointCriteria()
	avoided := p.avoidedEndpoints()
	criteria.Exclude = slices.Concat(criteria.Exclude, avoided)
	r := p.reserve(ctx, &criteria, p.priority())
	if r == nil && len(avoided) > 0 && ctx.Err() == nil {
		p.refuseShare()
		return stepAnswered
	}
	if r == nil {
		p.setDefaultFailure(p.noEndpointReason())
		p.setRetryAfter(criteria, retryAfterUnreachable)
		return stepGiveUp
	}
	if !p.mayBegin(ctx, r.Endpoint) {
		r.Done(p.Now(), balance.Canceled)
		p.Permits.Return(r.Endpoint.ID)
		return stepRetry
	}
	if !p.takeBudget(p.extraSends(false)) {
		r.Done(p.Now(), balance.Canceled)
		p.Permits.Return(r.Endpoint.ID)
		return p.budgetSpent()
	}
	if p.begin(ctx, r) {
		return stepBegun
	}
	return stepRetry
}

// endpointCriteria returns the criteria for an endpoint that runs the request and has not
// been tried yet.
func (p *proxyRequest) endpointCriteria() balance.Request {
	return balance.Request{Service: p.service, Exclude: p.tried, Area: p.allowedArea(), Stage: directory.Decode, Software: p.version.software}
}

// setRetryAfter sets when the caller of a request that cannot be served may retry. If all
// suitable endpoints back off or have no permit left, that is when the first of them
// becomes available again.
func (p *proxyRequest) setRetryAfter(criteria balance.Request, minimum time.Duration) {
	backoff, limited := p.Balancer.BackoffLeft(p.Now(), p.view, criteria)
	switch {
	case limited:
		p.failure = reasonLimited
	case backoff > 0:
		p.failure = "endpoints_rest"
	}
	p.retryAfter = max(minimum, backoff)
}

// setDefaultFailure sets the reason why the request cannot be served, unless the failure of
// an endpoint already gives one.
func (p *proxyRequest) setDefaultFailure(reason string) {
	if p.failure == "" {
		p.failure = reason
	}
}

// minTimeLeft is the remaining time below which a send is pointless.
const minTimeLeft = 30 * time.Millisecond

// left returns the time until the request's deadline.
func (p *proxyRequest) left() time.Duration { return p.deadline.Sub(p.Now()) }
