package uplink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// foreignHead begins a response that does not belong to the request, ownHead one that does.
	foreignHead = "HTTP/1.1 200 OK\r\nId: other\r\n"
	ownHead     = "HTTP/1.1 200 OK\r\nId: own\r\n"
	// flood is how much a flooding endpoint sends, after which it is silent. It spares the memory of a machine on
	// which a bound does not hold.
	flood = 8 << 20
)

// floodingEndpoint answers each request with begin and then with repeat again and again.
type floodingEndpoint struct {
	begin, repeat string
	dials         atomic.Int64
	sent          atomic.Int64 // bytes that were read from it
}

// pool returns a pool whose connections lead to the endpoint.
func (e *floodingEndpoint) pool(t *testing.T) *uplink.Pool {
	p := uplink.NewPool(tally.NoopScope, clock.System())
	t.Cleanup(p.Close)
	p.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		e.dials.Add(1)
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		go e.serve(far)
		return near, nil
	}
	return p
}

func (e *floodingEndpoint) serve(conn net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	text := e.begin
	for e.sent.Load() < flood {
		n, err := io.WriteString(conn, text)
		e.sent.Add(int64(n))
		if err != nil {
			return
		}
		text = strings.Repeat(e.repeat, max(1, 4096/len(e.repeat)))
	}
}

// do sends a request of which the response has the ID "own".
func do(ctx context.Context, p *uplink.Pool) (*uplink.Exchange, error) {
	return p.Do(ctx, uplink.Message{
		Address: netip.MustParseAddrPort("192.0.2.1:80"), EndpointID: "e1", Method: "GET", Target: "/", Host: "h", MaxIdle: time.Minute,
	}, func(r *http.Response) bool { return r.Header.Get("Id") == "own" })
}

// Guards against an endpoint that sends something other than a response, without end: the request fails before its
// time is over, little is read, and the connection is not used again.
func TestEndlessBeforeResponse(t *testing.T) {
	const (
		headBytes    = 64 << 10
		skippedBytes = 2 << 20
	)
	tests := []struct {
		name          string
		begin, repeat string
		most          int64 // bytes that are read
	}{
		{"no line end", "", "x", headBytes},
		{"reason phrase", "HTTP/1.1 200 ", "x", headBytes},
		{"header line", ownHead + "A: ", "x", headBytes},
		{"name of a header line", ownHead, "x", headBytes},
		{"header lines", ownHead, "A: a\r\n", headBytes},
		{"continued header line", ownHead + "A: a\r\n", " a\r\n", headBytes},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", headBytes},
		{"head after an interim response", "HTTP/1.1 102 Processing\r\n\r\n" + ownHead, "A: a\r\n", headBytes},
		{"foreign responses without a body", "", foreignHead + "Content-Length: 0\r\n\r\n", skippedBytes},
		{"foreign responses", "", foreignHead + "Content-Length: 1\r\n\r\nx", skippedBytes},
		{"foreign body", foreignHead + "Content-Length: 1000000000000\r\n\r\n", "x", skippedBytes},
		{"foreign body with chunks", foreignHead + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n", skippedBytes},
		{"foreign chunk extension", foreignHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x", skippedBytes},
		{"foreign chunk extensions", foreignHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 100) + "\r\nx\r\n", skippedBytes},
		{"foreign trailer", foreignHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: a\r\n", skippedBytes},
		{"head after a foreign response", foreignHead + "Content-Length: 1\r\n\r\nx" + ownHead, "A: a\r\n", skippedBytes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel() // waits while a bound does not hold
			c := qt.New(t)
			e := &floodingEndpoint{begin: test.begin, repeat: test.repeat}
			p := e.pool(t)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := do(ctx, p)
			c.Assert(err, qt.ErrorIs, uplink.ErrNoResponse)
			c.Check(ctx.Err(), qt.IsNil)
			c.Check(e.sent.Load() <= test.most, qt.IsTrue, qt.Commentf("%d bytes were read", e.sent.Load()))
			_, err = do(ctx, p)
			c.Check(err, qt.ErrorIs, uplink.ErrNoResponse)
			c.Check(e.dials.Load(), qt.Equals, int64(2))
		})
	}
}

// Guards against a body whose encoding goes on without end and carries no data.
func TestEndlessEncodingOfBody(t *testing.T) {
	const mostBytes = 256 << 10
	chunked := ownHead + "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name          string
		begin, repeat string
	}{
		{"chunk extension", chunked + "1;", "x"},
		{"chunk extensions", chunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		{"chunk size", chunked, "0"},
		{"trailer", chunked + "0\r\n", "A: a\r\n"},
		{"trailer line", chunked + "0\r\nA: ", "x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := &floodingEndpoint{begin: test.begin, repeat: test.repeat}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			x, err := do(ctx, e.pool(t))
			c.Assert(err, qt.IsNil)
			defer x.Close(false)
			_, err = io.Copy(io.Discard, x.Response.Body)
			c.Check(err, qt.IsNotNil)
			c.Check(ctx.Err(), qt.IsNil)
			c.Check(e.sent.Load() <= mostBytes, qt.IsTrue, qt.Commentf("%d bytes were read", e.sent.Load()))
		})
	}
}

