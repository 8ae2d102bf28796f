package checker

import (
	"strings"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

const (
	// minLinkCalls is how many calls there must be at cut instances, and at the others, for
	// their shares to be compared.
	minLinkCalls = 12
	// allowedLinkFailures and allowedLinkRatio are how many calls at cut instances may fail
	// whatever is served elsewhere, in all and as a fraction.
	allowedLinkFailures = 10
	allowedLinkRatio    = 1.0 / 50
	// A cut instance serves at least minServedNumerator/minServedDenominator of what others
	// serve.
	minServedNumerator, minServedDenominator = 2, 3
)

// share counts calls and those that were served.
type share struct{ served, all int }

func (s *share) add(served bool) {
	s.all++
	if served {
		s.served++
	}
}

// checkCutInstances compares what instances that have lost their links to endpoints serve with
// what the others serve meanwhile, from CalmTime after the loss.
func (c *Checker) checkCutInstances(byCall map[string][]Run) {
	instances := map[string]bool{}
	for _, call := range c.calls {
		instances[call.Gateway.Name] = true
	}
	for _, window := range c.Faults.Windows(timeline.Links) {
		from := window.From.Add(c.Bounds.CalmTime)
		var cut, others share
		for _, call := range c.calls {
			if call.Sent.Before(from) || call.Ended.After(window.To) || !c.comparable(call, byCall[call.ID]) {
				continue
			}
			served := call.Reply.Err == nil && call.Reply.Status == 200
			switch {
			case call.Gateway.Name != window.Target:
				if c.Faults.Undisturbed(call.Sent, call.Ended, call.Gateway.Name, timeline.Links) {
					others.add(served)
				}
			case c.anyoneLinked(instances, call.Sent.Add(-c.Bounds.CalmTime), call.Ended):
				cut.add(served)
			}
		}
		if fewer(cut, others) {
			c.violated("cut instances serve", window.Target+" "+window.From.Format("05.000"), from, "%s served %d of %d, the others %d of %d", window.Target, cut.served, cut.all, others.served, others.all)
		}
	}
}

// comparable reports whether a call shows how well instances serve: every configuration serves
// its kind everywhere, and no other fault affected its instance or an endpoint that it reached.
// Instances prefer the endpoints of their zone, so that faulty ones do not affect all alike.
func (c *Checker) comparable(call caller.Call, runs []Run) bool {
	if call.Disconnected || call.Kind.Workspace == caller.Limited || call.Kind.HomeZone != "" || call.Kind.Version != 0 ||
		call.Crashes() {
		return false
	}
	for _, r := range runs {
		if !c.Faults.Undisturbed(call.Sent, call.Ended, r.Endpoint, timeline.Endpoint) {
			return false
		}
	}
	from := call.Sent.Add(-c.Bounds.CalmTime)
	return c.Faults.Undisturbed(from, call.Ended, call.Gateway.Name, timeline.Process, timeline.Planned, timeline.Peers) &&
		c.Faults.Undisturbed(from, call.Ended, "", timeline.Store, timeline.InstanceStore)
}

// fewer reports whether cut instances served too few calls compared with the others.
func fewer(cut, others share) bool {
	failed := cut.all - cut.served
	if cut.all < minLinkCalls || others.all < minLinkCalls || float64(failed) <= allowedLinkFailures+allowedLinkRatio*float64(cut.all) {
		return false
	}
	return cut.served*others.all*minServedDenominator < others.served*cut.all*minServedNumerator
}

// anyoneLinked reports whether some of the instances kept its links between two moments. Without
// one, no instance reaches endpoints.
func (c *Checker) anyoneLinked(instances map[string]bool, from, to time.Time) bool {
	for name := range instances {
		if c.Faults.Undisturbed(from, to, name, timeline.Links) {
			return true
		}
	}
	return false
}

// checkHeld checks for a request that was refused because it ends endpoints although none that
// ran it had a fault.
func (c *Checker) checkHeld(runs []Run) {
	ended := map[string]bool{} // bodies of requests that ran at an endpoint with a fault
	for _, r := range runs {
		until := r.Ended
		if until.IsZero() {
			until = r.At.Add(c.Bounds.CalmTime)
		}
		if !c.Faults.Without(r.At, until, r.Endpoint, timeline.Endpoint) {
			ended[r.Body] = true
		}
	}
	for _, call := range c.calls {
		held := call.Reply.Status == 503 && strings.Contains(call.Reply.Body, "ends_endpoints")
		if held && !call.Crashes() && !ended[call.Body] {
			c.violated("sound requests run", call.ID, call.Ended, "%s holds it, but no endpoint ended under it", call.Gateway.Name)
		}
	}
}
