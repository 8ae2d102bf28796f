package gateway

import (
	"slices"

	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/tunnel"
)

const (
	// zoneTunnelPeers and remoteTunnelPeers are how many instances of the own zone, and of
	// each other one, are asked to carry connections. They bound the connections between
	// instances when many lose their links at once.
	zoneTunnelPeers   = 4
	remoteTunnelPeers = 2
	// maxTunnelPeers bounds all of them.
	maxTunnelPeers = 10
	// megabytesPerTunnel is the memory set aside for each connection carried for a peer. It
	// covers what a stream buffers while an endpoint does not read.
	megabytesPerTunnel = 1.5
)

// openDialer creates the parts that connect to endpoints.
func (g *Gateway) openDialer() {
	scope := g.counters.Scope
	g.dialer = dialer.New(dialer.Options{Pool: g.pool, Directory: g.directory, Absolve: g.balancer.Absolve, Log: g.log, Scope: scope, Now: g.now})
	g.tunnels = tunnel.New(tunnel.Options{
		Transport: g.transport, Candidates: g.tunnelPeers, Find: g.tunnelPeer, Knows: g.knowsEndpoint,
		Lend: g.dialer.Lend, Cut: func(d tunnel.Destination) bool { return g.dialer.Bypassed(d.EndpointID) }, Sound: g.dialer.Sound,
		Max: int(float64(g.settings.Load().Memory.LimitMB) / megabytesPerTunnel), Log: g.log, Scope: scope, Now: g.now,
	})
	g.dialer.Tunnels = g.tunnels
	g.pool.Connect, g.pool.Bypassed = g.dialer.Connect, g.dialer.Bypassed
}

// tunnelPeers returns the instances that may carry connections for this one, those of its own
// zone first. Each instance has an order of its own, so that load spreads.
func (g *Gateway) tunnelPeers() []tunnel.Peer {
	role := "tunnel " + g.self.Name
	list := g.canCarry(g.roster.Ranked(g.self.Zone, role), zoneTunnelPeers)
	for _, zone := range g.roster.Zones() {
		if zone != g.self.Zone {
			list = append(list, g.canCarry(g.roster.Ranked(zone, role), remoteTunnelPeers)...)
		}
	}
	return list[:min(len(list), maxTunnelPeers)]
}

// canCarry returns the first instances of a list that may carry connections for this one.
func (g *Gateway) canCarry(ranked []roster.Instance, most int) []tunnel.Peer {
	var list []tunnel.Peer
	for _, i := range ranked {
		if len(list) == most {
			break
		}
		if i.Tunnels && !i.Leaving && i.Name != g.self.Name {
			list = append(list, tunnel.Peer{Name: i.Name, Address: i.Address})
		}
	}
	return slices.Clip(list)
}

// tunnelPeer returns the instance called name, if it may carry connections for this one.
func (g *Gateway) tunnelPeer(name string) (tunnel.Peer, bool) {
	i, known := g.roster.Find(name)
	if !known || !i.Tunnels || i.Leaving || name == g.self.Name {
		return tunnel.Peer{}, false
	}
	return tunnel.Peer{Name: i.Name, Address: i.Address}, true
}

// knowsEndpoint reports whether an endpoint has an address, so that peers reach nothing else
// through this instance.
func (g *Gateway) knowsEndpoint(d tunnel.Destination) bool {
	e := g.directory.View().Find(d.EndpointID)
	return e != nil && e.Address == d.Address
}
