package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	silentTarget      = 120 // ms, the callers' latency target
	silentDialTimeout = 100 // ms
	silentPatience    = 1000
	silentDuration    = 10 * time.Second
	// silentProbeInterval is how often an instance tries connections by itself, and longSilence the time from
	// which on it tries an endpoint only a third as often.
	silentProbeInterval = 250 // ms
	longSilence         = 2 * time.Second
	// silentEntryLifetime is how long the entry of an endpoint that ended stays.
	silentEntryLifetime = 4 * time.Second
)

// silentWay is a way to treat endpoints to which no connection comes up in time.
type silentWay struct {
	name   string
	result balance.Result
	probes bool // connections are tried apart from requests
	renews bool // a probe that fails counts as silence, too
}

// endpointFault is what an endpoint does to new connections at a moment.
type endpointFault int

const (
	serves endpointFault = iota
	dropsPackets
	refusesConnections
)

// silentLoad is a load on a service some of whose endpoints fail.
type silentLoad struct {
	name      string
	instances int
	endpoints int
	rate      float64 // requests a second
	// fault returns what an endpoint does. draw is a number from 0 to 1 of the endpoint for that span of 3 s.
	fault func(passed time.Duration, n int, draw float64) endpointFault
	ends  bool // entries of endpoints that fail for long are removed
	some  bool // there are always endpoints that serve
}

// silentResult counts requests and connections that did not come up.
type silentResult struct {
	sent, inTime, served int
	wasted               int // connections for which requests waited in vain
	probes               int // further connections that did not come up
}

func (r silentResult) share(count int) float64 { return float64(count) / float64(r.sent) }

// add returns the results of two plays together.
func (r silentResult) add(o silentResult) silentResult {
	return silentResult{r.sent + o.sent, r.inTime + o.inTime, r.served + o.served, r.wasted + o.wasted, r.probes + o.probes}
}

// silentRequest is a request on its way.
type silentRequest struct {
	instance    int
	sent        clock.Millis
	tried       []string
	reservation *balance.Reservation
	due         clock.Millis   // end of the dial
	result      balance.Result // of the dial
}

// silentEmulation is a play of a load in steps of a ms.
type silentEmulation struct {
	silentLoad
	way       silentWay
	random    *rand.Rand
	now       clock.Millis
	begin     clock.Millis
	list      []directory.Endpoint
	view      *directory.View
	faults    []endpointFault
	failedAt  []clock.Millis // since when an endpoint fails; 0: it does not
	balancers []*balance.Balancer
	silent    []map[int]clock.Millis // by instance: since when the endpoints that are probed are silent
	servers   []speedEndpoint
	dials     []silentRequest
	runs      map[*balance.Reservation]silentRequest
	result    silentResult
}

func (l silentLoad) play(w silentWay, seed uint64) silentResult {
	e := &silentEmulation{silentLoad: l, way: w, random: rand.New(rand.NewPCG(seed, 5)), begin: 1_000_000, runs: map[*balance.Reservation]silentRequest{}}
	for n := range l.endpoints {
		e.list = append(e.list, directory.Endpoint{ID: fmt.Sprint("e", n), Zone: string(rune('a' + n%speedZones)), Slots: speedSlots})
	}
	e.faults, e.failedAt, e.servers = make([]endpointFault, l.endpoints), make([]clock.Millis, l.endpoints), make([]speedEndpoint, l.endpoints)
	for n := range l.instances {
		b := balance.New(string(rune('a'+n%speedZones)), nil)
		b.Seed(seed + uint64(n))
		e.balancers, e.silent = append(e.balancers, b), append(e.silent, map[int]clock.Millis{})
	}
	arrivals := rand.New(rand.NewPCG(seed, 6)) // the same in all ways
	draws := make([]float64, l.endpoints)
	for e.now = e.begin; e.now.Sub(e.begin) < silentDuration; e.now++ {
		if e.now.Sub(e.begin)%(3*time.Second) == 0 {
			order := arrivals.Perm(l.endpoints)
			for n, at := range order {
				draws[n] = float64(at) / float64(l.endpoints)
			}
		}
		e.setFaults(draws)
		if arrivals.Float64() < l.rate/1000 {
			e.result.sent++
			e.send(silentRequest{instance: arrivals.IntN(l.instances), sent: e.now})
		}
		e.finishDials()
		for n := range e.servers {
			e.servers[n].factor = 1
			for _, r := range e.servers[n].advance(e.now) {
				e.answer(r.reservation)
			}
		}
		for n := range e.balancers {
			if e.way.probes && (int(e.now)+n*7)%silentProbeInterval == 0 {
				e.probe(n)
			}
		}
	}
	return e.result
}

