package checker

import (
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

// storeChange is a temporary state of a zone or an endpoint that the store announces.
type storeChange struct {
	target string
	from   time.Time // when the store had acknowledged it
	to     time.Time // when it was about to be revoked; zero while it is in force
}

// beginChange appends a change to a list. The caller calls end just before it revokes the
// change.
func (c *Checker) beginChange(list *[]*storeChange, target string) (end func()) {
	change := &storeChange{target: target, from: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, change)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		change.to = time.Now()
	}
}

// mustKnow reports whether the instance that sent a request must have known of a change
// made at since, and no fault affected the endpoint or the link to it.
func (c *Checker) mustKnow(call caller.Call, r Run, since time.Time) bool {
	bound := c.Bounds.ChangeDelay + c.Bounds.ChangeSlack
	return c.canKnow(call, since, r.At, &bound) && r.At.After(since.Add(bound)) &&
		c.Faults.Undisturbed(since, r.At, r.Endpoint, timeline.Endpoint)
}

// knewBefore reports whether an instance must have known of a change before a request arrived,
// whatever has happened to the store and between instances since: a process does not forget.
func (c *Checker) knewBefore(call caller.Call, r Run, since time.Time) bool {
	bound := c.Bounds.ChangeDelay + c.Bounds.ChangeSlack
	return c.canKnow(call, since, since.Add(bound), &bound) && r.At.After(since.Add(bound)) &&
		c.Faults.Undisturbed(since, r.At, call.Gateway.Name, timeline.Process, timeline.Planned) &&
		c.Faults.Undisturbed(since, r.At, r.Endpoint, timeline.Endpoint)
}

// inForce reports whether a change was in force when a request arrived.
func (c *storeChange) inForce(r Run) bool { return c.to.IsZero() || !r.At.After(c.to) }
