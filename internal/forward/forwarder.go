package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/budget"
	"github.com/trailshed/trailshed/internal/deadline"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/residency"
	"github.com/trailshed/trailshed/internal/suspects"
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
	Retry  budget.Rule
	Limits Limiter
	// Permits keep all instances to what endpoints take.
	Permits Permits
	// BodyMemory bounds the bytes of all bodies held at once.
	BodyMemory int64
	// Stall is how long a caller may leave an answer unread.
	Stall time.Duration
	// FindPlace asks for places at engines; ReleasePlace gives them back.
	FindPlace    func(context.Context, placement.Ask, residency.Area) (*broker.Place, *placement.Refusal)
	ReleasePlace func(p *broker.Place, full, failed string, seen *placement.Seen)
	// BeganAtPlace is told how many requests a decode engine says it runs,
	// ReadAtPlace the same of the prefill engine, and how long it took.
	BeganAtPlace func(p *broker.Place, running int)
	ReadAtPlace  func(p *broker.Place, running int, took time.Duration)
	// Regions has the region of each availability zone.
	Regions map[string]string
	// Isolated says that no change can reach this instance.
	Isolated func() bool
	// Gone is told of an endpoint whose address another one has.
	Gone func(id string)
	// Suspects remember which requests end endpoints.
	Suspects *suspects.Suspects
}

// Forwarder serves callers' requests.
type Forwarder struct {
	Options
	leaving   atomic.Bool
	noStreams atomic.Bool
	bodies    atomic.Int64
	running   atomic.Int64
	deadlines *deadline.Set

	mu      sync.Mutex
	budgets map[string]*budget.Budget // by service
	shares  int
	began   clock.Millis
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{Options: o, deadlines: deadline.New(o.Now), budgets: map[string]*budget.Budget{}, shares: 1, began: o.Now()}
}

// Leave makes answers tell callers to close their connections.
func (f *Forwarder) Leave() { f.leaving.Store(true) }

// RefuseStreams makes requests to engines be refused: they might not end before
// the process does.
func (f *Forwarder) RefuseStreams() { f.noStreams.Store(true) }

// Resume ends, at their times, requests that were here while the machine was
// suspended.
func (f *Forwarder) Resume() { f.deadlines.Resume() }

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
		b = budget.New(f.Retry, f.shares, f.began)
		f.budgets[service] = b
	}
	return b
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	p := &passage{Forwarder: f, w: newCaller(w, f.Stall), arrived: f.Now(), view: f.Directory.View(), trail: f.Log.Trail()}
	defer func() { p.trail.End(p.inTime) }()
	defer p.release()
	if p.admit(r) {
		p.run(r.Context())
	}
}

const (
	again    progress = iota // try another endpoint
	answered                 // the caller has its answer
	hopeless                 // no endpoint is left, or no budget
)
