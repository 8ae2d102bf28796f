package quota_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trailshed/trailshed/internal/admission"
	"github.com/trailshed/trailshed/internal/quota"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	window             = 8 * time.Second
	overshoot          = 0.1
	tick               = 100 * time.Millisecond
	fullReportInterval = 400 * time.Millisecond
	sumsInterval       = 200 * time.Millisecond
)

// world simulates a fleet of gates and ledgers that exchange the messages of
// internal/metering, with the same intervals.
type world struct {
	random     *rand.Rand
	now        clock.Millis
	instances  []*instance
	zones      []string
	limits     map[string]quota.Limit
	delay      time.Duration // maximum for a message
	inFlight   []delivery
	ran        map[string][]usage
	requested  map[string]float64 // units
	admitted   map[string]float64
	messages   int
	bytes      int // of messages, if countBytes is set
	countBytes bool
	// partitioned reports whether two instances cannot reach each other.
	partitioned func(a, b *instance) bool
}

type instance struct {
	name, zone  string
	index       int
	gate        *admission.Gate
	ledger      *quota.Ledger
	incarnation uint64
	startedAt   clock.Millis
	statusAt    clock.Millis // last status from another ledger
	restartAt   clock.Millis // 0 while it runs
}

type usage struct {
	at    clock.Millis
	units float64
}

type delivery struct {
	at          clock.Millis
	do          func()
	to          *instance
	incarnation uint64
}

func newWorld(seed uint64, instances, zones int, limits map[string]quota.Limit) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: 100_000, limits: limits, delay: 20 * time.Millisecond,
		ran: map[string][]usage{}, requested: map[string]float64{}, admitted: map[string]float64{},
		partitioned: func(_, _ *instance) bool { return false },
	}
	for z := range zones {
		w.zones = append(w.zones, fmt.Sprint("z", z))
	}
	for n := range instances {
		i := &instance{name: fmt.Sprint("n", n), zone: w.zones[n%zones], index: n}
		w.instances = append(w.instances, i)
		w.start(i)
	}
	return w
}

func (w *world) start(i *instance) {
	i.incarnation, i.startedAt, i.restartAt, i.statusAt = w.random.Uint64(), w.now, 0, 0
	i.gate, i.ledger = admission.New(w.now), quota.NewLedger(i.zone, i.incarnation, window)
}

// kill ends an instance, which restarts after a time.
func (w *world) kill(i *instance, away time.Duration) {
	i.restartAt = w.now.Add(max(away, time.Millisecond))
}

func (w *world) send(from, to *instance, v any, do func()) {
	if from != to {
		w.messages++
		w.bytes += w.size(v)
	}
	if w.partitioned(from, to) {
		return
	}
	at := w.now.Add(time.Duration(w.random.Int64N(int64(w.delay) + 1)))
	w.inFlight = append(w.inFlight, delivery{at: at, do: do, to: to, incarnation: to.incarnation})
}

// size returns the size of a message without framing.
func (w *world) size(v any) int {
	if !w.countBytes {
		return 0
	}
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// ledgerInstances returns the two instances that run a zone's ledgers: the first live
// ones, as the roster shows them shortly after a death.
func (w *world) ledgerInstances(zone string) []*instance {
	var list []*instance
	for _, i := range w.instances {
		if i.zone == zone && len(list) < 2 && (i.restartAt == 0 || w.now.Sub(i.restartAt) < 0 && i.restartAt.Sub(w.now) < 1500*time.Millisecond) {
			list = append(list, i)
		}
	}
	return list
}

// step advances the time by a tick. demand returns the units a second of a workspace
// that arrive at an instance.
func (w *world) step(cost float64, demand func(workspace string, i *instance) float64) {
	w.now = w.now.Add(tick)
	w.deliver()
	for _, i := range w.instances {
		if i.restartAt != 0 {
			if w.now < i.restartAt {
				continue
			}
			w.start(i)
		}
		w.sendRequests(i, cost, demand)
		w.exchange(i)
	}
}

func (w *world) sendRequests(i *instance, cost float64, demand func(string, *instance) float64) {
	for _, name := range slices.Sorted(maps.Keys(w.limits)) {
		limit := w.limits[name]
		mean := demand(name, i) * tick.Seconds() / cost
		for n := w.poisson(mean); n > 0; n-- {
			w.requested[name] += cost
			if i.gate.Admit(w.now, name, limit, cost, len(w.instances)).Admitted {
				w.admitted[name] += cost
				w.ran[name] = append(w.ran[name], usage{w.now, cost})
			}
		}
	}
}

func (w *world) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for left := w.random.Float64(); left > p && n < 1000; {
		n++
		left -= p
		p *= mean / float64(n)
	}
	return n
}

