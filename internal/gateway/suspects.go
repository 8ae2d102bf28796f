package gateway

import (
	"math/rand/v2"
	"net/netip"

	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/suspects"
)

const (
	// rolePassOn is the role of passing on what other zones tell of suspects.
	rolePassOn = "check"
	// passersOn is how many instances of a zone do that: if one is dead or cut off,
	// the other one is told.
	passersOn = 2
)

// openSuspects prepares the memory of requests that end endpoints.
func (g *Gateway) openSuspects() {
	g.suspects = suspects.New(suspects.Options{
		Transport: g.transport, Store: g.platform.Suspects, Log: g.log, Scope: g.counters.Scope, Now: g.now,
		Near: g.zonePeers, Far: g.farPeers, Other: g.comparedPeer,
		Watching: func() bool { return g.relay.Watching() },
	})
}

// zonePeers are the other instances of the zone.
func (g *Gateway) zonePeers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, i := range g.roster.All() {
		if i.Zone == g.self.Zone && i.Name != g.self.Name {
			list = append(list, i.Address)
		}
	}
	return list
}

// farPeers are the first of each other zone.
func (g *Gateway) farPeers() []netip.AddrPort {
	seen := map[string]bool{g.self.Zone: true}
	var list []netip.AddrPort
	for _, i := range g.roster.All() {
		if seen[i.Zone] {
			continue
		}
		seen[i.Zone] = true
		list = append(list, addresses(g.passers(i.Zone))...)
	}
	return list
}

// comparedPeer is one of the zone that passes on; those ask each other, and every
// other time one of another zone.
func (g *Gateway) comparedPeer() (netip.AddrPort, bool) {
	passers := g.passers(g.self.Zone)
	var list []netip.AddrPort
	passesOn := false
	for _, i := range passers {
		if i.Name == g.self.Name {
			passesOn = true
			continue
		}
		list = append(list, i.Address)
	}
	if passesOn && (len(list) == 0 || rand.IntN(2) == 0) {
		list = g.farPeers()
	}
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	return list[rand.IntN(len(list))], true
}

func (g *Gateway) passers(zone string) []roster.Instance {
	ranked := g.roster.Ranked(zone, rolePassOn)
	return ranked[:min(len(ranked), passersOn)]
}

func addresses(list []roster.Instance) []netip.AddrPort {
	var out []netip.AddrPort
	for _, i := range list {
		out = append(out, i.Address)
	}
	return out
}
