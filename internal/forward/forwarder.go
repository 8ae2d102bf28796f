package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/budget"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("forward")

// Options are what a Forwarder works with.
type Options struct {
	Dialect   Dialect
	Directory *directory.Directory
	Balancer  *balance.Balancer
	Pool      *uplink.Pool
	Log       *eventlog.Log
	Scope     tally.Scope
	Now       func() clock.Millis
	// Retry is the allowance of all instances together.
	Retry budget.Rule
	// BodyMemory bounds the bytes of all bodies held at once.
	BodyMemory int64
	// FindPlace asks for places at engines; ReleasePlace gives them back.
	FindPlace    func(context.Context, placement.Ask) (*broker.Place, *placement.Refusal)
	ReleasePlace func(p *broker.Place, full, failed string)
	// BeganAtPlace is told how many requests an engine says it runs; read says
	// that it is the prefill engine.
	BeganAtPlace func(p *broker.Place, running int, read bool)
	// Gone is told of an endpoint whose address another one has.
	Gone func(id string)
}

// Forwarder serves callers' requests.
type Forwarder struct {
	Options
	leaving   atomic.Bool
	noStreams atomic.Bool
	bodies    atomic.Int64
	running   atomic.Int64

	mu      sync.Mutex
	waits   map[string]time.Duration  // by route, the longest that callers waited
	budgets map[string]*budget.Budget // by service
	shares  int
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{Options: o, budgets: map[string]*budget.Budget{}, waits: map[string]time.Duration{}, shares: 1}
}

// Leave makes answers tell callers to close their connections.
func (f *Forwarder) Leave() { f.leaving.Store(true) }

// RefuseStreams makes requests to engines be refused: they might not end before
// the process does.
func (f *Forwarder) RefuseStreams() { f.noStreams.Store(true) }

// Running is the number of requests in progress.
func (f *Forwarder) Running() int64 { return f.running.Load() }

// Share sets how many instances divide the retry allowance.
func (f *Forwarder) Share(shares int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shares = shares
	for _, b := range f.budgets {
		b.Share(shares)
	}
}

// Allow replaces the retry allowance of all instances together.
func (f *Forwarder) Allow(rule budget.Rule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Retry = rule
	for _, b := range f.budgets {
		b.Rule(rule)
	}
}

// BudgetLeft is how many extra sends each service still allows this instance.
func (f *Forwarder) BudgetLeft() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := make(map[string]float64, len(f.budgets))
	for service, b := range f.budgets {
		left[service] = b.Left(f.Now())
	}
	return left
}

func (f *Forwarder) budget(service string) *budget.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budgets[service]
	if b == nil {
		b = budget.New(f.Retry, f.shares)
		f.budgets[service] = b
	}
	return b
}

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
)

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	p := &passage{Forwarder: f, w: w, arrived: f.Now(), view: f.Directory.View(), trail: f.Log.Trail()}
	defer func() { p.trail.End(p.inTime) }()
	if p.admit(r) {
		p.run(r.Context())
	}
}

// passage is one request on its way.
type passage struct {
	*Forwarder
	w       http.ResponseWriter
	arrived clock.Millis
	trail   *eventlog.Trail
	inTime  bool // it was answered well, within its target
	view    *directory.View
	call    Call
	// returning says that the caller has probably been refused before.
	returning bool
	route     *route.Route
	service   string
	limit     clock.Millis // the request's end: the caller's wait or the route's time-out
	message   uplink.Message

	sends      int           // messages that may have reached an endpoint
	runs       int           // sends that may have run
	tried      []string      // endpoints that failed this request
	failure    string        // reason of the last failure
	comeBack   time.Duration // what a refused caller is told
	spare      *spare        // an endpoint's own failing answer, kept in case no better one comes
	headSent   bool
	firstEvent time.Duration // from arrival to the first event; 0 before
	last       string        // id of the last event passed on
	prefill    prefill
	asks       int           // for places
	place      *broker.Place // at engines, of the send in progress
	full       string        // engine that turned the request away at this place
	failed     string        // engine that failed at this place
}

