// Package fleet plays one run of the soak: real gateway processes before
// stand-ins of the platform, callers, and the steps of a schedule.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"slices"
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

// Options are those of one run.
type Options struct {
	Program string // the trailshed binary
	Dir     string // for settings and logs
	Seed    uint64
	Length  time.Duration // of the part with faults
	// Network is the loopback /24 whose addresses the instances use.
	Network netip.Addr
	Zones   []string
	PerZone int // instances
	Callers int
	Timed   bool          // check bounds on time too
	Only    schedule.Kind // of all steps; empty: all kinds
	More    bool          // with the steps that came beside the others later
}

const (
	// callerGap is the mean pause between two requests of a caller.
	callerGap = 150 * time.Millisecond
	// patience bounds the start of a fleet and its recovery at the end; the
	// operators' bound of 12 s is for machines that are not busy.
	patience = 30 * time.Second
	// checkEvery is how often everything seen so far is judged.
	checkEvery = 2 * time.Second
	// probeEvery and probeFor say how instances are asked for a new route.
	probeEvery = 400 * time.Millisecond
	probeFor   = 5 * time.Second
	// addedShare of the requests go to routes that were added.
	addedShare = 0.12
	// homeShare of them may be served in the first zone only.
	homeShare = 0.08
	// coldRate is what a cold endpoint takes, in requests a second; some ten come to each.
	coldRate = 1
	// settle is left at the end for bounds on time to pass.
	settle = 3 * time.Second
)

// Fleet is one run.
type Fleet struct {
	Options
	store   *standin.Store
	faults  *timeline.Timeline
	checker *checker.Checker
	next    atomic.Int64 // number of the next request
	steps   sync.WaitGroup

	mu        sync.Mutex
	instances []*instance
	endpoints []*endpoint // of the store's listing
	ended     []*endpoint // they served before
	routes    []standin.Route
	version   int
	claimed   map[string]bool // zones and endpoints, see claim
	made      int             // endpoints so far, those that ended included
}

// Result is what a run came to.
type Result struct {
	Seed       uint64
	Violations []checker.Violation
	Steps      int
	Good, All  int
	Faults     *timeline.Timeline
}

// Run plays one run to its end.
func Run(ctx context.Context, o Options) (Result, error) {
	f := &Fleet{Options: o, store: standin.NewStore(), faults: &timeline.Timeline{}, claimed: map[string]bool{}}
	home := caller.Home(o.Zones[0])
	route := standin.NewRoute("home", home.Path[:len(home.Path)-1], "idempotent", home.Service, 2, false)
	route.Regions = []string{region(home.Home)}
	f.routes = []standin.Route{route}
	f.checker = checker.New(bounds(o.Timed), f.faults, f.arrivals)
	defer f.close()
	if err := f.open(); err != nil {
		return Result{}, err
	}
	steps := f.schedule()
	err := f.play(ctx, steps)
	r := Result{Seed: o.Seed, Violations: f.checker.Check(true), Steps: len(steps), Faults: f.faults}
	r.Good, r.All = f.checker.Served()
	return r, err
}

func (f *Fleet) schedule() []schedule.Step {
	if schedule.IsBeside(f.Only) {
		return slices.DeleteFunc(schedule.More(f.Seed, f.Length), func(s schedule.Step) bool { return s.Kind != f.Only })
	}
	steps := schedule.New(f.Seed, f.Length, f.Only)
	if !f.More || f.Only != "" {
		return steps
	}
	return schedule.Join(steps, schedule.More(f.Seed, f.Length))
}

func bounds(timed bool) checker.Bounds {
	return checker.Bounds{
		Contact: 3 * time.Second, Drain: 2 * time.Second, Config: 2 * time.Second, Outer: 5 * time.Second,
		Gone: 500 * time.Millisecond, Slack: 1500 * time.Millisecond,
		Ratio: retryRatio, Extra: retrySlack, Window: retryWindow, Timed: timed,
		// Instances that are alone, and those that have just begun, may add some.
		LimitRate: caller.LimitRate, LimitBurst: caller.LimitBurst, LimitSlack: 30, LimitWindow: 8 * time.Second,
		ColdRate: coldRate,
	}
}

// open starts stand-ins and instances and waits until all are ready.
func (f *Fleet) open() error {
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
	for _, i := range f.instances {
		if err := i.program.Start(); err != nil {
			return err
		}
	}
	return f.allServe()
}

