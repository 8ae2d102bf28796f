package suspects

import (
	"math/rand/v2"
	"net/netip"
)

// relaysPerZone is the number of instances per zone that relay records from other zones.
// With two, records still arrive if one is dead or partitioned.
const relaysPerZone = 2

// zonePeers returns the addresses of the other instances in the same zone.
func (s *Suspects) zonePeers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, p := range s.Peers() {
		if p.Zone == s.Zone && p.Name != s.Name {
			list = append(list, p.Address)
		}
	}
	return list
}

// zoneRelays returns the addresses of the relays in the same zone, but for this instance.
func (s *Suspects) zoneRelays() []netip.AddrPort {
	var list []netip.AddrPort
	for _, p := range s.relays() {
		if p.Zone == s.Zone && p.Name != s.Name {
			list = append(list, p.Address)
		}
	}
	return list
}

// remoteRelays returns the addresses of the relays in other zones.
func (s *Suspects) remoteRelays() []netip.AddrPort {
	var list []netip.AddrPort
	for _, p := range s.relays() {
		if p.Zone != s.Zone {
			list = append(list, p.Address)
		}
	}
	return list
}

// comparisonPeer picks an instance to compare records with: a relay of the same zone. A
// relay picks another relay of its zone or, half of the time, one of another zone. The
// number of peers an instance compares with thus does not grow with the fleet.
func (s *Suspects) comparisonPeer() (netip.AddrPort, bool) {
	var zone, others []netip.AddrPort
	isRelay := false
	for _, p := range s.relays() {
		switch {
		case p.Name == s.Name:
			isRelay = true
		case p.Zone == s.Zone:
			zone = append(zone, p.Address)
		default:
			others = append(others, p.Address)
		}
	}
	if isRelay && len(others) > 0 && (len(zone) == 0 || rand.IntN(2) == 0) {
		zone = others
	}
	if len(zone) == 0 {
		return netip.AddrPort{}, false
	}
	return zone[rand.IntN(len(zone))], true
}

// relays returns the relays of all zones, the first instances of each.
func (s *Suspects) relays() []Peer {
	count := map[string]int{}
	var list []Peer
	for _, p := range s.Peers() {
		if count[p.Zone]++; count[p.Zone] <= relaysPerZone {
			list = append(list, p)
		}
	}
	return list
}
