package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Engines and requests of the load tests are those of the large fleet's data
// sheet: 25 engines in a zone, of 12 slots and 45,991 tokens; 55.6 tokens of a
// prompt a ms, half of that at a decode engine; about 4.3 ms a token beside
// others; prompts of 5,200 and answers of 780 tokens; first events within 900 ms.
const (
	loadSlots  = 12
	loadTokens = 45_991
	loadTarget = 900 * time.Millisecond
	meanPrompt = 5200
	meanAnswer = 780
)

var loadFigures = pace.Prior{
	ReadSetup: 10 * time.Millisecond, ReadToken: 18 * time.Microsecond, Begin: 45 * time.Millisecond,
	WholeToken: 36 * time.Microsecond, Step: 4300 * time.Microsecond, LengthPart: 0.42,
}

// load is a zone of engines in emulated time, which work as loadFigures say.
type load struct {
	planner *placement.Planner
	random  *rand.Rand
	now     clock.Millis
	free    map[string]clock.Millis // prefill engines: when they have read all they were given
	slowed  map[string]time.Duration
	asks    map[string]*loadAsk
	due     map[clock.Millis][]func()
	lossy   func(engine string, now clock.Millis) bool // it loses loadLoss of its answers
	dark    func(engine string, now clock.Millis) bool // it cannot be reached
	result  loadResult
}

// loadLoss is the part of answers that a lossy engine loses, by a reset as soon
// as a request has come.
const loadLoss = 0.4

// loadDial is how long it takes to find out that an engine cannot be reached.
const loadDial = 100 * time.Millisecond

type loadAsk struct {
	placement.Ask
	came  clock.Millis
	sends int // to decode engines; two may fail
	again int
}

// loadResult counts requests, and the time that those were kept waiting which
// were refused in the end.
type loadResult struct {
	inTime, late, refused, failed int
	inVain                        time.Duration
}

func (r loadResult) share() float64 {
	return float64(r.inTime) / float64(r.inTime+r.late+r.refused+r.failed)
}

func newLoad(t testing.TB, prefills, decodes int) *load {
	table, err := route.NewTable(route.Document{Version: 1, Services: []route.Service{
		{Name: "llm", Engine: &route.Engine{Slots: loadSlots, KVTokens: loadTokens}},
	}})
	qt.Assert(t, err, qt.IsNil)
	var list []*directory.Endpoint
	for i := range prefills + decodes {
		e := &directory.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "llm", Zone: "a", Slots: loadSlots, Stage: directory.Decode}
		if i < prefills {
			e.Stage = directory.Prefill
		}
		list = append(list, e)
	}
	v := directory.NewView(table, list...)
	m := pace.New(loadFigures)
	m.Tell("test", []pace.Figure{
		{Service: "llm", Act: pace.Prompt, Base: meanPrompt}, {Service: "llm", Act: pace.Answer, Base: meanAnswer},
	})
	l := &load{
		planner: placement.New("a", "n2", m), random: rand.New(rand.NewPCG(7, 7)), free: map[string]clock.Millis{},
		slowed: map[string]time.Duration{}, asks: map[string]*loadAsk{}, due: map[clock.Millis][]func(){},
		lossy: never, dark: never,
	}
	l.planner.Apply(0, placement.Known{View: v})
	return l
}

func never(string, clock.Millis) bool { return false }

// play lets time pass; rate is how many requests come a second at a moment.
func (l *load) play(until clock.Millis, rate func(clock.Millis) float64) loadResult {
	for ; l.now < until; l.now++ {
		for _, f := range l.due[l.now] {
			f()
		}
		delete(l.due, l.now)
		if l.random.Float64() < rate(l.now)/1000 {
			l.arrive()
		}
		if l.now%10 == 0 {
			l.apply(placement.Tick{})
		}
	}
	return l.result
}

func (l *load) after(d time.Duration, f func()) {
	at := max(l.now.Add(d), l.now+1)
	l.due[at] = append(l.due[at], f)
}

func (l *load) arrive() {
	output := max(int(l.random.ExpFloat64()*meanAnswer), 20)
	a := &loadAsk{came: l.now, Ask: placement.Ask{
		ID: fmt.Sprint(len(l.asks)), Owner: "n", Service: "llm", Budget: loadTarget, Hold: 3 * loadTarget,
		Once:   len(l.asks)%3 == 0, // as a third of the large fleet's streams
		Prompt: int((0.5 + l.random.Float64()) * meanPrompt), Output: min(output, 4*meanAnswer), Most: 4 * meanAnswer,
	}}
	l.asks[a.ID] = a
	l.apply(a.Ask)
}

