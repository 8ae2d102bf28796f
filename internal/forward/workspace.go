package forward

import (
	"net/http"
	"strconv"

	"github.com/trailshed/trailshed/internal/admission"
	"github.com/trailshed/trailshed/internal/allotment"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/route"
)

// Limiter enforces the limits of workspaces across all instances.
type Limiter struct {
	// Admit counts a request of the given units against the workspace's limit, unless it
	// would exceed that.
	Admit func(w *route.Workspace, c allotment.Class, units float64) admission.Decision
	// Credit gives back the units of a request that did not run.
	Credit func(w *route.Workspace, units float64)
}

// maxCountedPriority is the highest priority that is counted on its own; it bounds the
// number of counters.
const maxCountedPriority = 9

// identify finds the caller's workspace by its API key. If it returns false, the caller has
// been answered. The key is neither logged nor returned.
func (p *proxyRequest) identify() bool {
	if !p.view.Table.RequiresKey() {
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

// charge counts the request against the workspace's limit. A request over the limit is
// refused here, before it takes a place, memory or retry budget.
func (p *proxyRequest) charge() bool {
	if p.workspace == nil || !p.workspace.Limit.Limited() {
		return true
	}
	units := p.workspace.Limit.Cost(p.call.PromptTokens+p.call.MaxOutputTokens, p.call.HasTokenCounts)
	class := allotment.Class{Priority: p.priority(), Size: allotment.SizeOf(units)}
	d := p.Limits.Admit(p.workspace, class, units)
	p.countWorkspace(d.Admitted)
	if d.Admitted {
		p.chargedUnits = units
		return true
	}
	p.refuseOverLimit(d)
	return false
}

// credit gives back the charged units if the request did not run: only requests that ran
// count.
func (p *proxyRequest) credit() {
	if p.chargedUnits > 0 && p.record.MayHaveRun() == 0 {
		p.Limits.Credit(p.workspace, p.chargedUnits)
	}
}

func (p *proxyRequest) countWorkspace(admitted bool) {
	name := "workspace_admitted"
	if !admitted {
		name = "workspace_over_limit"
	}
	p.Scope.Tagged(map[string]string{"workspace": p.workspace.Name}).Counter(name).Inc(1)
	name = "limit_admitted"
	if !admitted {
		name = "limit_refused"
	}
	priority := strconv.Itoa(min(max(p.priority(), 0), maxCountedPriority))
	p.Scope.Tagged(map[string]string{"priority": priority}).Counter(name).Inc(1)
}

// refuseOverLimit tells the caller that its workspace is over its limit.
func (p *proxyRequest) refuseOverLimit(d admission.Decision) {
	p.failure = "over_limit"
	n := p.logLine(eventlog.Refused, p.failure, nil)
	n.Age, n.Detail = d.Age, d.String()
	p.refuseWith(http.StatusTooManyRequests, d.RetryAfter, n)
}

// priority returns the workspace's priority if it has one, or else the route's.
func (p *proxyRequest) priority() int {
	if p.workspace != nil && p.workspace.Ranked {
		return p.workspace.Priority
	}
	return p.route.Priority
}

// workspaceName returns the workspace's name, or "" without a workspace.
func (p *proxyRequest) workspaceName() string {
	if p.workspace == nil {
		return ""
	}
	return p.workspace.Name
}
