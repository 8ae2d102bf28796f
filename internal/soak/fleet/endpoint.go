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
	// answerDelay is the time before an endpoint's answer, eventInterval that between two
	// events of a stream.
	answerDelay   = 20 * time.Millisecond
	eventInterval = 40 * time.Millisecond
	// plainSlots is the number of requests that an endpoint of the plain service runs at a time:
	// with answerDelay a hundred a second, several times the callers' requests.
	plainSlots = 2
	// entryDelay is how long a crashed endpoint's entry remains: three heartbeats.
	entryDelay = 2500 * time.Millisecond
	// drainTime is how long a leaving endpoint continues to serve.
	drainTime = 4 * time.Second
	// noticeTime is how long an endpoint announces in its answers that it is leaving before
	// its entry changes: longer than the users' bound plus the slack for a busy machine.
	noticeTime = 6 * time.Second
	// backoffTime is the backoff that an endpoint requests while it rejects everything.
	backoffTime = 4 * time.Second
	// limitTime is how long an endpoint names limits: several windows of the check, in
	// addition to the time that instances have to react and the slack for a busy machine.
	limitTime = 16 * time.Second
	// reuseDelay is the time after which the address of an ended endpoint may be assigned to
	// another one.
	reuseDelay = 2 * time.Second
)

// endpoint is a stand-in behind a link; its entry in the store has the link's address.
type endpoint struct {
	*standin.Endpoint
	link     *link.Link
	from, to time.Time // when it was added and replaced; to is zero before
}

// normalBehaviour returns the behaviour of an endpoint that answers correctly and crashes
// only on poisoned requests and on prompts with a crashing part.
func normalBehaviour() standin.Behaviour {
	return standin.Behaviour{Delay: answerDelay, EventInterval: eventInterval, CrashOn: caller.PoisonMarker, CrashOnParts: caller.CrashingParts()}
}

// addEndpoint starts an endpoint and registers it. An empty stage selects the plain
// service.
func (f *Fleet) addEndpoint(zone, stage string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.created++
	service := "llm"
	if stage == "" {
		service = "web"
	}
	e := &endpoint{Endpoint: standin.NewEndpoint(fmt.Sprintf("%s-%s-%d", service, zone, f.created), service, zone, stage)}
	if stage == "" {
		e.SetSlots(plainSlots)
	} else {
		e.Version = versions[f.softwareIndex%len(versions)]
	}
	e.SetBehaviour(normalBehaviour())
	var err error
	if e.link, err = link.New(e.Address); err != nil {
		return err
	}
	e.RegisteredAddress = e.link.Address
	e.OnCrash = func() { f.handlePoison(e) }
	e.from = time.Now()
	f.endpoints = append(f.endpoints, e)
	e.Register(f.store, "ready")
	return nil
}

// replace removes an endpoint from the current ones and starts another in its place. If two
// steps end the same endpoint, only the first call has an effect.
func (f *Fleet) replace(e *endpoint) error {
	if !f.withdraw(e) {
		return nil
	}
	return f.addEndpoint(e.Zone, e.Stage)
}

// withdraw removes an endpoint from the current ones, and reports whether it was one.
func (f *Fleet) withdraw(e *endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := slices.Index(f.endpoints, e)
	if n < 0 {
		return false
	}
	f.endpoints = slices.Delete(slices.Clone(f.endpoints), n, n+1)
	e.to = time.Now()
	f.replaced = append(f.replaced, e)
	return true
}

// endpoint returns the n-th current endpoint, modulo their number.
func (f *Fleet) endpoint(n int) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[n%len(f.endpoints)]
}

// endpointFor returns the first endpoint, from the n-th on, on which a behaviour has an
// effect.
func (f *Fleet) endpointFor(n int, b standin.Behaviour) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.endpoints {
		e := f.endpoints[(n+i)%len(f.endpoints)]
		plain := b.ExtraAnswer || b.NoLength || b.RepeatBeforeNext
		if plain && e.Stage != "" || b.NoHandle && e.Stage != "decode" {
			continue
		}
		return e
	}
	return f.endpoints[n%len(f.endpoints)]
}

// arrivals returns all requests that endpoints have received so far.
func (f *Fleet) arrivals() []checker.Run {
	f.mu.Lock()
	all := append(append([]*endpoint(nil), f.endpoints...), f.replaced...)
	f.mu.Unlock()
	var runs []checker.Run
	for _, e := range all {
		for _, a := range e.Arrivals() {
			runs = append(runs, checker.Run{Arrival: a, Endpoint: e.ID, Service: e.Service, Zone: e.Zone})
		}
	}
	return runs
}

// decodeEngines returns all decode engines so far.
func (f *Fleet) decodeEngines() (list []checker.Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range append(slices.Clone(f.endpoints), f.replaced...) {
		if e.Stage == "decode" {
			list = append(list, checker.Engine{ID: e.ID, Version: e.Version, From: e.from, To: e.to})
		}
	}
	return list
}

// crash ends an endpoint without announcement. Its entry is removed later, another endpoint
// replaces it, and with reuse its address is assigned to an endpoint of another service.
func (f *Fleet) crash(ctx context.Context, e *endpoint, length time.Duration, reuse bool) error {
	end := f.faults.Begin(timeline.Endpoint, e.ID, "crash")
	defer end()
	e.link.Set(link.Refused)
	e.link.Reset()
	e.Close()
	sleep(ctx, entryDelay)
	e.Deregister(f.store)
	if reuse {
		sleep(ctx, reuseDelay-entryDelay)
		e.link.SetTarget(f.ofOtherService(e.Service).Address)
		e.link.Set(link.Clean)
	}
	sleep(ctx, length)
	return f.replace(e)
}

