package gateway

import (
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/quarantine"
	"github.com/trailshed/trailshed/internal/suspects"
)

// roleRelay is the role by which instances are ranked as relays for records of requests
// that end endpoints. It is the role of checking on the store, because its holders
// already communicate with the peers of their zone.
const roleRelay = "check"

// openSuspects creates the records of requests that end endpoints.
func (g *Gateway) openSuspects() {
	g.suspects = suspects.New(suspects.Options{
		Name: g.self.Name, Zone: g.self.Zone, Transport: g.transport, Store: g.platform.Suspects,
		Scope: g.counters.Scope, Now: g.now, Peers: g.suspectPeers,
		Watching:     func() bool { return g.relay.Watching() },
		EndpointGone: func(id string) bool { return g.directory.View().Find(id) == nil },
		OnHeldChange: g.logHeld,
		OnUnreadable: func(err error, revision int64) {
			g.log.Write(eventlog.Line{Event: eventlog.Unreadable, Detail: err.Error(), Revision: revision})
		},
	})
}

// logHeld logs that a request is held or was cleared.
func (g *Gateway) logHeld(r quarantine.Record) {
	n := eventlog.Line{Event: eventlog.Believed, Fingerprint: r.Work.String(), Count: int64(len(r.Ended)), Outcome: "request_cleared"}
	if r.Held() {
		n.Outcome = "request_held"
	}
	g.log.Write(n)
}

// suspectPeers returns all instances, by zone and in the order of their rank as relays.
func (g *Gateway) suspectPeers() []suspects.Peer {
	var list []suspects.Peer
	for _, zone := range g.roster.Zones() {
		for _, r := range g.roster.Ranked(zone, roleRelay) {
			list = append(list, suspects.Peer{Name: r.Name, Zone: r.Zone, Address: r.Address})
		}
	}
	return list
}
