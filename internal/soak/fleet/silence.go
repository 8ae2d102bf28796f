package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/schedule"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

const (
	// A silence lasts from minSilence to minSilence plus silenceSpread.
	minSilence    = 500 * time.Millisecond
	silenceSpread = 1500 * time.Millisecond
	// minSilences to maxSilences follow one another in a step, each after up to maxSilenceGap; they may overlap.
	minSilences   = 3
	maxSilences   = 8
	maxSilenceGap = 1500 * time.Millisecond
	// silenceCallers callers with a pause of silencePause send requests during a step.
	silenceCallers = 24
	silencePause   = 60 * time.Millisecond
)

// silentRatios are the fractions of the endpoints that fall silent together, one at least.
var silentRatios = []float64{0, 0.3, 0.6, 0.6, 0.9, 0.9}

// silenceRoutes are the routes of caller.SilenceKinds. Their targets are shorter than a silence.
func silenceRoutes() []standin.Route {
	quick := standin.NewRoute("quick", caller.QuickPrefix, "streaming", "llm", 2, true)
	quick.GapTarget = 200
	short := standin.NewRoute("short", caller.ShortPrefix, "idempotent", "web", 2, false)
	short.LatencyTarget = 500
	return []standin.Route{quick, short}
}

// silence makes sound endpoints fall silent and go on, several times, beside planned operations.
func (f *Fleet) silence(ctx context.Context, s schedule.Step, i *instance) error {
	r := rand.New(rand.NewPCG(f.Seed, uint64(s.Target)<<16|uint64(s.Variant))) //nolint:gosec // steps must be reproducible, not secret
	var group, callers sync.WaitGroup
	calling, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	for range silenceCallers {
		callers.Go(func() { f.callKinds(calling, silencePause, caller.SilenceKinds()) })
	}
	var failure error
	group.Go(func() { failure = f.operate(ctx, s.Variant, i) })
	for range minSilences + r.IntN(maxSilences-minSilences+1) {
		length := minSilence + time.Duration(r.Float64()*float64(silenceSpread))
		paused := []float64{0, 0, 0.5, 1}[r.IntN(4)] // the fraction that is paused; the others can't be reached
		for _, e := range f.drawSilent(r) {
			hold := e.link.Hold
			if r.Float64() < paused {
				hold = e.Hold
			}
			group.Go(func() {
				defer f.faults.Begin(timeline.Silence, e.ID, "silent")()
				release := hold()
				sleep(ctx, length)
				release()
			})
		}
		sleep(ctx, time.Duration(r.Float64()*float64(maxSilenceGap)))
	}
	group.Wait()
	stopCalls()
	callers.Wait()
	return failure
}

// drawSilent draws the endpoints that fall silent together.
func (f *Fleet) drawSilent(r *rand.Rand) (list []*endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := max(int(silentRatios[r.IntN(len(silentRatios))]*float64(len(f.endpoints))), 1)
	for _, n := range r.Perm(len(f.endpoints))[:count] {
		list = append(list, f.endpoints[n])
	}
	return list
}

// callKinds sends requests of some kinds until ctx ends, with random pauses of gap on average; the last one is not
// abandoned.
func (f *Fleet) callKinds(ctx context.Context, gap time.Duration, kinds []caller.Kind) {
	c := &caller.Caller{NextID: f.nextID}
	defer c.Close()
	for sleep(ctx, rand.N(2*gap)) {
		if g, ok := f.pickInstance(); ok {
			f.checker.RecordCall(c.Call(context.WithoutCancel(ctx), g, kinds[rand.IntN(len(kinds))]))
		}
	}
}

// operate carries out planned operations at the same time, each if its bit of variant is set: changes of the
// configuration, SIGHUP at all instances, the stop of an instance, and a release of engines.
func (f *Fleet) operate(ctx context.Context, variant int, i *instance) error {
	var group sync.WaitGroup
	failures := make([]error, 3)
	for n, operation := range []func(){
		func() { f.configureStorm(ctx) },
		func() {
			for _, each := range f.allInstances() {
				failures[0] = errors.Join(failures[0], f.changeSettings(each, true))
			}
		},
		func() { failures[1] = f.stop(ctx, 0, i) },
		func() { failures[2] = f.releaseEngines(ctx) },
	} {
		if variant>>n&1 == 1 {
			group.Go(operation)
		}
	}
	group.Wait()
	return errors.Join(failures...)
}
