package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/residency"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/streams"
	"github.com/trailshed/trailshed/internal/suspects"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// The engines of these tests, and how long they back off.
const (
	prefillEngine = "p1"
	decodeEngine  = "d1"
	// backoffTime is longer than any test.
	backoffTime = time.Hour
)

// engineRequest is a request to model engines that records what was done for it.
type engineRequest struct {
	*proxyRequest
	dials    atomic.Int64 // to endpoints, none of which is reachable
	withheld map[string]time.Duration
	// unconfirmed is why no version may begin a stream; nil if each may.
	unconfirmed error
	requested   []placement.Request // for places
	ctx         context.Context     //nolint:containedctx // of the test
}

func newEngineRequest(t *testing.T) *engineRequest {
	t.Helper()
	c := qt.New(t)
	g := &engineRequest{withheld: map[string]time.Duration{}}
	now := clock.System()
	table, err := route.NewTable(route.Document{
		Version: 1,
		Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: route.Streaming, Resumable: true, Timeout: time.Minute, Target: time.Second,
			GapTarget: time.Second, Attempts: 3, Shares: []route.Share{{Service: "llm", Weight: 1}},
		}},
		Services: []route.Service{{Name: "llm", Engine: &route.Engine{Slots: 8, KVTokens: 10_000, HandleLife: time.Second}}},
	})
	c.Assert(err, qt.IsNil)
	d := directory.New()
	d.Apply(now(), directory.Configured{Table: table, Revision: 1})
	for n, e := range []directory.Endpoint{{ID: prefillEngine, Stage: directory.Prefill}, {ID: decodeEngine, Stage: directory.Decode}} {
		e.Entry, e.Service, e.Zone, e.Slots, e.Revision = e.ID, "llm", "a", 8, int64(n+2)
		e.Address = netip.MustParseAddrPort("127.0.0.1:1")
		d.Apply(now(), directory.Seen{Endpoint: e})
	}
	pool := uplink.NewPool(tally.NoopScope, now)
	pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		g.dials.Add(1)
		return nil, errors.New("unreachable")
	}
	log := eventlog.Open(io.Discard, "n1")
	t.Cleanup(func() { c.Check(log.Close(), qt.IsNil) })
	f := New(Options{
		Directory: d, Balancer: balance.New("a", nil), Pool: pool, Log: log, Scope: tally.NoopScope, Now: now, WriteTimeout: time.Minute,
		Codec: Codec{
			FreeRequest:  func(KVHandle) (string, string) { return "DELETE", "/handle" },
			EncodeHeader: func(Call, Send) http.Header { return nil },
		},
		Permits: Permits{
			Take:          func(_ context.Context, endpoint string, _ int) time.Duration { return g.withheld[endpoint] },
			Return:        func(string) {},
			Withheld:      func(int) map[string]time.Duration { return g.withheld },
			ReportNoLimit: func(string, clock.Millis) {},
		},
		FindPlace: func(_ context.Context, req placement.Request, _ residency.Area) (*broker.Place, *placement.Refusal) {
			g.requested = append(g.requested, req)
			return &broker.Place{Grant: placement.Grant{Decode: decodeEngine, Prefill: prefillEngine}, Zone: "a"}, nil
		},
		Streams: Streams{
			Begin:     func(streams.Stream, streams.Origin, time.Duration) {},
			Confirm:   func(context.Context, string, string, ...route.Bucket) error { return g.unconfirmed },
			Confirmed: func(string) []string { return nil },
			Find: func(context.Context, streams.Stream, string) streams.Finding {
				return streams.Finding{Outcome: streams.Unknown}
			},
		},
		Suspects:     suspects.New(suspects.Options{Scope: tally.NoopScope, Now: now}),
		ReleasePlace: func(*broker.Place, string, string, *placement.Observation) {},
	})
	match, ok := table.Match("h", "/x")
	c.Assert(ok, qt.IsTrue)
	g.proxyRequest = &proxyRequest{
		Forwarder: f, arrived: now(), progress: progress{view: d.View(), placeLimit: maxPlaceRequests}, requestLog: log.NewRequestLog(), route: match, service: "llm",
		deadline: now().Add(time.Minute), call: Call{ID: "r1", PromptTokens: 100, MaxOutputTokens: 10}, record: &attempts.Record{},
	}
	return g
}

// beginSilent records a send to such an engine as the request's first.
func (g *engineRequest) beginSilent() {
	g.beginSend("silent")
	g.sends++
}

// watch returns the silence watch of an attempt at an engine that is none of the known ones.
func (g *engineRequest) watch(t *testing.T) *silenceWatch {
	s := g.watchSilence(t.Context(), func() {}, &directory.Endpoint{ID: "silent"})
	t.Cleanup(func() { s.stop() })
	return s
}

// startBeside returns the request of an attempt beside one at such an engine.
func (g *engineRequest) startBeside(t *testing.T) *proxyRequest {
	s := g.watch(t)
	return s.start(s).request
}

// Conditions in which an engine accepts no requests.
var unavailable = []struct {
	name            string
	makeUnavailable func(g *engineRequest, engine string)
}{
	{"backing off", func(g *engineRequest, engine string) { g.Balancer.BackOff(g.Now(), engine, backoffTime) }},
	{"no permit left", func(g *engineRequest, engine string) { g.withheld[engine] = backoffTime }},
}