func (l *load) apply(e placement.Event) {
	for _, answer := range l.planner.Apply(l.now, e) {
		l.take(l.asks[answer.ID], answer.Verdict)
	}
}

// take does what an entry does with a verdict: it asks once more, with
// patience, after a first refusal.
func (l *load) take(a *loadAsk, v placement.Verdict) {
	switch {
	case v.Grant != nil:
		l.serve(a, *v.Grant)
	case v.Refusal != nil && !a.Patient:
		a.Patient = true
		l.after(time.Millisecond, func() { l.apply(a.Ask) })
	case v.Refusal != nil:
		l.result.refused++
		l.result.inVain += l.now.Sub(a.came)
	}
}

func (l *load) serve(a *loadAsk, g placement.Grant) {
	tokens := func(n int, each time.Duration) time.Duration { return time.Duration(n) * each }
	switch {
	case g.Prefill == "" && a.Part == placement.DecodeOnly:
		l.begin(a, g)
	case g.Prefill == "":
		read := tokens(a.Prompt, loadFigures.WholeToken)
		if l.loses(a, g.Decode, placement.Both, 1) {
			return
		}
		l.slowed[g.Decode] += read
		l.after(read+loadFigures.Begin, func() { l.decode(a, g) })
	case l.loses(a, g.Prefill, placement.Both, 0):
	default:
		sent := l.now
		l.free[g.Prefill] = max(l.free[g.Prefill], l.now).Add(tokens(a.Prompt, loadFigures.ReadToken))
		l.after(l.free[g.Prefill].Sub(l.now)+loadFigures.ReadSetup, func() {
			l.apply(placement.Progress{ID: a.ID, Read: true, Running: 1, Took: l.now.Sub(sent)})
			l.begin(a, g)
		})
	}
}

// begin sends a request to the decode engine that takes its KV cache.
func (l *load) begin(a *loadAsk, g placement.Grant) {
	if !l.loses(a, g.Decode, placement.DecodeOnly, 1) { // else the cache was not taken
		l.after(loadFigures.Begin, func() { l.decode(a, g) })
	}
}

// loses says whether an engine loses a request, which is asked for again then;
// runs is 1 if the engine may have run it.
func (l *load) loses(a *loadAsk, engine string, part placement.Part, runs int) bool {
	switch {
	case l.dark(engine, l.now):
		l.after(loadDial, func() { l.fail(a, engine, part, 0) })
		return true
	case l.lossy(engine, l.now) && l.random.Float64() < loadLoss:
		l.fail(a, engine, part, runs)
		return true
	}
	return false
}

// fail asks for other engines, as an entry does while it may send again.
func (l *load) fail(a *loadAsk, engine string, part placement.Part, runs int) {
	l.apply(placement.Release{ID: a.ID, Owner: "n", Failed: engine})
	a.sends += runs
	a.again++
	if a.sends > 0 && a.Once || a.again > 4 {
		l.result.failed++
		return
	}
	delete(l.asks, a.ID)
	a.ID += "+"
	a.Exclude, a.Part, a.Patient = append(a.Exclude, engine), part, false
	a.Budget = max(a.came.Add(loadTarget).Sub(l.now), 0)
	a.Late, a.Once = a.Budget == 0, a.Once || a.sends > 0
	l.asks[a.ID] = a
	l.after(time.Millisecond, func() { l.apply(a.Ask) })
}

// decode counts the first event and ends the answer, later if its engine read
// prompts meanwhile.
func (l *load) decode(a *loadAsk, g placement.Grant) {
	l.apply(placement.Progress{ID: a.ID, Running: 1})
	if l.now.Sub(a.came) <= loadTarget {
		l.result.inTime++
	} else {
		l.result.late++
	}
	slowed := l.slowed[g.Decode]
	var end func()
	end = func() {
		if more := l.slowed[g.Decode] - slowed; more > 0 {
			slowed = l.slowed[g.Decode]
			l.after(more, end)
			return
		}
		l.apply(placement.Release{ID: a.ID, Owner: "n"})
	}
	l.after(time.Duration(a.Output)*loadFigures.Step, end)
}

