package gateway

import (
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/tunnel"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Connections are asked of a few instances only: of those that carry any, are not leaving and
// are not this one. An older build, whose entry does not say that it carries connections, gets
// no request for one.
func TestTunnelPeers(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{roster: roster.New(func() clock.Millis { return 1 }), self: roster.Instance{Name: "self", Zone: "a"}}
	add := func(i roster.Instance) {
		i.Address, i.Revision = netip.MustParseAddrPort("127.0.0.1:1"), 1
		i.Fingerprint = i.Name
		g.roster.Update(i)
	}
	add(roster.Instance{Name: "self", Zone: "a", Tunnels: true})
	add(roster.Instance{Name: "older", Zone: "a"})
	add(roster.Instance{Name: "leaving", Zone: "a", Tunnels: true, Leaving: true})
	c.Assert(g.tunnelPeers(), qt.HasLen, 0)
	for _, zone := range []string{"a", "b", "c", "d", "e", "f"} {
		for _, n := range []string{"1", "2", "3", "4", "5", "6"} {
			add(roster.Instance{Name: zone + n, Zone: zone, Tunnels: true})
		}
	}
	count := map[string]int{}
	list := g.tunnelPeers()
	for _, p := range list {
		count[p.Name[:1]]++
	}
	c.Assert(list, qt.HasLen, maxTunnelPeers)
	c.Assert(count["a"], qt.Equals, zoneTunnelPeers)
	c.Assert(count["b"], qt.Equals, remoteTunnelPeers)
	c.Assert(slices.Equal(g.tunnelPeers(), list), qt.IsTrue)
	for _, name := range []string{"self", "older", "leaving", "nobody"} {
		p, ok := g.tunnelPeer(name)
		c.Assert(ok, qt.IsFalse)
		c.Assert(p, qt.Equals, tunnel.Peer{})
	}
	_, ok := g.tunnelPeer("f6")
	c.Assert(ok, qt.IsTrue)
}