// handlePoison completes the crash of an endpoint by a poisoned request in the same way as
// any other crash.
func (f *Fleet) handlePoison(e *endpoint) {
	end := f.faults.Begin(timeline.Endpoint, e.ID, "crash")
	e.link.Set(link.Refused)
	e.link.Reset()
	f.steps.Go(func() {
		defer end()
		if err := f.crash(context.Background(), e, 0, false); err != nil {
			_, _ = fmt.Fprintf(os.Stderr, "seed %d: replace crashed engine %s: %v\n", f.Seed, e.ID, err)
		}
	})
}

// ofOtherService returns an endpoint of another service.
func (f *Fleet) ofOtherService(service string) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		if e.Service != service {
			return e
		}
	}
	return f.endpoints[0]
}

// retire replaces an endpoint and makes it leave.
func (f *Fleet) retire(ctx context.Context, e *endpoint, vanish bool) error {
	if err := f.replace(e); err != nil {
		return err
	}
	f.leave(ctx, e, vanish, drainTime)
	return nil
}

// leave makes an endpoint leave: its entry is marked as draining or, with vanish, removed;
// the endpoint continues to serve for a time, then ends.
func (f *Fleet) leave(ctx context.Context, e *endpoint, vanish bool, drain time.Duration) {
	if vanish {
		e.Deregister(f.store)
	} else {
		e.Register(f.store, "draining")
	}
	f.checker.EndpointLeaving(e.ID)
	sleep(ctx, drain)
	end := f.faults.Begin(timeline.Endpoint, e.ID, "ended")
	defer end()
	e.Deregister(f.store)
	e.link.Set(link.Refused)
	e.link.Reset()
}

// announce makes an endpoint announce in its answers that it is leaving, and retires it
// after noticeTime.
func (f *Fleet) announce(ctx context.Context, e *endpoint, vanish bool) error {
	e.AnnounceLeaving()
	sleep(ctx, noticeTime)
	return f.retire(ctx, e, vanish)
}

// backOff makes an endpoint reject all requests and ask for a backoff each time.
func (f *Fleet) backOff(ctx context.Context, e *endpoint) {
	b := normalBehaviour()
	b.Reject, b.Backoff = true, backoffTime
	end := f.faults.Begin(timeline.Load, e.ID, "rests")
	defer end()
	e.SetBehaviour(b)
	sleep(ctx, 2*backoffTime)
	e.SetBehaviour(normalBehaviour())
	sleep(ctx, backoffTime)
}

// limits are the limits that endpoints name, in requests a second; without a limit an
// endpoint gets nearly ten.
var limits = []string{"0", "0.5", "1", "2", "4.2"}

// limit makes an endpoint name a limit in its answers, and another one in the second half
// of the time.
func (f *Fleet) limit(ctx context.Context, e *endpoint, variant int) {
	b := normalBehaviour()
	for n := range 2 {
		b.Limit = limits[(variant+n)%len(limits)]
		e.SetBehaviour(b)
		sleep(ctx, limitTime/2)
	}
	e.SetBehaviour(normalBehaviour())
}

// makeCold makes an endpoint cold until some time after all instances must know of it.
func (f *Fleet) makeCold(ctx context.Context, e *endpoint, length time.Duration) {
	if !f.claim(e.ID) {
		return
	}
	defer f.release(e.ID)
	length += minChangeTime
	if !f.registerCold(e, length) {
		return
	}
	end := f.checker.EndpointCold(e.ID)
	sleep(ctx, length)
	end()
	f.registerCold(e, 0)
}

// registerCold registers for how long an endpoint is cold, unless it has been replaced.
// It reports whether the entry was written.
func (f *Fleet) registerCold(e *endpoint, length time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.endpoints, e) {
		return false
	}
	e.SetCold(length)
	e.Register(f.store, "ready")
	return true
}

// versions are the software versions that engines run in turn, so that releases go forward and
// back.
var versions = []string{"v1", "v2", "v1", "v3"}

// releaseGap is the time between two engines that a release replaces.
const releaseGap = 300 * time.Millisecond

// releaseEngines replaces every second engine by one that runs the next software version. Each
// leaves once the next one has started.
func (f *Fleet) releaseEngines(ctx context.Context) error {
	f.mu.Lock()
	f.softwareIndex++
	var engines []*endpoint
	for _, e := range f.endpoints {
		if e.Stage != "" {
			engines = append(engines, e)
		}
	}
	f.mu.Unlock()
	for n := 0; n < len(engines); n += 2 {
		f.steps.Go(func() {
			if err := f.retire(context.WithoutCancel(ctx), engines[n], false); err != nil {
				_, _ = fmt.Fprintf(os.Stderr, "seed %d: replace engine %s: %v\n", f.Seed, engines[n].ID, err)
			}
		})
		sleep(ctx, releaseGap)
	}
	return nil
}

// misbehaviours returns the ways in which an endpoint may answer incorrectly or slowly.
func misbehaviours() []standin.Behaviour {
	list := []standin.Behaviour{
		{Hang: true},
		{ResetAfter: -1},
		{ResetAfter: 2},
		{Status: 500},
		{Reject: true},
		{ExtraAnswer: true},
		{NoLength: true},
		{RepeatBeforeNext: true},
		{Unsigned: true},
		{NoHandle: true},
		{Hang: true, Fraction: 0.4},
		{ResetAfter: -1, Fraction: 0.4},
		{ResetAfter: 3, Fraction: 0.4},
		{Status: 500, Fraction: 0.4},
	}
	for i := range list {
		list[i].Delay, list[i].EventInterval = answerDelay, eventInterval
	}
	return append(list, standin.Behaviour{Delay: 40 * answerDelay, EventInterval: 10 * eventInterval})
}
