package experiment

import (
	"maps"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/pkg/clock"
)

// engine is one emulated endpoint.
type engine struct {
	catalog.Member
	down  bool
	times float64 // how many times slower than it should be
	jobs  map[cell.AttemptID]*job
	queue []*job // prefill: in their order
	past  []sample
	turns bool // decode: a step is under way
}

// sample is a load with its time, for reports that are old.
type sample struct {
	at      clock.Millis
	running int
	waiting int
}

// job is one attempt at an engine.
type job struct {
	*attempt
	left    int // tokens of the answer
	started clock.Millis
}

func (e *engine) load() (running, waiting int) {
	if e.Role == catalog.RolePrefill {
		return min(len(e.queue), 1), max(len(e.queue)-1, 0)
	}
	return len(e.jobs), 0
}

// report is what the engine answers at a moment; its load is older.
func (e *engine) report(now clock.Millis, age, step time.Duration) endpoint.Report {
	running, waiting := e.load()
	e.past = append(e.past, sample{at: now, running: running, waiting: waiting})
	told := e.past[0]
	for len(e.past) > 1 && now.Sub(e.past[1].at) >= age {
		e.past = e.past[1:]
		told = e.past[0]
	}
	r := endpoint.Report{Load: endpoint.Load{
		Running: told.running, Waiting: told.waiting, StepUS: step.Microseconds(), AgeMS: now.Sub(told.at).Milliseconds(),
	}}
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		r.Held = append(r.Held, endpoint.Held{Attempt: string(id)})
	}
	return r
}

// slower is a time at this engine.
func (e *engine) slower(d time.Duration) time.Duration {
	return time.Duration(max(e.times, 1) * float64(d))
}

// drop forgets a job and says whether it was there.
func (e *engine) drop(id cell.AttemptID) bool {
	_, held := e.jobs[id]
	delete(e.jobs, id)
	e.queue = slices.DeleteFunc(e.queue, func(j *job) bool { return j.id == id })
	return held
}

// prefill puts a prompt in the queue.
func (w *world) prefill(e *engine, a *attempt) {
	if e.down {
		w.after(way, func() { w.failed(a, e.Name) })
		return
	}
	j := &job{attempt: a, started: w.now}
	e.jobs[a.id] = j
	e.queue = append(e.queue, j)
	if len(e.queue) == 1 {
		w.readNext(e)
	}
}

// readNext begins the prompt at the queue's head.
func (w *world) readNext(e *engine) {
	if e.down || len(e.queue) == 0 {
		return
	}
	j := e.queue[0]
	j.started = w.now
	took := e.slower(time.Duration(float64(j.prompt) / w.plan.Fleet.PrefillRate * float64(time.Second)))
	w.after(took, func() {
		if len(e.queue) == 0 || e.queue[0] != j {
			return // it was cancelled, or the engine crashed
		}
		e.queue = e.queue[1:]
		delete(e.jobs, j.id)
		w.outcome.ReadTokens += int64(j.prompt)
		j.read += int64(j.prompt)
		link := time.Duration(j.prompt) * time.Second / time.Duration(w.plan.Fleet.LinkRate)
		w.after(way, func() { w.progress(j.attempt, cell.Progress{Phase: cell.Prefilled, Took: w.now.Sub(j.started)}) })
		w.after(link+2*way, func() { w.decode(j.attempt) })
		w.readNext(e)
	})
}

// decode takes a slot, or turns the attempt away.
func (w *world) decode(a *attempt) {
	if a.over {
		return
	}
	e := w.engines[a.grant.Decode]
	if e.down || len(e.jobs) >= e.Slots {
		w.after(way, func() { w.failed(a, e.Name) })
		return
	}
	e.jobs[a.id] = &job{attempt: a, left: a.answer, started: w.now}
	w.after(way, func() { w.progress(a, cell.Progress{Phase: cell.Streaming}) })
	if !e.turns {
		w.turn(e)
	}
}

// step is how long a decode step takes now.
func (w *world) step(e *engine) time.Duration {
	more := time.Duration(max(len(e.jobs)-1, 0)) * w.plan.Fleet.StepByRequest
	return e.slower(w.plan.Fleet.Step + more)
}

// turn makes decode steps as long as there are jobs; each gives every job a
// token.
func (w *world) turn(e *engine) {
	e.turns = len(e.jobs) > 0 && !e.down
	if !e.turns {
		return
	}
	w.after(w.step(e), func() {
		for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
			j := e.jobs[id]
			j.left--
			w.token(j.attempt)
			if j.left <= 0 {
				delete(e.jobs, id)
				took := w.now.Sub(j.started)
				w.after(way, func() { w.finished(j.attempt, took) })
			}
		}
		w.turn(e)
	})
}

// strike begins or ends a fault at an engine.
func (w *world) strike(e *engine, f Fault, begins bool) {
	if f.Kind == Slow {
		e.times = 1
		if begins {
			e.times = f.Times
		}
		return
	}
	e.down = begins
	lost := e.jobs
	e.jobs, e.queue = map[cell.AttemptID]*job{}, nil
	for _, id := range slices.Sorted(maps.Keys(lost)) {
		a := lost[id].attempt
		w.after(way, func() { w.failed(a, e.Name) })
	}
}
