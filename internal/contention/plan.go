package contention

import (
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/sharing"
)

// plan is what one configuration says about sharing.
type plan struct {
	table   *route.Table
	targets map[string]time.Duration // of the services that are shared
	weights map[string]float64       // of workspaces
	usual   float64                  // weight of requests without a workspace
}

// newPlan returns the plan of a configuration, which may be nil. Plain services are shared
// if there are several workspaces.
func newPlan(t *route.Table) *plan {
	p := &plan{table: t, targets: map[string]time.Duration{}, weights: map[string]float64{}, usual: 1}
	if t == nil || len(t.Workspaces()) < 2 {
		return p
	}
	p.addWeights(t.Workspaces())
	for _, r := range t.Document().Routes {
		for _, s := range r.Shares {
			if t.Service(s.Service).Engine != nil || r.Target <= 0 {
				continue
			}
			if before, ok := p.targets[s.Service]; !ok || r.Target < before {
				p.targets[s.Service] = r.Target
			}
		}
	}
	return p
}

// addWeights weighs workspaces by their limits. A workspace without a limit counts as the
// mean one. Limits in different units cannot be compared: all workspaces weigh the same
// then.
func (p *plan) addWeights(workspaces []route.Workspace) {
	total, limited, inTokens := 0.0, 0, 0
	for _, w := range workspaces {
		if !w.Limit.Limited() {
			continue
		}
		total += w.Limit.Rate
		limited++
		if w.Limit.Tokens {
			inTokens++
		}
	}
	sameUnit := limited > 0 && (inTokens == 0 || inTokens == limited)
	if sameUnit {
		p.usual = total / float64(limited)
	}
	for _, w := range workspaces {
		p.weights[w.Name] = p.usual
		if sameUnit && w.Limit.Limited() {
			p.weights[w.Name] = w.Limit.Rate
		}
	}
}

// shares reports whether a service is shared.
func (p *plan) shares(service string) bool {
	_, ok := p.targets[service]
	return ok
}

func (p *plan) hasWorkspace(name string) bool {
	_, ok := p.weights[name]
	return ok
}

// weight returns the weight of a workspace, or of requests without one.
func (p *plan) weight(workspace string) float64 {
	if w, ok := p.weights[workspace]; ok {
		return w
	}
	return p.usual
}

// services returns the shared services with the slots of their endpoints that take requests.
func (p *plan) services(v *directory.View) map[string]sharing.Service {
	services := make(map[string]sharing.Service, len(p.targets))
	for name, target := range p.targets {
		s := sharing.Service{Target: target}
		for e := range v.Service(name) {
			if e.State == directory.Ready {
				s.Slots += e.Slots
			}
		}
		services[name] = s
	}
	return services
}
