package forward

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A body counts against the memory limit from its first byte, whether or not its length is
// declared. Otherwise hundreds of callers that send slowly would exhaust the memory.
func TestSlowBodiesCountAgainstMemory(t *testing.T) {
	tests := []struct {
		name   string
		length int64 // Content-Length
	}{{"known length", 600}, {"unknown length", -1}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			g.BodyMemory = 1000
			g.view.Table.Limits.BodyBytes = 800
			request := func(length int64, r io.Reader) (*proxyRequest, *http.Request, *httptest.ResponseRecorder) {
				answer := httptest.NewRecorder()
				p := &proxyRequest{Forwarder: g.Forwarder, w: newTimeoutWriter(answer, time.Minute), progress: progress{view: g.view}, requestLog: g.Log.NewRequestLog(), route: g.route, deadline: g.deadline, record: g.record}
				req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/x", r)
				req.ContentLength = length
				return p, req, answer
			}
			pipe, body := io.Pipe()
			slow, req, _ := request(test.length, pipe)
			read := make(chan bool, 1)
			go func() { read <- slow.readBody(req) }()
			_, err := body.Write(make([]byte, 500))
			c.Assert(err, qt.IsNil)
			_, err = body.Write(make([]byte, 99)) // the first part has been read
			c.Assert(err, qt.IsNil)

			other, req, answer := request(600, bytes.NewReader(make([]byte, 600)))
			c.Check(other.readBody(req), qt.IsFalse)
			c.Check(answer.Code, qt.Equals, http.StatusServiceUnavailable)

			_, err = body.Write(make([]byte, 1))
			c.Assert(err, qt.IsNil)
			c.Assert(body.Close(), qt.IsNil)
			c.Check(<-read, qt.IsTrue)
			slow.releaseMemory()
			c.Check(g.bodyBytes.Load(), qt.Equals, int64(0))
		})
	}
}

// Guards against answers without a length that are held in memory and count nowhere: many endpoints may send long
// ones at once. What there is no memory for is left in the connection.
func TestAnswersCountAgainstMemory(t *testing.T) {
	tests := []struct {
		name           string
		length, memory int
		read           int // bytes; at least, with more
		more           bool
	}{
		{"short", 100, 1 << 20, 100, false},
		{"within the bound", maxBufferedBytes, 1 << 20, maxBufferedBytes, false},
		{"beyond the bound", 2 * maxBufferedBytes, 1 << 20, maxBufferedBytes + 1, true},
		{"short without memory", 100, 0, 100, false},
		{"long without memory", 2 * maxBufferedBytes, 0, maxUnreservedBytes, true},
		{"long with little memory", 2 * maxBufferedBytes, 50_000, 40_000, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			g.BodyMemory = int64(test.memory)
			p := &proxyRequest{Forwarder: g.Forwarder, record: g.record}
			body, more, err := p.readBeginning(bytes.NewReader(make([]byte, test.length)))
			c.Assert(err, qt.IsNil)
			c.Check(more, qt.Equals, test.more)
			c.Check(len(body) >= test.read, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
			c.Check(len(body) <= min(test.length, max(2*test.memory, maxUnreservedBytes+4096)), qt.IsTrue, qt.Commentf("%d bytes", len(body)))
			c.Check(g.bodyBytes.Load() <= int64(test.memory), qt.IsTrue)
			p.releaseMemory()
			c.Check(g.bodyBytes.Load(), qt.Equals, int64(0))
		})
	}
}
