// Package capacity learns how many requests a second the endpoints of a plain service can
// serve. The mean time of a request follows from answers of endpoints with a free slot, and
// the queues that answers state correct the result. Decisions are pure: the caller passes
// the time.
package capacity

import (
	"math"
	"time"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// maxStated bounds credible values of a load report.
	maxStated = 100_000
	// maxWeight is the number of answers over which the mean time is averaged.
	maxWeight = 400.0
	// waitingPeriod is the time constant of the averaged queue. Several answers arrive
	// within it while a service is busy.
	waitingPeriod = 300 * time.Millisecond
	// answerTimeout is how long after the last stated load the capacity is known.
	answerTimeout = 5 * time.Second
	// waitFraction is the fraction of the callers' target that requests may wait for a slot
	// on average. The rest is for the work, which varies, and for queues that differ
	// between endpoints.
	waitFraction = 1.0 / 8
	// drainTime is the time in which a queue that is too long is drained. It exceeds the
	// age of what is known about queues, as the rate would oscillate otherwise.
	drainTime = time.Second
	// correctionTime is the time constant with which the learned correction follows queues
	// that stay too long.
	correctionTime = 2 * time.Second
	// growth is how much the correction grows in a second while the demand is near the
	// capacity and no endpoint has a queue, as a fraction.
	growth = 0.06
	// minCorrection and maxCorrection bound the learned correction.
	minCorrection = 0.3
	maxCorrection = 2.0
	// minDrain bounds how much the rate is lowered at once to drain queues: less would hold
	// back workspaces within their shares because of a short queue.
	minDrain = 0.6
	// answeredMargin is how many times the measured rate of answers, which varies, may be sent
	// while queues are too long.
	answeredMargin = 1.15
	// minAnswers is how many recent answers measure their rate well enough.
	minAnswers = 10
	// maxStep bounds the time that one step accounts for.
	maxStep = time.Second
)

// Answers sums what the answers of a service's endpoints stated. Sums grow only, so that
// two of them can be subtracted.
type Answers struct {
	Count    float64       `cbor:"1,keyasint,omitempty"` // answers with a valid load report
	Queue    float64       `cbor:"2,keyasint,omitempty"` // sum of waiting requests per slot that they stated
	Unqueued float64       `cbor:"3,keyasint,omitempty"` // answers of endpoints that stated a free slot
	Work     time.Duration `cbor:"4,keyasint,omitempty"` // total time of these
	// Queued is the total time of the other answers, without an estimate of what each of
	// them waited for a slot.
	Queued time.Duration `cbor:"5,keyasint,omitempty"`
}

// Record adds an answer. A time above the target counts as the target, so that a few slow
// answers hardly change the mean. A load report with impossible values is ignored.
func (a *Answers) Record(l balance.Load, took, target time.Duration) {
	if l.Slots <= 0 || l.Running < 0 || l.Waiting < 0 || max(l.Slots, l.Running, l.Waiting) > maxStated {
		return
	}
	a.Count++
	a.Queue += float64(l.Waiting) / float64(l.Slots)
	if l.Waiting == 0 && l.Running < l.Slots && took > 0 {
		a.Unqueued++
		a.Work += min(took, target)
		return
	}
	turns := 1 + float64(l.Waiting)/float64(l.Slots)
	a.Queued += min(time.Duration(float64(max(took, 0))/turns), target)
}

// Plus returns the sum of a and b.
func (a Answers) Plus(b Answers) Answers {
	return Answers{Count: a.Count + b.Count, Queue: a.Queue + b.Queue, Unqueued: a.Unqueued + b.Unqueued, Work: a.Work + b.Work, Queued: a.Queued + b.Queued}
}

// Minus returns what a has more than b, or nothing if a is not a later sum than b.
func (a Answers) Minus(b Answers) Answers {
	d := a.Plus(Answers{Count: -b.Count, Queue: -b.Queue, Unqueued: -b.Unqueued, Work: -b.Work, Queued: -b.Queued})
	if !d.valid() {
		return Answers{}
	}
	return d
}

func (a Answers) valid() bool {
	return a.Count >= 0 && a.Queue >= 0 && a.Unqueued >= 0 && a.Unqueued <= a.Count && a.Work >= 0 && a.Queued >= 0 && !math.IsInf(a.Count+a.Queue, 0)
}

