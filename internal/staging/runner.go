package staging

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/leadership"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// decideEvery is how often the split is looked at.
	decideEvery = time.Second
	// orderWait bounds one order.
	orderWait = 800 * time.Millisecond
)

// Runner lets the holder of the duty give orders.
type Runner struct {
	Directory  *directory.Directory
	Leadership *leadership.Leadership
	// Send gives an order; fence is the holder's.
	Send func(ctx context.Context, o Order, holder string, fence int64) error
	// Spared says whether an engine is to be left alone now: it gets no order.
	Spared func(ctx context.Context, e *directory.Endpoint) bool
	// Closed is told of an engine that takes nothing until it has changed.
	Closed func(o Order)
	Log    *eventlog.Log
	Scope  tally.Scope
	// Paces is how fast engines are seen to work.
	Paces *pace.Model
	Now   func() clock.Millis

	mu    sync.Mutex
	sizes map[string]Sizes
}

// Saw takes a request's sizes.
func (r *Runner) Saw(service string, prompt, output int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sizes == nil {
		r.sizes = map[string]Sizes{}
	}
	s := r.sizes[service]
	s.Add(prompt, output)
	r.sizes[service] = s
}

// Run decides until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	policy := NewPolicy()
	ticker.Every(ctx, decideEvery, func() { r.step(ctx, policy) })
}

func (r *Runner) step(ctx context.Context, policy *Policy) {
	fence, ok := r.Leadership.Fence()
	if !ok {
		return
	}
	r.mu.Lock()
	sizes := maps.Clone(r.sizes)
	r.mu.Unlock()
	r.give(ctx, policy, policy.Decide(r.Now(), r.Directory.View(), sizes, r.Paces), fence)
}

// give gives orders. One to an engine that is to be left alone is put off, and decided
// again a second later: counted as given it would be missing for as long as a change takes.
func (r *Runner) give(ctx context.Context, policy *Policy, orders []Order, fence int64) {
	var group sync.WaitGroup
	for _, o := range orders {
		if r.Spared(ctx, o.Endpoint) {
			r.Scope.Counter("orders_put_off").Inc(1)
			policy.PutOff(o)
			continue
		}
		group.Go(func() { r.order(ctx, o, fence) })
	}
	group.Wait()
}

// order gives one order.
func (r *Runner) order(ctx context.Context, o Order, fence int64) {
	r.Closed(o)
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	err := r.Send(ctx, o, r.Leadership.Name, fence)
	n := eventlog.Line{Event: eventlog.Ordered, Endpoint: o.Endpoint.ID, Service: o.Endpoint.Service, Zone: o.Endpoint.Zone, Outcome: stageName(o.Stage), Revision: fence, Count: int64(o.Present)}
	if err != nil {
		n.Detail = err.Error()
		r.Scope.Counter("orders_failed").Inc(1)
	}
	r.Scope.Counter("orders").Inc(1)
	r.Log.Write(n)
}

func stageName(s directory.Stage) string {
	if s == directory.Prefill {
		return "prefill"
	}
	return "decode"
}
