package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/notice"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/staging"
	"github.com/trailshed/trailshed/internal/throttle"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Load reports and orders do not serve a request, so an engine that asked to back off,
// whose limit is exhausted or whose zone is evacuated gets neither.
func TestAvoidedEngines(t *testing.T) {
	engine := directory.Endpoint{ID: "e1", Service: "llm", Zone: "b", Stage: directory.Decode, Revision: 1}
	tests := []struct {
		name    string
		avoided bool
		setup   func(g *Gateway)
	}{
		{"no notice", false, func(*Gateway) {}},
		{"it asked to back off", true, func(g *Gateway) { g.balancer.BackOff(g.now(), engine.ID, time.Second) }},
		{"its limit is exhausted", true, func(g *Gateway) { g.throttle.ObserveLimit(engine.ID, 0) }},
		{"another engine's limit is exhausted", false, func(g *Gateway) { g.throttle.ObserveLimit("e2", 0) }},
		{"its zone is evacuated", true, func(g *Gateway) {
			g.directory.Apply(0, directory.Evacuation{Zone: engine.Zone, Revision: 2})
		}},
		{"another zone is evacuated", false, func(g *Gateway) {
			g.directory.Apply(0, directory.Evacuation{Zone: "a", Revision: 2})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := func() clock.Millis { return 1000 }
			log := eventlog.Open(io.Discard, "n1")
			t.Cleanup(func() { c.Check(log.Close(), qt.IsNil) })
			calls := 0
			g := &Gateway{
				now: now, directory: directory.New(), balancer: balance.New("a", nil), log: log,
				platform: Platform{Load: func(context.Context, *http.Client, directory.Endpoint, func(notice.Notice)) (placement.LoadReport, error) {
					calls++
					return placement.LoadReport{}, nil
				}},
			}
			g.throttle = throttle.New(throttle.Options{
				Name: "n1", Zone: "a", Roster: roster.New(now), Log: log, Scope: tally.NoopScope, Now: now,
				ZoneOf: g.zoneOf, StoreUnreachable: func() bool { return false },
			})
			g.staging = &staging.Runner{Avoid: g.avoids}
			g.directory.Apply(0, directory.Seen{Endpoint: engine})
			test.setup(g)
			c.Check(g.staging.Avoid(t.Context(), &engine), qt.Equals, test.avoided)
			_, err := g.fetchLoad(t.Context(), engine)
			c.Check(err != nil, qt.Equals, test.avoided)
			c.Check(calls == 0, qt.Equals, test.avoided)
		})
	}
}
