package placement

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// queuedRequest is a request that waits for capacity.
type queuedRequest struct {
	req          Request
	neededTokens int          // tokens of KV memory, as predicted on arrival
	deadline     clock.Millis // it can be in time if it is granted before that
	refuseAt     clock.Millis // it is refused then
	level        level        // as of the latest check of the queue
	full         bool         // it waits for memory rather than for a prefill engine
	done         bool         // it was granted, or has ended
}

// late reports whether the request can no longer be in time.
func (q *queuedRequest) late(now clock.Millis) bool { return q.req.Late || now >= q.deadline }

// Idle reports whether the planner has no state that depends on time.
func (p *Planner) Idle() bool { return len(p.queue)+len(p.allocations)+len(p.ended) == 0 }

// Queued returns the number of queued requests.
func (p *Planner) Queued() int { return len(p.queue) }

// QueuedByPriority returns the number of queued requests of each priority.
func (p *Planner) QueuedByPriority() (counts [LowestPriority + 1]int) {
	for _, q := range p.queue {
		counts[p.staticLevel(q.req).priority()]++
	}
	return counts
}

// enqueue queues a request if it will probably get capacity before it has to be
// refused. It returns false otherwise.
func (p *Planner) enqueue(now clock.Millis, req Request, wait time.Duration, reason string) bool {
	slack := req.Budget - p.minTimeToFirstEvent(req)
	tooLate := wait > waitUncertainty*slack
	if !req.MayQueue || tooLate && wait > req.QueueTime {
		return false
	}
	q := queuedRequest{
		req: req, neededTokens: p.neededTokens(req),
		level: p.levelOf(req), full: reason == ReasonFull, deadline: now.Add(max(slack, 0)), refuseAt: now.Add(max(slack, req.QueueTime, 0)),
	}
	if tooLate {
		q.deadline = now
	}
	p.queue = append(p.queue, q)
	return true
}

// serveQueue grants queued requests in order: first streams of which the caller has a
// part, which may go on at few engines, then those that can still be in time, then late
// ones from the remaining capacity; each by priority, then by the shares of workspaces,
// then by arrival. Requests that have waited too long are
// refused. Late requests are kept because a late answer is still worth something to the
// caller, and a refused caller retries into the same burst.
func (p *Planner) serveQueue(now clock.Millis) {
	if len(p.queue) == 0 {
		return // the case after most events
	}
	for i := range p.queue {
		q := &p.queue[i]
		q.level, q.done = p.levelOf(q.req), p.ended[q.req.ID] != 0
	}
	blocked := map[string]bool{} // services with a queued request that can still be in time
	p.serveMatching(now, func(q *queuedRequest) bool { return q.req.Begun }, nil)
	p.serveMatching(now, func(q *queuedRequest) bool { return !q.req.Begun && !q.late(now) }, blocked)
	p.serveMatching(now, func(q *queuedRequest) bool { return !q.req.Begun && q.late(now) && !blocked[q.req.Service] }, nil)
	p.queue = slices.DeleteFunc(p.queue, func(q queuedRequest) bool { return q.done })
	p.refuseExpired(now)
}

// handOver refuses the queued requests.
func (p *Planner) handOver() {
	for _, q := range p.queue {
		p.refuse(q.req, ReasonMoved, minRetryAfter)
	}
	p.queue = nil
}

// refuseExpired refuses the queued requests that have waited too long.
func (p *Planner) refuseExpired(now clock.Millis) {
	kept := p.queue[:0]
	for _, q := range p.queue {
		if now < q.refuseAt {
			kept = append(kept, q)
			continue
		}
		wait, _ := p.predictWait(now, q.req)
		p.recordOutcome(now, q.req, false)
		p.refuse(q.req, ReasonFull, wait)
	}
	p.queue = kept
}

// serveMatching grants the queued requests that are eligible and that fit, and adds the
// services of eligible ones that do not fit to blocked. Requests that can still be in time
// keep engines from less urgent ones.
func (p *Planner) serveMatching(now clock.Millis, eligible func(*queuedRequest) bool, blocked map[string]bool) {
	rejected := rejections{}
	var waiting []*queuedRequest // in time, and not granted for lack of memory
	for i := range p.servingOrder(eligible) {
		q := &p.queue[i]
		q.req.Late = q.late(now)
		reason := rejected.covers(q)
		if reason == "" {
			if reason = p.allocateBehind(now, q.req, p.preceding(waiting, q.req, q.level)); reason != "" {
				rejected.record(q, reason)
			}
		}
		q.full, q.done = reason == ReasonFull, reason == ""
		if q.done || blocked == nil {
			continue
		}
		blocked[q.req.Service] = true
		if q.full && len(waiting) < len(p.engines) {
			waiting = append(waiting, q)
		}
	}
}

