package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// earlyEndpoint answers requests before it has read their bodies, and then ends the connection.
func earlyEndpoint(t *testing.T, answer string, end func(*net.TCPConn)) netip.AddrPort {
	const holdTime = 20 * time.Millisecond // so that the answer is read before the connection ends
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
				time.Sleep(holdTime)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

const (
	answerWithoutLength = "HTTP/1.1 200 OK\r\n\r\npart"
	// longBody is a size that does not fit into the kernel's buffers of a connection, in bytes.
	longBody = 12 << 20
)

// Guards against a part of an answer that is taken for all of it: an endpoint answers a long call at once, without a length,
// and resets the connection while the call is being written.
func TestResetDuringCall(t *testing.T) {
	const tries = 10 // which side of an exchange notices a reset first varies
	at := earlyEndpoint(t, answerWithoutLength, func(c *net.TCPConn) { _ = c.SetLinger(0) })
	for _, once := range []bool{true, false} {
		for range tries {
			_, err := NewClient().Call(t.Context(), at, Call{Method: http.MethodPost, Header: http.Header{}, Body: make([]byte, longBody), AtMostOnce: once})
			qt.Check(t, err, qt.ErrorIs, ErrMayHaveRun)
		}
	}
}

// Guards against an answer that is taken for incomplete since its call was not.
func TestWholeAnswerDuringCall(t *testing.T) {
	at := earlyEndpoint(t, answerWithoutLength, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	for _, once := range []bool{true, false} {
		answer, err := NewClient().Call(t.Context(), at, Call{Method: http.MethodPost, Header: http.Header{}, Body: make([]byte, longBody), AtMostOnce: once})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(answer.Body), qt.Equals, "part")
	}
}