// setFaults sets what the endpoints do, and the view of those that have an entry.
func (e *silentEmulation) setFaults(draws []float64) {
	changed := e.view == nil
	for n := range e.list {
		before := e.faults[n]
		e.faults[n] = e.fault(e.now.Sub(e.begin), n, draws[n])
		switch {
		case e.faults[n] == serves:
			changed = changed || before != serves
			e.failedAt[n] = 0
		case e.failedAt[n] == 0:
			e.failedAt[n] = e.now
		case e.now.Sub(e.failedAt[n]) == silentEntryLifetime:
			changed = true
		}
	}
	if !changed {
		return
	}
	var standing []directory.Endpoint
	for n, at := range e.failedAt {
		if !e.ends || at == 0 || e.now.Sub(at) < silentEntryLifetime {
			standing = append(standing, e.list[n])
		}
	}
	e.view = view(standing...)
	for n := range e.balancers {
		e.balancers[n].Forget(e.view)
	}
}

func (e *silentEmulation) number(id string) int {
	return slices.IndexFunc(e.list, func(d directory.Endpoint) bool { return d.ID == id })
}

// send sends a request to an endpoint that it has not tried yet, or refuses it.
func (e *silentEmulation) send(r silentRequest) {
	r.reservation = e.balancers[r.instance].Reserve(e.now, e.view, balance.Request{Service: "web", Stage: directory.Decode, Exclude: r.tried})
	if r.reservation == nil || e.now.Sub(r.sent) > silentPatience*time.Millisecond {
		if r.reservation != nil {
			r.reservation.Done(e.now, balance.Canceled)
		}
		return
	}
	r.due, r.result = e.now+speedTransit, balance.Succeeded
	switch e.faults[e.number(r.reservation.Endpoint.ID)] {
	case dropsPackets:
		r.due, r.result = e.now+silentDialTimeout, e.way.result
	case refusesConnections:
		r.due, r.result = e.now+speedTransit, balance.Unreachable
	case serves:
	}
	e.dials = append(e.dials, r)
}

func (e *silentEmulation) finishDials() {
	dials := e.dials
	e.dials = nil
	for _, r := range dials {
		n := e.number(r.reservation.Endpoint.ID)
		switch {
		case r.due > e.now:
			e.dials = append(e.dials, r)
		case r.result == balance.Succeeded:
			e.connected(r.instance, n)
			e.runs[r.reservation] = r
			e.servers[n].arriving = append(e.servers[n].arriving, speedRun{reservation: r.reservation, due: e.now, left: speedWork * (0.5 + e.random.ExpFloat64()/2)})
		default:
			e.result.wasted++
			if _, known := e.silent[r.instance][n]; !known && r.result == e.way.result && e.faults[n] != refusesConnections {
				e.silent[r.instance][n] = e.now
			}
			r.reservation.Done(e.now, r.result)
			r.tried = append(slices.Clone(r.tried), r.reservation.Endpoint.ID)
			e.send(r)
		}
	}
}

func (e *silentEmulation) connected(instance, n int) {
	if e.way.probes {
		delete(e.silent[instance], n)
		e.balancers[instance].RecordConnection(e.list[n].ID)
	}
}

func (e *silentEmulation) answer(r *balance.Reservation) {
	run := e.runs[r]
	delete(e.runs, r)
	n := e.number(r.Endpoint.ID)
	r.ReportLoad(e.now, e.servers[n].load(false))
	r.Done(e.now+speedTransit, balance.Succeeded)
	e.result.served++
	if e.now.Sub(run.sent)+speedTransit*time.Millisecond <= silentTarget*time.Millisecond {
		e.result.inTime++
	}
}

