package uplink_test

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// The header of a response is reported also if the response belongs to another request.
func TestHeadersOfOtherResponsesAreReported(t *testing.T) {
	c := qt.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok" +
			"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok"))
	}()
	p := uplink.NewPool(tally.NoopScope, clock.System())
	defer p.Close()
	var reported []string
	p.OnResponse = func(endpointID string, head *http.Response) {
		reported = append(reported, endpointID+" "+head.Header.Get("Id"))
	}
	x, err := p.Do(t.Context(), uplink.Message{
		Address: netip.MustParseAddrPort(listener.Addr().String()), EndpointID: "e1", Method: "GET", Target: "/", Host: "h", MaxIdle: time.Second,
	}, func(r *http.Response) bool { return r.Header.Get("Id") == "own" })
	c.Assert(err, qt.IsNil)
	x.Close(false)
	c.Assert(reported, qt.DeepEquals, []string{"e1 other", "e1 own"})
}
