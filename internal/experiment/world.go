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

// request is one caller's.
type request struct {
	id       string
	arrived  clock.Millis
	answer   int // tokens
	attempts int
	avoid    []string
	first    clock.Millis // when the first token came; 0: not yet
	read     int64        // prompt tokens that were read for it
}

// attempt is one send of a request.
type attempt struct {
	*request
	id     cell.AttemptID
	prompt int
	grant  cell.Grant
	phase  cell.Phase
	over   bool
}

// event is something that happens at a moment.
type event struct {
	at  clock.Millis
	seq int // events of one moment happen in the order in which they were made
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
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
	var members []catalog.Member
	for _, role := range []string{catalog.RolePrefill, catalog.RoleDecode} {
		for i := range p.Fleet.count(role) {
			m := catalog.Member{Name: fmt.Sprintf("%s-%03d", role, i+1), Role: role, Slots: p.Fleet.Slots, Link: p.Fleet.LinkRate}
			members = append(members, m)
			e := &engine{Member: m, jobs: map[cell.AttemptID]*job{}}
			w.engines[m.Name] = e
			w.order = append(w.order, e)
		}
	}
	w.apply(cell.Configured{Catalog: catalog.New(), Members: members})
	w.every(tickEvery, func() { w.apply(cell.Tick{}) })
	w.every(announceEvery, w.announce)
	w.every(p.Fleet.ReportEvery, w.reports)
	w.schedule(rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 1)))
	w.play()
	w.outcome.close()
	return w.outcome
}

// schedule draws arrivals and what faults strike, each from its own source, so
// that a change of one leaves the other as it was.
func (w *world) schedule(arrivals, faults *rand.Rand) {
	w.reports() // endpoints are known before the first request
	at := time.Duration(0)
	for n := 1; ; n++ {
		at += time.Duration(arrivals.ExpFloat64() / w.plan.Load.rate(at) * float64(time.Second))
		if at >= w.plan.Duration {
			break
		}
		r := &request{id: fmt.Sprintf("r%06d", n)}
		prompt := w.plan.Load.Prompt.draw(arrivals)
		r.answer = w.plan.Load.Answer.draw(arrivals)
		w.open++
		w.after(at, func() { w.arrive(r, prompt) })
	}
	for _, f := range w.plan.Faults {
		var fit []*engine
		for _, e := range w.order {
			if e.Role == f.Role {
				fit = append(fit, e)
			}
		}
		faults.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
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

func (w *world) after(d time.Duration, do func()) {
	w.made++
	heap.Push(&w.events, event{at: w.now.Add(max(d, time.Millisecond)), seq: w.made, do: do})
}

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
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

// arrive is a caller's request.
func (w *world) arrive(r *request, prompt int) {
	r.arrived = w.now
	w.outcome.asked(w.now)
	w.send(r, prompt)
}

// send makes a request's next attempt.
func (w *world) send(r *request, prompt int) {
	r.attempts++
	a := &attempt{request: r, id: cell.NewAttemptID(r.id, r.attempts), prompt: prompt}
	w.running[a.id] = a
	ask := cell.Ask{
		Cell: theCell, Attempt: a.id, Request: r.id, Owner: owner, Workspace: workspace, Kind: kind, Tokens: prompt,
		MaxTokens: w.plan.Load.Answer.Most, Budget: w.plan.Load.FirstToken - w.now.Sub(r.arrived),
		Avoid: r.avoid, Retry: r.attempts > 1,
	}
	w.after(way, func() { w.apply(ask) })
}

func (w *world) granted(g cell.Grant) {
	a := w.running[g.Attempt]
	if a == nil || a.over {
		return
	}
	a.grant, a.phase = g, cell.Granted
	w.after(way, func() { w.prefill(w.engines[g.Prefill], a) })
}

func (w *world) refused(f cell.Refusal) {
	a := w.running[f.Attempt]
	if a == nil || a.over {
		return
	}
	w.close(a)
	w.end(a.request, func(o *Outcome) { o.Refused++ })
}

func (w *world) prefilled(a *attempt, took time.Duration) {
	w.progress(a, cell.Progress{Phase: cell.Prefilled, Took: took})
}

// progress tells the dispatcher how far an attempt has come.
func (w *world) progress(a *attempt, p cell.Progress) {
	if a.over {
		return
	}
	a.phase = p.Phase
	p.Cell, p.Attempt = theCell, a.id
	w.after(way, func() { w.apply(p) })
}

// failed is an attempt that an endpoint lost or turned away. It is sent again
// if the caller has seen nothing of it and the plan allows another.
func (w *world) failed(a *attempt, at string) {
	if a.over {
		return
	}
	w.progress(a, cell.Progress{Phase: cell.Failed, At: at})
	w.close(a)
	r := a.request
	left := w.plan.Load.FirstToken - w.now.Sub(r.arrived)
	if r.first > 0 || r.attempts >= w.plan.Load.Attempts || left <= 0 {
		w.end(r, func(o *Outcome) { o.Failed++ })
		return
	}
	r.avoid = append(r.avoid, at)
	w.outcome.Retries++
	w.send(r, a.prompt)
}

func (w *world) token(a *attempt) {
	if a.first == 0 {
		a.first = w.now
	}
}

func (w *world) finished(a *attempt, took time.Duration) {
	if a.over {
		return
	}
	w.progress(a, cell.Progress{Phase: cell.Finished, Took: took, Tokens: a.answer})
	w.close(a)
	a.read -= int64(a.prompt) // this one was not read for nothing
	w.end(a.request, func(o *Outcome) { o.answered(a.request, w.plan.Load.FirstToken) })
}

func (w *world) close(a *attempt) {
	a.over = true
	delete(w.running, a.id)
}

// end counts a request's end, and what was read for nothing.
func (w *world) end(r *request, count func(*Outcome)) {
	w.open--
	count(w.outcome)
	w.outcome.WastedTokens += r.read
}

func (w *world) announce() {
	an := cell.Announce{Cell: theCell, Owner: owner}
	for _, id := range sortedKeys(w.running) {
		a := w.running[id]
		if a.phase == "" {
			an.Waiting = append(an.Waiting, id)
			continue
		}
		an.Running = append(an.Running, cell.Running{
			Attempt: id, Phase: a.phase, Prefill: a.grant.Prefill, Decode: a.grant.Decode, Workspace: workspace, Kind: kind, Tokens: a.prompt,
		})
	}
	w.after(way, func() { w.apply(an) })
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
