package metering

import (
	"github.com/trailshed/trailshed/internal/allotment"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/quota"
	"github.com/trailshed/trailshed/internal/route"
)

// Topic and role of the meter of workspaces.
const (
	workspaceTopic = "limits"
	workspaceRole  = "ledger"
)

// ForWorkspaces returns options of a meter whose accounts are the workspaces of the
// configuration. It sets those that depend on the kind of account.
func ForWorkspaces(o Options, d *directory.Directory, log *eventlog.Log) Options {
	o.Topic, o.Role = workspaceTopic, workspaceRole
	o.Limits = workspaceLimits(d)
	o.Division = quota.Division{Policy: allotment.ByUrgency}
	o.Changed = func(workspace string, heldBack bool, used float64) {
		outcome := "workspace_let_through"
		if heldBack {
			outcome = "workspace_held_back"
		}
		log.Write(eventlog.Line{Event: eventlog.Believed, Outcome: outcome, Workspace: workspace, Count: int64(used)})
	}
	return o
}

// workspaceLimits returns a function that returns the limits of all workspaces that have
// one, by name, and determines them once for each configuration.
func workspaceLimits(d *directory.Directory) func() map[string]quota.Limit {
	var table *route.Table
	var limits map[string]quota.Limit
	return func() map[string]quota.Limit {
		t := d.View().Table
		if t == table {
			return limits
		}
		table, limits = t, map[string]quota.Limit{}
		for _, w := range t.Workspaces() {
			if w.Limit.Limited() {
				limits[w.Name] = LimitOf(&w)
			}
		}
		return limits
	}
}

// LimitOf returns the limit of a workspace.
func LimitOf(w *route.Workspace) quota.Limit {
	return quota.Limit{Rate: w.Limit.Rate, Burst: w.Limit.Burst}
}
