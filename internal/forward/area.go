package forward

import (
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/residency"
)

// The reasons of a request that no zone may serve.
const (
	zonesEvacuated   = "zones_evacuated"
	regionNotAllowed = "region_not_allowed"
)

// area is where the request may be served now.
func (p *passage) area() residency.Area {
	var workspace []string
	if p.workspace != nil {
		workspace = p.workspace.Regions
	}
	return residency.New(p.Regions, p.Directory.View().Evacuated, p.route.Regions, workspace)
}

// withoutEndpoint is why no endpoint may serve the request: all are in zones to which it
// may not go, or there is none.
func (p *passage) withoutEndpoint() string {
	area, reason := p.area(), "no_endpoint"
	for e := range p.view.Service(p.service) {
		switch {
		case !area.Resident(e.Zone):
			if reason == "no_endpoint" {
				reason = regionNotAllowed
			}
		case e.State == directory.Evacuated:
			reason = zonesEvacuated
		case e.State == directory.Ready:
			return "no_endpoint"
		}
	}
	return reason
}
