package fleet

import (
	"context"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/clocks"
	"github.com/trailshed/trailshed/internal/soak/link"
	"github.com/trailshed/trailshed/internal/soak/program"
	"github.com/trailshed/trailshed/internal/soak/schedule"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

const (
	// poisonInterval is the interval between two calls of a request that crashes engines.
	poisonInterval = 250 * time.Millisecond
	// poisonOverrun is how long such a request is repeated after the end of its step: more
	// than twice the time within which instances must know of it.
	poisonOverrun = 8 * time.Second
)

// minChangeTime is the minimum time for which a zone is evacuated or an endpoint is cold:
// the bound for instances to act on it, the slack for a busy machine, and some time with
// requests after that.
const minChangeTime = 6 * time.Second

// recoveryTime is how long after its end a fault still exempts the affected instance or
// endpoint from bounds.
const recoveryTime = time.Second

// runStep carries out one step and undoes it after its duration.
func (f *Fleet) runStep(ctx context.Context, s schedule.Step) {
	if err := f.apply(ctx, s); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "seed %d: %s: %v\n", f.Seed, s.Kind, err)
	}
}

// apply dispatches a step by its kind.
func (f *Fleet) apply(ctx context.Context, s schedule.Step) error {
	all := f.allInstances()
	i := all[s.Target%len(all)]
	switch s.Kind {
	case schedule.Suspend, schedule.Poison, schedule.Announce, schedule.Backoff, schedule.Limit,
		schedule.Evacuate, schedule.Cold, schedule.Unlink, schedule.Release, schedule.Restore, schedule.Parts,
		schedule.Flood, schedule.Silence, schedule.Overload, schedule.Stop, schedule.Endless, schedule.Outage, schedule.Rejoin:
		return f.applyExtra(ctx, s, i)
	case schedule.Refuse:
		return f.refuse(ctx, s)
	case schedule.Kill:
		return f.kill(ctx, s.Duration, i)
	case schedule.KillAll:
		return f.kill(ctx, s.Duration, all...)
	case schedule.Pause:
		f.pause(ctx, s.Duration, i)
	case schedule.StopOne:
		return f.stop(ctx, s.Duration, i)
	case schedule.Roll:
		return f.roll(ctx, f.Zones[s.Target%len(f.Zones)])
	case schedule.ChangeSettings:
		return f.changeSettings(i, s.Variant%2 == 0)
	case schedule.PeersCut, schedule.PeersOneWay, schedule.PeersLossy, schedule.ZoneCut:
		f.disruptPeers(ctx, s, i)
	case schedule.InstanceStoreFault:
		f.disruptStoreAccess(ctx, s, timeline.InstanceStore, i)
	case schedule.StoreFault:
		f.disruptStoreAccess(ctx, s, timeline.Store, all...)
	case schedule.StoreSlow:
		f.delayStore(ctx, s.Duration)
	case schedule.StoreForget:
		f.store.DropHistory()
	case schedule.ExpireEntries:
		f.expireEntries(ctx, s.Duration)
	case schedule.Crash, schedule.Reuse:
		return f.crash(ctx, f.endpoint(s.Target), s.Duration, s.Kind == schedule.Reuse)
	case schedule.Retire, schedule.Vanish:
		return f.retire(ctx, f.endpoint(s.Target), s.Kind == schedule.Vanish)
	case schedule.Misbehave:
		f.misbehave(ctx, s)
	case schedule.LinkFault:
		f.disruptLink(ctx, s)
	case schedule.Configure:
		f.configureAndProbe(ctx)
	case schedule.ConfigureStorm:
		f.configureStorm(ctx)
	}
	return nil
}

