package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/budget"
	"github.com/trailshed/trailshed/internal/deadline"
	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/residency"
	"github.com/trailshed/trailshed/internal/servicetime"
	"github.com/trailshed/trailshed/internal/suspects"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("forward")

// Options configure a Forwarder.
type Options struct {
	Codec     Codec
	Directory *directory.Directory
	Balancer  *balance.Balancer
	Pool      *uplink.Pool
	Log       *eventlog.Log
	Scope     tally.Scope
	Now       func() clock.Millis
	// Retry is the retry budget shared by all instances.
	Retry  budget.Rule
	Limits Limiter
	Shares Shares
	// Permits keep all instances together within the rate limits of endpoints.
	Permits Permits
	// BodyMemory bounds the bytes of all bodies held in memory at once.
	BodyMemory int64
	// WriteTimeout is the longest time that one write to a caller may take.
	WriteTimeout time.Duration
	// FindPlace reserves a place at model engines; ReleasePlace frees it.
	FindPlace    func(context.Context, placement.Request, residency.Area) (*broker.Place, *placement.Refusal)
	ReleasePlace func(p *broker.Place, full, failed string, o *placement.Observation)
	// ReportDecodeStart receives the number of requests that a decode engine reports as
	// running when it begins to answer. ReportPrefillDone receives the same from the prefill
	// engine, and how long the prefill took.
	ReportDecodeStart func(p *broker.Place, running int)
	ReportPrefillDone func(p *broker.Place, running int, took time.Duration)
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// Isolated reports whether this instance is cut off from all updates.
	Isolated func() bool
	// ReportGone is called with the ID of an endpoint whose address now belongs to another
	// one.
	ReportGone func(id string)
	// CheckProcess finds out whether an endpoint's process has ended.
	CheckProcess func(ctx context.Context, e *directory.Endpoint) dialer.Verdict
	// LinkLost reports whether this instance has lost its own link to an endpoint.
	LinkLost func(endpoint string) bool
	Streams  Streams
	// Overloaded reports whether this instance gets more work than it can do. What endpoints sent then waits
	// here, so that their silence means nothing. If it is nil, the instance never is.
	Overloaded func() bool
	// ReturnShare returns the share of the callers refused now that come back to an instance that stops, this one
	// included. If it is nil, none do.
	ReturnShare func() float64
	// Suspects records which requests crash endpoints.
	Suspects *suspects.Suspects
}

// Forwarder is the HTTP handler that forwards callers' requests to endpoints.
type Forwarder struct {
	Options
	stopping  *stopping
	bodyBytes atomic.Int64
	running   atomic.Int64
	begun     atomic.Int64 // answers in progress of which the caller has the head
	deadlines *deadline.Set
	times     *servicetime.Table // by route
	waiting   waitingRuns

	mu        sync.Mutex
	budgets   map[string]*budget.Budget // by service
	instances int
	startedAt clock.Millis
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	if o.Overloaded == nil {
		o.Overloaded = func() bool { return false }
	}
	if o.ReturnShare == nil {
		o.ReturnShare = func() float64 { return 0 }
	}
	return &Forwarder{Options: o, stopping: newStopping(), deadlines: deadline.New(o.Now), times: servicetime.New(o.Now), waiting: waitingRuns{cancels: map[*proxyRequest]context.CancelFunc{}}, budgets: map[string]*budget.Budget{}, instances: 1, startedAt: o.Now()}
}

// Resume is called after a suspension of the machine. It ends the requests whose deadlines
// passed meanwhile and rearms the others.
func (f *Forwarder) Resume() { f.deadlines.Resume() }

// Running returns the number of requests in progress.
func (f *Forwarder) Running() int64 { return f.running.Load() }

// Unanswered returns the number of requests in progress whose answers have not begun.
func (f *Forwarder) Unanswered() int { return int(f.running.Load() - f.begun.Load()) }

// SetInstances sets the number of instances that divide the retry budget.
func (f *Forwarder) SetInstances(instances int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = instances
	for _, b := range f.budgets {
		b.SetShares(instances)
	}
}

// SetRetryRule replaces the retry budget shared by all instances.
func (f *Forwarder) SetRetryRule(rule budget.Rule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Retry = rule
	for _, b := range f.budgets {
		b.SetRule(rule)
	}
}

// RetryBudgetLeft returns how many extra sends this instance may still make, by service.
func (f *Forwarder) RetryBudgetLeft() map[string]float64 {
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
		b = budget.New(f.Retry, f.instances, f.startedAt)
		f.budgets[service] = b
	}
	return b
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	late := f.stopping.begun.Load()
	if late {
		w.Header().Set("Connection", "close")
	}
	p := &proxyRequest{
		Forwarder: f, w: newTimeoutWriter(w, f.WriteTimeout), arrived: f.Now(), progress: progress{view: f.Directory.View(), placeLimit: maxPlaceRequests}, requestLog: f.Log.NewRequestLog(),
		sample: rand.Float64(), outcome: eventlog.Panicked, record: &attempts.Record{},
	}
	p.w.withholds = p.withholds
	defer func() {
		if p.headSent.Load() {
			f.begun.Add(-1)
		}
		p.requestLog.End(p.inTime)
		if f.stopping.begun.Load() {
			f.stopping.count(f.Scope, late, p.outcome)
		}
	}()
	defer p.releaseMemory()
	ctx, cancel := p.endWithInstance(r.Context())
	defer cancel()
	if r = r.WithContext(ctx); !p.admit(r) {
		return
	}
	if late {
		f.stopping.taken.Add(1)
	}
	p.run(ctx)
}
