package forward

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/placement"
)

// Guards against a late second response to an earlier send of a request that is taken for the response to its next send
// to the same endpoint: whatever the first one was, the next one has a connection of its own.
func TestNextSendToAnEndpointHasItsOwnConnection(t *testing.T) {
	const last = "last"
	sendTo := func(t *testing.T, p *proxyRequest, engine string) bool {
		return p.begin(t.Context(), p.Balancer.ReserveAt(p.Now(), p.view.Find(engine)))
	}
	tests := []struct {
		name   string
		first  string // response to the first send, with status and headers
		before func(t *testing.T, g *engineRequest) *proxyRequest
		engine string // of the last send
		dials  int64
	}{
		{"nothing was sent before", "", func(_ *testing.T, g *engineRequest) *proxyRequest { return g.proxyRequest }, decodeEngine, 1},
		{"nothing was written before", "", func(_ *testing.T, g *engineRequest) *proxyRequest {
			g.record.Begin(decodeEngine).Finish(attempts.Unwritten)
			return g.proxyRequest
		}, decodeEngine, 1},
		{"rejection", "503 X\r\nNot-Run: 1", func(t *testing.T, g *engineRequest) *proxyRequest {
			qt.Check(t, sendTo(t, g.proxyRequest, decodeEngine), qt.IsFalse)
			return g.proxyRequest
		}, decodeEngine, 2},
		{"a whole failure", "500 X\r\nSigned: 1", func(t *testing.T, g *engineRequest) *proxyRequest {
			qt.Check(t, sendTo(t, g.proxyRequest, decodeEngine), qt.IsFalse)
			return g.proxyRequest
		}, decodeEngine, 2},
		{"a prefill, at an engine that decodes now", "200 OK\r\nSigned: 1", func(t *testing.T, g *engineRequest) *proxyRequest {
			g.place = &broker.Place{Grant: placement.Grant{Decode: decodeEngine, Prefill: prefillEngine, PrefillTime: time.Minute}}
			qt.Check(t, g.runPrefill(t.Context(), prefillEngine), qt.IsTrue)
			return g.proxyRequest
		}, prefillEngine, 2},
		{"a rejected prefill, at an engine that decodes now", "421 X\r\nNot-Run: 1", func(t *testing.T, g *engineRequest) *proxyRequest {
			g.place = &broker.Place{Grant: placement.Grant{Decode: decodeEngine, Prefill: prefillEngine, PrefillTime: time.Minute}}
			qt.Check(t, g.runPrefill(t.Context(), prefillEngine), qt.IsFalse)
			return g.proxyRequest
		}, prefillEngine, 2},
		{"rejection, then an attempt beside a silent one", "503 X\r\nNot-Run: 1", func(t *testing.T, g *engineRequest) *proxyRequest {
			qt.Check(t, sendTo(t, g.proxyRequest, decodeEngine), qt.IsFalse)
			g.beginSilent()
			return g.startBeside(t)
		}, decodeEngine, 2},
		{"rejection of an attempt beside a silent one", "503 X\r\nNot-Run: 1", func(t *testing.T, g *engineRequest) *proxyRequest {
			g.beginSilent()
			beside := g.startBeside(t)
			qt.Check(t, sendTo(t, beside, decodeEngine), qt.IsFalse)
			return g.proxyRequest
		}, decodeEngine, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			g.ctx = t.Context()
			var mu sync.Mutex
			former := map[int64]string{} // response to the last request, by connection
			sends := 0
			e := serveAt(t, g, func(conn int64, r *http.Request) string {
				mu.Lock()
				defer mu.Unlock()
				head, body := "200 OK\r\nSigned: 1", last
				if sends++; sends == 2 && test.dials == 2 {
					head, body = test.first, `"k"`
				}
				late := former[conn]
				former[conn] = "HTTP/1.1 " + head + "\r\nId: " + r.Header.Get("Id") + "\r\n" + bodyOf(body)
				return late + former[conn]
			})
			g.Codec.CallerHeader = func(h http.Header) http.Header { return h }
			g.another("r0")
			c.Assert(sendTo(t, g.proxyRequest, test.engine), qt.IsTrue) // its connection is kept
			g.answer.exchange.Close(true)
			g.endAttempt(g.answer, true)
			g.another("r1")
			p := test.before(t, g)
			c.Assert(sendTo(t, p, test.engine), qt.IsTrue)
			c.Check(p.answer.exchange.Response.StatusCode, qt.Equals, http.StatusOK)
			c.Check(string(p.answer.body), qt.Equals, last)
			c.Check(e.dials.Load(), qt.Equals, test.dials)
		})
	}
}