// applyExtra dispatches a step of schedule.Extra by its kind.
func (f *Fleet) applyExtra(ctx context.Context, s schedule.Step, i *instance) error {
	if s.Kind == schedule.Suspend {
		return f.suspend(ctx, s.Duration, i)
	}
	if s.Kind == schedule.Announce {
		return f.announce(ctx, f.endpoint(s.Target), s.Variant%2 == 0)
	}
	if s.Kind == schedule.Silence {
		return f.silence(ctx, s, i)
	}
	if s.Kind == schedule.Endless {
		f.answerEndlessly(ctx, s)
		return nil
	}
	if s.Kind == schedule.Outage {
		return f.changeAfterOutage(ctx, s)
	}
	if s.Kind == schedule.Rejoin {
		return f.rejoin(ctx, s)
	}
	if s.Kind == schedule.Stop {
		return f.stopUnderLoad(ctx, s, i)
	}
	if s.Kind == schedule.Overload {
		f.overload(ctx, s, i)
		return nil
	}
	if s.Kind == schedule.Unlink {
		return f.unlink(ctx, s, i)
	}
	if s.Kind == schedule.Restore {
		f.restoreStore(ctx, s)
		return nil
	}
	if s.Kind == schedule.Release {
		return f.releaseEngines(ctx)
	}
	if s.Kind == schedule.Flood {
		f.flood(ctx, s.Duration)
		return nil
	}
	if s.Kind == schedule.Poison || s.Kind == schedule.Parts {
		f.poison(ctx, s)
		return nil
	}
	if s.Kind == schedule.Cold {
		f.makeCold(ctx, f.endpoint(s.Target), s.Duration)
		return nil
	}
	if s.Kind == schedule.Evacuate {
		f.evacuate(ctx, f.Zones[s.Target%len(f.Zones)], s.Duration)
		return nil
	}
	if s.Kind == schedule.Limit {
		f.limit(ctx, f.endpoint(s.Target), s.Variant)
		return nil
	}
	f.backOff(ctx, f.endpoint(s.Target))
	return nil
}

// configureStorm stores configurations in quick succession.
func (f *Fleet) configureStorm(ctx context.Context) {
	for range 5 {
		f.configure()
		sleep(ctx, 80*time.Millisecond)
	}
	f.configureAndProbe(ctx)
}

// kill kills instances at the same moment and restarts them.
func (f *Fleet) kill(ctx context.Context, length time.Duration, instances ...*instance) error {
	var exits []<-chan struct{}
	for _, i := range instances {
		end := f.faults.Begin(timeline.Kill, i.name, "kill")
		defer end()
		exits = append(exits, i.program.Signal(syscall.SIGKILL))
	}
	sleep(ctx, length/4)
	for _, exited := range exits {
		program.WaitExit(exited, waitTimeout)
	}
	return f.restart(ctx, instances...)
}

// restart starts the instances that are not running. Another step may have done so already.
func (f *Fleet) restart(ctx context.Context, instances ...*instance) error {
	for _, i := range instances {
		if err := i.program.Start(); err != nil {
			return err
		}
	}
	sleep(ctx, recoveryTime)
	return nil
}

// pause stops an instance's process by SIGSTOP for a time.
func (f *Fleet) pause(ctx context.Context, length time.Duration, i *instance) {
	end := f.faults.Begin(timeline.Frozen, i.name, "pause")
	defer end()
	i.program.Signal(syscall.SIGSTOP)
	sleep(ctx, length)
	i.program.Signal(syscall.SIGCONT)
	time.Sleep(recoveryTime)
}

// suspend emulates the suspension of an instance's machine: unlike after a pause, the
// monotonic clock of the process has not advanced.
func (f *Fleet) suspend(ctx context.Context, length time.Duration, i *instance) error {
	end := f.faults.Begin(timeline.Frozen, i.name, "suspend")
	defer end()
	i.program.Signal(syscall.SIGSTOP)
	began := time.Now()
	sleep(ctx, length)
	err := clocks.Suspend(clocks.Path(i.program.Settings), time.Since(began))
	i.program.Signal(syscall.SIGCONT)
	time.Sleep(recoveryTime)
	return err
}

