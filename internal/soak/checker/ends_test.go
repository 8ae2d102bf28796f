package checker_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/soak/checker"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

// fault is a fault during a call.
type fault struct {
	scope  timeline.Scope
	target string
}

// A request that ends without an answer, or an answer that is broken off, is a violation unless its
// instance was killed, its endpoint ended, its caller left or its time was over. A silent endpoint is
// no excuse.
func TestEndsOfCalls(t *testing.T) {
	const brokenOff, unanswered = "not broken off", "answered or refused"
	broken := standin.Response{Status: 200, Signed: true, Err: errCut}
	reset := standin.Response{Err: errCut, Writes: 1, Reused: true}
	tests := []struct {
		name   string
		reply  standin.Response
		runs   int           // endpoints that received it
		took   time.Duration // 0: a second
		faults []fault
		want   string // the promise that is violated; empty if none is
	}{
		{name: "answered", reply: standin.Response{Status: 200, Signed: true, Body: standin.AnswerBody("r1"), Writes: 1, Reused: true}, runs: 1},
		{name: "refused", reply: standin.Response{Status: 503, Writes: 1}},
		{name: "failed", reply: standin.Response{Status: 502, Writes: 1}, runs: 1},

		{name: "broken off", reply: broken, runs: 1, want: brokenOff},
		{name: "broken off, endpoint silent", reply: broken, runs: 1, faults: []fault{{timeline.Silence, "e1"}}, want: brokenOff},
		{name: "broken off, endpoint ended", reply: broken, runs: 1, faults: []fault{{timeline.Endpoint, "e1"}}},
		{name: "broken off, another endpoint ended", reply: broken, runs: 1, faults: []fault{{timeline.Endpoint, "e2"}}, want: brokenOff},
		{name: "broken off, links lost", reply: broken, runs: 1, faults: []fault{{timeline.Links, "a-1"}}},
		{name: "broken off, instance killed", reply: broken, runs: 1, faults: []fault{{timeline.Kill, "a-1"}}},
		{name: "broken off, another instance killed", reply: broken, runs: 1, faults: []fault{{timeline.Kill, "a-2"}}, want: brokenOff},
		{name: "broken off, planned stop", reply: broken, runs: 1, faults: []fault{{timeline.Planned, "a-1"}}, want: brokenOff},
		{name: "broken off, paused", reply: broken, runs: 1, faults: []fault{{timeline.Frozen, "a-1"}}, want: brokenOff},
		{name: "broken off, paused in a planned stop", reply: broken, runs: 1, faults: []fault{{timeline.Frozen, "a-1"}, {timeline.Planned, "a-1"}}},
		{name: "broken off, store away", reply: broken, runs: 1, faults: []fault{{timeline.Store, ""}}, want: brokenOff},
		{name: "broken off at its deadline", reply: broken, runs: 1, took: 4 * time.Second},
		{name: "broken off before its deadline", reply: broken, runs: 1, took: 3900 * time.Millisecond, want: brokenOff},
		{name: "run ended", reply: standin.Response{Status: 200, Signed: true, Err: context.Canceled}, runs: 1},

		{name: "passed on, no answer", reply: standin.Response{Err: errCut, Writes: 1}, runs: 1, want: unanswered},
		{name: "passed on, no answer, endpoint ended", reply: standin.Response{Err: errCut, Writes: 1}, runs: 1, faults: []fault{{timeline.Endpoint, "e1"}}, want: unanswered},
		{name: "passed on, no answer, planned stop", reply: reset, runs: 1, faults: []fault{{timeline.Planned, "a-1"}}, want: unanswered},
		{name: "passed on, no answer, instance killed", reply: reset, runs: 1, faults: []fault{{timeline.Kill, "a-1"}}},
		{name: "kept connection closed", reply: reset, want: unanswered},
		{name: "kept connection closed in overload", reply: reset, faults: []fault{{timeline.Process, "a-1"}}, want: unanswered},
		{name: "kept connection closed, no process of it stopped", reply: reset, faults: []fault{{timeline.Planned, "a-1"}}, want: unanswered},
		{name: "kept connection closed, instance killed", reply: reset, faults: []fault{{timeline.Kill, "a-1"}}},
		{name: "kept connection closed before it was written", reply: standin.Response{Err: errCut, Reused: true}},
		{name: "kept connection closed, sent again", reply: standin.Response{Status: 503, Writes: 2}, want: unanswered},
		{name: "new connection closed unread", reply: standin.Response{Err: errCut, Writes: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k := call("r1", "/safe/x")
			k.Reply, k.Sent = test.reply, time.Now()
			faults := &timeline.Timeline{}
			for _, each := range test.faults {
				faults.Begin(each.scope, each.target, "trouble")
			}
			if test.took == 0 {
				test.took = time.Second
			}
			k.Ended = k.Sent.Add(test.took)
			runs := make([]checker.Run, test.runs)
			for n := range runs {
				runs[n] = run(k)
			}
			untimed := bounds
			untimed.Timed = false
			c := checker.New(untimed, faults, func() []checker.Run { return runs })
			c.RecordCall(k)
			assertBroken(t, c, test.want)
		})
	}
}

// assertBroken asserts that exactly one promise is broken, once, or none if want is empty.
func assertBroken(t *testing.T, c *checker.Checker, want string) {
	t.Helper()
	var got, wanted []string
	for _, v := range c.Check(true) {
		got = append(got, v.Promise)
	}
	if want != "" {
		wanted = []string{want}
	}
	qt.Assert(t, got, qt.DeepEquals, wanted)
}

// A caller that left is owed nothing.
func TestCallerThatLeftIsOwedNothing(t *testing.T) {
	k := call("r1", "/stream/x")
	k.Disconnected, k.Reply = true, standin.Response{Err: errCut, Writes: 1, Reused: true}
	c := checker.New(checker.Bounds{}, &timeline.Timeline{}, func() []checker.Run { return []checker.Run{run(k)} })
	c.RecordCall(k)
	qt.Assert(t, c.Check(false), qt.HasLen, 0)
}
