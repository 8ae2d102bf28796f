package endpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/notice"
)

// rawEndpoint is an endpoint that answers each request with the bytes that answer returns. If
// there are none, it ends the connection. run counts its requests, and nth those of one connection.
type rawEndpoint struct {
	listener net.Listener
	address  netip.AddrPort
	answer   func(e *rawEndpoint, run, nth int) string
	runs     chan string // paths of the requests that it has read
}

func newRawEndpoint(t *testing.T, answer func(e *rawEndpoint, run, nth int) string) *rawEndpoint {
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
	for nth := 1; ; nth++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		e.runs <- req.URL.Path
		answer := e.answer(e, len(e.runs), nth)
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
			e := newRawEndpoint(t, func(e *rawEndpoint, run, _ int) string {
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

// rejection returns a rejection with a status. mark is the endpoint's word that it did not run the
// request; there is none if it is empty.
func rejection(status int, mark string) string {
	if mark != "" {
		mark = "Not-Run: " + mark + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 4\r\n\r\nbusy", status, http.StatusText(status), mark)
}

// Guards against a rejection that says nothing of whether the request ran being taken for the
// word that it did not.
func TestModelRequestsAreNotRunOnlyByTheEndpointsWord(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		want   error
	}{
		{"429", rejection(429, ""), ErrMayHaveRun},
		{"429, marked", rejection(429, "1"), ErrNotRun},
		{"429, marked as run", rejection(429, "0"), ErrMayHaveRun},
		{"503", rejection(503, ""), ErrMayHaveRun},
		{"503, marked", rejection(503, "1"), ErrNotRun},
		{"408", rejection(408, ""), ErrMayHaveRun},
		{"421", rejection(421, ""), ErrMayHaveRun},
		{"500, marked", rejection(500, "1"), ErrMayHaveRun},
		{"marked before the answer only", "HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n\r\n" + rejection(429, ""), ErrMayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e := newRawEndpoint(t, func(*rawEndpoint, int, int) string { return test.answer })
			client := NewClient()
			_, prefill := client.Prefill(context.Background(), e.address, PrefillRequest{Attempt: "a.1"})
			decode := client.Decode(context.Background(), e.address, DecodeRequest{Attempt: "a.1"}, func(Token) error { return nil })
			for _, err := range []error{prefill, decode} {
				c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(errors.Is(err, ErrNotRun) && errors.Is(err, ErrMayHaveRun), qt.IsFalse)
			}
		})
	}
}

// Guards against the client following redirects: each is another send, which may be a second run of
// a call that may run once.
func TestRedirectIsAnAnswer(t *testing.T) {
	for _, once := range []bool{false, true} {
		for _, status := range []int{301, 302, 303, 307, 308} {
			for _, body := range []string{"", "pay"} {
				t.Run(fmt.Sprintf("%d once %t body %q", status, once, body), func(t *testing.T) {
					c := qt.New(t)
					e := newRawEndpoint(t, func(_ *rawEndpoint, run, _ int) string {
						if run > 1 {
							return wholeAnswer
						}
						return fmt.Sprintf("HTTP/1.1 %d Moved\r\nLocation: /call/y\r\nContent-Length: 0\r\n\r\n", status)
					})
					call := Call{Attempt: "a.1", Method: http.MethodPost, Path: "x", Header: http.Header{}, Body: []byte(body), AtMostOnce: once}
					answer, err := NewClient().Call(context.Background(), e.address, call)
					c.Assert(err, qt.IsNil)
					c.Check(answer.Status, qt.Equals, status)
					c.Check(answer.Header.Get("Location"), qt.Equals, "/call/y")
					c.Check(e.runs, qt.HasLen, 1)
				})
			}
		}
	}
}

// Guards against a rejection that the endpoint sends twice, of which the second one comes in place
// of the answer to the next send on its connection.
func TestRepeatedRejectionIsNotOfTheNextSend(t *testing.T) {
	sends := []struct {
		name string
		send func(*Client, netip.AddrPort) error
	}{
		{"call", func(client *Client, to netip.AddrPort) error {
			_, err := client.Call(context.Background(), to, Call{Attempt: "a.1", Method: http.MethodPost, Path: "x", Header: http.Header{}, Body: []byte("body")})
			return err
		}},
		{"call without a body", func(client *Client, to netip.AddrPort) error {
			_, err := client.Call(context.Background(), to, Call{Attempt: "a.1", Method: http.MethodGet, Path: "x", Header: http.Header{}})
			return err
		}},
		{"prefill", func(client *Client, to netip.AddrPort) error {
			_, err := client.Prefill(context.Background(), to, PrefillRequest{Attempt: "a.1"})
			return err
		}},
	}
	rejections := []struct{ name, text string }{
		{"short", rejection(429, "1")},
		{"empty", "HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"long", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("x", 3000)},
	}
	for _, rejection := range rejections {
		for _, test := range sends {
			t.Run(rejection.name+", "+test.name, func(t *testing.T) {
				c := qt.New(t)
				e := newRawEndpoint(t, func(_ *rawEndpoint, run, nth int) string {
					switch {
					case run == 1:
						return rejection.text
					case nth > 1:
						return rejection.text + wholeAnswer
					default:
						return wholeAnswer
					}
				})
				client := NewClient()
				c.Check(errors.Is(test.send(client, e.address), ErrNotRun), qt.IsTrue)
				c.Check(test.send(client, e.address), qt.IsNil)
				c.Check(e.runs, qt.HasLen, 2)
			})
		}
	}
}

// Guards against the same if the next send was written before the rejection was read.
func TestRepeatedRejectionAfterTheNextSendBegan(t *testing.T) {
	c := qt.New(t)
	const rejection = "HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	began, rejected, next := make(chan struct{}), make(chan struct{}), make(chan error)
	e := newRawEndpoint(t, func(_ *rawEndpoint, run, _ int) string {
		if run == 2 {
			close(began)
		}
		return rejection
	})
	client := NewClient()
	call := Call{Attempt: "a.1", Method: http.MethodGet, Path: "x", Header: http.Header{}}
	responses := 0
	client.OnNotice = func(netip.AddrPort, notice.Notice, bool, time.Time) {
		responses++
		if responses > 1 {
			<-rejected
			return
		}
		go func() {
			_, err := client.Call(context.Background(), e.address, call)
			next <- err
		}()
		<-began
	}
	_, err := client.Call(context.Background(), e.address, call)
	c.Check(errors.Is(err, ErrNotRun), qt.IsTrue)
	close(rejected)
	err = <-next
	c.Check(errors.Is(err, ErrMayHaveRun), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(errors.Is(err, ErrNotRun), qt.IsFalse)
}
