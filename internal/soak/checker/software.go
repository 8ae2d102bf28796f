package checker

import (
	"slices"
	"strings"

	"github.com/trailshed/trailshed/internal/soak/caller"
)

// checkSoftware checks that the events of a stream come from one software version, within an
// answer and over all calls of its caller.
func (c *Checker) checkSoftware() {
	calls := map[string][]caller.Call{} // by the call that brought the first event
	for _, call := range c.calls {
		origin := call.ID
		if call.BeganAs != "" {
			origin = call.BeganAs
		}
		calls[origin] = append(calls[origin], call)
	}
	for origin, list := range calls {
		slices.SortFunc(list, func(a, b caller.Call) int { return a.Sent.Compare(b.Sent) })
		var versions []string
		for _, call := range list {
			for _, v := range call.Versions {
				if !slices.Contains(versions, v) {
					versions = append(versions, v)
				}
			}
			if len(versions) > 1 {
				c.violated("one version", origin, call.Ended, "%s sent events of %s, after those of earlier versions or calls", call.Gateway.Name, strings.Join(versions, " and "))
			}
		}
	}
}
