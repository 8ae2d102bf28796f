package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/schedule"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

const (
	// overloadCallers callers keep their connections to an instance; lateCallers open new ones.
	overloadCallers = 60
	lateCallers     = 8
	// A process that stands still for starvedTime finds that its work has waited for the processor.
	// overloadRounds times in a row bring it into overload.
	starvedTime    = 300 * time.Millisecond
	overloadRounds = 3
	// reliefTime without waits and with few requests ends an overload. Some callers send one every calmPause
	// then.
	reliefTime  = 2500 * time.Millisecond
	calmCallers = 2
	calmPause   = 100 * time.Millisecond
	// overloadTime is added to the duration of a step, for one more overload at least.
	overloadTime = 4 * time.Second
)

// letRefuse writes settings that let the instances of steps with overload refuse connections. Processes read
// that setting when they start.
func (f *Fleet) letRefuse(steps []schedule.Step) error {
	for _, s := range steps {
		if s.Kind != schedule.Overload && (s.Kind != schedule.Stop || !overloads(s)) {
			continue
		}
		i := f.instances[s.Target%len(f.instances)]
		i.refuses = true
		if err := i.writeSettings(grace); err != nil {
			return err
		}
	}
	return nil
}

// overload brings an instance into overload and out of it. Meanwhile callers that keep their connections
// send requests at once, while the process stands still.
func (f *Fleet) overload(ctx context.Context, s schedule.Step, i *instance) {
	const claimed = "overload" // one instance at a time, so that the others serve
	if !f.claim(claimed) {
		return
	}
	defer f.release(claimed)
	defer f.faults.Begin(timeline.Process, i.name, "overload")()
	var callers []*caller.Caller
	for n := range overloadCallers + lateCallers {
		c := &caller.Caller{NextID: f.nextID, KeepAlive: n < overloadCallers}
		defer c.Close()
		callers = append(callers, c)
	}
	for until := time.Now().Add(s.Duration + overloadTime); time.Now().Before(until) && ctx.Err() == nil; {
		for range overloadRounds {
			f.callAtOnce(ctx, i, callers, starvedTime)
		}
		for calm := time.Now().Add(reliefTime); time.Now().Before(calm) && sleep(ctx, calmPause); {
			f.callAtOnce(ctx, i, callers[:calmCallers], 0)
		}
	}
}

// callAtOnce lets all callers send a request to an instance while its process stands still for a time.
func (f *Fleet) callAtOnce(ctx context.Context, i *instance, callers []*caller.Caller, still time.Duration) {
	if still > 0 {
		i.program.Signal(syscall.SIGSTOP)
	}
	var group sync.WaitGroup
	kinds := shortKinds()
	for _, c := range callers {
		group.Go(func() {
			f.checker.RecordCall(c.Call(context.WithoutCancel(ctx), i.gateway(), kinds[rand.IntN(len(kinds))]))
		})
	}
	time.Sleep(still)
	if still > 0 {
		i.program.Signal(syscall.SIGCONT)
	}
	group.Wait()
}

// shortKinds returns the kinds of requests that do not take seconds.
func shortKinds() []caller.Kind {
	return slices.DeleteFunc(caller.Kinds(), func(k caller.Kind) bool { return strings.HasSuffix(k.Path, standin.LongPath) })
}
