package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/uplink"
)

// lostConn is a connection to an endpoint that answers before it has read the whole request. The kernel then gives the
// connection up and reports that to the write in progress only.
type lostConn struct {
	net.Conn
	failure error
	once    sync.Once
	written int
	lost    chan struct{} // closed when a write has failed
	answer  io.Reader
}

func (c *lostConn) Write(b []byte) (int, error) {
	const limit = 32 << 10 // bytes of a request
	if c.written += len(b); c.written <= limit {
		return len(b), nil
	}
	defer c.once.Do(func() { close(c.lost) })
	return 0, &net.OpError{Op: "write", Err: c.failure}
}

func (c *lostConn) Read(b []byte) (int, error) {
	n, err := c.answer.Read(b)
	if errors.Is(err, io.EOF) {
		<-c.lost
	}
	return n, err
}

// Guards against a part of an answer that looks whole since the peer that carries the connection noticed its failure when it
// wrote, or took a connection that the kernel gave up for one whose reads were interrupted.
func TestFailedWriteThroughPeer(t *testing.T) {
	for _, failure := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT} {
		t.Run(failure.Error(), func(t *testing.T) {
			c := qt.New(t)
			f := &fleet{t: t, dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
				raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
				return &lostConn{
					Conn: raw, failure: failure, lost: make(chan struct{}),
					answer: strings.NewReader("HTTP/1.1 200 OK\r\n\r\npart"),
				}, err
			}}
			f.start("n1", "n2")
			d := newEndpoint(t)
			x, err := f.poolThrough().Do(t.Context(), uplink.Message{
				Address: d.Address, EndpointID: d.EndpointID, Method: http.MethodPost, Target: "/", Host: "h", HasBody: true, Body: make([]byte, 1<<20),
			}, func(*http.Response) bool { return true })
			if err == nil {
				defer x.Close(false)
				_, err = io.ReadAll(x.Response.Body)
			}
			c.Check(err, qt.IsNotNil)
		})
	}
}
