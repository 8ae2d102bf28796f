package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/uplink"
)

// A sound endpoint that was silent for a second was taken for one that fails, because this instance had cancelled its own sends
// there: it was ejected, reported to its planner, and its process was looked for. Only one that answers others
// meanwhile has failed; another one is used again as soon as it is heard.
func TestOwnCancelsJudgeNobody(t *testing.T) {
	const silence = time.Second
	superseded := func(g *engineRequest, r *balance.Reservation) {
		g.silence = &silenceWatch{winner: &successor{}}
		g.heardAt = g.Now().Add(-silence)
		g.beginSend(r.Endpoint.ID)
		g.sendFailed(g.ctx, r, uplink.ErrNoResponse)
		g.recordFailedEngine(r.Endpoint.ID)
	}
	prefill := func(g *engineRequest, r *balance.Reservation) {
		reason := reasonSilent
		if g.answersOthers(r, g.Now().Add(-silence)) {
			reason = reasonHangs
		}
		r.Done(g.Now(), g.classifyPrefill(g.ctx, r.Endpoint, ResponseHead{}, uplink.ErrNoResponse, reason))
	}
	left := func(g *engineRequest, r *balance.Reservation) {
		ctx, cancel := context.WithCancel(g.ctx)
		cancel()
		g.beginSend(r.Endpoint.ID)
		g.sendFailed(ctx, r, uplink.ErrNoResponse)
	}
	tests := []struct {
		name    string
		end     func(g *engineRequest, r *balance.Reservation)
		heard   time.Duration // how long ago the endpoint sent something to another request
		judged  bool
		planner bool // it is reported to its planner
	}{
		{"another endpoint spoke first", superseded, silence, false, false},
		{"another spoke first, and it was heard as the silence began", superseded, silence * 3 / 4, false, false},
		{"another spoke first, while it answers others", superseded, silence / 10, true, true},
		{"the prompt was not read in time", prefill, silence, false, false},
		{"the prompt was not read in time, while others' are", prefill, silence / 10, true, true},
		{"the caller left", left, silence / 10, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			g.ctx = t.Context()
			checks := 0
			g.CheckProcess = func(context.Context, *directory.Endpoint) dialer.Verdict {
				checks++
				return dialer.Running
			}
			g.LinkLost = func(string) bool { return false }
			for range 8 { // enough for an ejection
				other := g.Balancer.ReserveAt(g.Now(), g.view.Find(decodeEngine))
				other.Heard(g.Now().Add(-test.heard))
				g.failedEngine = ""
				test.end(g, g.Balancer.ReserveAt(g.Now(), g.view.Find(decodeEngine)))
				other.Done(g.Now(), balance.Canceled)
				c.Check(g.failedEngine != "", qt.Equals, test.planner)
			}
			ejected := 0
			if test.judged {
				ejected = 1
			}
			g.Balancer.RecordConnection(decodeEngine) // ends what was a silence only
			c.Check(g.Balancer.Ejected(g.Now()), qt.HasLen, ejected)
			c.Check(checks, qt.Equals, 0)
		})
	}
}

// A prefill that this instance ends, because the engine was silent for too long, says so in its line and is not held
// against the engine.
func TestTimedOutPrefillIsNoFailure(t *testing.T) {
	c := qt.New(t)
	g := newEngineRequest(t)
	var out bytes.Buffer
	log := eventlog.Open(&out, "n1")
	g.requestLog = log.NewRequestLog()
	g.Pool.Connect = func(context.Context, uplink.Message) (uplink.Path, error) {
		ours, theirs := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, theirs) }() // reads the prompt and says nothing
		t.Cleanup(func() { c.Check(theirs.Close(), qt.IsNil) })
		return uplink.Path{Conn: ours}, nil
	}
	g.place = &broker.Place{Grant: placement.Grant{Decode: decodeEngine, Prefill: prefillEngine}}
	c.Assert(g.runPrefill(t.Context(), prefillEngine), qt.IsFalse)
	c.Check(g.failedEngine, qt.Equals, "")
	g.Balancer.RecordConnection(prefillEngine)
	c.Check(g.Balancer.Ejected(g.Now()), qt.HasLen, 0)
	c.Assert(log.Close(), qt.IsNil)
	c.Check(strings.Contains(out.String(), `"event":"prefill_failed"`), qt.IsTrue)
	c.Check(strings.Contains(out.String(), `"reason":"silent"`), qt.IsTrue)
}
