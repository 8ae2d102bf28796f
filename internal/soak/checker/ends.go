package checker

import (
	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

// checkEnd checks for a request that ended without an answer or a refusal, and for an answer that was
// broken off. That an endpoint was silent excuses neither, and that the instance stopped neither what was passed on
// nor what it had the time to read.
func (c *Checker) checkEnd(call caller.Call, runs []Run) {
	reply, instance := call.Reply, call.Gateway.Name
	unanswered := reply.Err != nil && reply.Status == 0
	switch {
	case call.LeftOrLate() || !c.instanceWentOn(call):
	case reply.Err != nil && !unanswered:
		if c.endpointsWentOn(call, runs) && !c.cutByStop(call) {
			c.violated("not broken off", call.ID, call.Ended, "%s broke its answer off: %v", instance, reply.Err)
		}
	case unanswered && len(runs) > 0:
		c.violated("answered or refused", call.ID, call.Ended, "%s passed it on to %s, then closed the connection: %v", instance, runs[0].Endpoint, reply.Err)
	case (reply.Writes > 1 || unanswered && reply.Writes == 1 && reply.Reused) && !c.closedByStop(call):
		c.violated("answered or refused", call.ID, call.Ended, "%s closed the kept connection on which it came: %v", instance, reply.Err)
	}
}

// instanceWentOn reports whether no fault of its own allowed an instance to end a call: it was not killed, and
// not frozen while it had to stop.
func (c *Checker) instanceWentOn(call caller.Call) bool {
	instance := call.Gateway.Name
	return c.Faults.Undisturbed(call.Sent, call.Ended, instance, timeline.Kill) &&
		(c.Faults.Undisturbed(call.Sent, call.Ended, instance, timeline.Frozen) ||
			c.Faults.Undisturbed(call.Sent, call.Ended, instance, timeline.Planned))
}

// endpointsWentOn reports whether no endpoint that ran a call had a fault but silence, and the instance kept its
// links.
func (c *Checker) endpointsWentOn(call caller.Call, runs []Run) bool {
	for _, r := range runs {
		if r.Ran && !c.Faults.Without(r.At, call.Ended, r.Endpoint, timeline.Endpoint) {
			return false
		}
	}
	return c.Faults.Undisturbed(call.Sent, call.Ended, call.Gateway.Name, timeline.Links)
}
