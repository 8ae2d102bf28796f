package gateway

import (
	"context"
	"iter"
	"slices"

	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/reachability"
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
	g.dialer = dialer.New(dialer.Options{
		Pool: g.pool, ServiceOf: g.serviceOf, Endpoints: g.readyEndpoints, Absolve: g.balancer.Absolve, Scope: scope, Now: g.now,
		Overloaded:   g.overloaded,
		OnSilence:    func(endpoint string) { g.balancer.RecordSilence(g.now(), endpoint) },
		OnConnection: g.balancer.RecordConnection,
		OnLost: func(l reachability.Loss) {
			g.log.Write(eventlog.Line{Event: eventlog.LinksLost, Service: l.Service, Detail: l.Evidence})
		},
		OnRegained: func(l reachability.Loss) {
			g.log.Write(eventlog.Line{Event: eventlog.LinksRegained, Service: l.Service, Detail: l.Evidence, Took: l.Length})
		},
	})
	g.tunnels = tunnel.New(tunnel.Options{
		Transport: g.transport, Candidates: g.tunnelPeers, Find: g.tunnelPeer, Knows: g.knowsEndpoint,
		Lend: g.dialer.Lend, Cut: func(d tunnel.Destination) bool { return g.dialer.Bypassed(d.EndpointID) }, Sound: g.dialer.Sound, Overloaded: g.overloaded,
		Max: int(float64(g.settings.Load().Memory.LimitMB) / megabytesPerTunnel), OnServed: g.logTunnelServed, Scope: scope, Now: g.now,
	})
	g.dialer.Tunnels = g.tunnels
	g.pool.Connect, g.pool.Bypassed = g.dialer.Connect, g.dialer.Bypassed
}

// serviceOf returns the service of an endpoint, or "" if the endpoint is not known.
func (g *Gateway) serviceOf(endpoint string) string {
	if e := g.directory.View().Find(endpoint); e != nil {
		return e.Service
	}
	return ""
}

// readyEndpoints yields the endpoints of a service that take requests.
func (g *Gateway) readyEndpoints(service string) iter.Seq[tunnel.Destination] {
	return func(yield func(tunnel.Destination) bool) {
		for e := range g.directory.View().Service(service) {
			if e.State == directory.Ready && !yield(destination(e)) {
				return
			}
		}
	}
}

// destination returns an endpoint as a destination of connections.
func destination(e *directory.Endpoint) tunnel.Destination {
	return tunnel.Destination{Address: e.Address, EndpointID: e.ID, Service: e.Service}
}

// checkProcess finds out whether an endpoint's process has ended.
func (g *Gateway) checkProcess(ctx context.Context, e *directory.Endpoint) dialer.Verdict {
	return g.dialer.Check(ctx, destination(e))
}

// logTunnelServed logs a request of a peer for a connection.
func (g *Gateway) logTunnelServed(line eventlog.Line, whole bool) {
	lines := g.log.NewRequestLog()
	lines.Write(line)
	lines.End(whole)
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

// overloaded reports whether this instance gets more work than it can do.
func (g *Gateway) overloaded() bool { return g.settings.Load().Callers.Refuse && g.limit.Value() > 0 }
