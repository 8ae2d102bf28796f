package permit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trailshed/trailshed/internal/permit"
	"github.com/trailshed/trailshed/pkg/clock"
)

// The burst rule: within any 4 s an endpoint gets at most one and a half times its
// limit plus five requests.
const (
	window      = 4 * time.Second
	burstFactor = 1.5
	burstExtra  = 5
)

func bound(rate float64) int { return int(burstFactor*rate*window.Seconds() + burstExtra) }

const (
	step         = 10 * time.Millisecond
	lendInterval = 400 * time.Millisecond
	// probeInterval is how often an unresponsive instance is probed.
	probeInterval = time.Second
	// discoveryTime is how long after its start an instance may not know all others.
	discoveryTime = 3 * time.Second
)

// world simulates a fleet that lends shares and requests permits as internal/throttle
// does, with the same intervals. All instances know the limits.
type world struct {
	random        *rand.Rand
	now           clock.Millis
	instances     []*instance
	zones         []string
	limits        []limitedEndpoint
	delay         time.Duration // maximum for a message
	limitsUnknown bool          // no endpoint has announced a limit yet
	inFlight      []delivery
	requests      int
	sent          map[string][]clock.Millis // by endpoint
	messages      int
	bytes         int // payload of the messages
	partitioned   func(a, b *instance) bool
}

type limitedEndpoint struct {
	endpoint, zone string
	rate           float64
}

type instance struct {
	name, zone     string
	index          int
	issuer         *permit.Issuer
	incarnation    int
	denied         map[string]clock.Millis // by endpoint: time before which no permit is requested
	startedAt      clock.Millis
	restartAt      clock.Millis // 0 while it runs
	suspendedUntil clock.Millis
	unresponsive   map[*instance]clock.Millis // when each is probed again
}

type delivery struct {
	at          clock.Millis
	to          *instance
	incarnation int
	do          func()
}

func newWorld(seed uint64, instances, zones, endpoints int, rate float64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: 100_000, delay: 20 * time.Millisecond, sent: map[string][]clock.Millis{},
		partitioned: func(_, _ *instance) bool { return false },
	}
	for z := range zones {
		w.zones = append(w.zones, fmt.Sprint("z", z))
	}
	for n := range endpoints {
		w.limits = append(w.limits, limitedEndpoint{fmt.Sprint("e", n), w.zones[n%zones], rate})
	}
	for n := range instances {
		i := &instance{name: fmt.Sprint("n", n), zone: w.zones[n%zones], index: n}
		w.instances = append(w.instances, i)
		w.start(i)
	}
	return w
}

func (w *world) start(i *instance) {
	i.issuer, i.restartAt, i.unresponsive = permit.New(w.random.Float64), 0, map[*instance]clock.Millis{}
	i.denied = map[string]clock.Millis{}
	i.incarnation++
	i.startedAt = w.now
}

func (w *world) running(i *instance) bool { return i.restartAt == 0 && w.now >= i.suspendedUntil }

func (w *world) reaches(a, b *instance) bool {
	return a == b || w.running(b) && !w.partitioned(a, b)
}

// kill ends an instance, which restarts after a time.
func (w *world) kill(i *instance, away time.Duration) { i.restartAt = w.now.Add(max(away, step)) }

// first returns the first instance of a zone that by does not consider unresponsive.
func (w *world) first(by *instance, zone string) *instance {
	for _, i := range w.instances {
		if _, unresponsive := by.unresponsive[i]; i.zone == zone && !unresponsive {
			return i
		}
	}
	return nil
}

// step advances the time. demand returns the requests a second for an endpoint that
// arrive at an instance.
func (w *world) step(demand func(l limitedEndpoint, i *instance) float64) {
	w.now = w.now.Add(step)
	w.deliver()
	for _, i := range w.instances {
		if i.restartAt != 0 && w.now >= i.restartAt {
			w.start(i)
		}
		if !w.running(i) {
			continue
		}
		if (int64(w.now)/step.Milliseconds()+int64(i.index))%(lendInterval/step).Nanoseconds() == 0 {
			w.tick(i)
		}
		for _, l := range w.limits {
			for n := w.poisson(demand(l, i) * step.Seconds()); n > 0; n-- {
				w.requests++
				if w.now < i.denied[l.endpoint] {
					continue
				}
				d := w.requestPermit(i, l)
				if d.Granted {
					w.sent[l.endpoint] = append(w.sent[l.endpoint], w.now)
					continue
				}
				i.denied[l.endpoint] = w.now.Add(min(d.RetryAfter, permit.MaxDenial))
			}
		}
	}
}

