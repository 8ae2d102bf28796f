package forward

import (
	"bufio"
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

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/budget"
	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/residency"
	"github.com/trailshed/trailshed/internal/uplink"
)

// newSentRequest is newEngineRequest for a request whose endpoints read it.
func newSentRequest(t *testing.T) *engineRequest {
	g := newEngineRequest(t)
	g.message = uplink.Message{Method: "POST", Target: "/x", Host: "h"}
	g.Codec.ReadHead = readTestHead
	return g
}

// readTestHead reads the head of a response of these tests.
func readTestHead(r *http.Response) ResponseHead {
	gone := r.StatusCode == http.StatusMisdirectedRequest
	return ResponseHead{
		RequestID: r.Header.Get("Request"), Signed: r.Header.Get("Signature") != "", Misdirected: gone,
		NotRun: r.Header.Get("Not-Run") != "" || gone,
	}
}

// script is an endpoint's side of a connection: the text that it writes after each request, after which it closes.
func script(texts ...string) net.Conn {
	ours, theirs := net.Pipe()
	go func() {
		defer func() { _ = theirs.Close() }()
		reader := bufio.NewReader(theirs)
		for _, text := range texts {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if _, err := io.WriteString(theirs, text); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, reader)
	}()
	return ours
}

// scriptThenClose is script for an endpoint that closes the connection after its last text.
func scriptThenClose(text string) net.Conn {
	ours, theirs := net.Pipe()
	go func() {
		defer func() { _ = theirs.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
			_, _ = io.WriteString(theirs, text)
		}
	}()
	return ours
}

// A request may be sent to as many endpoints as its route has attempts. An attempt beside a silent one whose first send was
// rejected waits for its next place; meanwhile another one is started beside it, and both send.
func TestSuccessorsKeepWithinAttempts(t *testing.T) {
	c := qt.New(t)
	g := newSentRequest(t)
	limited := *g.route
	limited.Attempts = 2
	g.route = &limited
	for n, id := range []string{"d2", "d3"} {
		g.Directory.Apply(g.Now(), directory.Seen{Endpoint: directory.Endpoint{
			ID: id, Entry: id, Service: "llm", Zone: "a", Slots: 8, Stage: directory.Decode, Revision: int64(10 + n),
			Address: netip.MustParseAddrPort("127.0.0.1:" + id[1:]),
		}})
	}
	g.view = g.Directory.View()
	g.Retry = budget.Rule{Slack: 100, Window: time.Minute}
	arrived := make(chan struct{}, 8)
	silent := dialSilent(arrived)
	g.Pool.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if to.Port() == 1 { // d1
			return script("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRequest: r1\r\nNot-Run: 1\r\n\r\n"), nil
		}
		return silent(ctx, to)
	}
	waits, goOn := make(chan struct{}), make(chan struct{})
	var calls atomic.Int64
	g.FindPlace = func(context.Context, placement.Request, residency.Area) (*broker.Place, *placement.Refusal) {
		decode := decodeEngine
		switch calls.Add(1) {
		case 1:
		case 2: // the first successor asks again
			close(waits)
			<-goOn
			decode = "d2"
		default:
			decode = "d3"
		}
		return &broker.Place{Grant: placement.Grant{Decode: decode}, Zone: "a"}, nil
	}
	g.beginSilent()
	s := g.watch(t)
	s.fire()
	select {
	case <-waits:
	case <-time.After(5 * time.Second):
		t.Fatal(g.record)
	}
	s.fire() // as its timer does
	select {
	case <-arrived: // at d3
	case <-time.After(200 * time.Millisecond): // no second successor
	}
	close(goOn)
	select {
	case <-arrived: // at d2
	case <-time.After(200 * time.Millisecond):
	}
	c.Check(g.record.MayHaveRun() <= limited.Attempts, qt.IsTrue, qt.Commentf("%s, attempts: %d", g.record, limited.Attempts))
}

