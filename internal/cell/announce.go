package cell

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// announce renews an entry's attempts, adopts those granted by a former
// dispatcher and ends those that the entry no longer wants.
func (c *Cell) announce(now clock.Millis, a Announcement) {
	c.owners[a.Owner.id()] = now
	wanted := map[AttemptID]bool{}
	for _, id := range a.Waiting {
		wanted[id] = true
	}
	for _, run := range a.Running {
		wanted[run.Attempt] = true
		r, ok := c.reservations[run.Attempt]
		switch {
		case !ok && c.recentlyEnded[run.Attempt] > 0: // a message about its end overtook the announcement
		case !ok:
			c.adoptRunning(now, a.Owner, run)
		case r.ending:
			c.emit(SendFenced{To: a.Owner, Fenced: Fenced{Attempt: run.Attempt}})
		}
	}
	for _, r := range selectReservations(c.byOwner[a.Owner.id()], func(r *reservation) bool {
		return !wanted[r.attempt] && now.Sub(r.granted) > grantGrace
	}) {
		c.end(now, r, "entry no longer runs it")
	}
	c.renewWaiting(now, a)
}

func (c *Cell) renewWaiting(now clock.Millis, a Announcement) {
	var unknown []AttemptID
	for _, id := range a.Waiting {
		r, granted := c.reservations[id]
		switch {
		case !granted && c.queue.find(id) == nil:
			unknown = append(unknown, id)
		case granted && !r.ending && now.Sub(r.granted) > maxGrantDelay:
			c.options.OnDecision("granted_again")
			c.emit(SendGrant{To: a.Owner, Grant: r.grant})
		}
	}
	if len(unknown) > 0 {
		c.emit(SendUnknown{To: a.Owner, Unknown: UnknownAttempts{Cell: c.Name, Attempts: unknown}})
	}
	c.queue.items = slices.DeleteFunc(c.queue.items, func(w *waiting) bool {
		return w.request.Owner.id() == a.Owner.id() && now.Sub(w.since) > grantGrace &&
			!slices.Contains(a.Waiting, w.request.Attempt)
	})
}

func (c *Cell) adoptRunning(now clock.Millis, owner Owner, run AnnouncedAttempt) {
	r := &reservation{
		attempt: run.Attempt, owner: owner, workspace: run.Workspace, kind: run.Kind,
		tokens: run.Tokens, tbt: run.TBT, prefill: run.Prefill, decode: run.Decode,
		phase: run.Phase, granted: now, doneAt: now, adopted: true,
	}
	r.holdPrefill = run.Prefill != "" && run.Phase != Streaming
	r.holdDecode = true
	s, ok := c.servers[run.Decode]
	if !ok {
		return // its endpoint is no longer in this cell's configuration
	}
	c.add(r)
	s.used[run.Attempt] = r
	for _, server := range c.order {
		delete(server.orphans, run.Attempt)
	}
	c.options.OnDecision("adopted")
}

// expireOwners ends the attempts of entries that stopped sending messages.
func (c *Cell) expireOwners(now clock.Millis) {
	for _, r := range selectReservations(c.reservations, func(r *reservation) bool {
		return !r.ending && now.Sub(c.lastReceived(r)) > c.options.OwnerExpiry
	}) {
		c.options.OnDecision("owner_expired")
		c.end(now, r, "entry "+r.owner.Node+" stopped sending messages")
	}
	c.queue.items = slices.DeleteFunc(c.queue.items, func(w *waiting) bool {
		return now.Sub(max(c.owners[w.request.Owner.id()], w.since)) > c.options.OwnerExpiry
	})
	for id, at := range c.recentlyEnded {
		if now.Sub(at) > endedRetention {
			delete(c.recentlyEnded, id)
		}
	}
	for id, received := range c.owners {
		if now.Sub(received) > ownerRetention {
			delete(c.owners, id)
		}
	}
}

// endedRetention is how long ended attempts are remembered, so that delayed
// messages do not start or adopt them again.
const endedRetention = 5 * time.Second

// ownerRetention is how long an entry is remembered after its last announcement
// or request.
const ownerRetention = time.Minute

func (c *Cell) lastReceived(r *reservation) clock.Millis {
	return max(c.owners[r.owner.id()], r.granted)
}
