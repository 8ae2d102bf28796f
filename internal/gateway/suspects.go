package gateway

import (
	"strings"

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
		OnHeldChange: func(r quarantine.Record) {
			g.logHeld(r)
			if r.Part != nil && r.Held() && !r.Lapsed() {
				g.forwarder.CancelHeld()
			}
		},
		OnUnreadable: func(err error, revision int64) {
			g.log.Write(eventlog.Line{Event: eventlog.Unreadable, Detail: err.Error(), Revision: revision})
		},
	})
}

// logHeld logs that a request or a part of prompts is held or was cleared.
func (g *Gateway) logHeld(r quarantine.Record) {
	n := eventlog.Line{Event: eventlog.Believed, Fingerprint: r.Work.String(), Count: int64(r.EndCount()), Outcome: "request_cleared"}
	if r.Held() {
		n.Outcome = "request_held"
	}
	if r.Part != nil {
		n.Outcome = strings.Replace(n.Outcome, "request", "part", 1)
		if r.Lapsed() {
			n.Outcome = "part_lapsed"
		}
		n.Service, n.Workspace, n.Parts = r.Part.Service, r.Part.Workspace, string(r.Part.Part)
		n.Detail = partEvidence(r)
		if r.Cleared != 0 {
			n.Age = g.now().Sub(r.Cleared)
		}
	}
	g.log.Write(n)
}

// partEvidence describes what speaks for and against a part: the endpoints that ended, and whether
// answers were written on it before.
func partEvidence(r quarantine.Record) string {
	text := "no answer seen"
	if r.RecentlyCompleted {
		text = "answers seen"
	}
	for _, e := range r.Ends {
		text += " " + e.Endpoint
	}
	return text
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
