package forward

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/residency"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// leave has an engine of the request's directory drain, or its entry removed.
func (g *engineRequest) leave(id string, removed bool) {
	e := *g.Directory.View().Find(id)
	e.Revision, e.State = 100, directory.Draining
	if removed {
		g.Directory.Apply(g.Now(), directory.Removed{Entry: id, Revision: 100})
		return
	}
	g.Directory.Apply(g.Now(), directory.Seen{Endpoint: e})
}

// A request that waited between the choice of an engine and the send was sent to an engine that had begun to leave
// meanwhile, and its stream was lost with that engine. Nothing may be used up by a send that is not made.
func TestEngineThatLeavesDuringWaitGetsNoRequest(t *testing.T) {
	tests := []struct {
		name    string
		wait    string // for which the request waits as the engine begins to leave
		engine  string
		removed bool
		handle  bool // the prompt has been read
	}{
		{"for a place, decode engine drains", "place", decodeEngine, false, false},
		{"for a place, decode engine is removed", "place", decodeEngine, true, false},
		{"for a place, prefill engine drains", "place", prefillEngine, false, false},
		{"for a place, with a KV cache", "place", decodeEngine, false, true},
		{"for a permit, decode engine drains", decodeEngine, decodeEngine, false, false},
		{"for a permit, prefill engine is removed", prefillEngine, prefillEngine, true, false},
		{"for a permit, with a KV cache", decodeEngine, decodeEngine, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			var connected []string
			g.Pool.Connect = func(_ context.Context, m uplink.Message) (uplink.Path, error) {
				connected = append(connected, m.EndpointID)
				return uplink.Path{}, uplink.ErrOwnLinks
			}
			permits := map[string]int{}
			g.Permits.Take = func(_ context.Context, endpoint string, _ int) time.Duration {
				permits[endpoint]++
				if test.wait == endpoint && len(g.requested) == 1 {
					g.leave(test.engine, test.removed)
				}
				return 0
			}
			g.Permits.Return = func(endpoint string) { permits[endpoint]-- }
			find := g.FindPlace
			g.FindPlace = func(ctx context.Context, req placement.Request, area residency.Area) (*broker.Place, *placement.Refusal) {
				if test.wait == "place" && len(g.requested) == 0 {
					g.leave(test.engine, test.removed)
				}
				return find(ctx, req, area)
			}
			if test.handle {
				g.prefill.handle, g.prefill.finishedAt = &KVHandle{EndpointID: prefillEngine, ID: "k"}, g.Now()
			}
			before := g.budget(g.service).Left(g.Now())
			c.Assert(g.engineStep(t.Context()), qt.Equals, stepRetry)
			c.Check(slices.Contains(connected, test.engine), qt.IsFalse, qt.Commentf("%v", connected))
			c.Check(test.wait == "place" && len(connected) > 0, qt.IsFalse) // no prompt is read for nothing
			c.Check(permits[decodeEngine], qt.Equals, 0)
			c.Check(permits[prefillEngine], qt.Equals, 0)
			c.Check(g.budget(g.service).Left(g.Now()), qt.Equals, before)
			c.Check(g.prefill.handle != nil, qt.Equals, test.handle) // offered to another engine
		})
	}
}

// The same for an endpoint of a plain service that leaves while a permit for it is requested: another one is chosen.
func TestPlainEndpointThatLeavesDuringPermitIsPassedOver(t *testing.T) {
	c := qt.New(t)
	g := newEngineRequest(t)
	for n, id := range []string{"w1", "w2"} {
		g.Directory.Apply(g.Now(), directory.Seen{Endpoint: directory.Endpoint{
			ID: id, Entry: id, Service: "web", Zone: "a", Slots: 8, Revision: int64(10 + n), Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}})
	}
	taken := map[string]int{}
	g.Permits.Take = func(_ context.Context, endpoint string, _ int) time.Duration {
		if len(taken) == 0 {
			g.leave(endpoint, false)
		}
		taken[endpoint]++
		return 0
	}
	g.Permits.Return = func(endpoint string) { taken[endpoint]-- }
	r := g.reserve(t.Context(), &balance.Request{Service: "web", Stage: directory.Decode}, 1)
	c.Assert(r, qt.IsNotNil)
	c.Check(g.Directory.View().Find(r.Endpoint.ID).State, qt.Equals, directory.Ready)
	c.Check(taken, qt.HasLen, 2)
	for id, n := range taken {
		c.Check(n == 1, qt.Equals, id == r.Endpoint.ID)
	}
	r.Done(clock.Millis(0), balance.Canceled)
}
