package node

import (
	"cmp"
	"context"
	"iter"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/member"
	"github.com/trailshed/trailshed/internal/reachability"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/internal/tunnel"
	"github.com/trailshed/trailshed/internal/uplink"
)

const (
	// zoneTunnelPeers and allTunnelPeers are how many members of the own zone, and of all
	// zones, are asked to carry connections to endpoints.
	zoneTunnelPeers = 4
	allTunnelPeers  = 10
	// maxTunnels is how many connections are carried for peers at a time.
	maxTunnels = 100
	// poolSweepInterval is the interval at which idle connections are closed.
	poolSweepInterval = 250 * time.Millisecond
)

// openDialer makes client connect to endpoints through a peer when this node's own links to
// them are lost. An endpoint is identified by its address.
func (n *Node) openDialer(client *endpoint.Client) {
	n.pool = uplink.NewPool(n.counters.Scope, n.now)
	dial := client.Dial
	n.pool.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if lost := n.unlinked.Load(); lost != nil && (*lost)(to) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: syscall.ECONNREFUSED}
		}
		return dial(ctx, to)
	}
	n.dialer = dialer.New(dialer.Options{
		Pool: n.pool, ServiceOf: n.poolOf, Endpoints: n.endpointsOf, Absolve: func(string) {}, Scope: n.counters.Scope, Now: n.now,
		OnLost: func(l reachability.Loss) {
			n.log.Warn().Str("pool", l.Service).Str("evidence", l.Evidence).Msg("links to endpoints are lost")
		},
		OnRegained: func(l reachability.Loss) {
			n.log.Info().Str("pool", l.Service).Dur("after", l.Length).Msg("links to endpoints are back")
		},
	})
	n.dialer.Tunnels = tunnel.New(tunnel.Options{
		Transport: n.transport, Candidates: n.tunnelPeers, Find: n.tunnelPeer,
		Knows: func(d tunnel.Destination) bool {
			return n.poolOf(d.EndpointID) != "" && d.Address.String() == d.EndpointID
		},
		Lend: n.dialer.Lend, Cut: func(d tunnel.Destination) bool { return n.dialer.Bypassed(d.EndpointID) }, Sound: n.dialer.Sound,
		Max: maxTunnels, OnServed: n.logTunnelServed, Scope: n.counters.Scope, Now: n.now,
	})
	client.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		p, err := n.dialer.Connect(ctx, uplink.Message{Address: to, EndpointID: to.String()})
		return p.Conn, err
	}
	client.Ended = func(ctx context.Context, at netip.AddrPort) bool {
		d := tunnel.Destination{Address: at, EndpointID: at.String(), Service: n.poolOf(at.String())}
		return n.dialer.Check(ctx, d) == dialer.Ended
	}
}

// Unlink makes this node's own connections to the endpoints for which lost returns true fail,
// to simulate lost links in tests.
func (n *Node) Unlink(lost func(netip.AddrPort) bool) { n.unlinked.Store(&lost) }

// sweepPool closes idle connections to endpoints until ctx ends.
func (n *Node) sweepPool(ctx context.Context) {
	ticker.Every(ctx, poolSweepInterval, n.pool.CloseExpired)
	n.pool.Close()
}

// poolOf returns the pool of the endpoint at an address, or "" if there is none.
func (n *Node) poolOf(address string) string {
	for _, e := range n.changes.Current().Endpoints {
		if e.Address.String() == address {
			return e.Pool
		}
	}
	return ""
}

// endpointsOf yields the serving endpoints of a pool.
func (n *Node) endpointsOf(pool string) iter.Seq[tunnel.Destination] {
	return func(yield func(tunnel.Destination) bool) {
		for _, e := range n.changes.Current().Endpoints {
			if e.Pool != pool || e.State != catalog.EndpointServing {
				continue
			}
			if !yield(tunnel.Destination{Address: e.Address, EndpointID: e.Address.String(), Service: pool}) {
				return
			}
		}
	}
}

// tunnelPeers returns the members that may carry connections for this node, those of its own
// zone first, in an order of its own.
func (n *Node) tunnelPeers() []tunnel.Peer {
	list := slices.DeleteFunc(slices.Clone(n.members()), func(m member.Member) bool { return !n.canCarry(m) })
	self := n.settings.Node
	slices.SortFunc(list, func(a, b member.Member) int {
		if own := a.Zone == self.Zone; own != (b.Zone == self.Zone) {
			return map[bool]int{true: -1, false: 1}[own]
		}
		return cmp.Compare(xxhash.Sum64String(self.ID+"\x00"+a.ID), xxhash.Sum64String(self.ID+"\x00"+b.ID))
	})
	inZone := slices.IndexFunc(list, func(m member.Member) bool { return m.Zone != self.Zone })
	if inZone > zoneTunnelPeers {
		list = slices.Delete(list, zoneTunnelPeers, inZone)
	}
	peers := make([]tunnel.Peer, 0, allTunnelPeers)
	for _, m := range list[:min(len(list), allTunnelPeers)] {
		peers = append(peers, tunnel.Peer{Name: m.ID, Address: m.Address})
	}
	return peers
}

// tunnelPeer returns the member called name, if it may carry connections for this node.
func (n *Node) tunnelPeer(name string) (tunnel.Peer, bool) {
	for _, m := range n.members() {
		if m.ID == name && n.canCarry(m) {
			return tunnel.Peer{Name: m.ID, Address: m.Address}, true
		}
	}
	return tunnel.Peer{}, false
}

func (n *Node) canCarry(m member.Member) bool {
	return m.Tunnels && !m.Leaving && m.ID != n.settings.Node.ID
}

// logTunnelServed logs a request of a peer for a connection.
func (n *Node) logTunnelServed(line eventlog.Line, whole bool) {
	n.log.Debug().Str("peer", line.Peer).Str("address", line.Address).Str("outcome", line.Outcome).Bool("whole", whole).
		Dur("took", line.Took).Str("detail", line.Detail).Msg("connection carried for a peer")
}
