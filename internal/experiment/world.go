package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// way is how long a message takes between two processes of a zone.
	way = time.Millisecond
	// tickEvery is how often time passes for the decisions, as in a process.
	tickEvery = 10 * time.Millisecond
	// announceEvery is how often an entry says what it runs.
	announceEvery = 300 * time.Millisecond
	// ownerExpiry is the default of a process's settings.
	ownerExpiry = 2 * time.Second
	// retryShare of what succeeded may be sent again.
	retryShare = 0.1
	// endMost bounds how long a run may go on after the last arrival.
	endMost = 5 * time.Minute
	// workspace and kind are the same for all requests.
	workspace = "w"
	kind      = "k"
	// begin is the moment at which runs begin.
	begin = clock.Millis(1_000_000)
)

var (
	theCell = catalog.Cell{Zone: "a", Serves: "model"}
	owner   = cell.Owner{Node: "entry", Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}
)

// world is one run.
type world struct {
	plan    *Plan
	now     clock.Millis
	cell    *cell.Cell
	engines map[string]*engine
	order   []*engine
	events  events
	made    int // events so far
	running map[cell.AttemptID]*attempt
	open    int // requests without an end
	outcome *Outcome
}

// Run plays one policy under one seed's load and faults.
func (p *Plan) Run(policy string, seed uint64) *Outcome {
	w := &world{
		plan: p, now: begin, engines: map[string]*engine{}, running: map[cell.AttemptID]*attempt{},
		outcome: newOutcome(policy, seed, p.Duration),
	}
	w.cell = cell.New(theCell, w.now, cell.Options{
		Policy: policy, OwnerExpiry: ownerExpiry, RetryShare: retryShare,
		Violated: func(what string) { w.outcome.Violations = append(w.outcome.Violations, what) },
	})
	w.apply(cell.Configured{Catalog: catalog.New(), Members: w.addEngines()})
	w.every(tickEvery, func() { w.apply(cell.Tick{}) })
	w.every(announceEvery, w.announce)
	w.every(p.Fleet.ReportEvery, w.reports)
	w.reports() // endpoints are known before the first request
	// Each has a source of its own, so that a change of one leaves the other as
	// it was.
	w.scheduleArrivals(rand.New(rand.NewPCG(seed, 0)))
	w.scheduleFaults(rand.New(rand.NewPCG(seed, 1)))
	w.play()
	w.outcome.close()
	return w.outcome
}

// addEngines makes the plan's endpoints and returns them as members of the cell.
func (w *world) addEngines() []catalog.Member {
	var members []catalog.Member
	fleet := w.plan.Fleet
	for _, role := range []string{catalog.RolePrefill, catalog.RoleDecode} {
		for i := range fleet.count(role) {
			m := catalog.Member{Name: fmt.Sprintf("%s-%03d", role, i+1), Role: role, Slots: fleet.Slots, Link: fleet.LinkRate}
			e := &engine{Member: m, jobs: map[cell.AttemptID]*job{}}
			members = append(members, m)
			w.engines[m.Name] = e
			w.order = append(w.order, e)
		}
	}
	return members
}

func (w *world) scheduleArrivals(random *rand.Rand) {
	at := time.Duration(0)
	for n := 1; ; n++ {
		at += time.Duration(random.ExpFloat64() / w.plan.Load.rate(at) * float64(time.Second))
		if at >= w.plan.Duration {
			return
		}
		r := &request{id: fmt.Sprintf("r%06d", n)}
		r.prompt = w.plan.Load.Prompt.draw(random)
		r.answer = w.plan.Load.Answer.draw(random)
		w.open++
		w.after(at, func() { w.arrive(r) })
	}
}

func (w *world) scheduleFaults(random *rand.Rand) {
	for _, f := range w.plan.Faults {
		var fit []*engine
		for _, e := range w.order {
			if e.Role == f.Role {
				fit = append(fit, e)
			}
		}
		random.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
		for _, e := range fit[:f.Endpoints] {
			w.after(f.At, func() { w.strike(e, f, true) })
			w.after(f.At+f.For, func() { w.strike(e, f, false) })
		}
	}
}

// rate is how many requests a second arrive at a time.
func (l Load) rate(at time.Duration) float64 {
	rate := l.Rate
	for _, b := range l.Bursts {
		if at >= b.At && at < b.At+b.For {
			rate *= b.Times
		}
	}
	return rate
}

func (s Size) draw(r *rand.Rand) int {
	n := int(s.Median * math.Exp(s.Spread*r.NormFloat64()))
	return min(max(n, 1), s.Most)
}

// play lets everything happen until all requests have ended.
func (w *world) play() {
	end := w.now.Add(w.plan.Duration + endMost)
	for w.open > 0 && w.now < end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.outcome.Unended = w.open
}

func (w *world) apply(e cell.Event) {
	for _, effect := range w.cell.Apply(w.now, e) {
		switch f := effect.(type) {
		case cell.SendGrant:
			w.after(way, func() { w.granted(f.Grant) })
		case cell.SendRefusal:
			w.after(way, func() { w.refused(f.Refusal) })
		case cell.Cancel:
			w.after(way, func() {
				known := w.engines[f.Endpoint].drop(f.Attempt)
				w.readNext(w.engines[f.Endpoint])
				w.after(way, func() { w.apply(cell.Cancelled{Endpoint: f.Endpoint, Attempt: f.Attempt, Known: known}) })
			})
		case cell.SendFenced, cell.SendUnknown: // only another dispatcher brings these about
		}
	}
}

// reports has the dispatcher ask every endpoint.
func (w *world) reports() {
	for _, e := range w.order {
		began := w.now
		if e.down {
			w.after(2*way, func() { w.apply(cell.Unreachable{Endpoint: e.Name}) })
			continue
		}
		report := e.report(w.now, w.plan.Fleet.ReportAge, w.step(e))
		w.after(2*way, func() { w.apply(cell.Reported{Endpoint: e.Name, Report: report, Began: began}) })
	}
}
