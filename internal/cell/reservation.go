package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// settle is how long after a cancel a start may still be on its way, so
	// that a listing without the attempt proves nothing yet.
	settle = 1 * time.Second
	// grantGrace is how long an announcement may still miss a new grant;
	// grantWay is how long a grant may be under way.
	grantGrace = 1 * time.Second
	grantWay   = 200 * time.Millisecond
)

// reservation is what an attempt holds at endpoints. It ends only when every
// endpoint confirmed that it holds nothing, or finished by itself.
type reservation struct {
	attempt     AttemptID
	owner       Owner
	workspace   string
	kind        string
	class       string
	tokens      int
	tbt         time.Duration
	prefill     string
	decode      string
	phase       Phase
	grant       Grant // said again when the entry does not know of it
	granted     clock.Millis
	expected    int // prompt tokens expected in the prefix cache
	blocks      []uint64
	doneAt      clock.Millis // predicted
	holdPrefill bool
	holdDecode  bool
	alone       bool // its prefill began on an idle endpoint, so its time tells the speed
	adopted     bool
	ending      bool
	endingSince clock.Millis
}

// progress takes an entry's report on how far an attempt is.
func (c *Cell) progress(now clock.Millis, p Progress) {
	if p.Phase == Withdrawn && c.queue.remove(p.Attempt) {
		c.decide(now, p.Attempt, "withdrawn while waiting", Terms{})
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
		c.options.Counted("failed")
		c.strike(now, p.At)
		c.end(now, r, "failed at "+p.At)
	case Withdrawn:
		c.options.Counted("withdrawn")
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
	s.endWork(now, r.attempt)
	s.prefixes.learn(r.expected, p.Cached)
	s.prefixes.add(r.blocks...)
	if r.alone {
		c.judgePrefill(now, s, r.tokens-p.Cached, p.Took)
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
	c.options.Counted("finished")
	r.phase = Finished
	if p.Tokens > 0 {
		c.lengths.learn(lengthKey(r.workspace, r.kind), p.Tokens)
	}
	if s, ok := c.servers[r.decode]; ok {
		c.judgeDecode(now, s, p)
	}
	c.retries = min(c.retries+c.options.RetryShare, retryBurst)
	c.releasePrefill(now, r)
	c.releaseDecode(now, r)
	c.decide(now, r.attempt, "finished", Terms{})
}

// end begins to free what an attempt holds. Its places stay taken until the
// endpoints confirm.
func (c *Cell) end(now clock.Millis, r *reservation, why string) {
	if r.ending {
		return
	}
	r.ending, r.endingSince = true, now
	c.ending[r.attempt] = r
	if s, ok := c.servers[r.prefill]; ok {
		s.endWork(now, r.attempt)
	}
	c.decide(now, r.attempt, why, Terms{})
	c.cancel(now, r)
}

// cancel asks every endpoint that may hold the attempt to free it.
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
		c.release(now, r, name) // no endpoint of this name is left
		return
	}
	c.emit(Cancel{Endpoint: name, Address: s.Address, Attempt: r.attempt})
}

// cancelled takes an endpoint's confirmation. An endpoint that held nothing may
// still receive the start, so its report does not count; its listing will.
func (c *Cell) cancelled(now clock.Millis, e Cancelled) {
	r, ok := c.reservations[e.Attempt]
	if !ok || !r.ending || !e.Known {
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
		s.endWork(now, r.attempt)
	}
	c.forget(now, r)
}

func (c *Cell) releaseDecode(now clock.Millis, r *reservation) {
	r.holdDecode = false
	if s, ok := c.servers[r.decode]; ok {
		delete(s.used, r.attempt)
	}
	c.forget(now, r)
}

func (c *Cell) forget(now clock.Millis, r *reservation) {
	if !r.holdPrefill && !r.holdDecode {
		c.remove(r)
		c.over[r.attempt] = now
	}
}

// add takes up a reservation; remove drops it.
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

// where returns the reservations that match, in a fixed order.
func where(all map[AttemptID]*reservation, match func(*reservation) bool) []*reservation {
	var found []*reservation
	for _, r := range all {
		if match(r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b *reservation) int { return cmp.Compare(a.attempt, b.attempt) })
	return found
}
