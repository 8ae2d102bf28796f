package fleet

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/checker"
	"github.com/trailshed/trailshed/internal/soak/link"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

const (
	// work and pause are how long an endpoint works before it answers, and
	// between two events.
	work  = 20 * time.Millisecond
	pause = 40 * time.Millisecond
	// entryLag is how long a crashed endpoint's entry stays: three heartbeats.
	entryLag = 2500 * time.Millisecond
	// drainTime is how long a leaving endpoint serves on.
	drainTime = 4 * time.Second
	// announceTime is how long one says in its answers that it leaves before its entry
	// tells: beyond the users' bound and the slack for a busy machine.
	announceTime = 6 * time.Second
	// restAsked is what one that turns all away asks for.
	restAsked = 4 * time.Second
	// limitTime is how long one names limits: some windows beyond the time that the
	// instances have, and the slack for a busy machine.
	limitTime = 16 * time.Second
	// reuseAfter is when the address of an endpoint that is gone may be given
	// to another one.
	reuseAfter = 2 * time.Second
)

// endpoint is a stand-in behind a link; the store tells the link's address.
type endpoint struct {
	*standin.Endpoint
	link *link.Link
}

func well() standin.Behaviour {
	return standin.Behaviour{Delay: work, Pause: pause, CrashOn: caller.PoisonMark}
}

// addEndpoint starts an endpoint and registers it; stage is empty for the plain
// service.
func (f *Fleet) addEndpoint(zone, stage string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.made++
	service := "llm"
	if stage == "" {
		service = "web"
	}
	e := &endpoint{Endpoint: standin.NewEndpoint(fmt.Sprintf("%s-%s-%d", service, zone, f.made), service, zone, stage)}
	e.Behave(well())
	var err error
	if e.link, err = link.New(e.Address); err != nil {
		return err
	}
	e.Shown = e.link.Address
	e.OnCrash = func() { f.poisoned(e) }
	f.endpoints = append(f.endpoints, e)
	e.Register(f.store, "ready")
	return nil
}

// drop takes an endpoint out of the listing and starts one in its place. Of two
// steps that strike the same endpoint, the first one does.
func (f *Fleet) drop(e *endpoint) error {
	f.mu.Lock()
	n := slices.Index(f.endpoints, e)
	if n < 0 {
		f.mu.Unlock()
		return nil
	}
	f.endpoints = slices.Delete(slices.Clone(f.endpoints), n, n+1)
	f.ended = append(f.ended, e)
	f.mu.Unlock()
	return f.addEndpoint(e.Zone, e.Stage)
}

func (f *Fleet) endpoint(n int) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[n%len(f.endpoints)]
}

// endpointFor returns an endpoint to which a behaviour makes a difference.
func (f *Fleet) endpointFor(n int, b standin.Behaviour) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.endpoints {
		e := f.endpoints[(n+i)%len(f.endpoints)]
		plain := b.Extra || b.Unframed || b.Crossed
		if plain && e.Stage != "" || b.NoHandle && e.Stage != "decode" {
			continue
		}
		return e
	}
	return f.endpoints[n%len(f.endpoints)]
}

// arrivals is what all endpoints saw so far.
func (f *Fleet) arrivals() []checker.Run {
	f.mu.Lock()
	all := append(append([]*endpoint(nil), f.endpoints...), f.ended...)
	f.mu.Unlock()
	var runs []checker.Run
	for _, e := range all {
		for _, a := range e.Arrivals() {
			runs = append(runs, checker.Run{Arrival: a, Endpoint: e.ID, Service: e.Service, Zone: e.Zone})
		}
	}
	return runs
}

// crash ends an endpoint without a word; its entry goes later, its place is
// taken by another one, and its address may be given to another service.
func (f *Fleet) crash(ctx context.Context, e *endpoint, length time.Duration, reuse bool) error {
	end := f.faults.Begin(timeline.Endpoint, e.ID, "crash")
	defer end()
	e.link.Set(link.Refused)
	e.link.Reset()
	e.Close()
	sleep(ctx, entryLag)
	e.Leave(f.store)
	if reuse {
		sleep(ctx, reuseAfter-entryLag)
		e.link.Aim(f.other(e.Service).Address)
		e.link.Set(link.Clean)
	}
	sleep(ctx, length)
	return f.drop(e)
}

