package staging

import (
	"context"
	"fmt"
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
	// decideInterval is how often the split is checked.
	decideInterval = time.Second
	// orderTimeout bounds sending one order.
	orderTimeout = 800 * time.Millisecond
)

// Runner sends the policy's orders while this instance is the leader.
type Runner struct {
	Directory  *directory.Directory
	Leadership *leadership.Leadership
	// Send sends an order with the leader's name and fencing token.
	Send func(ctx context.Context, o Order, holder string, fence int64) error
	// Avoid reports whether an engine must be avoided now, so that it gets no order.
	Avoid func(ctx context.Context, e *directory.Endpoint) bool
	// StageChanging is called for an engine that accepts no requests until it has changed.
	StageChanging func(o Order)
	Log           *eventlog.Log
	Scope         tally.Scope
	// Paces is the model of engine timings.
	Paces *pace.Model
	Now   func() clock.Millis

	mu    sync.Mutex
	sizes map[string]Sizes
}

// AddRequest adds the sizes of a request.
func (r *Runner) AddRequest(service string, prompt, output int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sizes == nil {
		r.sizes = map[string]Sizes{}
	}
	s := r.sizes[service]
	s.Add(prompt, output)
	r.sizes[service] = s
}

// Run decides and sends orders until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	policy := NewPolicy()
	ticker.Every(ctx, decideInterval, func() { r.step(ctx, policy) })
}

func (r *Runner) step(ctx context.Context, policy *Policy) {
	fence, ok := r.Leadership.Fence()
	if !ok {
		return
	}
	r.mu.Lock()
	sizes := maps.Clone(r.sizes)
	r.mu.Unlock()
	v := r.Directory.View()
	r.send(ctx, policy, policy.DecideMeasured(r.Now(), v, sizes, r.Paces), fence)
}

// send sends orders. An order to an engine that must be avoided is withdrawn and
// decided again a second later: if it stayed pending, no engine would change in its
// place until it expires, for longer than a stage change takes.
func (r *Runner) send(ctx context.Context, policy *Policy, orders []Order, fence int64) {
	var group sync.WaitGroup
	for _, o := range orders {
		if r.Avoid(ctx, o.Endpoint) {
			r.Scope.Counter("orders_put_off").Inc(1)
			policy.Withdraw(o)
			continue
		}
		group.Go(func() { r.sendOrder(ctx, o, fence) })
	}
	group.Wait()
}

// sendOrder sends one order and logs it.
func (r *Runner) sendOrder(ctx context.Context, o Order, fence int64) {
	r.StageChanging(o)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.Send(ctx, o, r.Leadership.Name, fence)
	n := eventlog.Line{Event: eventlog.Ordered, Endpoint: o.Endpoint.ID, Service: o.Endpoint.Service, Zone: o.Endpoint.Zone, Outcome: stageName(o.Stage), Revision: fence, Count: int64(o.Current), Detail: fmt.Sprintf("target %.1f: %v", o.Target, o.Basis)}
	if err != nil {
		n.Detail = err.Error() + "; " + n.Detail
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
