package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/sharegate"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// plainRequest is a request to a plain service with two endpoints, e0 and e1, which cannot
// be reached.
type plainRequest struct {
	*proxyRequest
	response *httptest.ResponseRecorder
	decision sharegate.Decision
	queued   []string // endpoints with a queue
	asked    int      // calls of Shares.Admit
	credited float64  // units
	recorded []time.Duration
}

func newPlainRequest(t *testing.T) *plainRequest {
	t.Helper()
	c := qt.New(t)
	now := clock.System()
	workspace := route.Workspace{Name: "w", Limit: route.Limit{Rate: 10}}
	table, err := route.NewTable(route.Document{
		Version: 1, Keyed: true, Workspaces: []route.Workspace{workspace}, Services: []route.Service{{Name: "plain"}, {Name: "llm", Engine: &route.Engine{Slots: 8}}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: route.Idempotent, Attempts: 2, Timeout: time.Minute, Target: time.Second, Shares: []route.Share{{Service: "plain", Weight: 1}}}},
	})
	c.Assert(err, qt.IsNil)
	d := directory.New()
	d.Apply(now(), directory.Configured{Table: table, Revision: 1})
	for n, id := range []string{"e0", "e1"} {
		d.Apply(now(), directory.Seen{Endpoint: directory.Endpoint{ID: id, Entry: id, Service: "plain", Zone: "a", Slots: 6, Revision: int64(n + 2), Address: netip.MustParseAddrPort("127.0.0.1:1")}})
	}
	log := eventlog.Open(io.Discard, "n1")
	t.Cleanup(func() { c.Check(log.Close(), qt.IsNil) })
	pool := uplink.NewPool(tally.NoopScope, now)
	pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, errors.New("unreachable") }
	g := &plainRequest{response: httptest.NewRecorder()}
	f := New(Options{
		Directory: d, Balancer: balance.New("a", nil), Pool: pool, Log: log, Scope: tally.NoopScope, Now: now, WriteTimeout: time.Minute,
		Limits: Limiter{Credit: func(_ *route.Workspace, units float64) { g.credited += units }},
		Permits: Permits{
			Take:     func(context.Context, string, int) time.Duration { return 0 },
			Return:   func(string) {},
			Withheld: func(int) map[string]time.Duration { return nil },
		},
		Shares: Shares{
			Admit: func(string, string, int) sharegate.Decision {
				g.asked++
				return g.decision
			},
			Queued:       func(string) []string { return g.queued },
			RecordAnswer: func(_, _ string, _ balance.Load, took time.Duration) { g.recorded = append(g.recorded, took) },
		},
	})
	match, ok := table.Match("h", "/x")
	c.Assert(ok, qt.IsTrue)
	g.proxyRequest = &proxyRequest{
		Forwarder: f, w: newTimeoutWriter(g.response, time.Minute), arrived: now(), progress: progress{view: d.View(), placeLimit: maxPlaceRequests}, requestLog: log.NewRequestLog(), route: match, service: "plain",
		workspace: &workspace, deadline: now().Add(time.Minute), call: Call{ID: "r1"}, record: &attempts.Record{},
	}
	return g
}

// A request beyond its workspace's share is refused as not run, with when to return, and
// does not count against the limit.
func TestRefusedBeyondShare(t *testing.T) {
	c := qt.New(t)
	g := newPlainRequest(t)
	g.chargedUnits = 1
	g.decision = sharegate.Decision{Excess: true, RetryAfter: 700 * time.Millisecond}
	c.Assert(g.takeShare(), qt.IsFalse)
	c.Check(g.response.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(g.response.Header().Get("Retry-After"), qt.Equals, "0.700")
	c.Check(g.response.Body.String(), qt.Equals, "not run: share_used_up\n")
	c.Check(g.credited, qt.Equals, 1.0)
}

// Requests to engines, and streams that have begun, take no share.
func TestRequestsWithoutShare(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(g *plainRequest)
		asked   int
	}{
		{"plain", func(*plainRequest) {}, 1},
		{"engines", func(g *plainRequest) { g.service = "llm" }, 0},
		{"a stream that has begun", func(g *plainRequest) {
			g.route = &route.Route{Kind: route.Streaming, Resumable: true}
			g.call.LastEventID = "1"
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newPlainRequest(t)
			g.decision = sharegate.Decision{Admitted: true}
			test.prepare(g)
			qt.Check(t, g.takeShare(), qt.IsTrue)
			qt.Check(t, g.asked, qt.Equals, test.asked)
		})
	}
}

// A request of a workspace beyond its share uses only endpoints without a queue, and is
// refused if there are none. Others use any endpoint, and so does a request that was sent
// before.
func TestQueuedEndpointsAreAvoided(t *testing.T) {
	excess := sharegate.Decision{Admitted: true, Excess: true, RetryAfter: time.Second}
	tests := []struct {
		name     string
		decision sharegate.Decision
		queued   []string
		sends    int
		refused  bool
	}{
		{"within its share", sharegate.Decision{Admitted: true}, []string{"e0", "e1"}, 0, false},
		{"no queue", excess, nil, 0, false},
		{"one queue", excess, []string{"e0"}, 0, false},
		{"queues everywhere", excess, []string{"e0", "e1"}, 0, true},
		{"sent before", excess, []string{"e0", "e1"}, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newPlainRequest(t)
			g.decision, g.queued = test.decision, test.queued
			c.Assert(g.takeShare(), qt.IsTrue)
			g.sends = test.sends
			criteria := g.endpointCriteria()
			criteria.Exclude = append(criteria.Exclude, g.avoidedEndpoints()...)
			r := g.reserve(t.Context(), &criteria, 0)
			c.Assert(r == nil, qt.Equals, test.refused)
			if r != nil && len(test.queued) == 1 {
				c.Assert(r.Endpoint.ID, qt.Equals, "e1")
			}
			if test.refused {
				c.Assert(g.plainStep(t.Context()), qt.Equals, stepAnswered)
				c.Assert(g.response.Header().Get("Retry-After"), qt.Equals, "1.000")
				c.Assert(g.response.Body.String(), qt.Equals, "not run: share_used_up\n")
			}
		})
	}
}

// An answer that says that the request did not run, and the head of a stream, state the
// load but not how long a request takes.
func TestLoadIsRecorded(t *testing.T) {
	c := qt.New(t)
	g := newPlainRequest(t)
	e := g.view.Find("e0")
	g.sentAt = g.Now().Add(-time.Second)
	g.recordLoad(e, ResponseHead{NotRun: true})
	g.recordLoad(e, ResponseHead{Streamed: true})
	g.recordLoad(e, ResponseHead{})
	c.Assert(g.recorded, qt.HasLen, 3)
	c.Check(g.recorded[0]+g.recorded[1], qt.Equals, time.Duration(0))
	c.Check(g.recorded[2] >= time.Second, qt.IsTrue)
	g.service = "llm"
	g.recordLoad(e, ResponseHead{})
	c.Check(g.recorded, qt.HasLen, 3)
}