// poisoned takes that a request has ended an endpoint: what is left is as after any
// other crash.
func (f *Fleet) poisoned(e *endpoint) {
	e.link.Set(link.Refused)
	e.link.Reset()
	f.steps.Go(func() {
		if err := f.crash(context.Background(), e, 0, false); err != nil {
			_, _ = fmt.Fprintf(os.Stderr, "seed %d: an engine in the place of %s: %v\n", f.Seed, e.ID, err)
		}
	})
}

// other is an endpoint of another service.
func (f *Fleet) other(service string) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		if e.Service != service {
			return e
		}
	}
	return f.endpoints[0]
}

// retire has an endpoint leave: it says so first unless it vanishes, serves on
// for a time, and ends.
func (f *Fleet) retire(ctx context.Context, e *endpoint, vanish bool) error {
	if err := f.drop(e); err != nil {
		return err
	}
	if vanish {
		e.Leave(f.store)
	} else {
		e.Register(f.store, "draining")
	}
	f.checker.Leaves(e.ID)
	sleep(ctx, drainTime)
	end := f.faults.Begin(timeline.Endpoint, e.ID, "ended")
	defer end()
	e.Leave(f.store)
	e.link.Set(link.Refused)
	e.link.Reset()
	return nil
}

// announce has an endpoint leave that says so in its answers for a time before its entry
// tells, or goes.
func (f *Fleet) announce(ctx context.Context, e *endpoint, vanish bool) error {
	e.SayLeaving()
	sleep(ctx, announceTime)
	return f.retire(ctx, e, vanish)
}

// rest has an endpoint turn all away and ask for rest, again and again.
func (f *Fleet) rest(ctx context.Context, e *endpoint) {
	b := well()
	b.Full, b.Rest = true, restAsked
	end := f.faults.Begin(timeline.Load, e.ID, "rests")
	defer end()
	e.Behave(b)
	sleep(ctx, 2*restAsked)
	e.Behave(well())
	sleep(ctx, restAsked)
}

// limits are what endpoints take, in requests a second; nearly ten come to each.
var limits = []string{"0", "0.5", "1", "2", "4.2"}

// limit has an endpoint name how many requests a second it takes, and another number
// half-way.
func (f *Fleet) limit(ctx context.Context, e *endpoint, how int) {
	b := well()
	for n := range 2 {
		b.Limit = limits[(how+n)%len(limits)]
		e.Behave(b)
		sleep(ctx, limitTime/2)
	}
	e.Behave(well())
}

// chill has an endpoint be cold, until some time after all must know of it.
func (f *Fleet) chill(ctx context.Context, e *endpoint, length time.Duration) {
	if !f.claim(e.ID) {
		return
	}
	defer f.release(e.ID)
	length += changeTime
	if !f.writeCold(e, length) {
		return
	}
	end := f.checker.Cold(e.ID)
	sleep(ctx, length)
	end()
	f.writeCold(e, 0)
}

// writeCold has an endpoint's entry tell for how long it is cold, unless it has left.
func (f *Fleet) writeCold(e *endpoint, length time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.endpoints, e) {
		return false
	}
	e.Chill(length)
	e.Register(f.store, "ready")
	return true
}

// ways in which an endpoint may answer badly.
func misbehaviours() []standin.Behaviour {
	list := []standin.Behaviour{
		{Hang: true},
		{ResetAfter: -1},
		{ResetAfter: 2},
		{Status: 500},
		{Full: true},
		{Extra: true},
		{Unframed: true},
		{Crossed: true},
		{Unsigned: true},
		{NoHandle: true},
		{Hang: true, Share: 0.4},
		{ResetAfter: -1, Share: 0.4},
		{ResetAfter: 3, Share: 0.4},
		{Status: 500, Share: 0.4},
	}
	for i := range list {
		list[i].Delay, list[i].Pause = work, pause
	}
	return append(list, standin.Behaviour{Delay: 40 * work, Pause: 10 * pause})
}
