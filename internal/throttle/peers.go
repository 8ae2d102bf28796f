package throttle

import (
	"fmt"
	"net/netip"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/ratelimit"
)

const (
	// passersOn is how many instances of a zone pass on what other zones tell: if one
	// is dead or cut off, the other one is told.
	passersOn = 2
	// noZone is the zone of no endpoint: an empty loan of its limits changes nothing.
	noZone = "\x00"
	// leastUrgent is beyond all priorities.
	leastUrgent = 1 << 30
)

// near are the other instances of the zone.
func (t *Throttle) near() []netip.AddrPort {
	var list []netip.AddrPort
	for _, i := range t.order(t.Zone) {
		if i.Name != t.Name {
			list = append(list, i.Address)
		}
	}
	return list
}

// far are those of other zones that pass on.
func (t *Throttle) far() []netip.AddrPort {
	var list []netip.AddrPort
	for _, i := range t.Roster.FirstOfOthers(t.Zone, roleIssuer, passersOn) {
		list = append(list, i.Address)
	}
	return list
}

func (t *Throttle) send(to []netip.AddrPort, v told) {
	unsent := peer.SendAll(t.Transport, to, topicTold, v)
	t.Scope.Counter("throttle_send_failed").Inc(int64(unsent))
}

// lineOf is the line that tells a limit.
func lineOf(s ratelimit.Statement) eventlog.Line {
	n := eventlog.Line{Event: eventlog.EndpointLimited, Endpoint: s.Endpoint, Zone: s.Zone, Outcome: "limited"}
	if s.Over {
		n.Outcome = "unlimited"
		return n
	}
	n.Detail = fmt.Sprintf("%g requests a second", s.Rate)
	return n
}
