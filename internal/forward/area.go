package forward

import (
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/residency"
)

// Reasons for refusing a request that no zone may serve.
const (
	zonesEvacuated   = "zones_evacuated"
	regionNotAllowed = "region_not_allowed"
)

// allowedArea returns the zones where the request may be served now.
func (p *proxyRequest) allowedArea() residency.Area {
	var workspace []string
	if p.workspace != nil {
		workspace = p.workspace.Regions
	}
	return residency.New(p.Regions, p.Directory.View().Evacuated, p.route.Regions, workspace)
}

// noEndpointReason returns why no endpoint may serve the request: either there is none, or
// all of them are in zones to which the request may not go.
func (p *proxyRequest) noEndpointReason() string {
	area, reason := p.allowedArea(), "no_endpoint"
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
