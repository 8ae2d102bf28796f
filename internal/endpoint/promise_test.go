package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// rawEndpoint is an endpoint that answers each request with the bytes that answer returns. If
// there are none, it ends the connection.
type rawEndpoint struct {
	listener net.Listener
	address  netip.AddrPort
	answer   func(e *rawEndpoint, run int) string
	runs     chan string // paths of the requests that it has read
}

func newRawEndpoint(t *testing.T, answer func(e *rawEndpoint, run int) string) *rawEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	e := &rawEndpoint{listener: l, address: netip.MustParseAddrPort(l.Addr().String()), answer: answer, runs: make(chan string, 16)}
	go e.serve()
	return e
}

func (e *rawEndpoint) serve() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.handle(conn)
	}
}

func (e *rawEndpoint) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		e.runs <- req.URL.Path
		answer := e.answer(e, len(e.runs))
		if answer == "" {
			return
		}
		_, _ = io.WriteString(conn, answer)
	}
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// Guards against net/http repeating a call by itself on a new connection, whose failure was
// taken for evidence that the call did not run.
func TestCallThatRanBeforeEndpointStoppedListening(t *testing.T) {
	tests := []struct {
		name   string
		method string
		header http.Header
	}{
		{"GET", http.MethodGet, http.Header{}},
		{"POST with an idempotency key", http.MethodPost, http.Header{"Idempotency-Key": {"k"}}},
		{"POST", http.MethodPost, http.Header{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e := newRawEndpoint(t, func(e *rawEndpoint, run int) string {
				if run == 1 {
					return wholeAnswer
				}
				_ = e.listener.Close()
				return ""
			})
			client := NewClient()
			call := Call{Attempt: "a.1", Method: test.method, Path: "x", Header: test.header}
			_, err := client.Call(context.Background(), e.address, call)
			c.Assert(err, qt.IsNil)
			_, err = client.Call(context.Background(), e.address, call)
			c.Assert(errors.Is(err, ErrMayHaveRun), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(errors.Is(err, ErrNotRun), qt.IsFalse)
			c.Assert(e.runs, qt.HasLen, 2)
		})
	}
}
