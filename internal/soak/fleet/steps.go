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
	// poisonPause is between two tries of a request that ends engines.
	poisonPause = 250 * time.Millisecond
	// poisonAfter is for how long it comes beyond its step: twice what instances have
	// to know of it, and some.
	poisonAfter = 8 * time.Second
)

// changeTime is the least time that a zone is evacuated or an endpoint cold: the bound, the
// slack for a busy machine, and a while with requests.
const changeTime = 6 * time.Second

// aftermath is how long a fault still excuses an instance that it struck.
const aftermath = time.Second

// take takes one step and undoes it when its time is over.
func (f *Fleet) take(ctx context.Context, s schedule.Step) {
	if err := f.strike(ctx, s); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "seed %d: %s: %v\n", f.Seed, s.Kind, err)
	}
}

func (f *Fleet) strike(ctx context.Context, s schedule.Step) error {
	all := f.all()
	i := all[s.Target%len(all)]
	switch s.Kind {
	case schedule.Suspend, schedule.Poison, schedule.Announce, schedule.Rest, schedule.Limit,
		schedule.Evacuate, schedule.Chill:
		return f.strikeBeside(ctx, s, i)
	case schedule.Kill:
		return f.kill(ctx, s.For, i)
	case schedule.KillAll:
		return f.kill(ctx, s.For, all...)
	case schedule.Pause:
		f.pause(ctx, s.For, i)
	case schedule.Stop:
		return f.stop(ctx, s.For, i)
	case schedule.Roll:
		return f.roll(ctx, f.Zones[s.Target%len(f.Zones)])
	case schedule.Hangup:
		return f.hangup(i, s.How%2 == 0)
	case schedule.PeersCut, schedule.PeersOneWay, schedule.PeersLossy, schedule.ZoneCut:
		f.harmPeers(ctx, s, i)
	case schedule.DoorFault:
		f.harmDoors(ctx, s, timeline.Door, i)
	case schedule.StoreFault:
		f.harmDoors(ctx, s, timeline.Store, all...)
	case schedule.StoreSlow:
		f.slowStore(ctx, s.For)
	case schedule.StoreForget:
		f.store.Forget()
	case schedule.Lapse:
		f.lapse(ctx, s.For)
	case schedule.Crash, schedule.Reuse:
		return f.crash(ctx, f.endpoint(s.Target), s.For, s.Kind == schedule.Reuse)
	case schedule.Retire, schedule.Vanish:
		return f.retire(ctx, f.endpoint(s.Target), s.Kind == schedule.Vanish)
	case schedule.Misbehave:
		f.misbehave(ctx, s)
	case schedule.LinkBad:
		f.harmLink(ctx, s)
	case schedule.Configure:
		f.configureOnce(ctx)
	case schedule.ConfigureStorm:
		f.configureOften(ctx)
	}
	return nil
}

// strikeBeside takes a step of those that come beside the others.
func (f *Fleet) strikeBeside(ctx context.Context, s schedule.Step, i *instance) error {
	if s.Kind == schedule.Suspend {
		return f.suspend(ctx, s.For, i)
	}
	if s.Kind == schedule.Announce {
		return f.announce(ctx, f.endpoint(s.Target), s.How%2 == 0)
	}
	if s.Kind == schedule.Poison {
		f.poison(ctx, s)
		return nil
	}
	if s.Kind == schedule.Chill {
		f.chill(ctx, f.endpoint(s.Target), s.For)
		return nil
	}
	if s.Kind == schedule.Evacuate {
		f.evacuate(ctx, f.Zones[s.Target%len(f.Zones)], s.For)
		return nil
	}
	if s.Kind == schedule.Limit {
		f.limit(ctx, f.endpoint(s.Target), s.How)
		return nil
	}
	f.rest(ctx, f.endpoint(s.Target))
	return nil
}

// configureOften writes configurations in quick succession.
func (f *Fleet) configureOften(ctx context.Context) {
	for range 5 {
		f.configure()
		sleep(ctx, 80*time.Millisecond)
	}
	f.configureOnce(ctx)
}

