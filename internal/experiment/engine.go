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
	down     bool
	slowdown float64 // factor by which work takes longer; values below 1 count as 1
	jobs     map[cell.AttemptID]*job
	queue    []*job // of a prefill engine, first in first out
	samples  []loadSample
	decoding bool // a decode step is in progress
}

// loadSample is the load at a moment. Engines keep past samples because a report
// carries a load that is Fleet.ReportAge old.
type loadSample struct {
	at      clock.Millis
	running int
	waiting int
}

// job is one attempt that runs or waits at an engine.
type job struct {
	*attempt
	remaining int // answer tokens still to be generated
	started   clock.Millis
}

// load returns how many jobs run and how many wait. A prefill engine processes one
// prompt at a time; a decode engine has no queue.
func (e *engine) load() (running, waiting int) {
	if e.Role == catalog.RolePrefill {
		return min(len(e.queue), 1), max(len(e.queue)-1, 0)
	}
	return len(e.jobs), 0
}

// report returns the engine's answer to a report request. Its load is the newest sample
// that is at least age old, or the oldest one there is; the held attempts are current.
func (e *engine) report(now clock.Millis, age, step time.Duration) endpoint.Report {
	running, waiting := e.load()
	e.samples = append(e.samples, loadSample{at: now, running: running, waiting: waiting})
	reported := e.samples[0]
	for len(e.samples) > 1 && now.Sub(e.samples[1].at) >= age {
		e.samples = e.samples[1:]
		reported = e.samples[0]
	}
	r := endpoint.Report{Load: endpoint.Load{
		Running: reported.running, Waiting: reported.waiting, StepUS: step.Microseconds(), AgeMS: now.Sub(reported.at).Milliseconds(),
	}}
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		r.Held = append(r.Held, endpoint.HeldAttempt{Attempt: string(id)})
	}
	return r
}

// slowed scales a duration by the engine's slowdown.
func (e *engine) slowed(d time.Duration) time.Duration {
	return time.Duration(max(e.slowdown, 1) * float64(d))
}

// removeJob removes a job and reports whether the engine held it.
func (e *engine) removeJob(id cell.AttemptID) bool {
	_, held := e.jobs[id]
	delete(e.jobs, id)
	e.queue = slices.DeleteFunc(e.queue, func(j *job) bool { return j.id == id })
	return held
}

// prefill appends a prompt to a prefill engine's queue.
func (s *simulation) prefill(e *engine, a *attempt) {
	if e.down {
		s.after(messageDelay, func() { s.attemptFailed(a, e.Name) })
		return
	}
	j := &job{attempt: a, started: s.now}
	e.jobs[a.id] = j
	e.queue = append(e.queue, j)
	if len(e.queue) == 1 {
		s.startPrefill(e)
	}
}

// startPrefill starts processing the prompt at the head of the queue. When it is done,
// its KV cache moves to the decode engine while the next prompt is processed.
func (s *simulation) startPrefill(e *engine) {
	if e.down || len(e.queue) == 0 {
		return
	}
	j := e.queue[0]
	j.started = s.now
	took := e.slowed(time.Duration(float64(j.prompt) / s.plan.Fleet.PrefillRate * float64(time.Second)))
	s.after(took, func() {
		if len(e.queue) == 0 || e.queue[0] != j {
			return // the job was cancelled, or the engine crashed
		}
		e.queue = e.queue[1:]
		delete(e.jobs, j.id)
		s.outcome.PrefillTokens += int64(j.prompt)
		j.wastedTokens += int64(j.prompt)
		transfer := time.Duration(j.prompt) * time.Second / time.Duration(s.plan.Fleet.LinkRate)
		s.after(messageDelay, func() { s.progress(j.attempt, cell.Progress{Phase: cell.Prefilled, Duration: s.now.Sub(j.started)}) })
		s.after(transfer+2*messageDelay, func() { s.decode(j.attempt) })
		s.startPrefill(e)
	})
}

// decode takes a slot of the attempt's decode engine, or rejects the attempt if the
// engine is down or has no free slot.
func (s *simulation) decode(a *attempt) {
	if a.ended {
		return
	}
	e := s.engines[a.grant.Decode]
	if e.down || len(e.jobs) >= e.Slots {
		s.after(messageDelay, func() { s.attemptFailed(a, e.Name) })
		return
	}
	e.jobs[a.id] = &job{attempt: a, remaining: a.answer, started: s.now}
	s.after(messageDelay, func() { s.progress(a, cell.Progress{Phase: cell.Streaming}) })
	if !e.decoding {
		s.runDecode(e)
	}
}

// stepTime returns how long a decode step takes at the engine's current load.
func (s *simulation) stepTime(e *engine) time.Duration {
	extra := time.Duration(max(len(e.jobs)-1, 0)) * s.plan.Fleet.StepPerRequest
	return e.slowed(s.plan.Fleet.Step + extra)
}

// runDecode runs decode steps as long as the engine has jobs; each step generates one
// token for every job.
func (s *simulation) runDecode(e *engine) {
	e.decoding = len(e.jobs) > 0 && !e.down
	if !e.decoding {
		return
	}
	s.after(s.stepTime(e), func() {
		for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
			j := e.jobs[id]
			j.remaining--
			s.tokenGenerated(j.attempt)
			if j.remaining <= 0 {
				delete(e.jobs, id)
				took := s.now.Sub(j.started)
				s.after(messageDelay, func() { s.attemptFinished(j.attempt, took) })
			}
		}
		s.runDecode(e)
	})
}

// applyFault begins or ends a fault at an engine. A crash fails all attempts there.
func (s *simulation) applyFault(e *engine, f Fault, begins bool) {
	if f.Kind == Slow {
		e.slowdown = 1
		if begins {
			e.slowdown = f.Factor
		}
		return
	}
	e.down = begins
	lost := e.jobs
	e.jobs, e.queue = map[cell.AttemptID]*job{}, nil
	for _, id := range slices.Sorted(maps.Keys(lost)) {
		a := lost[id].attempt
		s.after(messageDelay, func() { s.attemptFailed(a, e.Name) })
	}
}
