package checker

import (
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

// change is what the store tells for a while of a target: a zone or an endpoint.
type change struct {
	target string
	from   time.Time // when the store had it
	to     time.Time // before it was taken back; zero while it stands
}

// begin notes a change in a list. end is to be called before it is taken back.
func (c *Checker) begin(list *[]*change, target string) (end func()) {
	e := &change{target: target, from: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, e)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		e.to = time.Now()
	}
}

// mustKnow says whether a request was sent by an instance that must have known of a change
// since some time, and its endpoint and the way to it were sound.
func (c *Checker) mustKnow(call caller.Call, r Run, since time.Time) bool {
	bound := c.Bounds.Drain + c.Bounds.Slack
	return c.informed(call, since, r.At, &bound) && r.At.After(since.Add(bound)) &&
		c.Faults.Calm(since, r.At, r.Endpoint, timeline.Endpoint)
}

// stands says whether a change stood as a request arrived.
func (e *change) stands(r Run) bool { return e.to.IsZero() || !r.At.After(e.to) }
