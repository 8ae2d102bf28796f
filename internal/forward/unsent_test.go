package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/uplink"
)

// A send that never left, because no connection came up, costs neither permits nor retry
// budget: an instance that has lost its links must not use up what all instances share. Only if
// the endpoint is at fault is its planner told.
func TestUnsentCostsNothing(t *testing.T) {
	refused := errors.New("unreachable")
	tests := []struct {
		name    string
		err     error
		decode  bool // the prompt was read, so only the decode engine is left
		failed  string
		ejected int
	}{
		{"prefill engine is unreachable", refused, false, prefillEngine, 1},
		{"decode engine is unreachable", refused, true, decodeEngine, 1},
		{"unconfirmed, prefill engine", uplink.ErrUnconfirmed, false, "", 1},
		{"unconfirmed, decode engine", uplink.ErrUnconfirmed, true, "", 1},
		{"own links, prefill engine", uplink.ErrOwnLinks, false, "", 0},
		{"own links, decode engine", uplink.ErrOwnLinks, true, "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			g.Pool.Connect = func(context.Context, uplink.Message) (uplink.Path, error) { return uplink.Path{}, test.err }
			g.Codec.EncodeHeader = func(Call, Send) http.Header { return nil }
			g.Retry.Ratio, g.Retry.Slack, g.Retry.Window = 1, 1000, 10*time.Second
			permits := map[string]int{}
			g.Permits.Take = func(_ context.Context, endpoint string, _ int) time.Duration {
				permits[endpoint]++
				return 0
			}
			g.Permits.Return = func(endpoint string) { permits[endpoint]-- }
			failed := ""
			g.ReleasePlace = func(_ *broker.Place, _, engine string, _ *placement.Observation) { failed = engine }
			g.sends, g.prefill.sends = 1, 1 // both were sent before
			if test.decode {
				g.prefill.handle, g.prefill.finishedAt = &KVHandle{EndpointID: prefillEngine, ID: "k"}, g.Now()
			}
			before := g.budget(g.service).Left(g.Now())
			c.Assert(before > 0, qt.IsTrue)
			c.Assert(g.engineStep(t.Context()), qt.Equals, stepRetry)
			c.Check(g.budget(g.service).Left(g.Now()), qt.Equals, before)
			c.Check(permits[prefillEngine], qt.Equals, 0)
			c.Check(permits[decodeEngine], qt.Equals, 0)
			c.Check(failed, qt.Equals, test.failed)
			c.Check(g.Balancer.Ejected(g.Now()), qt.HasLen, test.ejected)
		})
	}
}

// A run that broke off because this instance's own link was lost is not held against the engine:
// it is neither ejected nor reported to its planner, as one that breaks off by itself is.
func TestOwnLinkLostDuringRun(t *testing.T) {
	tests := []struct {
		name                  string
		linkLost, throughPeer bool
		failed                string
	}{
		{"engine fails", false, false, decodeEngine},
		{"own link is lost", true, false, ""},
		{"engine fails behind a peer", true, true, decodeEngine},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			g.LinkLost = func(string) bool { return test.linkLost }
			g.CheckProcess = func(context.Context, *directory.Endpoint) dialer.Verdict { return dialer.Running }
			for range 8 { // enough for an ejection
				r := g.Balancer.ReserveAt(g.Now(), g.view.Find(decodeEngine))
				g.throughPeer = test.throughPeer
				g.failedEngine = ""
				g.beginSend(r.Endpoint.ID)
				g.sendFailed(t.Context(), r, uplink.ErrNoResponse)
				g.recordFailedEngine(decodeEngine)
				c.Check(g.failedEngine, qt.Equals, test.failed)
			}
			ejected := 1
			if test.failed == "" {
				ejected = 0
			}
			c.Check(g.Balancer.Ejected(g.Now()), qt.HasLen, ejected)
		})
	}
}