// servingOrder returns the indices of the eligible requests in the order in which they are served.
// A request may be granted before the next one is returned.
func (p *Planner) servingOrder(eligible func(*queuedRequest) bool) iter.Seq[int] {
	var order []int
	sorted := true
	for i := range p.queue {
		if q := &p.queue[i]; !q.done && eligible(q) {
			sorted = sorted && (len(order) == 0 || p.queue[order[len(order)-1]].level <= q.level)
			order = append(order, i)
		}
	}
	if !sorted {
		slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(p.queue[i].level, p.queue[j].level) })
	}
	return func(yield func(int) bool) {
		for len(order) > 0 {
			n := 1
			for n < len(order) && p.queue[order[n]].level == p.queue[order[0]].level {
				n++
			}
			if !p.yieldByShare(order[:n], yield) {
				return
			}
			order = order[n:]
		}
	}
}

// tenant is a workspace's requests for one service, in the order of their arrival.
type tenant struct {
	service, workspace string
	share              float64
	waiting            []int // indices of the queue
}

// yieldByShare yields equally urgent requests, always one of the workspace that holds least for its
// weight at that moment; without workspaces in the order of their arrival.
func (p *Planner) yieldByShare(order []int, yield func(int) bool) bool {
	tenants := p.tenantsOf(order)
	if len(tenants) <= 1 || len(p.weights) <= 1 {
		for _, i := range order {
			if !yield(i) {
				return false
			}
		}
		return true
	}
	for range order {
		var next *tenant
		for n := range tenants {
			t := &tenants[n]
			if len(t.waiting) > 0 && (next == nil || t.share < next.share || t.share == next.share && t.waiting[0] < next.waiting[0]) {
				next = t
			}
		}
		first := next.waiting[0]
		next.waiting = next.waiting[1:]
		if !yield(first) {
			return false
		}
		next.share = p.shareOf(p.queue[first].req)
	}
	return true
}

// tenantsOf groups queued requests by service and workspace.
func (p *Planner) tenantsOf(order []int) (tenants []tenant) {
	if len(p.weights) <= 1 {
		return nil
	}
	for _, i := range order {
		req := p.queue[i].req
		n := slices.IndexFunc(tenants, func(t tenant) bool { return t.service == req.Service && t.workspace == req.Workspace })
		if n < 0 {
			n = len(tenants)
			tenants = append(tenants, tenant{service: req.Service, workspace: req.Workspace, share: p.shareOf(req)})
		}
		tenants[n].waiting = append(tenants[n].waiting, i)
	}
	return tenants
}

// preceding returns those of the waiting requests that are served before a request of a level.
func (p *Planner) preceding(waiting []*queuedRequest, req Request, l level) (list []*queuedRequest) {
	for _, w := range waiting {
		if p.precedes(w, req, l) {
			list = append(list, w)
		}
	}
	return list
}

// waitingForMemory returns the queued requests that lack memory and can still be in time.
func (p *Planner) waitingForMemory(now clock.Millis) (list []*queuedRequest) {
	for i := range p.queue {
		if q := &p.queue[i]; q.full && !q.req.Begun && !q.late(now) {
			list = append(list, q)
		}
	}
	return list
}

// servedBefore reports whether a queued request is probably served before a request of a level.
func (p *Planner) servedBefore(now clock.Millis, q *queuedRequest, req Request, l level) bool {
	switch {
	case q.req.Service != req.Service || q.req.ID == req.ID:
		return false
	case q.req.Begun || req.Begun:
		return q.req.Begun
	case q.level != l && q.late(now) != req.Late:
		return req.Late
	default:
		return q.level < l || q.level == l && p.shareOf(q.req) <= p.shareOf(req)
	}
}

// inTimeQueued reports whether a queued request of the service can still be in time.
func (p *Planner) inTimeQueued(now clock.Millis, service string) bool {
	for i := range p.queue {
		if q := &p.queue[i]; q.req.Service == service && !q.late(now) {
			return true
		}
	}
	return false
}