// play lets callers call while the steps are taken, then waits for recovery.
func (f *Fleet) play(ctx context.Context, steps []schedule.Step) error {
	calling, stopCalling := context.WithCancel(ctx)
	var group sync.WaitGroup
	for range f.Callers {
		c := &caller.Caller{Pick: f.pick, Kind: f.kind, Done: f.checker.Called, Next: f.id}
		group.Go(func() { c.Run(calling, callerGap) })
	}
	group.Go(func() { f.balance(calling) })
	group.Go(func() { f.judge(calling) })
	faulty, healAll := context.WithTimeout(ctx, f.Length)
	started := time.Now()
	for _, s := range steps {
		if !sleep(faulty, s.At-time.Since(started)) {
			break
		}
		f.steps.Go(func() { f.take(faulty, s) })
	}
	<-faulty.Done()
	f.steps.Wait() // each heals what it did
	healAll()
	err := f.allServe()
	sleep(ctx, settle)
	stopCalling()
	group.Wait()
	return err
}

// judge checks everything every now and then.
func (f *Fleet) judge(ctx context.Context) {
	for sleep(ctx, checkEvery) {
		f.checker.Check(false)
	}
}

func (f *Fleet) id() string { return fmt.Sprintf("s%d-%d", f.Seed, f.next.Add(1)) }

// kind draws the kind of the next request.
func (f *Fleet) kind() caller.Kind {
	f.mu.Lock()
	version := f.version
	f.mu.Unlock()
	if version > 1 && rand.Float64() < addedShare {
		return caller.Added(2 + rand.IntN(version-1))
	}
	if rand.Float64() < homeShare {
		return caller.Home(f.Zones[0])
	}
	kinds := caller.Kinds()
	return kinds[rand.IntN(len(kinds))]
}

// allServe waits until each instance has served each kind of request, some
// instances at a time.
func (f *Fleet) allServe() error {
	kinds := append(caller.Kinds(), caller.Home(f.Zones[0]))
	f.mu.Lock()
	if f.version > 1 {
		kinds = append(kinds, caller.Added(f.version))
	}
	instances := f.instances
	f.mu.Unlock()
	turns := make(chan struct{}, askedAtOnce)
	failures := make(chan error, len(instances))
	for _, i := range instances {
		turns <- struct{}{}
		go func() {
			defer func() { <-turns }()
			failures <- f.serves(i, kinds)
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

// askedAtOnce is how many instances allServe asks at a time: fewer than the
// stand-ins' engines have slots.
const askedAtOnce = 8

// serves waits until one instance has served each kind of request.
func (f *Fleet) serves(i *instance, kinds []caller.Kind) error {
	deadline := time.Now().Add(patience)
	for _, k := range kinds {
		if strings.HasSuffix(k.Path, standin.LongPath) {
			continue // the same way as its kin, and seconds each
		}
		for {
			call := caller.One(context.Background(), i.gateway(), k, f.id())
			f.checker.Called(call)
			if call.Reply.Err == nil && call.Reply.Status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve %s within %s: status %d, %w", i.name, k.Path, patience, call.Reply.Status, errOr(call.Reply.Err))
			}
			time.Sleep(probeEvery / 4)
		}
	}
	return nil
}

// configure writes the next configuration, with a route of its own.
func (f *Fleet) configure() {
	f.mu.Lock()
	f.version++
	version := f.version
	if version > 1 {
		k := caller.Added(version)
		f.routes = append(f.routes, standin.NewRoute(k.Path, k.Path[:len(k.Path)-1], "idempotent", k.Service, 2, false))
	}
	f.store.Configure(standin.NewDocument(version, f.routes...).
		With(caller.Workspaces()...).Chill("web", coldRate).Chill("llm", coldRate))
	f.mu.Unlock()
	f.checker.Configured(version)
}

// probe asks all instances for the route of a version for a while.
func (f *Fleet) probe(ctx context.Context, version int) {
	for until := time.Now().Add(probeFor); time.Now().Before(until) && sleep(ctx, probeEvery); {
		for _, i := range f.all() {
			if i.in.Load() {
				f.checker.Called(caller.One(ctx, i.gateway(), caller.Added(version), f.id()))
			}
		}
	}
}

func (f *Fleet) all() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances
}

// close ends everything that this run started.
func (f *Fleet) close() {
	for _, i := range f.instances {
		i.close()
	}
	for _, e := range append(f.endpoints, f.ended...) {
		e.link.Close()
		e.Close()
	}
}

// LogDir is where a run's logs are.
func (o Options) LogDir() string { return filepath.Join(o.Dir, fmt.Sprintf("seed-%d", o.Seed)) }

// sleep waits and says whether ctx lasted.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func errOr(err error) error {
	if err != nil {
		return err
	}
	return errNoSuccess
}