func (w *world) exchange(i *instance) {
	phase := (int64(w.now)/tick.Milliseconds() + int64(i.index)) * tick.Milliseconds()
	all := phase%fullReportInterval.Milliseconds() == 0
	zone := w.ledgerInstances(i.zone)
	if all || i.gate.NearLimit() || phase%sumsInterval.Milliseconds() == 0 {
		r := quota.Report{Instance: i.name, Incarnation: i.incarnation, Age: w.now.Sub(i.startedAt), Uses: i.gate.Report(all)}
		for _, k := range zone {
			w.send(i, k, r, func() { k.ledger.AddReport(w.now, r) })
		}
	}
	for rank, k := range zone {
		if k == i {
			w.runLedger(i, rank, all, phase%sumsInterval.Milliseconds() == 0)
		}
	}
}

func (w *world) runLedger(i *instance, rank int, all, sums bool) {
	p := quota.Membership{Zones: map[string]bool{}, Instances: map[string]bool{}, Total: len(w.instances)}
	for _, o := range w.instances {
		p.Zones[o.zone] = true
		p.Instances[o.name] = p.Instances[o.name] || o.zone == i.zone
	}
	i.ledger.Step(w.now, w.limits, p)
	if rank > 0 && w.now.Sub(i.statusAt) <= 600*time.Millisecond {
		return
	}
	if all || i.ledger.NearLimit() {
		statuses := i.ledger.Statuses()
		for _, o := range w.instances {
			if o.zone == i.zone {
				w.send(i, o, statuses, func() {
					if o != i {
						o.statusAt = w.now
					}
					o.gate.Update(w.now, statuses)
				})
			}
		}
	}
	if sums || i.ledger.NearLimit() {
		sums := i.ledger.Sums(w.now)
		for _, zone := range w.zones {
			for _, o := range w.ledgerInstances(zone) {
				if o.zone != i.zone {
					w.send(i, o, sums, func() { o.ledger.AddSums(w.now, sums) })
				}
			}
		}
	}
}

func (w *world) deliver() {
	sort.SliceStable(w.inFlight, func(a, b int) bool { return w.inFlight[a].at < w.inFlight[b].at })
	n := 0
	for ; n < len(w.inFlight) && w.inFlight[n].at <= w.now; n++ {
		if l := w.inFlight[n]; l.to.restartAt == 0 && l.to.incarnation == l.incarnation {
			l.do()
		}
	}
	w.inFlight = append([]delivery(nil), w.inFlight[n:]...)
}

// maxInWindow returns the maximum of units that ran for a workspace in any window.
func (w *world) maxInWindow(workspace string) float64 {
	runs, peak, sum, first := w.ran[workspace], 0.0, 0.0, 0
	for _, r := range runs {
		sum += r.units
		for r.at.Sub(runs[first].at) >= window {
			sum -= runs[first].units
			first++
		}
		peak = max(peak, sum)
	}
	return peak
}

// bound returns how many units the rule allows in a window.
func bound(l quota.Limit) float64 {
	return (l.Rate*window.Seconds()+l.Burst)*(1+overshoot) + slack
}
