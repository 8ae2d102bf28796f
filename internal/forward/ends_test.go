package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/sharegate"
)

// Lines blamed the caller, a stream's version or a workspace's share for requests that had ended otherwise: with the
// instance, or because their callers had left.
func TestLastLineNamesTheCause(t *testing.T) {
	const body = 10
	read := func(err error, ended bool) func(g *engineRequest) {
		return func(g *engineRequest) {
			g.stopping.ended.Store(ended)
			g.view.Table.Limits.BodyBytes = 2 * body
			g.BodyMemory = body
			r := httptest.NewRequest(http.MethodPost, "/x", io.MultiReader(strings.NewReader("begun"), failingReader{err}))
			r.ContentLength = body
			defer func() { _ = recover() }() // http.ErrAbortHandler
			g.readBody(r)
		}
	}
	takeUp := func(cause error) func(g *engineRequest) {
		return func(g *engineRequest) {
			g.call.LastEventID = "e1"
			ctx, cancel := context.WithCancelCause(g.ctx)
			cancel(cause)
			qt.Check(t, g.findVersion(ctx), qt.IsFalse)
		}
	}
	choose := func(cause error) func(g *engineRequest) {
		return func(g *engineRequest) {
			g.share = sharegate.Decision{Excess: true}
			g.Shares.Queued = func(string) []string { return []string{decodeEngine} }
			ctx, cancel := context.WithCancelCause(g.ctx)
			cancel(cause)
			if g.plainStep(ctx) != stepAnswered {
				g.contextEnded(ctx)
			}
		}
	}
	tests := []struct {
		name   string
		end    func(g *engineRequest)
		event  eventlog.Event
		reason string
	}{
		{"the caller leaves inside its body", read(io.ErrUnexpectedEOF, false), eventlog.Cancelled, "body_unfinished"},
		{"the body is not complete in time", read(os.ErrDeadlineExceeded, false), eventlog.Refused, "body_unfinished"},
		{"the body is not complete when the instance ends", read(os.ErrDeadlineExceeded, true), eventlog.Refused, "stopping"},
		{"the instance closes the connection inside a body", read(net.ErrClosed, true), eventlog.Cancelled, "stopping"},
		{"the caller leaves while its stream's version is looked for", takeUp(context.Canceled), eventlog.Cancelled, "caller_left"},
		{"the instance ends meanwhile", takeUp(errStops), eventlog.Refused, "stopping"},
		{"the caller leaves while an endpoint is chosen", choose(context.Canceled), eventlog.Cancelled, "caller_left"},
		{"the instance ends meanwhile, beyond a share", choose(errStops), eventlog.Refused, "stopping"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			g.ctx = t.Context()
			var lines strings.Builder
			log := eventlog.Open(&lines, "n1")
			g.requestLog, g.w = log.NewRequestLog(), newTimeoutWriter(httptest.NewRecorder(), time.Minute)
			test.end(g)
			c.Assert(log.Close(), qt.IsNil)
			c.Check(lines.String(), qt.Contains, fmt.Sprintf(`"event":%q`, test.event))
			c.Check(lines.String(), qt.Contains, fmt.Sprintf(`"reason":%q`, test.reason))
		})
	}
}

// failingReader fails each read.
type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }
