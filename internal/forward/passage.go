package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// passage is one request on its way.
type passage struct {
	*Forwarder
	w       *caller
	arrived clock.Millis
	trail   *eventlog.Trail
	inTime  bool // it was answered well, within its target
	view    *directory.View
	call    Call
	route   *route.Route
	// workspace is whose request it is; nil on a deployment without workspaces,
	// and on open routes for callers without a key.
	workspace *route.Workspace
	charged   float64 // units of the workspace's limit that the request counts
	service   string
	limit     clock.Millis // the request's end: the caller's wait or the route's time-out
	message   uplink.Message
	holds     int64 // bytes of bodies

	sends      int           // messages that may have reached an endpoint
	runs       int           // sends that may have run
	tried      []string      // endpoints that failed this request
	failure    string        // reason of the last failure
	comeBack   time.Duration // what a refused caller is told
	spare      *spare        // an endpoint's own failing answer, kept in case no better one comes
	headSent   bool
	firstEvent time.Duration // from arrival to the first event; 0 before
	predicted  time.Duration // the same, predicted when the request got its place
	last       string        // id of the last event passed on
	unread     time.Duration // the longest that the caller took to take an event of this send
	prefill    prefill
	asks       int           // for places
	place      *broker.Place // at engines, of the send in progress
	full       string        // engine that turned the request away at this place
	failed     string        // engine that failed at this place
	seen       seen          // of the answer at this place
	next       *move         // where it goes on after a silence
}

// admit checks the request and reads its body. It answers what it refuses.
func (p *passage) admit(r *http.Request) bool {
	if p.view.Table == nil {
		p.refuse("no_configuration", comeBackStarting)
		return false
	}
	if p.Isolated() {
		p.refuse("out_of_touch", comeBackElsewhere)
		return false
	}
	call, err := p.Dialect.Decode(r)
	if err != nil {
		p.reject(http.StatusBadRequest, "malformed", err)
		return false
	}
	p.call, p.last = call, call.LastEvent
	match, ok := p.view.Table.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		p.reject(http.StatusNotFound, "no_route", Error.New("no route for host %q and path %q", r.Host, r.URL.Path))
		return false
	}
	p.route, p.service = match, match.Service(call.ID)
	if !p.identify() {
		return false
	}
	p.limit = p.arrived.Add(match.Timeout)
	if call.Wait > 0 {
		p.limit = min(p.limit, p.arrived.Add(call.Wait))
	}
	p.message = uplink.Message{Method: r.Method, Target: r.RequestURI, Host: r.Host}
	if !p.readBody(r) {
		return false
	}
	if p.noStreams.Load() && p.route.Kind == route.Streaming {
		p.refuse("stopping", comeBackElsewhere)
		return false
	}
	if p.held() {
		p.refuse(p.failure, p.comeBack)
		return false
	}
	if !p.charge() {
		return false
	}
	p.budget(p.service).Request(p.arrived)
	return true
}

// run sends the request until it is answered or given up.
func (p *passage) run(ctx context.Context) {
	ctx, cancel := p.deadlines.Context(ctx, p.limit.Add(finalGrace))
	defer cancel()
	defer p.credit()
	defer p.freeHandle()
	defer func() {
		if m := p.takeMove(); m != nil {
			m.drop()
		}
	}()
	for {
		if ctx.Err() != nil {
			p.ended(ctx)
			return
		}
		if !p.mayBeSent() {
			p.giveUp()
			return
		}
		next := p.plainStep
		if p.engine() {
			next = p.engineStep
		}
		switch next(ctx) {
		case answered:
			return
		case hopeless:
			p.giveUp()
			return
		case again:
		}
	}
}

// progress is what one step of a request came to.
type progress int

// finalGrace is how long an endpoint may take to say itself that the time is
// over, before we say so. The operators' bound is 500 ms past the time-out.
const finalGrace = 120 * time.Millisecond

// mayBeSent says whether the request may be sent (again).
func (p *passage) mayBeSent() bool {
	if p.runs > 0 && (!p.route.Repeatable() || p.runs >= p.route.Attempts) {
		return false
	}
	if p.left() < leastLeft {
		p.failure = "no_time_left"
		return false
	}
	return !p.held()
}

// engine says whether the request's service is one of model engines.
func (p *passage) engine() bool {
	s := p.view.Table.Service(p.service)
	return s != nil && s.Engine != nil
}

// afford takes further sends from the retry budget.
func (p *passage) afford(extra int) bool {
	return extra == 0 || p.budget(p.service).Take(p.Now(), extra)
}

// extraSends is how many of a send, and of a prefill before it if reads is set,
// count in the retry budget.
func (p *passage) extraSends(reads bool) int {
	extra := 0
	if p.sends > 0 {
		extra++
	}
	if reads && p.prefill.sends > 0 {
		extra++
	}
	return extra
}

// budgetSpent ends a request that the retry budget does not let go on.
func (p *passage) budgetSpent() progress {
	p.trail.Write(p.line(eventlog.BudgetSpent, p.failure, nil))
	p.Scope.Counter("budget_spent").Inc(1)
	p.failure = "budget_spent"
	return hopeless
}

// plainStep sends the request to an endpoint of a plain service.
func (p *passage) plainStep(ctx context.Context) progress {
	p.view = p.Directory.View()
	if m := p.takeMove(); m != nil {
		return p.plainAttempt(ctx, m.reservation)
	}
	ask := p.runAsk()
	r := p.reserve(ctx, &ask, p.priority())
	if r == nil {
		p.because(p.withoutEndpoint())
		p.comeBackAfter(ask, comeBackUnreachable)
		return hopeless
	}
	if !p.afford(p.extraSends(false)) {
		r.Done(p.Now(), balance.Abandoned)
		p.Permits.Return(r.Endpoint.ID)
		return p.budgetSpent()
	}
	return p.plainAttempt(ctx, r)
}

func (p *passage) plainAttempt(ctx context.Context, r *balance.Reservation) progress {
	if p.attempt(ctx, r) {
		return answered
	}
	return again
}

// runAsk is for an endpoint that runs the request, of those that were not tried.
func (p *passage) runAsk() balance.Ask {
	return balance.Ask{Service: p.service, Exclude: p.tried, Area: p.area(), Stage: directory.Decode}
}

// comeBackAfter notes when the caller of a request that cannot be served may come back:
// where all that could serve it rest or have no permit left, when the first of them may
// be asked.
func (p *passage) comeBackAfter(ask balance.Ask, usual time.Duration) {
	rest, limited := p.Balancer.RestsFor(p.Now(), p.view, ask)
	switch {
	case limited:
		p.failure = endpointsLimited
	case rest > 0:
		p.failure = "endpoints_rest"
	}
	p.comeBack = max(usual, rest)
}

// because notes why the request cannot be served, unless an endpoint's failure
// says more.
func (p *passage) because(reason string) {
	if p.failure == "" {
		p.failure = reason
	}
}

// leastLeft is the time below which a send is pointless.
const leastLeft = 30 * time.Millisecond

// left is the time until the request's limit.
func (p *passage) left() time.Duration { return p.limit.Sub(p.Now()) }
