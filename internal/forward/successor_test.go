package forward

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/budget"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/prompt"
	"github.com/trailshed/trailshed/internal/residency"
)

// wonHedge returns the watch of an attempt of g that has ended, with a successor whose response has begun.
func wonHedge(t *testing.T, g *engineRequest) *silenceWatch {
	t.Helper()
	s := g.watch(t)
	x := s.start(s)
	q := x.request
	q.sends, q.placeRequests = q.sends+1, 2
	q.beginSend("next")
	q.answer = &answer{reservation: g.Balancer.ReserveAt(g.Now(), &directory.Endpoint{ID: "next"}), cancel: x.cancel, stopHeld: q.watchHeld(x.cancel)}
	s.winner = x
	s.end()
	return s
}

// What an attempt beside a silent one has sent counts once for the request that goes on by it, also if earlier ones failed.
func TestSuccessorIsCountedOnce(t *testing.T) {
	c := qt.New(t)
	g := newEngineRequest(t)
	g.beginSilent()
	g.placeRequests = 1
	g.hedge = wonHedge(t, g)
	g.hedge.spent = spending{sends: 1, placeRequests: 1, tried: []string{"failed"}, steps: []string{"failed: unreachable"}}
	c.Assert(g.awaitSuccessor(t.Context()), qt.IsTrue)
	c.Check(g.sends, qt.Equals, 3)
	c.Check(g.record.MayHaveRun(), qt.Equals, 2)
	c.Check(g.placeRequests, qt.Equals, 4)
	c.Check(g.placeLimit, qt.Equals, maxPlaceRequests+3) // what successors asked for does not count against it
	c.Check(g.tried, qt.DeepEquals, []string{"failed"})
	c.Check(g.history.String(), qt.Equals, "beside: failed: unreachable")
	c.Check(g.hedge, qt.IsNil)
}

// A stream that goes on by another attempt is not cancelled for a part of its prompt once that has been proven there.
func TestSuccessorSurvivesItsParts(t *testing.T) {
	c := qt.New(t)
	g := newEngineRequest(t)
	g.call.Parts = []prompt.Part{"a"}
	g.hedge = wonHedge(t, g)
	canceled := false
	g.hedge.winner.request.answer.cancel = func() { canceled = true }
	c.Assert(g.awaitSuccessor(t.Context()), qt.IsTrue)
	c.Assert(g.waiting.cancels, qt.HasLen, 1)
	g.waiting.cancels[g.proxyRequest]()
	c.Check(canceled, qt.IsTrue)
	g.recordBegun(g.Now())
	c.Check(g.waiting.cancels, qt.HasLen, 0)
}

// A request that ends while an attempt beside its own one has a response gives that up.
func TestSuccessorIsDropped(t *testing.T) {
	c := qt.New(t)
	g := newEngineRequest(t)
	g.hedge = wonHedge(t, g)
	x := g.hedge.winner
	x.request.answer = nil // ending its response needs a connection
	g.hedge.stop()
	c.Check(x.ctx.Err(), qt.Equals, context.Canceled)
}

// A caller was told that its request had not run while an attempt beside a silent one ran at an engine: the first
// attempt had certainly not run, and the others were not counted when the instance ended all requests.
func TestRequestMayHaveRunWhileSuccessorRuns(t *testing.T) {
	c := qt.New(t)
	g := newEngineRequest(t)
	out := httptest.NewRecorder()
	g.w = newTimeoutWriter(out, time.Minute)
	arrived := make(chan struct{}, 1)
	g.Pool.Dial = dialSilent(arrived)
	g.FindPlace = func(context.Context, placement.Request, residency.Area) (*broker.Place, *placement.Refusal) {
		return &broker.Place{Grant: placement.Grant{Decode: decodeEngine}, Zone: "a"}, nil
	}
	g.Retry = budget.Rule{Slack: 100, Window: time.Minute}
	ctx, cancel := g.endWithInstance(t.Context())
	defer cancel()
	g.beginSilent() // the first attempt is on its way
	s := g.watchSilence(ctx, func() {}, &directory.Endpoint{ID: "silent"})
	g.silence = s
	done := runSuccessor(s)
	<-arrived // the successor's send has reached an engine
	g.attempt.Finish(attempts.Unwritten)
	g.sends = 0
	g.endAttempt(&answer{cancel: func() {}, stopHeld: func() {}}, false)
	time.AfterFunc(50*time.Millisecond, g.EndAll)
	g.run(ctx)
	<-done
	c.Check(out.Code, qt.Equals, 502, qt.Commentf("%s", out.Body.String()))
}
