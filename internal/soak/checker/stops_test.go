package checker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/soak/checker"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

// An instance that stops leaves a request without an answer that it passed on or had the time to read, or breaks an
// answer off that it could have ended.
func TestEndsOfCallsInPlannedStop(t *testing.T) {
	const brokenOff, unanswered = "not broken off", "answered or refused"
	const idle, used = 1200 * time.Millisecond, 10 * time.Millisecond
	kept := func(idleFor time.Duration) standin.Response {
		return standin.Response{Err: errCut, Writes: 1, Reused: true, IdleFor: idleFor}
	}
	broken := standin.Response{Status: 200, Signed: true, Err: errCut, Writes: 1}
	tests := []struct {
		name    string
		reply   standin.Response
		stream  bool
		runs    int           // endpoints that received it
		written time.Duration // from SIGTERM on
		exited  time.Duration // from SIGTERM on; 0: 7.75 s
		running bool          // the process has not exited yet
		ended   time.Duration // from SIGTERM on; 0: with the process
		stopped int           // incarnation that was stopped; 0: that of the call
		scope   timeline.Scope
		want    string // the promise that is violated; empty if none is
	}{
		{name: "passed on, no answer", reply: kept(used), runs: 1, written: 7700 * time.Millisecond, want: unanswered},
		{name: "passed on from an idle connection", reply: kept(idle), runs: 1, written: 7700 * time.Millisecond, want: unanswered},
		{name: "passed on from a new connection", reply: standin.Response{Err: errCut, Writes: 1}, runs: 1, written: 2 * time.Second, want: unanswered},
		{name: "passed on, killed as well", reply: kept(used), runs: 1, written: 7 * time.Second, scope: timeline.Kill},
		{name: "passed on, stood still", reply: kept(used), runs: 1, written: 7 * time.Second, scope: timeline.Frozen},
		{name: "passed on, overload", reply: kept(used), runs: 1, written: 7 * time.Second, scope: timeline.Process, want: unanswered},
		{name: "refused", reply: standin.Response{Status: 503, Writes: 1, Reused: true}, written: 7700 * time.Millisecond},
		{name: "failed, may have run", reply: standin.Response{Status: 502, Writes: 1, Reused: true}, runs: 1, written: 7700 * time.Millisecond},

		{name: "unread", reply: kept(used), written: 7400 * time.Millisecond, want: unanswered},
		{name: "unread, written shortly before the exit", reply: kept(used), written: 7600 * time.Millisecond},
		{name: "unread, exit not known yet", reply: kept(used), written: 7400 * time.Millisecond, running: true},
		{name: "unread, closed as idle", reply: kept(idle), written: 3 * time.Second, ended: 3001 * time.Millisecond},
		{name: "unread, closed as idle before SIGTERM", reply: kept(idle), written: -time.Second, ended: -time.Millisecond, want: unanswered},
		{name: "unread, closed although in use", reply: kept(used), written: 3 * time.Second, ended: 3001 * time.Millisecond, want: unanswered},
		{name: "unread, new connection", reply: standin.Response{Err: errCut, Writes: 1}, written: 3 * time.Second},
		{name: "unread, not written whole", reply: standin.Response{Err: errCut, Reused: true}, written: 3 * time.Second},
		{name: "unread, another process stopped", reply: kept(idle), written: 3 * time.Second, stopped: 1, want: unanswered},
		{name: "written again, closed as idle", reply: standin.Response{Status: 503, Writes: 2, IdleFor: idle}, written: 3 * time.Second},
		{name: "written again, closed although in use", reply: standin.Response{Status: 503, Writes: 2, IdleFor: used}, written: 3 * time.Second, want: unanswered},

		{name: "stream ended at the exit", reply: broken, stream: true, runs: 1, written: -time.Second},
		{name: "stream ended in the stop", reply: broken, stream: true, runs: 1, written: -time.Second, ended: 6 * time.Second, want: brokenOff},
		{name: "stream ended by an early exit", reply: broken, stream: true, runs: 1, written: -time.Second, exited: 4 * time.Second, want: brokenOff},
		{name: "answer broken off at the exit", reply: broken, runs: 1, written: 7 * time.Second, want: brokenOff},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.exited == 0 {
				test.exited = 7750 * time.Millisecond
			}
			if test.ended == 0 {
				test.ended = test.exited
			}
			if test.stopped == 0 {
				test.stopped = 2
			}
			signalled := time.Now().Add(2 * time.Second)
			k := call("r1", "/safe/x")
			k.Kind.Stream, k.Gateway.Incarnation = test.stream, 2
			k.Reply, k.Sent, k.Ended = test.reply, signalled.Add(test.written), signalled.Add(test.ended)
			k.Reply.Written = k.Sent
			k.Kind.Timeout = time.Minute
			faults := &timeline.Timeline{}
			faults.Begin(timeline.Planned, "a-1", "stop")
			if test.scope != "" {
				faults.Begin(test.scope, "a-1", "trouble")
			}
			runs := make([]checker.Run, test.runs)
			for n := range runs {
				runs[n] = run(k)
			}
			c := checker.New(checker.Bounds{Grace: 8 * time.Second}, faults, func() []checker.Run { return runs })
			exited := c.StopBegan("a-1", test.stopped, signalled)
			if !test.running {
				exited(signalled.Add(test.exited))
			}
			c.RecordCall(k)
			assertBroken(t, c, test.want)
		})
	}
}

// A second SIGTERM, or a later step, moves the bounds of a stop.
func TestFirstSignalOfStopCounts(t *testing.T) {
	signalled := time.Now().Add(2 * time.Second)
	k := call("r1", "/safe/x")
	k.Kind.Timeout = time.Minute
	k.Sent, k.Ended = signalled.Add(7400*time.Millisecond), signalled.Add(7750*time.Millisecond)
	k.Reply = standin.Response{Err: errCut, Writes: 1, Reused: true, Written: k.Sent}
	c := checker.New(checker.Bounds{Grace: 8 * time.Second}, &timeline.Timeline{}, func() []checker.Run { return nil })
	first, second := c.StopBegan("a-1", 1, signalled), c.StopBegan("a-1", 1, signalled.Add(8*time.Second))
	first(k.Ended)
	second(k.Sent)
	c.RecordCall(k)
	qt.Assert(t, c.Check(true), qt.HasLen, 1)
}
