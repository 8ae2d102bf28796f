package suspects

import (
	"math/rand/v2"
	"net/netip"
)

// passersOn is how many instances of a zone pass on what other zones tell: if one is
// dead or cut off, the other one is told.
const passersOn = 2

// near are the other instances of the zone.
func (s *Suspects) near() []netip.AddrPort {
	var list []netip.AddrPort
	for _, p := range s.Peers() {
		if p.Zone == s.Zone && p.Name != s.Name {
			list = append(list, p.Address)
		}
	}
	return list
}

// far are those of other zones that pass on.
func (s *Suspects) far() []netip.AddrPort {
	var list []netip.AddrPort
	for _, p := range s.passers() {
		if p.Zone != s.Zone {
			list = append(list, p.Address)
		}
	}
	return list
}

// other is an instance to compare with: one of the zone that passes on. Those ask
// each other, and every other time one of another zone, so that no instance talks to
// more the larger the fleet is.
func (s *Suspects) other() (netip.AddrPort, bool) {
	var zone, others []netip.AddrPort
	passesOn := false
	for _, p := range s.passers() {
		switch {
		case p.Name == s.Name:
			passesOn = true
		case p.Zone == s.Zone:
			zone = append(zone, p.Address)
		default:
			others = append(others, p.Address)
		}
	}
	if passesOn && len(others) > 0 && (len(zone) == 0 || rand.IntN(2) == 0) {
		zone = others
	}
	if len(zone) == 0 {
		return netip.AddrPort{}, false
	}
	return zone[rand.IntN(len(zone))], true
}

// passers are the first of each zone.
func (s *Suspects) passers() []Peer {
	count := map[string]int{}
	var list []Peer
	for _, p := range s.Peers() {
		if count[p.Zone]++; count[p.Zone] <= passersOn {
			list = append(list, p)
		}
	}
	return list
}
