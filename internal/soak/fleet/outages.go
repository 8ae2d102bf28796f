package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/soak/schedule"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

const (
	// outageSlack is added to the bounds on changes in runs of outages alone.
	outageSlack = 150 * time.Millisecond
	// An outage lasts from minOutage to minOutage plus outageSpread.
	minOutage    = 300 * time.Millisecond
	outageSpread = 900 * time.Millisecond
	// rewatchTime is the time within which instances watch the store again after its return.
	rewatchTime = time.Second
	// maxChangeGap bounds the time between the two changes after an outage.
	maxChangeGap = 2500 * time.Millisecond
)

// outageFaults are the ways in which calls of the store fail during an outage.
var outageFaults = []standin.Fault{standin.RefusedCalls, standin.ThrottledCalls, standin.Silent, standin.ResetConnections}

// changeAfterOutage lets the store fail for a moment, in half of the steps lets the watches that follow go silent, and
// once instances are in touch again lets an endpoint leave and stores a configuration, in either order. No step changes
// anything else in the store meanwhile.
func (f *Fleet) changeAfterOutage(ctx context.Context, s schedule.Step) error {
	if !f.claim("store") {
		return nil
	}
	defer f.release("store")
	r := rand.New(rand.NewPCG(f.Seed, uint64(s.Target)<<16|uint64(s.Variant))) //nolint:gosec // steps must be reproducible, not secret
	affected := f.allInstances()
	if r.IntN(3) == 0 {
		affected = affected[:max(1, len(affected)/3)]
	}
	length := minOutage + time.Duration(r.Float64()*float64(outageSpread))
	f.interruptStore(ctx, outageFaults[r.IntN(len(outageFaults))], length, affected)
	if r.IntN(2) == 0 {
		f.silenceWatches(ctx)
	}
	if !sleep(ctx, calmTime+time.Duration(r.Float64()*float64(time.Second))) {
		return nil
	}
	leaving, vanish := f.plainEndpoint(s.Target), r.IntN(4) > 0
	if !f.withdraw(leaving) {
		return nil
	}
	changes := []func(){
		func() { f.leave(ctx, leaving, vanish, drainTime) },
		func() { f.configureAndProbe(ctx) },
	}
	first := r.IntN(len(changes))
	var group sync.WaitGroup
	group.Go(changes[first])
	sleep(ctx, time.Duration(r.Float64()*float64(maxChangeGap)))
	group.Go(changes[1-first])
	group.Wait()
	return f.addEndpoint(leaving.Zone, leaving.Stage)
}

// interruptStore lets the store fail instances for a time.
func (f *Fleet) interruptStore(ctx context.Context, fault standin.Fault, length time.Duration, instances []*instance) {
	defer f.faults.Begin(timeline.Store, "", "outage")()
	for _, i := range instances {
		i.storeProxy.SetFault(fault)
		defer i.storeProxy.SetFault(standin.Healthy)
	}
	sleep(ctx, length)
}

// silenceWatches lets the watches of all instances go silent for good, once they watch the store again.
func (f *Fleet) silenceWatches(ctx context.Context) {
	defer f.faults.Begin(timeline.Store, "", "watches go silent")()
	sleep(ctx, rewatchTime)
	for _, i := range f.allInstances() {
		i.storeProxy.SilenceWatches()
	}
}

// plainEndpoint returns the n-th current endpoint of the plain service, modulo their number.
func (f *Fleet) plainEndpoint(n int) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var plain []*endpoint
	for _, e := range f.endpoints {
		if e.Stage == "" {
			plain = append(plain, e)
		}
	}
	return plain[n%len(plain)]
}
