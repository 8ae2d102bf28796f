package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/schedule"
)

const (
	// rejoinCallers callers send streams of minRejoinStream to maxRejoinStream during a step, which most outlive a
	// release, and take them up.
	rejoinCallers   = 40
	minRejoinStream = 1500 * time.Millisecond
	maxRejoinStream = 5 * time.Second
	// mixTime is the time with streams of the older version alone, before the first endpoint of the other one.
	mixTime = 1200 * time.Millisecond
	// Two endpoints of a release start up to maxStartGap apart; an older endpoint serves for minLeaveTime to
	// minLeaveTime plus leaveSpread after it began to leave.
	maxStartGap  = 150 * time.Millisecond
	minLeaveTime = 500 * time.Millisecond
	leaveSpread  = 2500 * time.Millisecond
	// killSpread is the time, from the first endpoint of the other version, in which instances are killed. They are
	// down for minDown to minDown plus downSpread.
	killSpread = 3 * time.Second
	minDown    = time.Second
	downSpread = 3 * time.Second
	// maxSecondKill bounds the time from a start to the second kill of a step.
	maxSecondKill = 1500 * time.Millisecond
	// With the store away over a kill, it leaves storeLead before the kill, and returns up to storeLead before the
	// start or up to maxStoreLag after it.
	storeLead   = 400 * time.Millisecond
	maxStoreLag = 1200 * time.Millisecond
	// returnTime is the time after the last start in which callers come back.
	returnTime = 5 * time.Second
)

// rejoinPlan is what one step does.
type rejoinPlan struct {
	share     float64 // of the engines that the other version replaces; less than 1: it stops half-way
	back      bool    // the former version then replaces the other one
	gap       time.Duration
	killAfter time.Duration // from the first endpoint of the other version
	killed    float64       // share of the instances
	kills     int
	down      time.Duration
	storeAway bool       // over the first kill
	source    *rand.Rand // of the changes of versions, which go on beside the kills
}

// drawRejoin draws a plan. Each second one replaces all engines, and two in three kill all instances.
func drawRejoin(r *rand.Rand) rejoinPlan {
	p := rejoinPlan{
		share: []float64{1, 1, 0.4, 0.7}[r.IntN(4)], back: r.IntN(4) == 0, gap: time.Duration(r.Float64() * float64(maxStartGap)),
		killAfter: time.Duration(r.Float64() * float64(killSpread)), killed: []float64{1, 1, 1, 1, 0.34, 0.5}[r.IntN(6)], kills: 1,
		down: minDown + time.Duration(r.Float64()*float64(downSpread)), storeAway: r.IntN(4) == 0,
	}
	if r.IntN(4) == 0 {
		p.kills = 2
	}
	p.source = rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) //nolint:gosec // steps must be reproducible, not secret
	return p
}

// rejoin releases another software version while callers have long streams, kills instances during or right after
// the release, and starts them again. Endpoints go on starting and leaving while instances are down.
func (f *Fleet) rejoin(ctx context.Context, s schedule.Step) error {
	if !f.claim("rejoin") {
		return nil
	}
	defer f.release("rejoin")
	r := rand.New(rand.NewPCG(f.Seed, uint64(s.Target)<<16|uint64(s.Variant))) //nolint:gosec // steps must be reproducible, not secret
	p := drawRejoin(r)
	ctx = context.WithoutCancel(ctx) // a step that has begun comes to its end
	var callers, changes sync.WaitGroup
	calling, stopCalls := context.WithCancel(ctx)
	for range rejoinCallers {
		callers.Go(func() { f.callAcross(calling) })
	}
	sleep(ctx, mixTime)
	var released, killed error
	changes.Go(func() { released = f.changeVersions(ctx, p) })
	sleep(ctx, p.killAfter)
	if p.storeAway {
		fault, length := outageFaults[r.IntN(len(outageFaults))], p.down+time.Duration(r.Float64()*float64(storeLead+maxStoreLag))
		changes.Go(func() { f.interruptStore(ctx, fault, length, f.allInstances()) })
		sleep(ctx, storeLead)
	}
	chosen := f.drawKilled(p, s.Target)
	for n := range p.kills {
		if n > 0 {
			sleep(ctx, time.Duration(r.Float64()*float64(maxSecondKill)))
		}
		killed = errors.Join(killed, f.kill(ctx, 4*p.down, chosen...))
	}
	sleep(ctx, returnTime)
	changes.Wait()
	stopCalls()
	callers.Wait()
	return errors.Join(released, killed)
}

// drawKilled returns the instances that a step kills.
func (f *Fleet) drawKilled(p rejoinPlan, first int) (list []*instance) {
	all := f.allInstances()
	for n := range max(int(p.killed*float64(len(all))), 1) {
		list = append(list, all[(first+n)%len(all)])
	}
	return list
}

// callAcross sends streams, and takes them up where they break, until ctx ends.
func (f *Fleet) callAcross(ctx context.Context) {
	c := &caller.Caller{PickGateway: f.pickInstance, Done: f.checker.RecordCall, NextID: f.nextID}
	defer c.Close()
	for sleep(ctx, rand.N(callerPause)) {
		if g, ok := f.pickInstance(); ok {
			c.CallWhole(ctx, g, caller.PacedStream(minRejoinStream+rand.N(maxRejoinStream-minRejoinStream)))
		}
	}
}

// changeVersions replaces engines by those of another software version, and with back then these by the former
// version. Each starts before the one that it replaces leaves.
func (f *Fleet) changeVersions(ctx context.Context, p rejoinPlan) error {
	former := f.nextSoftware()
	leaving := f.enginesNotOf(f.software())
	count := max(int(p.share*float64(len(leaving))), 1)
	var group sync.WaitGroup
	defer group.Wait()
	if err := f.replaceEngines(ctx, p, leaving, count, &group); err != nil || !p.back {
		return err
	}
	f.mu.Lock()
	f.softwareIndex = former
	f.mu.Unlock()
	leaving = f.enginesNotOf(f.software())
	return f.replaceEngines(ctx, p, leaving, len(leaving), &group)
}

// replaceEngines replaces some engines in random order. Those that leave are waited for in a group.
func (f *Fleet) replaceEngines(ctx context.Context, p rejoinPlan, engines []*endpoint, count int, group *sync.WaitGroup) error {
	for _, n := range p.source.Perm(len(engines))[:count] {
		e := engines[n]
		if f.withdraw(e) {
			if err := f.addEndpoint(e.Zone, e.Stage); err != nil {
				return err
			}
			drain, vanish := minLeaveTime+time.Duration(p.source.Float64()*float64(leaveSpread)), p.source.IntN(4) == 0
			group.Go(func() { f.leave(ctx, e, vanish, drain) })
		}
		sleep(ctx, p.gap)
	}
	return nil
}

// nextSoftware makes new engines run the next software version, and returns the index of the former one.
func (f *Fleet) nextSoftware() (former int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.softwareIndex++
	return f.softwareIndex - 1
}

// software returns the software version that new engines run.
func (f *Fleet) software() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return versions[f.softwareIndex%len(versions)]
}

// enginesNotOf returns the engines that run other software versions.
func (f *Fleet) enginesNotOf(version string) (list []*endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		if e.Stage != "" && e.Version != version {
			list = append(list, e)
		}
	}
	return list
}
