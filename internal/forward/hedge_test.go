package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/budget"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/residency"
)

// runSuccessor starts a successor. The channel is closed when it has ended.
func runSuccessor(s *silenceWatch) <-chan struct{} {
	done := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.start(s)
	s.starts++
	s.successors = append(s.successors, x)
	go func() {
		s.run(x)
		close(done)
	}()
	return done
}

// dialSilent returns a function that connects to an endpoint which never answers. Each connection on which something is
// sent is reported to arrived.
func dialSilent(arrived chan<- struct{}) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(context.Context, netip.AddrPort) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			b := make([]byte, 4096)
			for first := true; ; first = false {
				if _, err := server.Read(b); err != nil {
					return
				}
				if first {
					arrived <- struct{}{}
				}
			}
		}()
		return client, nil
	}
}

// A successor that this instance cancels because the silent endpoint went on says nothing about the engines
// at which it was: it must not be reported to the planner or logged as a failure of theirs.
func TestCanceledSuccessorJudgesNobody(t *testing.T) {
	for _, stage := range []string{"prefill", "decode"} {
		t.Run(stage, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			var out bytes.Buffer
			log := eventlog.Open(&out, "n1")
			g.requestLog = log.NewRequestLog()
			arrived := make(chan struct{}, 1)
			g.Pool.Dial = dialSilent(arrived)
			if stage == "decode" {
				g.FindPlace = func(context.Context, placement.Request, residency.Area) (*broker.Place, *placement.Refusal) {
					return &broker.Place{Grant: placement.Grant{Decode: decodeEngine}, Zone: "a"}, nil
				}
			}
			var mu sync.Mutex
			var failed []string
			released := make(chan struct{}, 8)
			g.ReleasePlace = func(_ *broker.Place, _, f string, _ *placement.Observation) {
				mu.Lock()
				failed = append(failed, f)
				mu.Unlock()
				released <- struct{}{}
			}
			g.beginSilent()
			g.Retry = budget.Rule{Slack: 100, Window: time.Minute}
			s := g.watch(t)
			done := runSuccessor(s)
			select {
			case <-arrived:
			case <-done:
				t.Fatal(s.spent.steps)
			}
			c.Assert(s.speak(), qt.IsTrue)
			<-done
			<-released
			c.Check(failed, qt.DeepEquals, []string{""})
			c.Check(s.spent.tried, qt.HasLen, 0)
			c.Assert(log.Close(), qt.IsNil)
			c.Check(strings.Contains(out.String(), `"event":"endpoint_failed"`), qt.IsFalse, qt.Commentf("%s", out.String()))
			c.Check(strings.Contains(out.String(), `"event":"prefill_failed"`), qt.IsFalse, qt.Commentf("%s", out.String()))
		})
	}
}

// A request whose successors found no usable place may still ask for one after its own attempt has ended.
func TestSuccessorsLeavePlaceRequests(t *testing.T) {
	c := qt.New(t)
	g := newEngineRequest(t) // no endpoint is reachable
	g.beginSilent()
	g.placeRequests = 1
	g.Retry = budget.Rule{Slack: 100, Window: time.Minute}
	s := g.watch(t)
	<-runSuccessor(s)
	g.silence = s
	g.endAttempt(&answer{cancel: func() {}, stopHeld: func() {}}, false)
	g.tried = append(g.tried, "silent")
	before := len(g.requested)
	g.seek(t.Context())
	c.Check(len(g.requested) > before, qt.IsTrue, qt.Commentf("%d place requests, limit %d", g.placeRequests, g.placeLimit))
}

// A panic in an attempt beside a silent one ended the whole process, as it is in no handler's goroutine. It ends the
// attempt.
func TestPanicInSuccessorEndsOnlyIt(t *testing.T) {
	c := qt.New(t)
	g := newEngineRequest(t)
	g.beginSilent()
	g.FindPlace = func(context.Context, placement.Request, residency.Area) (*broker.Place, *placement.Refusal) {
		panic("broken")
	}
	s := g.watch(t)
	<-runSuccessor(s)
	c.Check(s.successors, qt.HasLen, 0)
	c.Check(s.speak(), qt.IsTrue)
}

// Nothing but events is written into a stream that has begun, also if an engine answers its resumption with a long
// body that is no stream.
func TestLongAnswerIsNotWrittenIntoStream(t *testing.T) {
	c := qt.New(t)
	g := newEngineRequest(t)
	out := httptest.NewRecorder()
	g.w = newTimeoutWriter(out, time.Minute)
	g.Codec.CallerHeader = func(h http.Header) http.Header { return h }
	g.Codec.ReadHead = func(*http.Response) ResponseHead { return ResponseHead{RequestID: "r1", Signed: true} }
	g.Pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Read(make([]byte, 4096))
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 5000))
		}()
		return client, nil
	}
	g.headSent.Store(true)
	g.lastEventID, g.version = "3", streamVersion{began: true, software: "v1"}
	r := g.Balancer.ReserveAt(g.Now(), &directory.Endpoint{ID: decodeEngine, Slots: 8, Software: "v1"})
	func() {
		defer func() { t.Log("recovered:", recover()) }()
		if g.begin(t.Context(), r) {
			g.deliver(t.Context())
		}
	}()
	c.Check(out.Body.Len(), qt.Equals, 0)
}