// A place is given back without any send if either of its engines accepts no requests, and
// the next request for a place excludes that engine.
func TestPlacesAtUnavailableEngines(t *testing.T) {
	for _, test := range unavailable {
		for _, engine := range []string{prefillEngine, decodeEngine} {
			t.Run(engine+", "+test.name, func(t *testing.T) {
				c := qt.New(t)
				g := newEngineRequest(t)
				test.makeUnavailable(g, engine)
				c.Assert(g.engineStep(t.Context()), qt.Equals, stepRetry)
				c.Assert(g.dials.Load(), qt.Equals, int64(0))
				c.Assert(g.sends+g.prefill.sends, qt.Equals, 0)
				g.engineStep(t.Context())
				c.Assert(g.requested, qt.HasLen, 2)
				c.Assert(g.requested[1].Exclude, qt.Contains, engine)
			})
		}
	}
}

// An attempt beside a silent one excludes the engines that back
// off, have no permit or leave at that moment, not only those known when the silent one began.
func TestAlternativesExcludeUnavailableEngines(t *testing.T) {
	leaves := func(g *engineRequest, engine string) { g.Directory.Apply(g.Now(), directory.Leaving{ID: engine}) }
	for _, test := range append(unavailable, struct {
		name            string
		makeUnavailable func(*engineRequest, string)
	}{"leaving", leaves}) {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			s := g.watch(t)
			test.makeUnavailable(g, decodeEngine)
			s.start(s).request.findPlace(t.Context())
			c.Assert(g.requested, qt.HasLen, 1)
			c.Assert(g.requested[0].Exclude, qt.Contains, decodeEngine)
		})
	}
}

// The silence watch starts a successor while the first event may be on its way to the
// caller. Under the race detector this fails if both use the request without care.
func TestFindingAlternativesWhileStreamBegins(t *testing.T) {
	g := newEngineRequest(t)
	g.w = newTimeoutWriter(httptest.NewRecorder(), time.Minute)
	g.Codec.CallerHeader = func(h http.Header) http.Header { return h }
	s := g.watch(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.start(s).request.findPlace(t.Context())
	}()
	g.writeEvent(&uplink.Exchange{Response: &http.Response{StatusCode: http.StatusOK}}, []byte("data: 1\n\n"))
	<-done
}

// A KV cache at an engine that accepts no requests is not freed but left to expire.
func TestNoFreeingAtUnavailableEngines(t *testing.T) {
	for _, test := range unavailable {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			test.makeUnavailable(g, prefillEngine)
			g.prefill.handle = &KVHandle{Address: netip.MustParseAddrPort("127.0.0.1:1"), EndpointID: prefillEngine, ID: "k"}
			g.freeHandle()
			time.Sleep(50 * time.Millisecond) // freeing runs in its own goroutine
			c.Assert(g.dials.Load(), qt.Equals, int64(0))
			g.prefill.handle = &KVHandle{Address: netip.MustParseAddrPort("127.0.0.1:1"), EndpointID: decodeEngine, ID: "k"}
			g.freeHandle()
			for deadline := time.Now().Add(20 * time.Second); g.dials.Load() == 0; time.Sleep(time.Millisecond) {
				c.Assert(time.Now().Before(deadline), qt.IsTrue)
			}
		})
	}
}

// A stream that has begun waits for a permit, at its engine or its planner, as long as the
// caller tolerates a gap between events. A request that has not begun is sent elsewhere.
func TestStreamsWaitForPermits(t *testing.T) {
	const short, long = 30 * time.Millisecond, 10 * time.Second
	tests := []struct {
		name  string
		begun bool
		wait  time.Duration
		takes int // calls of Permits.Take
	}{
		{"begun", true, short, 2},
		{"begun, and the wait would be too long", true, long, 1},
		{"not begun", false, short, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			g.headSent.Store(test.begun)
			takes, gotPriority := 0, 0
			g.Permits.Take = func(_ context.Context, _ string, priority int) time.Duration {
				takes, gotPriority = takes+1, priority
				return test.wait
			}
			c.Assert(g.engineStep(t.Context()), qt.Equals, stepRetry)
			c.Check(takes, qt.Equals, test.takes)
			c.Check(gotPriority < 0, qt.Equals, test.begun)
			g.FindPlace = func(context.Context, placement.Request, residency.Area) (*broker.Place, *placement.Refusal) {
				return nil, &placement.Refusal{Reason: placement.ReasonLimited, RetryAfter: test.wait}
			}
			want := stepGiveUp
			if test.begun && test.wait == short {
				want = stepRetry
			}
			c.Check(g.engineStep(t.Context()), qt.Equals, want)
		})
	}
}

// A prompt is not sent to an engine that began to back off after the place was found.
func TestNoPrefillAtUnavailableEngines(t *testing.T) {
	c := qt.New(t)
	g := newEngineRequest(t)
	g.place = &broker.Place{Grant: placement.Grant{Decode: decodeEngine, Prefill: prefillEngine}}
	g.Balancer.BackOff(g.Now(), prefillEngine, backoffTime)
	c.Assert(g.runPrefill(t.Context(), prefillEngine), qt.IsFalse)
	c.Assert(g.dials.Load(), qt.Equals, int64(0))
	c.Assert(g.fullEngine, qt.Equals, prefillEngine)
}