// Guards against an attempt beside a silent one that sends nothing more after its first send has run and failed, though
// its route has attempts left.
func TestSuccessorSendsAgainAfterARun(t *testing.T) {
	c := qt.New(t)
	g := newSentRequest(t)
	g.Retry = budget.Rule{Slack: 100, Window: time.Minute}
	g.LinkLost = func(string) bool { return false }
	g.CheckProcess = func(context.Context, *directory.Endpoint) dialer.Verdict { return dialer.Running }
	limited := *g.route
	limited.Attempts = 3
	g.route = &limited
	arrived := make(chan struct{}, 8)
	silent, dials := dialSilent(arrived), atomic.Int64{}
	g.Pool.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if dials.Add(1) == 1 {
			return scriptThenClose(""), nil
		}
		return silent(ctx, to)
	}
	g.Directory.Apply(g.Now(), directory.Seen{Endpoint: directory.Endpoint{
		ID: "d2", Entry: "d2", Service: "llm", Zone: "a", Slots: 8, Stage: directory.Decode, Revision: 10, Address: netip.MustParseAddrPort("127.0.0.1:2"),
	}})
	g.view = g.Directory.View()
	places := atomic.Int64{}
	g.FindPlace = func(context.Context, placement.Request, residency.Area) (*broker.Place, *placement.Refusal) {
		decode := decodeEngine
		if places.Add(1) > 1 {
			decode = "d2"
		}
		return &broker.Place{Grant: placement.Grant{Decode: decode}, Zone: "a"}, nil
	}
	g.beginSilent()
	s := g.watch(t)
	s.fire()
	select {
	case <-arrived:
	case <-time.After(5 * time.Second):
		t.Fatal(g.record)
	}
	c.Check(g.record.String(), qt.Equals, "silent open; d1 broken_off; d2 open")
}

// Guards against an endpoint that is blamed for a send that this instance has not made: another attempt has taken the last
// run that the route allows.
func TestWithdrawnSendBlamesNobody(t *testing.T) {
	c := qt.New(t)
	g := newSentRequest(t)
	limited := *g.route
	limited.Attempts = 3
	g.route = &limited
	g.beginSilent()
	q := g.startBeside(t)
	c.Assert(q.beginSend("d2"), qt.IsTrue)
	q.attempt.Finish(attempts.BrokenOff)
	g.record.Begin("d3")
	c.Assert(q.begin(t.Context(), q.Balancer.ReserveAt(q.Now(), q.view.Find(decodeEngine))), qt.IsFalse)
	q.recordFailedEngine(decodeEngine)
	c.Check(q.failedEngine, qt.Equals, "")
	c.Check(q.Balancer.Ejected(q.Now()), qt.HasLen, 0)
	c.Check(g.dials.Load(), qt.Equals, int64(0))
	c.Check(g.record.String(), qt.Equals, "silent open; d2 broken_off; d3 open")
}

// What a prefill engine is judged by is the response to its own send. Another request's, late on a kept connection, says
// nothing of this one.
func TestForeignHeadIsNoEvidenceOnPrefill(t *testing.T) {
	const foreign = "\r\nContent-Length: 0\r\nRequest: other\r\n"
	tests := []struct{ name, text string }{
		{"nothing", ""},
		{"rejection of another request", "HTTP/1.1 503 Service Unavailable" + foreign + "Not-Run: 1\r\n\r\n"},
		{"421 for another request", "HTTP/1.1 421 Misdirected Request" + foreign + "\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newSentRequest(t)
			g.LinkLost = func(string) bool { return false }
			checks, gone := 0, 0
			g.CheckProcess = func(context.Context, *directory.Endpoint) dialer.Verdict { checks++; return dialer.Running }
			g.ReportGone = func(string) { gone++ }
			e := g.view.Find(prefillEngine)
			g.Pool.Keep(scriptThenClose(test.text), e.Address, e.ID)
			g.place = &broker.Place{Grant: placement.Grant{Decode: decodeEngine, Prefill: prefillEngine}}
			c.Assert(g.runPrefill(t.Context(), prefillEngine), qt.IsFalse)
			c.Check(gone, qt.Equals, 0)
			c.Check(checks, qt.Equals, 1) // it broke off the connection
			c.Check(g.fullEngine, qt.Equals, "")
			c.Check(g.failedEngine, qt.Equals, prefillEngine)
			c.Check(g.record.String(), qt.Equals, "prompt at p1 broken_off")
		})
	}
}

