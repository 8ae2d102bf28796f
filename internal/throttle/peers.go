package throttle

import (
	"fmt"
	"net/netip"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/ratelimit"
)

const (
	// forwardersPerZone is how many instances of a zone forward announcements from
	// other zones. There are two in case one is dead or cut off.
	forwardersPerZone = 2
	// noZone is a zone without endpoints: an empty loan for it changes nothing.
	noZone = "\x00"
	// lowestPriority is less urgent than all priorities in use.
	lowestPriority = 1 << 30
)

// zonePeers returns the addresses of the other instances of this zone.
func (t *Throttle) zonePeers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, i := range t.ranked(t.Zone) {
		if i.Name != t.Name {
			list = append(list, i.Address)
		}
	}
	return list
}

// remoteForwarders returns the addresses of the forwarders of the other zones.
func (t *Throttle) remoteForwarders() []netip.AddrPort {
	var list []netip.AddrPort
	for _, i := range t.Roster.FirstOfOtherZones(t.Zone, roleIssuer, forwardersPerZone) {
		list = append(list, i.Address)
	}
	return list
}

func (t *Throttle) sendLimits(to []netip.AddrPort, m limitsMessage) {
	unsent := peer.SendAll(t.Transport, to, topicLimits, m)
	t.Scope.Counter("throttle_send_failed").Inc(int64(unsent))
}

// limitLine returns the log line for a limit.
func limitLine(s ratelimit.Statement) eventlog.Line {
	line := eventlog.Line{Event: eventlog.EndpointLimited, Endpoint: s.Endpoint, Zone: s.Zone, Outcome: "limited"}
	if s.Lifted {
		line.Outcome = "unlimited"
		return line
	}
	line.Detail = fmt.Sprintf("%g requests a second", s.Rate)
	return line
}
