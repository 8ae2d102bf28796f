package uplink_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Only a refused connection proves that an endpoint's process has ended.
func TestEnded(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	alive := netip.MustParseAddrPort(listener.Addr().String())
	gone, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	dead := netip.MustParseAddrPort(gone.Addr().String())
	qt.Assert(t, gone.Close(), qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	tests := []struct {
		name  string
		at    netip.AddrPort
		dial  error // overrides the real dial
		ended bool
	}{
		{"listening", alive, nil, false},
		{"not listening", dead, nil, true},
		{"no response", dead, context.DeadlineExceeded, false},
		{"unreachable", dead, errors.New("no route to host"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := uplink.NewPool(tally.NoopScope, clock.System())
			defer p.Close()
			if test.dial != nil {
				p.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, test.dial }
			}
			qt.Assert(t, p.ProcessEnded(t.Context(), test.at, "life"), qt.Equals, test.ended)
		})
	}
}