// kill kills instances at the same moment and starts them again.
func (f *Fleet) kill(ctx context.Context, length time.Duration, struck ...*instance) error {
	var ended []<-chan struct{}
	for _, i := range struck {
		end := f.faults.Begin(timeline.Process, i.name, "kill")
		defer end()
		ended = append(ended, i.program.Signal(syscall.SIGKILL))
	}
	sleep(ctx, length/4)
	for _, life := range ended {
		program.Over(life, patience)
	}
	return f.startAgain(ctx, struck...)
}

// startAgain starts what has ended; another step may have done so.
func (f *Fleet) startAgain(ctx context.Context, struck ...*instance) error {
	for _, i := range struck {
		if err := i.program.Start(); err != nil {
			return err
		}
	}
	sleep(ctx, aftermath)
	return nil
}

func (f *Fleet) pause(ctx context.Context, length time.Duration, i *instance) {
	end := f.faults.Begin(timeline.Process, i.name, "pause")
	defer end()
	i.program.Signal(syscall.SIGSTOP)
	sleep(ctx, length)
	i.program.Signal(syscall.SIGCONT)
	time.Sleep(aftermath)
}

// suspend suspends an instance's machine.
func (f *Fleet) suspend(ctx context.Context, length time.Duration, i *instance) error {
	end := f.faults.Begin(timeline.Process, i.name, "suspend")
	defer end()
	i.program.Signal(syscall.SIGSTOP)
	began := time.Now()
	sleep(ctx, length)
	err := clocks.Suspend(clocks.Path(i.program.Settings), time.Since(began))
	i.program.Signal(syscall.SIGCONT)
	time.Sleep(aftermath)
	return err
}

// poison has a caller come again and again, at any instance, with a request that ends
// whatever engine runs it: while the step lasts, and for long after all must know.
func (f *Fleet) poison(ctx context.Context, s schedule.Step) {
	kind := caller.Poison(s.How)
	for until := time.Now().Add(s.For + poisonAfter); time.Now().Before(until) && sleep(ctx, poisonPause); {
		if g, ok := f.pick(); ok {
			f.checker.Called(caller.One(ctx, g, kind, f.id()))
		}
	}
}

// stop stops an instance in order and starts it again.
func (f *Fleet) stop(ctx context.Context, length time.Duration, i *instance) error {
	end := f.faults.Begin(timeline.Planned, i.name, "stop")
	defer end()
	told := time.Now()
	if ended := i.program.Signal(syscall.SIGTERM); !program.Over(ended, 2*grace) {
		f.checker.Outlived(i.name, i.program.Life(), told)
		i.program.Signal(syscall.SIGCONT) // it may be paused
		program.Over(i.program.Signal(syscall.SIGKILL), patience)
	}
	endStart := f.faults.Begin(timeline.Process, i.name, "start")
	defer endStart()
	sleep(ctx, length/8)
	return f.startAgain(ctx, i)
}

// roll stops the instances of a zone one after the other.
func (f *Fleet) roll(ctx context.Context, zone string) error {
	for _, i := range f.all() {
		if i.zone != zone || ctx.Err() != nil {
			continue
		}
		if err := f.stop(ctx, 0, i); err != nil {
			return err
		}
	}
	return nil
}

// evacuate orders that a zone be evacuated, until some time after all must know of it.
func (f *Fleet) evacuate(ctx context.Context, zone string, length time.Duration) {
	if !f.claim(zone) {
		return
	}
	defer f.release(zone)
	f.store.Evacuate(zone)
	end := f.checker.Evacuated(zone)
	sleep(ctx, changeTime+length)
	end()
	f.store.EndEvacuation(zone)
}

// claim says whether a zone or endpoint may be changed for a while: no other step does so,
// whose end would take this change back.
func (f *Fleet) claim(target string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	free := !f.claimed[target]
	f.claimed[target] = true
	return free
}

func (f *Fleet) release(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.claimed, target)
}

// hangup changes an instance's settings, with or without a signal.
func (f *Fleet) hangup(i *instance, signal bool) error {
	if err := i.writeSettings(grace + time.Millisecond*time.Duration(len(f.routes))); err != nil {
		return err
	}
	if signal {
		i.program.Signal(syscall.SIGHUP)
	}
	return nil
}