func (w *world) requestPermit(i *instance, l limitedEndpoint) permit.Decision {
	req := permit.Request{Endpoint: l.endpoint, Zone: l.zone, Rate: l.rate}
	for _, zone := range []string{l.zone, i.zone} {
		f := w.first(i, zone)
		if f == nil || f == i {
			break
		}
		w.countExchange(req, permit.Decision{})
		if w.reaches(i, f) {
			w.updateCount(f)
			return f.issuer.Issue(w.now, req)
		}
		i.unresponsive[f] = w.now.Add(probeInterval)
		if zone == i.zone {
			break
		}
	}
	w.updateCount(i)
	return i.issuer.Issue(w.now, req)
}

// updateCount sets the number of instances in an issuer.
func (w *world) updateCount(i *instance) {
	i.issuer.SetInstances(w.now, len(w.instances), w.now.Sub(i.startedAt) >= discoveryTime)
}

func (w *world) tick(i *instance) {
	w.updateCount(i)
	if w.limitsUnknown {
		return
	}
	w.probe(i)
	f := w.first(i, i.zone)
	if f != i {
		w.lend(i, f, i.issuer.OwnLoan(w.now))
		return
	}
	if !w.recall(i, "") {
		return
	}
	seen := map[string]bool{i.zone: true}
	for _, l := range w.limits {
		if !seen[l.zone] {
			seen[l.zone] = true
			w.lend(i, w.first(i, l.zone), i.issuer.CrossZoneLoan(w.now, l.zone))
		}
	}
}

// probe checks whether unresponsive instances respond again.
func (w *world) probe(i *instance) {
	for _, o := range w.instances {
		at, unresponsive := i.unresponsive[o]
		if !unresponsive || w.now < at {
			continue
		}
		i.unresponsive[o] = w.now.Add(probeInterval)
		if w.reaches(i, o) {
			delete(i.unresponsive, o)
		}
	}
}

func (w *world) lend(i, to *instance, l permit.Loan) {
	if to == nil || l.Shares == 0 {
		return
	}
	if holder, lent := i.issuer.Borrower(w.now, l.Zone); lent && holder != to.name {
		w.recall(i, l.Zone)
		return
	}
	i.issuer.Lend(w.now, to.name, l)
	w.send(i, to, l, func() {})
}

// recall asks for the return of a loan. It returns true if nothing is lent.
func (w *world) recall(i *instance, zone string) bool {
	holder, lent := i.issuer.Borrower(w.now, zone)
	if !lent {
		return true
	}
	to := w.instances[slices.IndexFunc(w.instances, func(o *instance) bool { return o.name == holder })]
	w.send(i, to, permit.Loan{Zone: zone}, func() { i.issuer.Returned(holder, zone) })
	return false
}

// send delivers a loan and its reply, after which onReply is called.
func (w *world) send(i, to *instance, l permit.Loan, onReply func()) {
	w.countExchange(struct {
		permit.Loan
		Digest uint64 `cbor:"4,keyasint"` // of the known limits
	}{l, w.random.Uint64()}, struct{}{})
	if !w.reaches(i, to) {
		i.unresponsive[to] = w.now.Add(probeInterval)
		return
	}
	w.post(to, func() {
		to.issuer.Borrow(w.now, i.name, l)
		w.post(i, onReply)
	})
}

func (w *world) post(to *instance, do func()) {
	at := w.now.Add(time.Duration(w.random.Int64N(int64(w.delay) + 1)))
	w.inFlight = append(w.inFlight, delivery{at: at, to: to, incarnation: to.incarnation, do: do})
}

func (w *world) deliver() {
	pending := w.inFlight
	w.inFlight = nil
	for _, l := range pending {
		switch {
		case l.at > w.now || l.to.restartAt == 0 && w.now < l.to.suspendedUntil:
			w.inFlight = append(w.inFlight, l)
		case l.to.restartAt == 0 && l.to.incarnation == l.incarnation:
			l.do()
		}
	}
}

// countExchange counts a message and its reply.
func (w *world) countExchange(there, back any) {
	for _, v := range []any{there, back} {
		data, err := cbor.Marshal(v)
		if err != nil {
			panic(err)
		}
		w.messages++
		w.bytes += len(data)
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

func (w *world) run(length time.Duration, demand func(limitedEndpoint, *instance) float64) {
	for end := w.now.Add(length); w.now < end; {
		w.step(demand)
	}
}

// maxInWindow returns the maximum number of requests an endpoint got in any window that
// began at from or later.
func (w *world) maxInWindow(endpoint string, from clock.Millis) int {
	list, peak, first := w.sent[endpoint], 0, 0
	for i, at := range list {
		for list[first] < from && first < i || at.Sub(list[first]) > window {
			first++
		}
		if list[first] >= from {
			peak = max(peak, i-first+1)
		}
	}
	return peak
}

// countSince returns how many requests an endpoint got since from.
func (w *world) countSince(endpoint string, from clock.Millis) int {
	n := 0
	for _, at := range w.sent[endpoint] {
		if at >= from {
			n++
		}
	}
	return n
}
