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

// A body counts from its first byte on, whether its length is told or not: hundreds of
// callers who send slowly would take more memory than there is.
func TestBodiesThatComeSlowlyCount(t *testing.T) {
	tests := []struct {
		name   string
		length int64 // that is told
	}{{"of known length", 600}, {"of unknown length", -1}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newGuarded(t)
			g.BodyMemory = 1000
			g.view.Table.Limits.BodyBytes = 800
			request := func(length int64, r io.Reader) (*passage, *http.Request, *httptest.ResponseRecorder) {
				answer := httptest.NewRecorder()
				p := &passage{Forwarder: g.Forwarder, w: newCaller(answer, time.Minute), view: g.view, trail: g.Log.Trail(), route: g.route, limit: g.limit}
				req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/x", r)
				req.ContentLength = length
				return p, req, answer
			}
			comes, body := io.Pipe()
			slow, req, _ := request(test.length, comes)
			read := make(chan bool, 1)
			go func() { read <- slow.readBody(req) }()
			_, err := body.Write(make([]byte, 500))
			c.Assert(err, qt.IsNil)
			_, err = body.Write(make([]byte, 99)) // the first part was taken
			c.Assert(err, qt.IsNil)

			other, req, answer := request(600, bytes.NewReader(make([]byte, 600)))
			c.Check(other.readBody(req), qt.IsFalse)
			c.Check(answer.Code, qt.Equals, http.StatusServiceUnavailable)

			_, err = body.Write(make([]byte, 1))
			c.Assert(err, qt.IsNil)
			c.Assert(body.Close(), qt.IsNil)
			c.Check(<-read, qt.IsTrue)
			slow.release()
			c.Check(g.bodies.Load(), qt.Equals, int64(0))
		})
	}
}
