package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
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

// progress takes an entry's word on how far an attempt is.
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
// still receive the start, so its word does not count; its listing will.
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

// announce renews an entry's attempts, adopts those of a former dispatcher and
// ends those that the entry no longer wants.
func (c *Cell) announce(now clock.Millis, a Announce) {
	c.owners[a.Owner.id()] = now
	wanted := map[AttemptID]bool{}
	for _, id := range a.Waiting {
		wanted[id] = true
	}
	for _, run := range a.Running {
		wanted[run.Attempt] = true
		r, ok := c.reservations[run.Attempt]
		switch {
		case !ok && c.over[run.Attempt] > 0: // the announcement was overtaken
		case !ok:
			c.adoptRunning(now, a.Owner, run)
		case r.ending:
			c.emit(SendFenced{To: a.Owner, Fenced: Fenced{Attempt: run.Attempt}})
		}
	}
	for _, r := range where(c.byOwner[a.Owner.id()], func(r *reservation) bool {
		return !wanted[r.attempt] && now.Sub(r.granted) > grantGrace
	}) {
		c.end(now, r, "entry no longer runs it")
	}
	c.renewWaiting(now, a)
}

func (c *Cell) renewWaiting(now clock.Millis, a Announce) {
	var unknown []AttemptID
	for _, id := range a.Waiting {
		r, granted := c.reservations[id]
		switch {
		case !granted && c.queue.find(id) == nil:
			unknown = append(unknown, id)
		case granted && !r.ending && now.Sub(r.granted) > grantWay:
			c.options.Counted("granted_again")
			c.emit(SendGrant{To: a.Owner, Grant: r.grant})
		}
	}
	if len(unknown) > 0 {
		c.emit(SendUnknown{To: a.Owner, Unknown: Unknown{Cell: c.Name, Attempts: unknown}})
	}
	c.queue.items = slices.DeleteFunc(c.queue.items, func(w *waiting) bool {
		return w.ask.Owner.id() == a.Owner.id() && now.Sub(w.since) > grantGrace &&
			!slices.Contains(a.Waiting, w.ask.Attempt)
	})
}

func (c *Cell) adoptRunning(now clock.Millis, owner Owner, run Running) {
	r := &reservation{
		attempt: run.Attempt, owner: owner, workspace: run.Workspace, kind: run.Kind,
		tokens: run.Tokens, tbt: run.TBT, prefill: run.Prefill, decode: run.Decode,
		phase: run.Phase, granted: now, doneAt: now, adopted: true,
	}
	r.holdPrefill = run.Prefill != "" && run.Phase != Streaming
	r.holdDecode = true
	s, ok := c.servers[run.Decode]
	if !ok {
		return // its endpoint is not in this cell's configuration any more
	}
	c.add(r)
	s.used[run.Attempt] = r
	for _, server := range c.order {
		delete(server.strangers, run.Attempt)
	}
	c.options.Counted("adopted")
}

// expireOwners ends the attempts of entries that fell silent.
func (c *Cell) expireOwners(now clock.Millis) {
	for _, r := range where(c.reservations, func(r *reservation) bool {
		return !r.ending && now.Sub(c.lastHeard(r)) > c.options.OwnerExpiry
	}) {
		c.options.Counted("owner_expired")
		c.end(now, r, "entry "+r.owner.Node+" is silent")
	}
	c.queue.items = slices.DeleteFunc(c.queue.items, func(w *waiting) bool {
		return now.Sub(max(c.owners[w.ask.Owner.id()], w.since)) > c.options.OwnerExpiry
	})
	for id, at := range c.over {
		if now.Sub(at) > overMemory {
			delete(c.over, id)
		}
	}
	for id, heard := range c.owners {
		if now.Sub(heard) > ownerMemory {
			delete(c.owners, id)
		}
	}
}

// overMemory is how long an ended attempt is not taken up again.
const overMemory = 5 * time.Second

// ownerMemory bounds how long silent entries are remembered.
const ownerMemory = time.Minute

func (c *Cell) lastHeard(r *reservation) clock.Millis {
	return max(c.owners[r.owner.id()], r.granted)
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

// reported compares an endpoint's listing with what is reserved there.
func (c *Cell) reported(now clock.Millis, e Reported) {
	s, ok := c.servers[e.Endpoint]
	if !ok {
		return
	}
	s.report, s.heard, s.missed = e.Report.Load, now, 0
	s.prefixes.take(e.Report.Events)
	if s.Role == catalog.RoleDecode && s.report.StepUS > 0 && s.report.Running > 0 {
		s.step.learn(s.report.Running, s.report.Step())
	}
	held := map[AttemptID]bool{}
	for _, h := range e.Report.Held {
		held[AttemptID(h.Attempt)] = true
		c.checkHeld(now, s, AttemptID(h.Attempt))
	}
	for _, r := range where(c.ending, func(r *reservation) bool {
		return r.holdAt(s.Name) && !held[r.attempt] && e.Began.Sub(r.endingSince) > settle
	}) {
		c.release(now, r, s.Name)
	}
	for id := range s.strangers {
		if !held[id] {
			delete(s.strangers, id)
		}
	}
}

func (r *reservation) holdAt(name string) bool {
	return (r.prefill == name && r.holdPrefill) || (r.decode == name && r.holdDecode)
}

// checkHeld cancels what an endpoint holds for nobody. A new dispatcher first
// gives the entries time to announce their attempts.
func (c *Cell) checkHeld(now clock.Millis, s *server, id AttemptID) {
	if r, ok := c.reservations[id]; ok {
		if r.ending {
			c.cancelAt(now, r, s.Name)
		}
		return
	}
	first, ok := s.strangers[id]
	if !ok {
		s.strangers[id] = now
		return
	}
	if now.Sub(first) > c.options.OwnerExpiry && now.Sub(c.born) > c.options.OwnerExpiry {
		c.options.Counted("stranger_cancelled")
		c.emit(Cancel{Endpoint: s.Name, Address: s.Address, Attempt: id})
	}
}

// unreachable notes that an endpoint gave no report. What it holds stays reserved until it is heard again or its attempts have long ended.
func (c *Cell) unreachable(now clock.Millis, name string) {
	s, ok := c.servers[name]
	if !ok {
		return
	}
	s.missed++
	if s.missed == missedToClose {
		c.options.Counted("closed")
	}
	for _, r := range where(c.ending, func(r *reservation) bool {
		return r.holdAt(name) && now.Sub(r.endingSince) > goneAfter && now.Sub(s.heard) > goneAfter
	}) {
		c.release(now, r, name)
	}
}

// goneAfter is how long an endpoint must be silent before what it held counts
// as gone with it.
const goneAfter = 10 * time.Second
