// Package fleet executes one run of the soak test: it starts real gateway processes with
// stand-ins of the platform and callers, and carries out the steps of a schedule.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/checker"
	"github.com/trailshed/trailshed/internal/soak/schedule"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

// Options configure one run.
type Options struct {
	Program       string // the trailshed binary
	Dir           string // for settings and logs
	Seed          uint64
	FaultDuration time.Duration // of the part with faults
	// Network is the loopback /24 network from which the instances get their addresses.
	Network    netip.Addr
	Zones      []string
	PerZone    int // instances in each zone
	Callers    int
	Timed      bool          // also check time bounds
	OnlyKind   schedule.Kind // the only kind of steps; empty for all kinds
	ExtraSteps bool          // add the steps of schedule.Extra
}

const (
	// callerPause is the mean pause between two requests of a caller.
	callerPause = 150 * time.Millisecond
	// waitTimeout bounds the start of a fleet, its recovery at the end and the exit of
	// killed processes. It is longer than the operators' bound of 12 s, which is for
	// machines that are not busy.
	waitTimeout = 30 * time.Second
	// checkInterval is the interval at which all observations so far are checked.
	checkInterval = 2 * time.Second
	// Requests for a new route are sent to all instances every probeInterval for
	// probeDuration.
	probeInterval = 400 * time.Millisecond
	probeDuration = 5 * time.Second
	// addedRatio is the fraction of requests that go to routes added during the run.
	addedRatio = 0.12
	// homeRatio is the fraction of the other requests that only the first zone may serve.
	homeRatio = 0.08
	// coldRate is the number of requests a second that a cold endpoint accepts; without a
	// limit an endpoint gets about ten.
	coldRate = 1
	// calmTime is the time without faults after which bounds on time apply.
	calmTime = 3 * time.Second
	// busySlack is added to bounds on time, for a busy machine.
	busySlack = 1500 * time.Millisecond
	// settleTime is the time at the end of a run in which time bounds can expire.
	settleTime = 3 * time.Second
)

// Fleet holds the state of one run.
type Fleet struct {
	Options
	store       *standin.Store
	faults      *timeline.Timeline
	checker     *checker.Checker
	lastRequest atomic.Int64 // number of the last request
	steps       sync.WaitGroup

	mu            sync.Mutex
	instances     []*instance
	endpoints     []*endpoint // those not replaced
	replaced      []*endpoint // those that crashed or left, or are leaving
	routes        []standin.Route
	version       int
	claimed       map[string]bool // zones and endpoints, see claim
	created       int             // number of endpoints created, including replaced ones
	copies        []*standin.Copy // the last ones of the store, the oldest first
	softwareIndex int             // index of the software version that new engines run
}

// Result is the result of a run.
type Result struct {
	Seed                uint64
	Violations          []checker.Violation
	Steps               int
	Succeeded, Requests int
	// LateAnswered of Late requests to instances that were about to exit were answered or refused.
	LateAnswered, Late int
	// WentOn of Rejoined streams that callers took up after a kill of all instances went on.
	WentOn, Rejoined int
	// Endpoints gave Failed requests that they had run a failure of their own, and Repeated rejections twice.
	Failed, Repeated int
	Faults           *timeline.Timeline
}

// Run executes one run. The error is that of starting the fleet or of its recovery.
func Run(ctx context.Context, o Options) (Result, error) {
	f := &Fleet{Options: o, store: standin.NewStore(), faults: &timeline.Timeline{}, claimed: map[string]bool{}}
	home := caller.HomeKind(o.Zones[0])
	route := standin.NewRoute("home", home.Path[:len(home.Path)-1], "idempotent", home.Service, 2, false)
	route.Regions = []string{region(home.HomeZone)}
	f.routes = append(append([]standin.Route{route}, silenceRoutes()...), pacedRoute())
	f.checker = checker.New(o.bounds(), f.faults, f.arrivals)
	f.checker.Engines = f.decodeEngines
	defer f.close()
	if o.ExtraSteps {
		f.store.StateEra(1)
	}
	steps := f.schedule()
	if err := f.start(steps); err != nil {
		return Result{}, err
	}
	err := f.run(ctx, steps)
	r := Result{Seed: o.Seed, Violations: f.checker.Check(true), Steps: len(steps), Faults: f.faults}
	r.Succeeded, r.Requests = f.checker.Served()
	r.LateAnswered, r.Late = f.checker.LateCalls()
	r.WentOn, r.Rejoined = f.checker.Rejoined()
	r.Failed, r.Repeated = f.checker.Refused()
	return r, err
}

