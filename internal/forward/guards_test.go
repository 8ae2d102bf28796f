package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/residency"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/suspects"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// The engines of these tests: one reads prompts, one decodes.
const (
	reader  = "p1"
	decoder = "d1"
	// restLength outlasts a test.
	restLength = time.Hour
)

// guarded is a request to engines, and what was done for it.
type guarded struct {
	*passage
	dials    atomic.Int64 // to endpoints, none of which answers
	withheld map[string]time.Duration
	asked    []placement.Ask
}

func newGuarded(t *testing.T) *guarded {
	t.Helper()
	c := qt.New(t)
	g := &guarded{withheld: map[string]time.Duration{}}
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
	for n, e := range []directory.Endpoint{{ID: reader, Stage: directory.Prefill}, {ID: decoder, Stage: directory.Decode}} {
		e.Entry, e.Service, e.Zone, e.Slots, e.Revision = e.ID, "llm", "a", 8, int64(n+2)
		e.Address = netip.MustParseAddrPort("127.0.0.1:1")
		d.Apply(now(), directory.Seen{Endpoint: e})
	}
	pool := uplink.NewPool(tally.NoopScope, now)
	pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		g.dials.Add(1)
		return nil, errors.New("nobody is there")
	}
	log := eventlog.Open(io.Discard, "n1")
	t.Cleanup(func() { c.Check(log.Close(), qt.IsNil) })
	f := New(Options{
		Directory: d, Balancer: balance.New("a", nil), Pool: pool, Log: log, Scope: tally.NoopScope, Now: now, Stall: time.Minute,
		Dialect: Dialect{Free: func(Handle) (string, string) { return "DELETE", "/handle" }},
		Permits: Permits{
			Take:     func(_ context.Context, endpoint string, _ int) time.Duration { return g.withheld[endpoint] },
			Return:   func(string) {},
			Withheld: func(int) map[string]time.Duration { return g.withheld },
			Unnamed:  func(string, clock.Millis) {},
		},
		FindPlace: func(_ context.Context, a placement.Ask, _ residency.Area) (*broker.Place, *placement.Refusal) {
			g.asked = append(g.asked, a)
			return &broker.Place{Grant: placement.Grant{Decode: decoder, Prefill: reader}, Zone: "a"}, nil
		},
		Suspects:     suspects.New(suspects.Options{Scope: tally.NoopScope, Now: now}),
		ReleasePlace: func(*broker.Place, string, string, *placement.Seen) {},
	})
	match, ok := table.Match("h", "/x")
	c.Assert(ok, qt.IsTrue)
	g.passage = &passage{
		Forwarder: f, arrived: now(), view: d.View(), trail: log.Trail(), route: match, service: "llm",
		limit: now().Add(time.Minute), call: Call{ID: "r1", Prompt: 100, Output: 10},
	}
	return g
}

// Ways in which an engine takes nothing now.
var shut = []struct {
	name string
	shut func(g *guarded, engine string)
}{
	{"it rests", func(g *guarded, engine string) { g.Balancer.Rest(g.Now(), engine, restLength) }},
	{"its limit has no room", func(g *guarded, engine string) { g.withheld[engine] = restLength }},
}

// A place at an engine that takes nothing now is given back, whichever of the two it is:
// nothing is sent, and the next ask names the engine.
func TestPlacesAtShutEngines(t *testing.T) {
	for _, test := range shut {
		for _, engine := range []string{reader, decoder} {
			t.Run(engine+", "+test.name, func(t *testing.T) {
				c := qt.New(t)
				g := newGuarded(t)
				test.shut(g, engine)
				c.Assert(g.engineStep(t.Context()), qt.Equals, again)
				c.Assert(g.dials.Load(), qt.Equals, int64(0))
				c.Assert(g.sends+g.prefill.sends, qt.Equals, 0)
				g.engineStep(t.Context())
				c.Assert(g.asked, qt.HasLen, 2)
				c.Assert(g.asked[1].Exclude, qt.Contains, engine)
			})
		}
	}
}

// A request that goes on after a silence asks for no engine that takes nothing now, or
// leaves, as of that moment.
func TestMovesToShutEngines(t *testing.T) {
	leaves := func(g *guarded, engine string) { g.Directory.Apply(g.Now(), directory.Leaving{ID: engine}) }
	for _, test := range append(shut, struct {
		name string
		shut func(*guarded, string)
	}{"it leaves", leaves}) {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newGuarded(t)
			find := g.findEngines(t.Context(), nil)
			test.shut(g, decoder)
			find()
			c.Assert(g.asked, qt.HasLen, 1)
			c.Assert(g.asked[0].Exclude, qt.Contains, decoder)
		})
	}
}

// The KV cache at an engine that takes nothing now is left to lapse.
func TestFreeingAtShutEngines(t *testing.T) {
	for _, test := range shut {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newGuarded(t)
			test.shut(g, reader)
			g.prefill.handle = &Handle{At: netip.MustParseAddrPort("127.0.0.1:1"), Life: reader, ID: "k"}
			g.freeHandle()
			time.Sleep(50 * time.Millisecond) // it would be freed beside this
			c.Assert(g.dials.Load(), qt.Equals, int64(0))
			g.prefill.handle = &Handle{At: netip.MustParseAddrPort("127.0.0.1:1"), Life: decoder, ID: "k"}
			g.freeHandle()
			for deadline := time.Now().Add(20 * time.Second); g.dials.Load() == 0; time.Sleep(time.Millisecond) {
				c.Assert(time.Now().Before(deadline), qt.IsTrue)
			}
		})
	}
}

// A stream that has begun waits for a permit, at its engine or at its planner, for as long
// as its caller waits for the next event; a request that has not begun goes elsewhere.
func TestStreamsWaitForPermits(t *testing.T) {
	const short, long = 30 * time.Millisecond, 10 * time.Second
	tests := []struct {
		name   string
		begun  bool
		denied time.Duration
		asks   int // for a permit of the decode engine
	}{
		{"it has begun", true, short, 2},
		{"it has begun, and would wait too long", true, long, 1},
		{"it has not begun", false, short, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newGuarded(t)
			g.headSent = test.begun
			asks, urgency := 0, 0
			g.Permits.Take = func(_ context.Context, _ string, priority int) time.Duration {
				asks, urgency = asks+1, priority
				return test.denied
			}
			c.Assert(g.engineStep(t.Context()), qt.Equals, again)
			c.Check(asks, qt.Equals, test.asks)
			c.Check(urgency < 0, qt.Equals, test.begun)
			g.FindPlace = func(context.Context, placement.Ask, residency.Area) (*broker.Place, *placement.Refusal) {
				return nil, &placement.Refusal{Reason: placement.ReasonLimited, After: test.denied}
			}
			want := hopeless
			if test.begun && test.denied == short {
				want = again
			}
			c.Check(g.engineStep(t.Context()), qt.Equals, want)
		})
	}
}

// A prompt is not sent to an engine that has come to want none since its place was found.
func TestReadingAtShutEngines(t *testing.T) {
	c := qt.New(t)
	g := newGuarded(t)
	g.place = &broker.Place{Grant: placement.Grant{Decode: decoder, Prefill: reader}}
	g.Balancer.Rest(g.Now(), reader, restLength)
	c.Assert(g.readPrompt(t.Context(), reader), qt.IsFalse)
	c.Assert(g.dials.Load(), qt.Equals, int64(0))
	c.Assert(g.full, qt.Equals, reader)
}