// Guards against bounds that cut a sound response: a body may be of any length, and the head of the next response on
// the connection has the whole bound again.
func TestSoundResponsesWithinBounds(t *testing.T) {
	const bodyBytes = 4 << 20
	tests := []struct {
		name  string
		first string // in front of the response
	}{
		{"response", ""},
		{"after interim responses", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40)},
		{"after a foreign response", foreignHead + "Content-Length: 300000\r\n\r\n" + strings.Repeat("x", 300_000)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			near, far := net.Pipe()
			t.Cleanup(func() { _ = far.Close() })
			answer := test.first + ownHead + "A: " + strings.Repeat("a", 16<<10) + "\r\nContent-Length: 4194304\r\n\r\n" + strings.Repeat("x", bodyBytes)
			go answerAll(far, answer)
			p := uplink.NewPool(tally.NoopScope, clock.System())
			t.Cleanup(p.Close)
			dials := 0
			p.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
				dials++
				return near, nil
			}
			for range 3 {
				x, err := do(t.Context(), p)
				c.Assert(err, qt.IsNil)
				n, err := io.Copy(io.Discard, x.Response.Body)
				c.Assert(err, qt.IsNil)
				c.Check(n, qt.Equals, int64(bodyBytes))
				x.Close(true)
			}
			c.Check(dials, qt.Equals, 1)
		})
	}
}

// Guards against a connection that is kept although the rest of a body is still to come, and against a wait for a
// body that nobody needs.
func TestDiscard(t *testing.T) {
	const short = ownHead + "Content-Length: 2\r\n\r\nok"
	tests := []struct {
		name   string
		answer string
		dials  int // by two requests
	}{
		{"short", short, 1},
		{"short with chunks", ownHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"none", ownHead + "Content-Length: 0\r\n\r\n", 1},
		{"long", ownHead + "Content-Length: 300000\r\n\r\n" + strings.Repeat("x", 300_000), 2},
		{"unfinished", ownHead + "Content-Length: 3\r\n\r\nok", 2},
		{"unfinished after much", ownHead + "Content-Length: 300000\r\n\r\n" + strings.Repeat("x", 256<<10), 2},
		{"unfinished chunk", ownHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok", 2},
		{"without a length", ownHead + "\r\nok", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			p := uplink.NewPool(tally.NoopScope, clock.System())
			t.Cleanup(p.Close)
			dials := 0
			p.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
				dials++
				near, far := net.Pipe()
				t.Cleanup(func() { _ = far.Close() })
				go answerAll(far, test.answer)
				return near, nil
			}
			for range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				x, err := do(ctx, p)
				c.Assert(err, qt.IsNil)
				x.Discard()
				c.Check(ctx.Err(), qt.IsNil)
			}
			c.Check(dials, qt.Equals, test.dials)
		})
	}
}

// answerAll gives the same answer to each request on a connection.
func answerAll(conn net.Conn, answer string) {
	requests := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// Guards against heads that take far more memory than they have bytes: 50 endpoints that send such ones at once are
// to take less than 75 MB.
func TestMemoryOfEndlessHeads(t *testing.T) {
	const endpoints, mostBytes = 50, 1500 << 10 // bytes per endpoint
	var different strings.Builder
	for n := range int64(20_000) {
		different.WriteString(strconv.FormatInt(n, 36) + ":\r\n")
	}
	tests := []struct{ name, begin, repeat string }{
		{"equal lines", ownHead, "A:\r\n"},
		{"different lines", ownHead + different.String(), "x"},
		{"long line", ownHead + "A:", "x"},
		{"interim responses", "", "HTTP/1.1 102 A\r\nA:\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range endpoints {
				e := &floodingEndpoint{begin: test.begin, repeat: test.repeat}
				_, err := do(t.Context(), e.pool(t))
				c.Assert(err, qt.ErrorIs, uplink.ErrNoResponse)
			}
			runtime.ReadMemStats(&after)
			each := (after.TotalAlloc - before.TotalAlloc) / endpoints
			c.Check(each <= mostBytes, qt.IsTrue, qt.Commentf("%d bytes", each))
		})
	}
}
