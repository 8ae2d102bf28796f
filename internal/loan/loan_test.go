package loan_test

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/loan"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

// patience bounds every answer in these tests; none asserts that it comes soon.
const patience = 20 * time.Second

// instance is a desk with sends to lend.
type instance struct {
	*loan.Desk
	left atomic.Int64
}

// start starts an instance that knows those in known, and has so many sends left.
func start(t *testing.T, known *roster.Roster, name, zone string, left int) *instance {
	c := qt.New(t)
	identity, err := peer.NewIdentity(name)
	c.Assert(err, qt.IsNil)
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	c.Assert(err, qt.IsNil)
	address := netip.MustParseAddrPort(udp.LocalAddr().String())
	c.Assert(udp.Close(), qt.IsNil)
	transport, err := peer.Listen(name, address, peer.Pinned(identity, known.Trusted), tally.NoopScope)
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = transport.Close() })
	i := &instance{Desk: &loan.Desk{
		Name: name, Zone: zone, Transport: transport, Roster: known, Scope: tally.NoopScope, Wait: patience,
	}}
	i.left.Store(int64(left))
	i.Lend = func(_ string, sends int) int {
		lent := min(int64(sends), i.left.Load())
		i.left.Add(-lent)
		return int(lent)
	}
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: time.Second}, watermill.NopLogger{})
	c.Assert(err, qt.IsNil)
	i.Register(router)
	go func() { _ = router.Run(t.Context()) }()
	<-router.Running()
	known.See(roster.Instance{Name: name, Zone: zone, Address: address, Fingerprint: identity.Fingerprint, Revision: 1})
	return i
}

func TestBorrow(t *testing.T) {
	tests := []struct {
		name  string
		zones []string
		left  []int // of the borrower, which does not ask itself, and of the others
		wants int
		gets  int
	}{
		{"from one", []string{"a", "a"}, []int{0, 5}, 2, 2},
		{"a part from each", []string{"a", "a", "a"}, []int{0, 1, 1}, 2, 2},
		{"all have spent theirs", []string{"a", "a", "a"}, []int{5, 0, 0}, 1, 0},
		{"not from other zones", []string{"a", "b"}, []int{0, 5}, 1, 0},
		{"alone", []string{"a"}, []int{5}, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			known := roster.New(func() clock.Millis { return 0 })
			var all []*instance
			for n, left := range test.left {
				all = append(all, start(t, known, fmt.Sprint("n", n), test.zones[n], left))
			}
			c.Assert(all[0].Borrow(t.Context(), "llm", test.wants), qt.Equals, test.gets)
			c.Assert(all[0].left.Load(), qt.Equals, int64(test.left[0]))
		})
	}
}
