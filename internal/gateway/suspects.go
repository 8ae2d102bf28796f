package gateway

import (
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/quarantine"
	"github.com/trailshed/trailshed/internal/suspects"
)

// rolePassOn is the role of passing on what other zones tell of requests that end
// endpoints. Those who check on the store have it: their zone's peers talk to them.
const rolePassOn = "check"

// openSuspects prepares the memory of requests that end endpoints.
func (g *Gateway) openSuspects() {
	g.suspects = suspects.New(suspects.Options{
		Name: g.self.Name, Zone: g.self.Zone, Transport: g.transport, Store: g.platform.Suspects,
		Scope: g.counters.Scope, Now: g.now, Peers: g.suspectsPeers,
		Watching: func() bool { return g.relay.Watching() },
		Held:     g.requestHeld,
		Unreadable: func(err error, revision int64) {
			g.log.Write(eventlog.Line{Event: eventlog.Unreadable, Detail: err.Error(), Revision: revision})
		},
	})
}

func (g *Gateway) requestHeld(r quarantine.Record) {
	n := eventlog.Line{Event: eventlog.Believed, Work: r.Work.String(), Count: int64(len(r.Ended)), Outcome: "request_cleared"}
	if r.Held() {
		n.Outcome = "request_held"
	}
	g.log.Write(n)
}

// suspectsPeers are all instances, zone by zone in the order in which they pass on.
func (g *Gateway) suspectsPeers() []suspects.Peer {
	var list []suspects.Peer
	for _, zone := range g.roster.Zones() {
		for _, r := range g.roster.Ranked(zone, rolePassOn) {
			list = append(list, suspects.Peer{Name: r.Name, Zone: r.Zone, Address: r.Address})
		}
	}
	return list
}
