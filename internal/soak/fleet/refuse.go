package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/schedule"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

const (
	// minRefusalTime is added to the duration of a step.
	minRefusalTime = 2 * time.Second
	// refusalCallers callers with a pause of refusalPause send requests during a step.
	refusalCallers = 24
	refusalPause   = 60 * time.Millisecond
	// Two disturbances of a step begin up to maxDisturbanceGap apart, and last up to maxDisturbance; they may overlap.
	maxDisturbanceGap = 1200 * time.Millisecond
	maxDisturbance    = 1500 * time.Millisecond
)

var (
	// refusingShares are the fractions of the endpoints of a service that refuse, one at least.
	refusingShares = []float64{0, 0.5, 1}
	// refusedFractions are the fractions of the requests that such an endpoint refuses.
	refusedFractions = []float64{0.2, 0.5, 0.8}
	// ownStatuses are the statuses that promise from an instance that a request did not run, but not from an
	// endpoint.
	ownStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}
)

// refuse makes endpoints answer requests that they ran with statuses that would promise the contrary, and repeat
// rejections in front of the next answer. Runs of such steps alone have disturbances beside them.
func (f *Fleet) refuse(ctx context.Context, s schedule.Step) error {
	r := rand.New(rand.NewPCG(f.Seed, uint64(s.Target)<<16|uint64(s.Variant))) //nolint:gosec // steps must be reproducible, not secret
	var callers sync.WaitGroup
	calling, stopCalls := context.WithCancel(ctx)
	for range refusalCallers {
		callers.Go(func() { f.callKinds(calling, refusalPause, caller.RefusalKinds()) })
	}
	chosen := f.drawRefusals(r)
	for e, b := range chosen {
		defer f.faults.Begin(timeline.Refusal, e.ID, describeRefusal(b))()
		e.SetBehaviour(b)
	}
	lasting, end := context.WithTimeout(ctx, s.Duration+minRefusalTime)
	defer end()
	var failure error
	if f.OnlyKind == schedule.Refuse {
		failure = f.disturb(ctx, lasting, r)
	}
	<-lasting.Done()
	for e := range chosen {
		e.SetBehaviour(normalBehaviour())
	}
	sleep(ctx, recoveryTime)
	stopCalls()
	callers.Wait()
	return failure
}

// drawRefusals draws which endpoints refuse, and how. In half of the steps all engines refuse most KV caches: after several
// of such rejections one of them is sent the same request again, without a cache.
func (f *Fleet) drawRefusals(r *rand.Rand) map[*endpoint]standin.Behaviour {
	drawn := map[*endpoint]standin.Behaviour{}
	for n, e := range f.drawRefusing(r, "", refusingShares...) {
		drawn[e] = drawRefusal(r, e.Stage, n == 0)
	}
	if r.IntN(2) == 0 {
		for _, e := range f.drawRefusing(r, "decode", 1) {
			b := normalBehaviour()
			b.NoHandle, b.RepeatRejection, b.Fraction = true, true, 0.8+0.2*r.Float64()
			drawn[e] = b
		}
		return drawn
	}
	for _, e := range f.drawRefusing(r, "decode", refusingShares...) {
		drawn[e] = drawRefusal(r, e.Stage, false)
	}
	return drawn
}

// drawRefusing draws the endpoints of a stage that refuse, one of the given shares of them.
func (f *Fleet) drawRefusing(r *rand.Rand, stage string, shares ...float64) (list []*endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		if e.Stage == stage {
			list = append(list, e)
		}
	}
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	share := shares[r.IntN(len(shares))]
	return list[:min(max(int(share*float64(len(list))), 1), len(list))]
}

// drawRefusal draws how an endpoint refuses: with a status of its own, as it does in any case if own is set, or by
// rejections that it repeats. Engines mostly reject KV caches.
func drawRefusal(r *rand.Rand, stage string, own bool) standin.Behaviour {
	b := normalBehaviour()
	b.Fraction = refusedFractions[r.IntN(len(refusedFractions))]
	switch {
	case own || r.IntN(3) == 0:
		b.Status, b.Unsigned = ownStatuses[r.IntN(len(ownStatuses))], r.IntN(2) == 0
	case stage == "" || r.IntN(4) == 0:
		b.Reject, b.RepeatRejection = true, true
	default:
		b.NoHandle, b.RepeatRejection = true, true
	}
	return b
}

// describeRefusal returns the description of a behaviour in the timeline.
func describeRefusal(b standin.Behaviour) string {
	if b.Status != 0 {
		return fmt.Sprintf("own status %d, unsigned: %t, of %.2f", b.Status, b.Unsigned, b.Fraction)
	}
	return fmt.Sprintf("repeats rejections, of KV caches: %t, of %.2f", b.NoHandle, b.Fraction)
}

// disturb stops, kills and pauses instances, pauses endpoints, and cuts their links from both sides, in series and
// overlapping, until lasting ends.
func (f *Fleet) disturb(ctx, lasting context.Context, r *rand.Rand) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var failure error
	for sleep(lasting, time.Duration(r.Float64()*float64(maxDisturbanceGap))) {
		disturbance := f.drawDisturbance(r)
		group.Go(func() {
			err := disturbance(ctx)
			mu.Lock()
			defer mu.Unlock()
			failure = errors.Join(failure, err)
		})
	}
	group.Wait()
	return failure
}

// drawDisturbance draws one disturbance.
func (f *Fleet) drawDisturbance(r *rand.Rand) func(context.Context) error {
	all := f.allInstances()
	i, e := all[r.IntN(len(all))], f.endpoint(r.IntN(1<<16))
	s := schedule.Step{Target: r.IntN(1 << 16), Variant: r.IntN(1 << 16), Duration: time.Duration(r.Float64() * float64(maxDisturbance))}
	return []func(context.Context) error{
		func(ctx context.Context) error { return f.stop(ctx, 0, i) },
		func(ctx context.Context) error { return f.kill(ctx, s.Duration, i) },
		func(ctx context.Context) error { f.pause(ctx, s.Duration, i); return nil },
		func(ctx context.Context) error { f.disruptLink(ctx, s); return nil },
		func(ctx context.Context) error { f.freeze(ctx, s.Duration, e); return nil },
		func(ctx context.Context) error {
			return f.cutLinks(ctx, s.Duration, linkFaults[s.Variant%len(linkFaults)], i)
		},
	}[r.IntN(6)]
}

// freeze makes an endpoint silent for a time.
func (f *Fleet) freeze(ctx context.Context, length time.Duration, e *endpoint) {
	defer f.faults.Begin(timeline.Silence, e.ID, "frozen")()
	release := e.Hold()
	sleep(ctx, length)
	release()
}