// Estimator estimates the capacity of one service. It is not safe for concurrent use.
type Estimator struct {
	free       mean    // of answers of endpoints that stated a free slot
	queued     mean    // of the others
	answers    float64 // recent answers, decayed over waitingPeriod
	queueSum   float64 // waiting requests per slot that they stated
	decayedAt  clock.Millis
	answeredAt clock.Millis
	correction float64
	steppedAt  clock.Millis
}

// New returns an estimator that knows nothing yet.
func New() *Estimator { return &Estimator{correction: 1} }

// Add adds answers that arrived since the previous call.
func (e *Estimator) Add(now clock.Millis, a Answers) {
	if !a.valid() || a.Count == 0 {
		return
	}
	e.decay(now)
	e.answeredAt = now
	e.answers += a.Count
	e.queueSum += a.Queue
	if a.Unqueued > 0 && a.Work > 0 {
		e.free.add(a.Unqueued, a.Work)
	}
	if queued := a.Count - a.Unqueued; queued > 0 && a.Queued > 0 {
		e.queued.add(queued, a.Queued)
	}
}

// work returns the mean time of a request in seconds, or 0 if it is unknown. Before any
// endpoint has stated a free slot it is estimated from the others.
func (e *Estimator) work() float64 {
	if e.free.weight > 0 {
		return e.free.seconds
	}
	return e.queued.seconds
}

// mean is a mean time of the latest answers.
type mean struct {
	seconds float64
	weight  float64 // answers
}

func (m *mean) add(count float64, total time.Duration) {
	m.weight = min(m.weight+count, max(maxWeight, count))
	m.seconds += (total.Seconds()/count - m.seconds) * count / m.weight
}

func (e *Estimator) decay(now clock.Millis) {
	elapsed := max(now.Sub(e.decayedAt), 0)
	e.decayedAt = now
	remaining := math.Exp(-elapsed.Seconds() / waitingPeriod.Seconds())
	e.answers *= remaining
	e.queueSum *= remaining
}

// Wait returns the mean time that requests wait for a slot, according to recent answers.
func (e *Estimator) Wait() time.Duration {
	if e.answers == 0 {
		return 0
	}
	return time.Duration(e.queueSum / e.answers * e.work() * float64(time.Second))
}

// HasRoom reports whether queues are clearly shorter than allowed, so that a demand a little
// above the estimate may be within the actual capacity.
func (e *Estimator) HasRoom(target time.Duration) bool {
	return e.Wait().Seconds() < waitFraction*target.Seconds()/2
}

// Age returns the time since the last answer.
func (e *Estimator) Age(now clock.Millis) time.Duration { return now.Sub(e.answeredAt) }

// Step returns how many requests a second endpoints with the given number of slots may be
// sent so that callers are answered within the target, or 0 if that is unknown. pressed says
// whether the demand is near the capacity: only then a short queue shows that the capacity is
// larger than estimated. While queues are too long, the rate of answers bounds it.
func (e *Estimator) Step(now clock.Millis, slots int, target time.Duration, pressed bool) float64 {
	elapsed := min(max(now.Sub(e.steppedAt), 0), maxStep)
	e.steppedAt = now
	work := e.work()
	if work == 0 || e.answeredAt == 0 || e.Age(now) > answerTimeout || slots <= 0 {
		return 0
	}
	e.decay(now)
	// A rate that is too high by a fraction lengthens the wait by that fraction of a
	// second each second.
	wait, allowed := e.Wait().Seconds(), waitFraction*target.Seconds()
	excess := (wait - allowed) / drainTime.Seconds()
	switch {
	case excess > 0:
		e.correction -= e.correction * excess * elapsed.Seconds() / correctionTime.Seconds()
	case pressed:
		e.correction += e.correction * growth * (1 - wait/allowed) * elapsed.Seconds()
	}
	e.correction = min(max(e.correction, minCorrection), maxCorrection)
	rate := float64(slots) / work * e.correction
	if excess > 0 && e.answers >= minAnswers {
		rate = min(rate, answeredMargin*e.answers/waitingPeriod.Seconds())
	}
	return rate * max(1-excess, minDrain)
}
