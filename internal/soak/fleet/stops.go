package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/schedule"
	"github.com/trailshed/trailshed/platform/standin"
)

const (
	// Some callers of an instance send a stream before its stop, and plain requests behind it: of lateStreams
	// callers the stream ends within lateTime before the last exitTime of the grace period, in which the process
	// exits, of earlyStreams at any time of the stop.
	lateStreams  = 8
	earlyStreams = 4
	lateTime     = 600 * time.Millisecond
	exitTime     = 250 * time.Millisecond
	// The streams begin within streamLead before the stop.
	streamLead = 400 * time.Millisecond
	// plainCallers callers send plain requests only, every second of them with pauses of up to idlePause, after
	// which a stop closes idle connections, the others with those of up to turnPause.
	plainCallers = 8
	turnPause    = 200 * time.Millisecond
	idlePause    = 1300 * time.Millisecond
	// refusedPause is added after a connection that was not accepted.
	refusedPause = 500 * time.Millisecond
	// maxPacedAnswer bounds how long an endpoint takes for some of the plain requests.
	maxPacedAnswer = 600 * time.Millisecond
	// Two stops of a step are up to maxStopGap apart, so that some overlap.
	maxStopGap = 10 * time.Second
)

// Bits of the variant of a step, beside those of operate.
const (
	operateStop    = 1 << 2 // not used here
	signalAgain    = 1 << 4
	beginsOverload = 1 << 5
)

// overloads reports whether the first instance of a step also gets into overload.
func overloads(s schedule.Step) bool { return s.Variant&beginsOverload != 0 }

// pacedRoute is the route of caller.PacedStream.
func pacedRoute() standin.Route {
	route := standin.NewRoute("paced", caller.PacedPrefix, "streaming", "llm", 2, true)
	route.Timeout, route.GapTarget = int(caller.MaxPacedTime.Milliseconds()), 5000
	return route
}

// stopUnderLoad stops up to half of the instances one after the other, some at the same time, beside other planned
// operations.
func (f *Fleet) stopUnderLoad(ctx context.Context, s schedule.Step, first *instance) error {
	const claimed = "stop" // one step at a time, so that the others serve
	if !f.claim(claimed) {
		return nil
	}
	defer f.release(claimed)
	r := rand.New(rand.NewPCG(f.Seed, uint64(s.Target)<<16|uint64(s.Variant))) //nolint:gosec // steps must be reproducible, not secret
	all := f.allInstances()
	start, count := s.Target%len(all), 1+r.IntN(max(len(all)/2, 1))
	var group sync.WaitGroup
	failures := make([]error, count+1)
	for n := range count {
		source := rand.New(rand.NewPCG(f.Seed, r.Uint64())) //nolint:gosec // steps must be reproducible, not secret
		group.Go(func() { failures[n] = f.stopWithCallers(ctx, s, all[(start+n)%len(all)], source) })
		if n == 0 {
			group.Go(func() { failures[count] = f.operateBeside(ctx, s, first) })
		}
		if !sleep(ctx, time.Duration(r.Float64()*r.Float64()*float64(maxStopGap))) {
			break
		}
	}
	group.Wait()
	return errors.Join(failures...)
}

// operateBeside carries out planned operations other than a stop while the first instance stops, and brings it into
// overload, each if its bit of the step's variant is set.
func (f *Fleet) operateBeside(ctx context.Context, s schedule.Step, first *instance) error {
	sleep(ctx, streamLead+s.Duration)
	var group sync.WaitGroup
	if overloads(s) {
		group.Go(func() { f.overload(ctx, s, first) })
	}
	err := f.operate(ctx, s.Variant&^operateStop, first)
	group.Wait()
	return err
}

// stopWithCallers stops an instance and restarts it, while callers begin requests until its process is gone.
func (f *Fleet) stopWithCallers(ctx context.Context, s schedule.Step, i *instance, r *rand.Rand) error {
	var callers sync.WaitGroup
	calling, stopCalls := context.WithCancel(context.WithoutCancel(ctx))
	for n := range lateStreams + earlyStreams {
		begin := time.Duration(r.Float64() * float64(streamLead))
		length := streamLead - begin + grace - exitTime - time.Duration(r.Float64()*float64(lateTime))
		if n >= lateStreams {
			length = time.Duration(r.Float64() * float64(length))
		}
		callers.Go(func() { f.callBehindStream(calling, i, begin, length) })
	}
	for n := range plainCallers {
		pause := []time.Duration{turnPause, idlePause}[n%2]
		callers.Go(func() { f.callInTurn(calling, f.newStopCaller(), i, pause) })
	}
	time.Sleep(streamLead)
	if s.Variant&signalAgain != 0 {
		defer signalLater(i, time.Duration(r.Float64()*float64(grace-exitTime)))()
	}
	err := f.stop(ctx, s.Duration, i)
	stopCalls()
	callers.Wait()
	return err
}

// signalLater sends another SIGTERM to an instance after a time, unless it has been restarted or cancel is called.
func signalLater(i *instance, after time.Duration) (cancel func() bool) {
	number := i.program.Incarnation()
	return time.AfterFunc(after, func() {
		if i.program.Incarnation() == number {
			i.program.Signal(syscall.SIGTERM)
		}
	}).Stop
}

// newStopCaller returns a caller that keeps its connection.
func (f *Fleet) newStopCaller() *caller.Caller {
	return &caller.Caller{PickGateway: f.pickInstance, Done: f.checker.RecordCall, NextID: f.nextID, KeepAlive: true}
}

// callBehindStream sends a stream of some length, and plain requests on the same connection as soon as it has ended.
func (f *Fleet) callBehindStream(ctx context.Context, i *instance, begin, length time.Duration) {
	c := f.newStopCaller()
	time.Sleep(begin)
	c.CallWhole(context.WithoutCancel(ctx), i.gateway(), caller.PacedStream(length))
	f.callInTurn(ctx, c, i, turnPause)
}

// callInTurn sends requests to an instance until ctx ends, the first at once. The last one is not abandoned.
func (f *Fleet) callInTurn(ctx context.Context, c *caller.Caller, i *instance, pause time.Duration) {
	defer c.Close()
	for ctx.Err() == nil {
		kinds := caller.PacedKinds(time.Duration(rand.Float64() * float64(maxPacedAnswer)))
		if rand.IntN(2) == 0 {
			kinds = caller.Kinds()
		}
		call := c.CallWhole(context.WithoutCancel(ctx), i.gateway(), kinds[rand.IntN(len(kinds))])
		if call.Reply.Writes == 0 {
			sleep(ctx, refusedPause)
		}
		sleep(ctx, time.Duration(rand.Float64()*float64(pause)))
	}
}
