package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// maxStartDelay is how long after a cancel the start of the attempt may still
	// be in transit. Until then a report without the attempt does not prove that
	// it is gone.
	maxStartDelay = 1 * time.Second
	// grantGrace is how long after a request or grant an announcement may still
	// lack the attempt. maxGrantDelay is how long a grant may be in transit
	// before it is sent again.
	grantGrace    = 1 * time.Second
	maxGrantDelay = 200 * time.Millisecond
)

// reservation is the capacity that an attempt holds at endpoints. It is removed
// only once the attempt finished, or every endpoint confirmed its release.
type reservation struct {
	attempt        AttemptID
	owner          Owner
	workspace      string
	kind           string
	class          string
	tokens         int
	tbt            time.Duration
	prefill        string
	decode         string
	phase          Phase
	grant          Grant // sent again if the entry did not receive it
	granted        clock.Millis
	expectedCached int // prompt tokens expected in the prefix cache
	blocks         []uint64
	doneAt         clock.Millis // predicted
	holdPrefill    bool
	holdDecode     bool
	alone          bool // its prefill was granted on an idle endpoint, so its duration measures the speed
	adopted        bool
	ending         bool
	endingSince    clock.Millis
}

// progress processes an entry's report on the phase of an attempt.
func (c *Cell) progress(now clock.Millis, p Progress) {
	if p.Phase == Withdrawn && c.queue.remove(p.Attempt) {
		c.recordDecision(now, p.Attempt, "withdrawn while waiting", Terms{})
		return
	}
	r, ok := c.reservations[p.Attempt]
	if !ok || r.ending {
		return
	}
	switch p.Phase {
	case Prefilled:
		c.prefilled(now, r, p)
	case Streaming:
		c.streaming(now, r)
	case Finished:
		c.finished(now, r, p)
	case Failed:
		c.options.OnDecision("failed")
		c.recordFailure(now, p.FailedEndpoint)
		c.end(now, r, "failed at "+p.FailedEndpoint)
	case Withdrawn:
		c.options.OnDecision("withdrawn")
		c.end(now, r, "withdrawn")
	case Granted:
	}
}

func (c *Cell) prefilled(now clock.Millis, r *reservation, p Progress) {
	r.phase = Prefilled
	s, ok := c.servers[r.prefill]
	if !ok {
		return
	}
	s.removePrefill(now, r.attempt)
	s.prefixes.learn(r.expectedCached, p.Cached)
	s.prefixes.add(r.blocks...)
	if r.alone {
		c.evaluatePrefill(now, s, r.tokens-p.Cached, p.Duration)
	}
}

func (c *Cell) streaming(now clock.Millis, r *reservation) {
	r.phase = Streaming
	c.releasePrefill(now, r)
	if s, ok := c.servers[r.decode]; ok {
		r.doneAt = now.Add(c.answerTime(s, r.workspace, r.kind))
	}
}

func (c *Cell) finished(now clock.Millis, r *reservation, p Progress) {
	c.options.OnDecision("finished")
	r.phase = Finished
	if p.Tokens > 0 {
		c.lengths.learn(lengthKey(r.workspace, r.kind), p.Tokens)
	}
	if s, ok := c.servers[r.decode]; ok {
		c.evaluateDecode(now, s, p)
	}
	c.retryBudget = min(c.retryBudget+c.options.RetryRatio, maxSavedRetries)
	c.releasePrefill(now, r)
	c.releaseDecode(now, r)
	c.recordDecision(now, r.attempt, "finished", Terms{})
}

// end starts the release of an attempt. Its capacity stays reserved until the
// endpoints confirm the release.
func (c *Cell) end(now clock.Millis, r *reservation, reason string) {
	if r.ending {
		return
	}
	r.ending, r.endingSince = true, now
	c.ending[r.attempt] = r
	if s, ok := c.servers[r.prefill]; ok {
		s.removePrefill(now, r.attempt)
	}
	c.recordDecision(now, r.attempt, reason, Terms{})
	c.cancel(now, r)
}

// cancel requests the release of an attempt from every endpoint that may hold
// it.
func (c *Cell) cancel(now clock.Millis, r *reservation) {
	if r.holdPrefill {
		c.cancelAt(now, r, r.prefill)
	}
	if r.holdDecode {
		c.cancelAt(now, r, r.decode)
	}
}

func (c *Cell) cancelAt(now clock.Millis, r *reservation, name string) {
	s, ok := c.servers[name]
	if !ok {
		c.release(now, r, name) // the endpoint no longer exists
		return
	}
	c.emit(Cancel{Endpoint: name, Address: s.Address, Attempt: r.attempt})
}

// cancelled processes the result of a cancel. If the endpoint did not hold the
// attempt, its start may still arrive, so only a later report confirms the
// release.
func (c *Cell) cancelled(now clock.Millis, e Cancelled) {
	r, ok := c.reservations[e.Attempt]
	if !ok || !r.ending || !e.Freed {
		return
	}
	c.release(now, r, e.Endpoint)
}

func (c *Cell) release(now clock.Millis, r *reservation, name string) {
	if r.prefill == name {
		c.releasePrefill(now, r)
	}
	if r.decode == name {
		c.releaseDecode(now, r)
	}
}

func (c *Cell) releasePrefill(now clock.Millis, r *reservation) {
	r.holdPrefill = false
	if s, ok := c.servers[r.prefill]; ok {
		s.removePrefill(now, r.attempt)
	}
	c.removeIfReleased(now, r)
}

func (c *Cell) releaseDecode(now clock.Millis, r *reservation) {
	r.holdDecode = false
	if s, ok := c.servers[r.decode]; ok {
		delete(s.used, r.attempt)
	}
	c.removeIfReleased(now, r)
}

func (c *Cell) removeIfReleased(now clock.Millis, r *reservation) {
	if !r.holdPrefill && !r.holdDecode {
		c.remove(r)
		c.recentlyEnded[r.attempt] = now
	}
}

// add indexes a reservation by attempt and owner.
func (c *Cell) add(r *reservation) {
	c.reservations[r.attempt] = r
	owned, ok := c.byOwner[r.owner.id()]
	if !ok {
		owned = map[AttemptID]*reservation{}
		c.byOwner[r.owner.id()] = owned
	}
	owned[r.attempt] = r
}

func (c *Cell) remove(r *reservation) {
	delete(c.reservations, r.attempt)
	delete(c.ending, r.attempt)
	owned := c.byOwner[r.owner.id()]
	delete(owned, r.attempt)
	if len(owned) == 0 {
		delete(c.byOwner, r.owner.id())
	}
}

// selectReservations returns the reservations that match, ordered by attempt.
func selectReservations(all map[AttemptID]*reservation, match func(*reservation) bool) []*reservation {
	var found []*reservation
	for _, r := range all {
		if match(r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b *reservation) int { return cmp.Compare(a.attempt, b.attempt) })
	return found
}
