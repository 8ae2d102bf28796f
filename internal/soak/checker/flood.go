package checker

import (
	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

// minFloodCalls is how many calls of other workspaces there must be during a flood, and beside floods,
// for their shares to be compared.
const minFloodCalls = 12

// floodLoss is the fraction of the calls of other workspaces that a flood may cost.
const floodLoss = 1.0 / 10

// checkFlood compares what workspaces get of a service while another one sends more than the service can
// serve, from CalmTime after it began, with what they get at other times.
func (c *Checker) checkFlood(byCall map[string][]Run) {
	windows := c.Faults.Windows(timeline.Flood)
	var during, beside share
	for _, call := range c.calls {
		if call.Kind.Workspace == caller.Flooding || call.Kind.Service != caller.FloodKind().Service ||
			!c.comparable(call, byCall[call.ID]) || !c.callUndisturbed(call, call.Sent.Add(-c.Bounds.CalmTime), call.Ended) {
			continue
		}
		served := call.Reply.Err == nil && call.Reply.Status == 200
		switch {
		case c.Faults.Undisturbed(call.Sent.Add(-c.Bounds.CalmTime), call.Ended, "", timeline.Flood):
			beside.add(served)
		case withinFlood(windows, call, c.Bounds):
			during.add(served)
		}
	}
	if during.all < minFloodCalls || beside.all < minFloodCalls {
		return
	}
	if during.ratio() < beside.ratio()-floodLoss {
		c.violated("workspaces share", caller.FloodKind().Service, windows[0].From, "served %d of %d calls of other workspaces during a flood, %d of %d otherwise",
			during.served, during.all, beside.served, beside.all)
	}
}

// withinFlood reports whether a call was made while a flood was known to the instances.
func withinFlood(windows []timeline.Fault, call caller.Call, b Bounds) bool {
	for _, w := range windows {
		if call.Sent.After(w.From.Add(b.CalmTime)) && call.Ended.Before(w.To) {
			return true
		}
	}
	return false
}

func (s share) ratio() float64 { return float64(s.served) / float64(max(s.all, 1)) }