// harmPeers harms the ways between instances.
func (f *Fleet) harmPeers(ctx context.Context, s schedule.Step, i *instance) {
	struck := []*instance{i}
	if s.Kind == schedule.ZoneCut {
		struck = f.inZone(i.zone)
		// The ways inside the zone are cut as well, which is worse than a zone's cut.
		end := f.faults.Begin(timeline.Store, "", "zone cut")
		defer end()
		for _, z := range struck {
			z.door.Set(standin.Silent)
			defer z.door.Set(standin.Healthy)
		}
	}
	end := f.faults.Begin(timeline.Peers, "", string(s.Kind))
	defer end()
	for _, z := range struck {
		switch s.Kind {
		case schedule.PeersOneWay:
			z.lose(float64(s.How%2), float64((s.How+1)%2))
		case schedule.PeersLossy:
			z.lose(0.2, 0.2)
		default:
			z.lose(1, 1)
		}
		defer z.lose(0, 0)
	}
	sleep(ctx, s.For)
}

func (f *Fleet) inZone(zone string) []*instance {
	var list []*instance
	for _, i := range f.all() {
		if i.zone == zone {
			list = append(list, i)
		}
	}
	return list
}

// harmDoors lets the store fail some instances.
func (f *Fleet) harmDoors(ctx context.Context, s schedule.Step, scope timeline.Scope, struck ...*instance) {
	ways := []standin.Fault{standin.Busy, standin.Silent, standin.Cut, standin.DeafWatches, standin.LostWrites, standin.Slow}
	fault := ways[s.How%len(ways)]
	for _, i := range struck {
		end := f.faults.Begin(scope, i.name, fmt.Sprint("door fault ", fault))
		defer end()
		i.door.Set(fault)
		defer i.door.Set(standin.Healthy)
	}
	sleep(ctx, s.For)
}

func (f *Fleet) slowStore(ctx context.Context, length time.Duration) {
	end := f.faults.Begin(timeline.Store, "", "slow")
	defer end()
	for _, i := range f.all() {
		i.doorLink.Set(link.Delayed)
		defer i.doorLink.Set(link.Clean)
	}
	sleep(ctx, length)
}

// lapse takes the store away; endpoints' entries lapse and are back a moment
// after its return.
func (f *Fleet) lapse(ctx context.Context, length time.Duration) {
	end := f.faults.Begin(timeline.Store, "", "lapse")
	defer end()
	for _, i := range f.all() {
		i.door.Set(standin.Cut)
	}
	sleep(ctx, length)
	f.mu.Lock()
	lapsed := slices.Clone(f.endpoints)
	f.mu.Unlock()
	for _, e := range lapsed {
		e.Leave(f.store)
	}
	for _, i := range f.all() {
		i.door.Set(standin.Healthy)
	}
	sleep(ctx, 1500*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range lapsed {
		if slices.Contains(f.endpoints, e) { // it has neither left nor crashed meanwhile
			e.Register(f.store, "ready")
		}
	}
}

// misbehave lets an endpoint answer badly.
func (f *Fleet) misbehave(ctx context.Context, s schedule.Step) {
	n := s.How % len(misbehaviours())
	b := misbehaviours()[n]
	e := f.endpointFor(s.Target, b)
	end := f.faults.Begin(timeline.Endpoint, e.ID, fmt.Sprint("misbehaviour ", n))
	defer end()
	e.Behave(b)
	sleep(ctx, s.For)
	e.Behave(well())
	sleep(ctx, aftermath)
}

// harmLink harms the way to an endpoint.
func (f *Fleet) harmLink(ctx context.Context, s schedule.Step) {
	e := f.endpoint(s.Target)
	ways := []link.Fault{link.Delayed, link.NoAnswers, link.Silent, link.Refused, link.Clean}
	fault := ways[s.How%len(ways)]
	end := f.faults.Begin(timeline.Endpoint, e.ID, fmt.Sprint("link fault ", fault))
	defer end()
	e.link.Set(fault)
	if fault == link.Clean || s.How%2 == 0 {
		e.link.Reset()
	}
	sleep(ctx, s.For)
	e.link.Set(link.Clean)
	sleep(ctx, aftermath)
}

// configureOnce writes a configuration and asks all instances for its route.
func (f *Fleet) configureOnce(ctx context.Context) {
	f.configure()
	f.mu.Lock()
	version := f.version
	f.mu.Unlock()
	f.probe(ctx, version)
}