// schedule returns the steps of the run.
func (f *Fleet) schedule() []schedule.Step {
	if schedule.IsExtra(f.OnlyKind) {
		return schedule.Extra(f.Seed, f.FaultDuration, f.OnlyKind)
	}
	steps := schedule.New(f.Seed, f.FaultDuration, f.OnlyKind)
	if !f.ExtraSteps || f.OnlyKind != "" {
		return steps
	}
	return schedule.Merge(steps, schedule.Extra(f.Seed, f.FaultDuration, ""))
}

// changeSlack returns the slack of the bounds on changes. Runs of outages alone are for machines that are not busy.
func (o Options) changeSlack() time.Duration {
	if o.OnlyKind == schedule.Outage {
		return outageSlack
	}
	return busySlack
}

// bounds returns the bounds that the checker applies to a run.
func (o Options) bounds() checker.Bounds {
	ratio, slack := o.retryBudget()
	return checker.Bounds{
		CalmTime: calmTime, ChangeDelay: 2 * time.Second, ConfigDelay: 2 * time.Second, PeerDelay: 5 * time.Second,
		CancelDelay: 500 * time.Millisecond, Slack: busySlack, ChangeSlack: o.changeSlack(),
		RetryRatio: ratio, RetrySlack: slack, RetryWindow: retryWindow, Timed: o.Timed,
		// Partitioned instances and those that have just started may exceed the limit.
		LimitRate: caller.LimitRate, LimitBurst: caller.LimitBurst, LimitSlack: 30, LimitWindow: 8 * time.Second,
		ColdRate: coldRate, Grace: grace,
	}
}

