package forward

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/residency"
	"github.com/trailshed/trailshed/internal/route"
)

// Requests for a place, also those beside a silent attempt, carry the workspace and its priority, or else
// the route's.
func TestPlaceRequestsCarryPriority(t *testing.T) {
	tests := []struct {
		name      string
		workspace *route.Workspace
		rank      placement.Rank
	}{
		{"no workspace", nil, placement.RankOf(2)},
		{"a workspace without a priority", &route.Workspace{Name: "w"}, placement.RankOf(2)},
		{"a workspace with a priority", &route.Workspace{Name: "w", Ranked: true}, placement.RankOf(0)},
		{"a priority out of range", &route.Workspace{Name: "w", Ranked: true, Priority: 1000}, placement.RankOf(9)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			g.route.Priority, g.workspace = 2, test.workspace
			g.findPlace(t.Context())
			g.startBeside(t).findPlace(t.Context())
			c.Assert(g.requested, qt.HasLen, 2)
			for _, req := range g.requested {
				c.Check(req.Rank, qt.Equals, test.rank)
				c.Check(req.RouteRank, qt.Equals, placement.RankOf(2))
				c.Check(req.Workspace, qt.Equals, g.workspaceName())
			}
		})
	}
}

// The line of a refused request has its priority and the workspace's share of the engines.
func TestRefusedLineHasShare(t *testing.T) {
	c := qt.New(t)
	g := newEngineRequest(t)
	var out bytes.Buffer
	log := eventlog.Open(&out, "n1")
	g.requestLog, g.w = log.NewRequestLog(), newTimeoutWriter(httptest.NewRecorder(), time.Minute)
	g.route.Priority, g.workspace = 2, &route.Workspace{Name: "w"}
	g.FindPlace = func(context.Context, placement.Request, residency.Area) (*broker.Place, *placement.Refusal) {
		return nil, &placement.Refusal{Reason: placement.ReasonFull, RetryAfter: time.Second, SharePercent: 140}
	}
	c.Assert(g.engineStep(t.Context()), qt.Equals, stepGiveUp)
	g.giveUp()
	c.Assert(log.Close(), qt.IsNil)
	for _, part := range []string{`"event":"refused"`, `"workspace":"w"`, `"priority":2`, `"share_percent":140`} {
		c.Check(strings.Contains(out.String(), part), qt.IsTrue, qt.Commentf("%s", out.String()))
	}
}
