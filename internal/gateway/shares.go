package gateway

import "github.com/trailshed/trailshed/internal/contention"

// openShares creates the part that makes workspaces share plain services.
func (g *Gateway) openShares() {
	s := g.settings.Load()
	g.shares = contention.New(contention.Options{
		Name: s.Instance.Name, Zone: s.Instance.Zone, Transport: g.transport, Roster: g.roster,
		Directory: g.directory, Log: g.log, Scope: g.counters.Scope, Now: g.now,
	})
}