// start starts the stand-ins and the instances for some steps, and waits until all instances serve.
func (f *Fleet) start(steps []schedule.Step) error {
	f.configure()
	for _, zone := range f.Zones {
		for _, stage := range []string{"", "prefill", "decode", "decode"} {
			if err := f.addEndpoint(zone, stage); err != nil {
				return err
			}
		}
	}
	for _, zone := range f.Zones {
		for n := range f.PerZone {
			if err := f.addInstance(zone, n+1); err != nil {
				return err
			}
		}
	}
	if err := f.letRefuse(steps); err != nil {
		return err
	}
	for _, i := range f.instances {
		if err := i.program.Start(); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// run runs the callers and the steps, then waits until the fleet has recovered.
func (f *Fleet) run(ctx context.Context, steps []schedule.Step) error {
	callCtx, stopCalls := context.WithCancel(ctx)
	var group sync.WaitGroup
	for range f.Callers {
		c := &caller.Caller{PickGateway: f.pickInstance, NextKind: f.nextKind, Done: f.checker.RecordCall, NextID: f.nextID}
		group.Go(func() { c.Run(callCtx, callerPause) })
	}
	group.Go(func() { f.balance(callCtx) })
	group.Go(func() { f.keepCopies(callCtx) })
	group.Go(func() { f.checkPeriodically(callCtx) })
	faultCtx, endFaults := context.WithTimeout(ctx, f.FaultDuration)
	started := time.Now()
	for _, s := range steps {
		if !sleep(faultCtx, s.At-time.Since(started)) {
			break
		}
		f.steps.Go(func() { f.runStep(faultCtx, s) })
	}
	<-faultCtx.Done()
	f.steps.Wait() // each step ends the fault that it began
	endFaults()
	err := f.waitReady()
	sleep(ctx, settleTime)
	stopCalls()
	group.Wait()
	return err
}

// checkPeriodically checks all observations every checkInterval until ctx ends.
func (f *Fleet) checkPeriodically(ctx context.Context) {
	for sleep(ctx, checkInterval) {
		f.checker.Check(false)
	}
}

// nextID returns a new request ID.
func (f *Fleet) nextID() string { return fmt.Sprintf("s%d-%d", f.Seed, f.lastRequest.Add(1)) }

// nextKind draws the kind of the next request.
func (f *Fleet) nextKind() caller.Kind {
	f.mu.Lock()
	version := f.version
	f.mu.Unlock()
	if version > 1 && rand.Float64() < addedRatio {
		return caller.AddedKind(2 + rand.IntN(version-1))
	}
	if rand.Float64() < homeRatio {
		return caller.HomeKind(f.Zones[0])
	}
	kinds := caller.Kinds()
	return kinds[rand.IntN(len(kinds))]
}

// waitReady waits until each instance has served each kind of request. It probes up to
// maxParallelProbes instances at a time.
func (f *Fleet) waitReady() error {
	kinds := append(caller.Kinds(), caller.HomeKind(f.Zones[0]))
	f.mu.Lock()
	if f.version > 1 {
		kinds = append(kinds, caller.AddedKind(f.version))
	}
	instances := f.instances
	f.mu.Unlock()
	slots := make(chan struct{}, maxParallelProbes)
	failures := make(chan error, len(instances))
	for _, i := range instances {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			failures <- f.waitServing(i, kinds)
		}()
	}
	var first error
	for range instances {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// maxParallelProbes is how many instances waitReady probes at a time. It is less than the
// number of slots of the stand-ins' engines, so that probes do not fill them.
const maxParallelProbes = 8

// waitServing waits until one instance has served each kind of request.
func (f *Fleet) waitServing(i *instance, kinds []caller.Kind) error {
	deadline := time.Now().Add(waitTimeout)
	for _, k := range kinds {
		if strings.HasSuffix(k.Path, standin.LongPath) {
			continue // served like the other kinds of its service, but takes seconds
		}
		for {
			call := caller.SendOne(context.Background(), i.gateway(), k, f.nextID())
			f.checker.RecordCall(call)
			if call.Reply.Err == nil && call.Reply.Status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve %s within %s: status %d, %w", i.name, k.Path, waitTimeout, call.Reply.Status, errOr(call.Reply.Err))
			}
			time.Sleep(probeInterval / 4)
		}
	}
	return nil
}

// configure stores the next configuration, which adds a route.
func (f *Fleet) configure() {
	f.mu.Lock()
	f.version++
	version := f.version
	if version > 1 {
		k := caller.AddedKind(version)
		f.routes = append(f.routes, standin.NewRoute(k.Path, k.Path[:len(k.Path)-1], "idempotent", k.Service, 2, false))
	}
	f.store.Configure(standin.NewDocument(version, f.routes...).
		WithWorkspaces(caller.Workspaces()...).WithColdRate("web", coldRate).WithColdRate("llm", coldRate))
	f.mu.Unlock()
	f.checker.ConfigurationStored(version)
}

// probe sends requests for the route of a version to all instances that are in rotation.
func (f *Fleet) probe(ctx context.Context, version int) {
	for until := time.Now().Add(probeDuration); time.Now().Before(until) && sleep(ctx, probeInterval); {
		for _, i := range f.allInstances() {
			if i.inRotation.Load() {
				f.checker.RecordCall(caller.SendOne(ctx, i.gateway(), caller.AddedKind(version), f.nextID()))
			}
		}
	}
}

// allInstances returns the instances of all zones.
func (f *Fleet) allInstances() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances
}

// close ends all processes and stand-ins of the run.
func (f *Fleet) close() {
	for _, i := range f.instances {
		i.close()
	}
	for _, e := range append(f.endpoints, f.replaced...) {
		e.link.Close()
		e.Close()
	}
}

// LogDir returns the directory of the run's settings and logs.
func (o Options) LogDir() string { return filepath.Join(o.Dir, fmt.Sprintf("seed-%d", o.Seed)) }

// sleep waits for d or until ctx ends, and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// errOr returns err, or errNoSuccess if it is nil.
func errOr(err error) error {
	if err != nil {
		return err
	}
	return errNoSuccess
}
