package staging

import (
	"context"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/leadership"
)

// An engine that must be avoided gets no order, and its change is not announced.
func TestNoOrdersToAvoidedEngines(t *testing.T) {
	for _, avoided := range []bool{true, false} {
		c := qt.New(t)
		sent, announced := 0, 0
		log := eventlog.Open(io.Discard, "n1")
		r := &Runner{
			Leadership: &leadership.Leadership{Name: "n1"}, Log: log, Scope: tally.NoopScope,
			Avoid:         func(context.Context, *directory.Endpoint) bool { return avoided },
			StageChanging: func(Order) { announced++ },
			Send:          func(context.Context, Order, string, int64) error { sent++; return nil },
		}
		o := Order{Endpoint: &directory.Endpoint{ID: "p1"}, Stage: directory.Decode}
		p := NewPolicy()
		p.pending["p1"] = pendingOrder{stage: directory.Decode, until: 1_000_000}
		r.send(t.Context(), p, []Order{o}, 1)
		want := 1
		if avoided {
			want = 0
		}
		c.Check(sent, qt.Equals, want)
		c.Check(announced, qt.Equals, want)
		c.Check(p.pending, qt.HasLen, want)
		c.Check(log.Close(), qt.IsNil)
	}
}
