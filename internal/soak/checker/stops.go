package checker

import (
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
)

const (
	// unreadTime is how long before the exit of a process a request may be written that it does not read.
	unreadTime = 200 * time.Millisecond
	// finalTime is the time before the exit of a process whose requests LateCalls counts.
	finalTime = 300 * time.Millisecond
	// usedTime is how long a connection must have been idle for a planned stop to close it as idle: less than the
	// second that the product waits, as its answers reach callers later.
	usedTime = 500 * time.Millisecond
	// lastAnswersTime is how long before the end of the grace period streams may be ended at the earliest.
	lastAnswersTime = 1300 * time.Millisecond
)

// stop is a planned stop of a process.
type stop struct {
	signalled time.Time
	exited    time.Time // zero before
}

// StopBegan records that a process was sent SIGTERM. The returned function records when it exited. Of several signals
// to one process, the first counts.
func (c *Checker) StopBegan(instance string, number int, signalled time.Time) (exited func(at time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	process := incarnation{instance, number}
	s := c.stops[process]
	if s == nil {
		s = &stop{signalled: signalled}
		c.stops[process] = s
	}
	return func(at time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if s.exited.IsZero() {
			s.exited = at
		}
	}
}

// LateCalls returns how many requests were written to processes shortly before their exit, and how many of them had an
// answer or a refusal.
func (c *Checker) LateCalls() (answered, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		s := c.stops[incarnationOf(call)]
		if s == nil || call.Reply.Writes == 0 || s.exited.Sub(call.Reply.Written).Abs() > finalTime || call.Reply.Written.After(s.exited) {
			continue
		}
		all++
		if call.Reply.Status != 0 {
			answered++
		}
	}
	return answered, all
}

// closedByStop reports whether a planned stop may have closed the kept connection of a request that was passed on to
// no endpoint: the connection was idle, or the process exited too soon to read the request.
func (c *Checker) closedByStop(call caller.Call) bool {
	s := c.stops[incarnationOf(call)]
	if s == nil || call.Ended.Before(s.signalled) {
		return false
	}
	// While the process runs, its exit may be near; a later check knows.
	return call.Reply.IdleFor >= usedTime || s.exited.IsZero() || s.exited.Sub(call.Reply.Written) <= unreadTime
}

// cutByStop reports whether a stream that had begun ended because its instance was about to exit.
func (c *Checker) cutByStop(call caller.Call) bool {
	s := c.stops[incarnationOf(call)]
	return s != nil && call.Kind.Stream && call.Reply.Status == 200 &&
		!call.Ended.Before(s.signalled.Add(c.Bounds.Grace-lastAnswersTime))
}
