package uplink_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Nothing is sent for a request whose context has ended, also if a kept connection is at hand.
func TestNothingIsSentAfterEnd(t *testing.T) {
	c := qt.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	var arrived atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					arrived.Add(1)
				}
				_ = conn.Close()
			}()
		}
	}()
	at := netip.MustParseAddrPort(listener.Addr().String())
	p := uplink.NewPool(tally.NoopScope, clock.System())
	defer p.Close()
	const tries = 100
	unsent := 0
	for range tries {
		raw, err := net.Dial("tcp", at.String())
		c.Assert(err, qt.IsNil)
		p.Keep(raw, at, "e")
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = p.Do(ctx, uplink.Message{Address: at, EndpointID: "e", Method: "GET", Target: "/", Host: "h", MaxIdle: time.Second}, func(*http.Response) bool { return true })
		if errors.Is(err, uplink.ErrNotSent) {
			unsent++
		}
	}
	time.Sleep(100 * time.Millisecond)
	c.Check(arrived.Load(), qt.Equals, int64(0), qt.Commentf("of %d", tries))
	c.Check(unsent, qt.Equals, tries)
}