// poison repeats a request that crashes every engine that runs it, or sends requests that do so by a
// part of their prompts, at any instance, during the step and until long after all instances must know
// of it.
func (f *Fleet) poison(ctx context.Context, s schedule.Step) {
	kind := caller.PoisonKind(s.Variant)
	if s.Kind == schedule.Parts {
		kind = caller.PartKind(s.Variant)
	}
	for until := time.Now().Add(s.Duration + poisonOverrun); time.Now().Before(until) && sleep(ctx, poisonInterval); {
		if g, ok := f.pickInstance(); ok {
			f.checker.RecordCall(caller.SendOne(ctx, g, kind, f.nextID()))
		}
	}
}

// stop stops an instance by SIGTERM and restarts it. A process that outlives twice its
// grace period is reported to the checker and killed.
func (f *Fleet) stop(ctx context.Context, length time.Duration, i *instance) error {
	end := f.faults.Begin(timeline.Planned, i.name, "stop")
	defer end()
	signalled := time.Now()
	exited := f.checker.StopBegan(i.name, i.program.Incarnation(), signalled)
	if exit := i.program.Signal(syscall.SIGTERM); !program.WaitExit(exit, 2*grace) {
		f.checker.StopOverdue(i.name, i.program.Incarnation(), signalled)
		defer f.faults.Begin(timeline.Kill, i.name, "overdue")()
		i.program.Signal(syscall.SIGCONT) // in case another step has paused it
		program.WaitExit(i.program.Signal(syscall.SIGKILL), waitTimeout)
	}
	exited(time.Now())
	endStart := f.faults.Begin(timeline.Process, i.name, "start")
	defer endStart()
	sleep(ctx, length/8)
	return f.restart(ctx, i)
}

// roll stops and restarts the instances of a zone one after the other.
func (f *Fleet) roll(ctx context.Context, zone string) error {
	for _, i := range f.allInstances() {
		if i.zone != zone || ctx.Err() != nil {
			continue
		}
		if err := f.stop(ctx, 0, i); err != nil {
			return err
		}
	}
	return nil
}

// evacuate evacuates a zone until some time after all instances must know of it.
func (f *Fleet) evacuate(ctx context.Context, zone string, length time.Duration) {
	if !f.claim(zone) {
		return
	}
	defer f.release(zone)
	f.store.Evacuate(zone)
	end := f.checker.ZoneEvacuated(zone)
	sleep(ctx, minChangeTime+length)
	end()
	f.store.EndEvacuation(zone)
}

// claim reserves a zone or an endpoint for a change, and reports whether it was free: the
// end of another step's change would also revoke this one.
func (f *Fleet) claim(target string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	free := !f.claimed[target]
	f.claimed[target] = true
	return free
}

// release ends a claim.
func (f *Fleet) release(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.claimed, target)
}

// changeSettings changes the grace period in an instance's settings, with or without a
// SIGHUP.
func (f *Fleet) changeSettings(i *instance, signal bool) error {
	f.mu.Lock()
	changed := grace + time.Millisecond*time.Duration(len(f.routes))
	f.mu.Unlock()
	if err := i.writeSettings(changed); err != nil {
		return err
	}
	if signal && i.program.Started() { // before that, SIGHUP ends it
		i.program.Signal(syscall.SIGHUP)
	}
	return nil
}

// disruptPeers disrupts the connections between instances.
func (f *Fleet) disruptPeers(ctx context.Context, s schedule.Step, i *instance) {
	affected := []*instance{i}
	if s.Kind == schedule.ZoneCut {
		affected = f.inZone(i.zone)
		// Connections within the zone are cut as well, which is worse than cutting off
		// the zone as a whole.
		end := f.faults.Begin(timeline.Store, "", "zone cut")
		defer end()
		for _, z := range affected {
			z.storeProxy.SetFault(standin.Silent)
			defer z.storeProxy.SetFault(standin.Healthy)
		}
	}
	end := f.faults.Begin(timeline.Peers, "", string(s.Kind))
	defer end()
	for _, z := range affected {
		switch s.Kind {
		case schedule.PeersOneWay:
			z.setLoss(float64(s.Variant%2), float64((s.Variant+1)%2))
		case schedule.PeersLossy:
			z.setLoss(0.2, 0.2)
		default:
			z.setLoss(1, 1)
		}
		defer z.setLoss(0, 0)
	}
	sleep(ctx, s.Duration)
}