// admit checks the request and reads its body. It answers what it refuses.
func (p *passage) admit(r *http.Request) bool {
	if p.view.Table == nil {
		p.refuse("no_configuration", comeBackStarting)
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
	p.limit = p.arrived.Add(match.Timeout)
	if call.Wait > 0 {
		p.limit = min(p.limit, p.arrived.Add(call.Wait))
		p.returning = p.cameBack(match.Name, call.Wait)
	}
	p.message = uplink.Message{Method: r.Method, Target: r.RequestURI, Host: r.Host}
	if !p.readBody(r) {
		return false
	}
	if p.noStreams.Load() && p.route.Kind == route.Streaming {
		p.refuse("stopping", comeBackElsewhere)
		return false
	}
	p.budget(p.service).Request(p.arrived)
	return true
}

// cameBack guesses whether a caller has asked before: it has less time left than
// callers of its route begin with.
func (f *Forwarder) cameBack(route string, wait time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waits[route] = max(f.waits[route], wait)
	return wait < f.waits[route]*returningPart/100
}

// returningPart of the usual time, in percent, is left to a caller that comes
// back; it follows a refusal by a hundred ms at least.
const returningPart = 99

// readBody takes the body into memory, as it may have to be sent again.
func (p *passage) readBody(r *http.Request) bool {
	p.message.HasBody = r.ContentLength != 0
	if !p.message.HasBody {
		return true
	}
	most := p.view.Table.Limits.BodyBytes
	if r.ContentLength > most {
		p.reject(http.StatusRequestEntityTooLarge, "body_too_large", Error.New("the body is over %d bytes", most))
		return false
	}
	if p.bodies.Load()+max(r.ContentLength, 0) > p.BodyMemory {
		p.refuse("body_memory_full", comeBackBusy)
		return false
	}
	var err error
	if r.ContentLength > 0 {
		p.message.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, p.message.Body)
		if err == nil {
			_, err = r.Body.Read(make([]byte, 1)) // see the end, so that the server watches for the caller's leaving
			if errors.Is(err, io.EOF) {
				err = nil
			}
		}
	} else {
		p.message.Body, err = io.ReadAll(io.LimitReader(r.Body, most+1))
	}
	if err != nil {
		p.trail.Write(p.line(eventlog.Cancelled, "body_unfinished", err))
		panic(http.ErrAbortHandler)
	}
	if int64(len(p.message.Body)) > most {
		p.reject(http.StatusRequestEntityTooLarge, "body_too_large", Error.New("the body is over %d bytes", most))
		return false
	}
	return true
}

// run sends the request until it is answered or given up.
func (p *passage) run(ctx context.Context) {
	size := int64(len(p.message.Body))
	p.bodies.Add(size)
	defer p.bodies.Add(-size)
	ctx, cancel := context.WithTimeout(ctx, p.left()+finalGrace)
	defer cancel()
	defer p.freeHandle()
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

const (
	again    progress = iota // try another endpoint
	answered                 // the caller has its answer
	hopeless                 // no endpoint is left, or no budget
)

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
	return true
}

// engine says whether the request's service is one of model engines.
func (p *passage) engine() bool {
	s := p.view.Table.Service(p.service)
	return s != nil && s.Engine != nil
}

// afford takes a further send from the retry budget.
func (p *passage) afford() bool {
	if p.sends == 0 || p.budget(p.service).Take(p.Now()) {
		return true
	}
	p.trail.Write(p.line(eventlog.BudgetSpent, p.failure, nil))
	p.Scope.Counter("budget_spent").Inc(1)
	p.failure = "budget_spent"
	return false
}

// plainStep sends the request to an endpoint of a plain service.
func (p *passage) plainStep(ctx context.Context) progress {
	p.view = p.Directory.View()
	r := p.Balancer.Reserve(p.Now(), p.view, balance.Ask{Service: p.service, Exclude: p.tried, Stage: directory.Decode})
	if r == nil {
		p.because("no_endpoint")
		p.comeBack = comeBackUnreachable
		return hopeless
	}
	if !p.afford() {
		r.Done(p.Now(), balance.Abandoned)
		return hopeless
	}
	if p.attempt(ctx, r) {
		return answered
	}
	return again
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

// ended answers a request whose time is over or whose caller has left.
func (p *passage) ended(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
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
	n := p.line(eventlog.Refused, reason, nil)
	n.Status, n.Wait = http.StatusServiceUnavailable, after
	p.trail.Write(n)
	p.Scope.Counter("requests_refused").Inc(1)
	p.Scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
	p.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(p.w, "not run: "+reason, http.StatusServiceUnavailable)
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
		Service: p.service, Took: p.Now().Sub(p.arrived),
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
