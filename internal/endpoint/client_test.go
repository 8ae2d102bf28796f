package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestReadTokens(t *testing.T) {
	const (
		a    = `{"index":0,"text":"a"}` + "\n"
		b    = `{"index":1,"text":"b"}` + "\n"
		end2 = `{"index":2,"done":true,"total":2}` + "\n"
	)
	tests := []struct {
		name   string
		offset int
		stream string
		want   string
		err    error
	}{
		{"whole", 0, a + b + end2, "ab", nil},
		{"resumed from an offset", 1, b + end2, "b", nil},
		{"offset not honoured", 1, a + b + end2, "b", nil},
		{"repeated", 0, a + a + b + b + end2, "ab", nil},
		{"reordered", 0, b + a + end2, "", ErrTruncated},
		{"gap", 0, a + `{"index":2,"text":"c"}` + "\n", "a", ErrTruncated},
		{"truncated", 0, a, "a", ErrTruncated},
		{"truncated within a line", 0, a + `{"index":1,"te`, "a", ErrTruncated},
		{"last line too early", 0, a + end2, "a", ErrTruncated},
		{"empty", 0, "", "", ErrTruncated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var got strings.Builder
			err := readTokens(strings.NewReader(test.stream), test.offset, func(t Token) error {
				got.WriteString(t.Text)
				return nil
			})
			c.Assert(got.String(), qt.Equals, test.want)
			c.Assert(errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// A server resets the connection after each possible number of bytes of a request. However
// few bytes it read, the client must not report ErrNotRun; it does so only if the
// connection was refused. A request that must not be repeated is sent on one connection
// only.
func TestCutSend(t *testing.T) {
	c := qt.New(t)
	call := Call{Attempt: "a.1", Method: "POST", Path: "confirm", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("body"), AtMostOnce: true}
	whole := 0
	for cut := 1; ; cut++ { // with 0 bytes the dial itself may fail, which means not run
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		read := make(chan int, 16)
		go cutAfter(l, cut, read)
		_, err = NewClient().Call(context.Background(), netip.MustParseAddrPort(l.Addr().String()), call)
		c.Assert(errors.Is(err, ErrMayHaveRun), qt.IsTrue, qt.Commentf("cut at %d: %v", cut, err))
		c.Assert(errors.Is(err, ErrNotRun), qt.IsFalse)
		whole = max(whole, <-read)
		c.Assert(l.Close(), qt.IsNil)
		c.Assert(read, qt.HasLen, 0) // no second connection
		if whole < cut {
			break // the request was shorter than the cut
		}
	}
	c.Assert(whole > 100, qt.IsTrue)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	refused := netip.MustParseAddrPort(l.Addr().String())
	c.Assert(l.Close(), qt.IsNil)
	_, err = NewClient().Call(context.Background(), refused, call)
	c.Assert(errors.Is(err, ErrNotRun), qt.IsTrue)
	_, err = NewClient().Prefill(context.Background(), refused, PrefillRequest{})
	c.Assert(errors.Is(err, ErrNotRun), qt.IsTrue)
}

// cutAfter reads the given number of bytes from each connection, then resets it. It waits
// for the first byte without a deadline: a reset before it may fail the dial, which means
// not run.
func cutAfter(l net.Listener, cut int, read chan<- int) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		request := make([]byte, cut)
		n, _ := io.ReadFull(conn, request[:1])
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		more, _ := io.ReadFull(conn, request[n:])
		n += more
		_ = conn.(*net.TCPConn).SetLinger(0)
		read <- n
		_ = conn.Close()
	}
}