// bursting is the rate of a zone in the large fleet's busiest hour, 23 requests a
// second, at so many times that from 8 to 13 s.
func bursting(times float64) func(clock.Millis) float64 {
	return func(now clock.Millis) float64 {
		if now >= 8000 && now < 13_000 {
			return 23 * times
		}
		return 23
	}
}

// lost and dark are parts of the engines from 8 to 14 s.
func part(share float64) func(string, clock.Millis) bool {
	return func(engine string, now clock.Millis) bool {
		var n int
		_, err := fmt.Sscanf(engine, "e%d", &n)
		return err == nil && now >= 8000 && now < 14_000 && float64(n%5) < 5*share
	}
}

// The load pattern is a burst of five seconds in a zone of 25 engines, as each of
// the large fleet's days has three. It fills prefill engines at once, and decode
// memory only over the time of an answer. Requests that cannot be in time at a
// prefill engine are read by decode engines then, and engines that lose some
// answers are used where the others have no room. While prefill engines alone read
// and engines that failed got nothing for a second, these shares were in time, in
// the order of the table: 1, 1, 0.999, 0.887, 0.886, 0.820, 0.998, 0.883; and up to
// 43 callers were kept for two seconds and more, and then refused.
func TestBurstIsReadByDecodeEngines(t *testing.T) {
	tests := []struct {
		name              string
		prefills, decodes int
		times             float64
		lossy, dark       float64 // parts of the engines
		inTime            float64 // at least
	}{
		{"the usual rate", 5, 20, 1, 0, 0, 0.999},
		{"a burst", 5, 20, 1.7, 0, 0, 0.99},
		{"a large burst", 5, 20, 2.2, 0, 0, 0.99},
		{"a large burst, few prefill engines", 3, 22, 2, 0, 0, 0.99},
		{"a burst, and answers lost", 5, 20, 1.7, 0.6, 0, 0.94},
		{"a large burst, and answers lost", 5, 20, 2.2, 0.6, 0, 0.91},
		{"a burst, and engines dark", 5, 20, 1.7, 0, 0.2, 0.99},
		{"a large burst, and engines dark", 5, 20, 2.2, 0, 0.2, 0.89},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLoad(t, test.prefills, test.decodes)
			l.lossy, l.dark = part(test.lossy), part(test.dark)
			got := l.play(25_000, bursting(test.times))
			t.Logf("%+v %.3f", got, got.share())
			qt.Assert(t, got.share() >= test.inTime, qt.IsTrue, qt.Commentf("%+v", got))
		})
	}
}

func BenchmarkPlacement(b *testing.B) {
	for _, engines := range []int{10, 25, 100, 400, 2000, 8000} {
		for _, waiting := range []int{0, 10, 100, 1000} {
			b.Run(fmt.Sprintf("engines=%d/waiting=%d", engines, waiting), func(b *testing.B) {
				l := newLoad(b, max(engines/5, 1), engines-max(engines/5, 1))
				n := 0
				ask := func(patient bool) placement.Ask {
					n++
					return placement.Ask{
						ID: fmt.Sprint(n), Owner: "n", Service: "llm", Budget: loadTarget, Hold: 3 * loadTarget,
						Prompt: meanPrompt, Output: meanAnswer, Most: 4 * meanAnswer, Patient: patient,
					}
				}
				for l.planner.Queued() < waiting && n < 20*engines+2*waiting {
					l.planner.Apply(1000, ask(true))
				}
				b.ReportMetric(float64(l.planner.Queued()), "queued")
				for b.Loop() {
					l.planner.Apply(1000, ask(false))
				}
			})
		}
	}
}

// A look at all waiting requests happens each 10 ms, and whenever something comes
// free.
func BenchmarkWaiting(b *testing.B) {
	for _, waiting := range []int{10, 100} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			l := newLoad(b, 5, 20)
			for n := 0; l.planner.Queued() < waiting; n++ {
				l.planner.Apply(1000, placement.Ask{
					ID: fmt.Sprint(n), Owner: "n", Service: "llm", Budget: loadTarget, Hold: 3 * loadTarget,
					Prompt: meanPrompt, Output: meanAnswer, Most: 4 * meanAnswer, Patient: true,
				})
			}
			for b.Loop() {
				l.planner.Apply(1000, placement.Tick{})
			}
		})
	}
}