// probe tries connections to some silent endpoints. One that does not come up is known a dial timeout later,
// which the interval exceeds.
func (e *silentEmulation) probe(instance int) {
	var due []int
	for n := range e.list {
		if since, silent := e.silent[instance][n]; silent {
			if e.view.Find(e.list[n].ID) == nil {
				delete(e.silent[instance], n)
				continue
			}
			if e.now.Sub(since) >= longSilence && int(e.now)/silentProbeInterval%3 != 0 {
				continue
			}
			due = append(due, n)
		}
	}
	e.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, n := range due[:min(max(2, len(due)/2), len(due))] {
		switch e.faults[n] {
		case serves:
			e.connected(instance, n)
		case dropsPackets:
			e.result.probes++
			if e.way.renews {
				e.balancers[instance].RecordSilence(e.now, e.list[n].ID)
			}
		case refusesConnections:
			delete(e.silent[instance], n)
		}
	}
}

// during returns a fault of a share of the endpoints in a span of the play.
func during(f endpointFault, share float64, count int, from, to time.Duration) func(time.Duration, int, float64) endpointFault {
	return func(passed time.Duration, n int, _ float64) endpointFault {
		if passed >= from && passed < to && float64(n) < share*float64(count) {
			return f
		}
		return serves
	}
}

// inTurns returns a silence of a share of the endpoints, drawn every 3 s, for 1.5 s.
func inTurns(share float64) func(time.Duration, int, float64) endpointFault {
	return func(passed time.Duration, _ int, draw float64) endpointFault {
		if passed >= 3*time.Second && passed%(3*time.Second) < 1500*time.Millisecond && draw < share {
			return dropsPackets
		}
		return serves
	}
}

// Load: short requests to few endpoints, some of which take no connections for a moment, or end.
func TestSilentEndpointsUnderLoad(t *testing.T) {
	const never, allSilent = time.Hour, "all silent for 1.5 s, every 3 s"
	var loads []silentLoad
	for _, size := range []struct {
		instances, endpoints int
		rate                 float64
	}{{6, 6, 300}, {87, 6, 300}} {
		add := func(name string, ends bool, f func(time.Duration, int, float64) endpointFault) {
			loads = append(loads, silentLoad{
				name:      fmt.Sprintf("%d instances, %d endpoints: %s", size.instances, size.endpoints, name),
				instances: size.instances, endpoints: size.endpoints, rate: size.rate, fault: f, ends: ends, some: name != allSilent,
			})
		}
		share := 0.2
		add("none fails", false, during(serves, 0, size.endpoints, 0, 0))
		add("60% silent for 1.5 s, every 3 s", false, inTurns(0.6))
		add(allSilent, false, inTurns(1))
		add("20% dark for 5 s", true, during(dropsPackets, share, size.endpoints, 3*time.Second, 8*time.Second))
		add("20% dark for good", true, during(dropsPackets, share, size.endpoints, 3*time.Second, never))
		add("20% dark for good, with an entry", false, during(dropsPackets, share, size.endpoints, 3*time.Second, never))
		add("20% refuse for 5 s", true, during(refusesConnections, share, size.endpoints, 3*time.Second, 8*time.Second))
		add("20% refuse for good", true, during(refusesConnections, share, size.endpoints, 3*time.Second, never))
	}
	ways := []silentWay{
		{"as unreachable", balance.Unreachable, false, false},
		{"until a probe connects", balance.Silent, true, true},
		{"for a second", balance.Silent, false, false},
	}
	const seeds, otherSeeds = 2, 1 // the other ways are there for comparison
	for _, l := range loads {
		var sums [2]silentResult
		for n, w := range ways {
			plays := otherSeeds
			if n < len(sums) {
				plays = seeds
			}
			var sum silentResult
			for seed := range uint64(plays) {
				sum = sum.add(l.play(w, seed))
			}
			t.Logf("%-64s %-24s in time %.4f, served %.4f, wasted %.4f a request, probes %.1f a second and instance", l.name, w.name,
				sum.share(sum.inTime), sum.share(sum.served), sum.share(sum.wasted), float64(sum.probes)/float64(plays*l.instances)/silentDuration.Seconds())
			if n < len(sums) {
				sums[n] = sum
			}
		}
		before, after := sums[0], sums[1]
		comment := qt.Commentf("%s: %+v, %+v as unreachable", l.name, after, before)
		qt.Check(t, after.wasted <= before.wasted, qt.IsTrue, comment)
		if l.some {
			qt.Check(t, after.inTime >= before.inTime, qt.IsTrue, comment)
		}
	}
}