// The answer to the call that frees a KV cache has no request's ID. A second, late one is not the answer to a prefill.
func TestAnswerToFreeingIsNotThatOfPrefill(t *testing.T) {
	const freed = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	c := qt.New(t)
	g := newSentRequest(t)
	g.Codec.ReadHandle = func(b []byte) (string, error) {
		if len(b) == 0 {
			return "", errors.New("no handle")
		}
		return string(b), nil
	}
	g.LinkLost = func(string) bool { return false }
	g.CheckProcess = func(context.Context, *directory.Endpoint) dialer.Verdict { return dialer.Running }
	g.ReportPrefillDone = func(*broker.Place, int, time.Duration) {}
	e := g.view.Find(prefillEngine)
	engine := func() net.Conn {
		ours, theirs := net.Pipe()
		go func() {
			defer func() { _ = theirs.Close() }()
			reader := bufio.NewReader(theirs)
			for again := ""; ; {
				r, err := http.ReadRequest(reader)
				switch {
				case err != nil:
					return
				case r.Method == http.MethodDelete:
					_, _ = io.WriteString(theirs, freed)
					again = freed // in front of the next answer on this connection
				default:
					_, _ = io.WriteString(theirs, again+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest: r1\r\n\r\nk2")
				}
			}
		}()
		return ours
	}
	g.Pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return engine(), nil }
	g.Pool.Keep(engine(), e.Address, e.ID)
	g.prefill.handle = &KVHandle{Address: e.Address, EndpointID: e.ID, ID: "k1"}
	g.freeHandle()
	time.Sleep(100 * time.Millisecond) // in its own goroutine
	g.place = &broker.Place{Grant: placement.Grant{Decode: decodeEngine, Prefill: prefillEngine}}
	c.Check(g.runPrefill(t.Context(), prefillEngine), qt.IsTrue)
	c.Check(g.failedEngine, qt.Equals, "")
}

// A prefill's answer without an ID is taken although it may be another request's: the request then goes on from that
// one's KV cache.
func TestHandleOfAnotherRequestIsNotTaken(t *testing.T) {
	answer := func(id, handle string) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + id + "\r\n" + handle
	}
	c := qt.New(t)
	g := newSentRequest(t)
	g.Codec.ReadHandle = func(b []byte) (string, error) { return string(b), nil }
	g.ReportPrefillDone = func(*broker.Place, int, time.Duration) {}
	e := g.view.Find(prefillEngine)
	g.Pool.Keep(script(answer("", "k1"), answer("", "k1")+answer("", "k2")), e.Address, e.ID) // of an engine that names no IDs
	g.place = &broker.Place{Grant: placement.Grant{Decode: decodeEngine, Prefill: prefillEngine}}
	g.call.ID = "r0"
	if !g.runPrefill(t.Context(), prefillEngine) {
		return // an answer without an ID is not taken
	}
	c.Check(g.prefill.handle.ID, qt.Equals, "k1")
	g.call.ID, g.prefill, g.record = "r1", prefillState{}, &attempts.Record{} // the next request
	if g.runPrefill(t.Context(), prefillEngine) {
		c.Check(g.prefill.handle.ID, qt.Equals, "k2")
	}
}

// A 408 or 429 of an application is not held against the endpoint, neither by the balancer nor by the planner.
func TestOwnStatusIsNotHeldAgainstEngine(t *testing.T) {
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests"} {
		t.Run(status, func(t *testing.T) {
			c := qt.New(t)
			g := newSentRequest(t)
			g.Pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
				return script("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nRequest: r1\r\nSignature: s\r\n\r\n"), nil
			}
			g.FindPlace = func(context.Context, placement.Request, residency.Area) (*broker.Place, *placement.Refusal) {
				return &broker.Place{Grant: placement.Grant{Decode: decodeEngine}, Zone: "a"}, nil
			}
			failed := "none"
			g.ReleasePlace = func(_ *broker.Place, _, f string, _ *placement.Observation) { failed = f }
			c.Assert(g.engineStep(t.Context()), qt.Equals, stepRetry)
			c.Check(failed, qt.Equals, "")
		})
	}
}

