package forward

import (
	"net/http"

	"github.com/trailshed/trailshed/internal/admission"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/route"
)

// Limiter says whether workspaces keep to their limits over all instances.
type Limiter struct {
	// Admit counts a request of so many units, unless that is too many.
	Admit func(w *route.Workspace, units float64) admission.Verdict
	// Credit takes back what Admit counted for a request that did not run.
	Credit func(w *route.Workspace, units float64)
}

// identify finds whose request it is, by its key. It answers what it refuses. No
// line and no answer tells anything of the key.
func (p *passage) identify() bool {
	if !p.view.Table.Keyed() {
		return true
	}
	if p.call.HasKey {
		p.workspace = p.view.Table.Workspace(p.call.Key)
	}
	if p.workspace != nil || p.route.Open {
		return true
	}
	reason := "no_key"
	if p.call.HasKey {
		reason = "unknown_key"
	}
	p.Scope.Tagged(map[string]string{"reason": reason}).Counter("keys_refused").Inc(1)
	p.reject(http.StatusUnauthorized, reason, Error.New("the request has no key that is known here"))
	return false
}

// charge counts the request to its workspace. What is over the workspace's limit
// is refused here, before it holds a place, memory or retry allowance.
func (p *passage) charge() bool {
	if p.workspace == nil || !p.workspace.Limit.Bound() {
		return true
	}
	units := p.workspace.Limit.Cost(p.call.Prompt+p.call.Output, p.call.Counted)
	v := p.Limits.Admit(p.workspace, units)
	p.countWorkspace(v.Admitted)
	if v.Admitted {
		p.charged = units
		return true
	}
	p.refuseOver(v)
	return false
}

// credit takes back what was charged, if the request did not run: only what ran
// counts.
func (p *passage) credit() {
	if p.charged > 0 && p.runs == 0 {
		p.Limits.Credit(p.workspace, p.charged)
	}
}

func (p *passage) countWorkspace(admitted bool) {
	name := "workspace_admitted"
	if !admitted {
		name = "workspace_over_limit"
	}
	p.Scope.Tagged(map[string]string{"workspace": p.workspace.Name}).Counter(name).Inc(1)
}

// refuseOver tells the caller that its workspace is over its limit.
func (p *passage) refuseOver(v admission.Verdict) {
	p.failure = "over_limit"
	n := p.line(eventlog.Refused, p.failure, nil)
	n.Age, n.Detail = v.Age, v.String()
	p.refuseWith(http.StatusTooManyRequests, v.After, n)
}

// priority is what engines are told: the workspace's, if it has one.
func (p *passage) priority() int {
	if p.workspace != nil && p.workspace.Ranked {
		return p.workspace.Priority
	}
	return p.route.Priority
}

// workspaceName is what endpoints are told.
func (p *passage) workspaceName() string {
	if p.workspace == nil {
		return ""
	}
	return p.workspace.Name
}
