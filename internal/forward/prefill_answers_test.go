package forward

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/placement"
)

// wireEndpoint is what all addresses lead to. It answers each request of a connection with the text that answer returns.
type wireEndpoint struct {
	dials  atomic.Int64
	answer func(conn int64, r *http.Request) string
	closed chan int64 // connections that the other side closed
}

// serveAt makes an endpoint that answers as given the one that g reaches.
func serveAt(t *testing.T, g *engineRequest, answer func(conn int64, r *http.Request) string) *wireEndpoint {
	e := &wireEndpoint{answer: answer, closed: make(chan int64, 16)}
	g.Pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		go e.serve(e.dials.Add(1), far)
		return near, nil
	}
	g.Codec.EncodeHeader = func(c Call, _ Send) http.Header { return http.Header{"Id": {c.ID}} }
	g.Codec.ReadHead = func(r *http.Response) ResponseHead {
		return ResponseHead{RequestID: r.Header.Get("Id"), NotRun: r.Header.Get("Not-Run") != "", Signed: r.Header.Get("Signed") != ""}
	}
	g.Codec.ReadHandle = func(body []byte) (string, error) {
		var handle string
		err := json.Unmarshal(body, &handle)
		return handle, err
	}
	g.CheckProcess = func(context.Context, *directory.Endpoint) dialer.Verdict { return dialer.Running }
	g.LinkLost = func(string) bool { return false }
	g.ReportPrefillDone = func(*broker.Place, int, time.Duration) {}
	g.message.Method, g.message.Target, g.message.Host = http.MethodPost, "/x", "h"
	return e
}

func (e *wireEndpoint) serve(conn int64, c net.Conn) {
	requests := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			e.closed <- conn
			return
		}
		if _, err = io.WriteString(c, e.answer(conn, r)); err != nil {
			return
		}
	}
}

// wireAnswer returns a response with a request's ID, or without one, and a body.
func wireAnswer(status int, id, body string) string {
	head := ""
	if id != "" {
		head = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s%s", status, head, bodyOf(body))
}

// bodyOf returns the end of a head and a body.
func bodyOf(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// another makes g a request with another ID.
func (g *engineRequest) another(id string) {
	g.call.ID, g.record = id, &attempts.Record{}
	g.prefill = prefillState{}
}

// readPrompt has the prompt read at the prefill engine and returns the handle, or "".
func (g *engineRequest) readPrompt(t *testing.T) string {
	g.place = &broker.Place{Grant: placement.Grant{Decode: decodeEngine, Prefill: prefillEngine, PrefillTime: time.Minute}}
	if !g.runPrefill(t.Context(), prefillEngine) {
		return ""
	}
	return g.prefill.handle.ID
}

// Guards against a response without an ID, or with that of another request, that is taken for the one to a prefill: it
// names another request's KV cache, or blames a sound engine.
func TestForeignResponseIsNoPrefill(t *testing.T) {
	tests := []struct{ name, late string }{
		{"another request's handle", wireAnswer(http.StatusOK, "r0", `"k-r0"`)},
		{"a handle, without an ID", wireAnswer(http.StatusOK, "", `"k-r0"`)},
		{"to the call that freed a handle", wireAnswer(http.StatusOK, "", "")},
		{"a failure without an ID", wireAnswer(http.StatusInternalServerError, "", "")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			late := ""
			e := serveAt(t, g, func(_ int64, r *http.Request) string {
				id := r.Header.Get("Id")
				return late + wireAnswer(http.StatusOK, id, `"k-`+id+`"`)
			})
			g.another("r0")
			c.Assert(g.readPrompt(t), qt.Equals, "k-r0")
			late = test.late
			g.another("r1")
			c.Check(g.readPrompt(t), qt.Equals, "k-r1")
			c.Check(g.failedEngine, qt.Equals, "")
			c.Check(e.dials.Load(), qt.Equals, int64(1))
		})
	}
}

// Guards against a response that is taken for the one to the call that frees a handle, which has no ID, so that its own
// is left on the connection for the next request: the call has a connection of its own.
func TestHandleIsFreedOnItsOwnConnection(t *testing.T) {
	c := qt.New(t)
	g := newEngineRequest(t)
	freedOn := make(chan int64, 1)
	e := serveAt(t, g, func(conn int64, r *http.Request) string {
		if r.Method == http.MethodDelete {
			freedOn <- conn
			return wireAnswer(http.StatusOK, "", "")
		}
		id := r.Header.Get("Id")
		return wireAnswer(http.StatusOK, id, `"k-`+id+`"`)
	})
	g.another("r0")
	c.Assert(g.readPrompt(t), qt.Equals, "k-r0")
	g.freeHandle()
	c.Assert(<-freedOn, qt.Equals, int64(2))
	c.Assert(<-e.closed, qt.Equals, int64(2))
	g.another("r1")
	c.Check(g.readPrompt(t), qt.Equals, "k-r1")
	c.Check(e.dials.Load(), qt.Equals, int64(2)) // the prompts are read on the first
}