// Nothing has been sent when the instance ends its requests: the first send was never written, and the attempt beside it
// waits for a place. The caller is told so, and may retry.
func TestRefusalWhileSuccessorWaitsForPlace(t *testing.T) {
	c := qt.New(t)
	g := newSentRequest(t)
	out := httptest.NewRecorder()
	g.w = newTimeoutWriter(out, time.Minute)
	waits, goOn := make(chan struct{}), make(chan struct{})
	g.FindPlace = func(context.Context, placement.Request, residency.Area) (*broker.Place, *placement.Refusal) {
		close(waits)
		<-goOn
		return nil, &placement.Refusal{Reason: placement.ReasonFull}
	}
	g.Retry = budget.Rule{Slack: 100, Window: time.Minute}
	ctx, cancel := g.endWithInstance(t.Context())
	defer cancel()
	g.beginSilent()
	s := g.watchSilence(ctx, func() {}, &directory.Endpoint{ID: "silent"})
	g.silence = s
	done := runSuccessor(s)
	<-waits // the place is asked for
	g.attempt.Finish(attempts.Unwritten)
	g.sends = 0
	g.endAttempt(&answer{cancel: func() {}, stopHeld: func() {}}, false)
	time.AfterFunc(50*time.Millisecond, g.EndAll)
	g.run(ctx)
	close(goOn)
	<-done
	c.Check(out.Code, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s; sends: %s", out.Body.String(), g.record))
}

// A 421 comes from another endpoint at the address: its load is not that of the endpoint that was asked.
func TestLoadOfAnotherEndpointIsNotTaken(t *testing.T) {
	c := qt.New(t)
	g := newSentRequest(t)
	g.Codec.ReadHead = func(r *http.Response) ResponseHead {
		h := readTestHead(r)
		h.HasLoad, h.Load = true, balance.Load{Running: 8, Waiting: 100, Slots: 8}
		return h
	}
	g.ReportGone = func(string) {}
	recorded := 0
	g.Shares.RecordAnswer = func(string, string, balance.Load, time.Duration) { recorded++ }
	g.service = "plain"
	g.Pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		return script("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nRequest: r1\r\n\r\n"), nil
	}
	r := g.Balancer.ReserveAt(g.Now(), &directory.Endpoint{ID: "e", Slots: 8})
	c.Assert(g.begin(t.Context(), r), qt.IsFalse)
	c.Check(recorded, qt.Equals, 0)
}

// A second send to an engine needs a connection that has not carried the request, not a new one: an engine whose queue
// is long resets new connections, and what was written on them may have run.
func TestSecondSendUsesOtherKeptConnection(t *testing.T) {
	c := qt.New(t)
	g := newSentRequest(t)
	e := g.view.Find(decodeEngine)
	g.LinkLost = func(string) bool { return false }
	g.CheckProcess = func(context.Context, *directory.Endpoint) dialer.Verdict { return dialer.Running }
	dials := 0
	g.Pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		dials++
		return scriptThenClose(""), nil // reset
	}
	rejection := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRequest: r1\r\nNot-Run: 1\r\n\r\n"
	g.Pool.Keep(script(rejection), e.Address, e.ID)
	g.Pool.Keep(script(rejection), e.Address, e.ID)
	for range 2 {
		c.Assert(g.begin(t.Context(), g.Balancer.ReserveAt(g.Now(), e)), qt.IsFalse)
	}
	c.Check(dials, qt.Equals, 0)
	c.Check(g.record.MayHaveRun(), qt.Equals, 0, qt.Commentf("%s", g.record))
}

// A request that may run once waits for a permit when the instance ends its requests. It has not been sent, and is not sent
// then: its caller gets the promise.
func TestNothingIsSentAfterEndOfInstance(t *testing.T) {
	c := qt.New(t)
	g := newSentRequest(t)
	once := *g.route
	once.Resumable, once.Attempts = false, 1
	g.route = &once
	out := httptest.NewRecorder()
	g.w = newTimeoutWriter(out, time.Minute)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	kept, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	e := g.view.Find(decodeEngine)
	g.Pool.Keep(kept, e.Address, e.ID)
	ctx, cancel := g.endWithInstance(t.Context())
	defer cancel()
	g.Permits.Take = func(ctx context.Context, _ string, _ int) time.Duration {
		g.EndAll()
		<-ctx.Done()
		return 0 // it was granted
	}
	g.FindPlace = func(context.Context, placement.Request, residency.Area) (*broker.Place, *placement.Refusal) {
		return &broker.Place{Grant: placement.Grant{Decode: decodeEngine}, Zone: "a"}, nil
	}
	g.run(ctx)
	c.Check(out.Code, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s; sends: %s", out.Body.String(), g.record))
}