// inZone returns the instances of a zone.
func (f *Fleet) inZone(zone string) []*instance {
	var list []*instance
	for _, i := range f.allInstances() {
		if i.zone == zone {
			list = append(list, i)
		}
	}
	return list
}

// disruptStoreAccess makes the store fail in the same way for all given instances.
func (f *Fleet) disruptStoreAccess(ctx context.Context, s schedule.Step, scope timeline.Scope, instances ...*instance) {
	faults := []standin.Fault{standin.RefusedCalls, standin.Silent, standin.ResetConnections, standin.SilentWatches, standin.UnansweredWrites, standin.Slow}
	fault := faults[s.Variant%len(faults)]
	for _, i := range instances {
		end := f.faults.Begin(scope, i.name, fmt.Sprint("door fault ", fault))
		defer end()
		i.storeProxy.SetFault(fault)
		defer i.storeProxy.SetFault(standin.Healthy)
	}
	sleep(ctx, s.Duration)
}

// delayStore delays the traffic of all instances with the store.
func (f *Fleet) delayStore(ctx context.Context, length time.Duration) {
	end := f.faults.Begin(timeline.Store, "", "slow")
	defer end()
	for _, i := range f.allInstances() {
		i.storeLink.Set(link.Delayed)
		defer i.storeLink.Set(link.Clean)
	}
	sleep(ctx, length)
}

// expireEntries makes the store unavailable for a time. The entries of endpoints expire
// meanwhile, and are registered again shortly after the store's return.
func (f *Fleet) expireEntries(ctx context.Context, length time.Duration) {
	end := f.faults.Begin(timeline.Store, "", "lapse")
	defer end()
	for _, i := range f.allInstances() {
		i.storeProxy.SetFault(standin.ResetConnections)
	}
	sleep(ctx, length)
	f.mu.Lock()
	expired := slices.Clone(f.endpoints)
	f.mu.Unlock()
	for _, e := range expired {
		e.Deregister(f.store)
	}
	for _, i := range f.allInstances() {
		i.storeProxy.SetFault(standin.Healthy)
	}
	sleep(ctx, 1500*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range expired {
		if slices.Contains(f.endpoints, e) { // it has not left or crashed in the meantime
			e.Register(f.store, "ready")
		}
	}
}

// misbehave makes an endpoint answer incorrectly or slowly.
func (f *Fleet) misbehave(ctx context.Context, s schedule.Step) {
	n := s.Variant % len(misbehaviours())
	b := misbehaviours()[n]
	e := f.endpointFor(s.Target, b)
	end := f.faults.Begin(timeline.Endpoint, e.ID, fmt.Sprint("misbehaviour ", n))
	defer end()
	e.SetBehaviour(b)
	sleep(ctx, s.Duration)
	e.SetBehaviour(normalBehaviour())
	sleep(ctx, recoveryTime)
}

// disruptLink makes the link to an endpoint faulty.
func (f *Fleet) disruptLink(ctx context.Context, s schedule.Step) {
	e := f.endpoint(s.Target)
	faults := []link.Fault{link.Delayed, link.NoReplies, link.Silent, link.Refused, link.Clean}
	fault := faults[s.Variant%len(faults)]
	end := f.faults.Begin(timeline.Endpoint, e.ID, fmt.Sprint("link fault ", fault))
	defer end()
	e.link.Set(fault)
	if fault == link.Clean || s.Variant%2 == 0 {
		e.link.Reset()
	}
	sleep(ctx, s.Duration)
	e.link.Set(link.Clean)
	sleep(ctx, recoveryTime)
}

// configureAndProbe stores a configuration and probes all instances for its route.
func (f *Fleet) configureAndProbe(ctx context.Context) {
	f.configure()
	f.mu.Lock()
	version := f.version
	f.mu.Unlock()
	f.probe(ctx, version)
}
