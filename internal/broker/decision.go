package broker

import (
	"context"
	"time"

	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/roster"
)

// awaitDecision waits for the decision on a queued request. It returns an empty one if none
// comes in time.
func (b *Broker) awaitDecision(ctx context.Context, waiting chan placement.Decision, req placement.Request) placement.Decision {
	timer := time.NewTimer(max(req.Budget, req.QueueTime) + decisionGrace)
	defer timer.Stop()
	select {
	case d := <-waiting:
		return d
	case <-ctx.Done():
	case <-timer.C:
	}
	return placement.Decision{}
}

// handedOver reports whether the request has to be sent to the next planner.
func handedOver(d placement.Decision) bool {
	return d.Refusal != nil && d.Refusal.Reason == placement.ReasonMoved
}

// shorten reduces the time for which a request may be queued, and reports whether any is left.
func shorten(req *placement.Request, waited time.Duration) bool {
	left := max(req.Budget, req.QueueTime) > waited
	req.Budget, req.QueueTime = max(req.Budget-waited, 0), max(req.QueueTime-waited, 0)
	return left
}

// placeOrRefusal converts a planner's decision into a place or a refusal.
func (b *Broker) placeOrRefusal(i roster.Instance, zone string, req placement.Request, d placement.Decision) (*Place, *placement.Refusal) {
	switch {
	case d.Grant != nil:
		p := &Place{Grant: *d.Grant, Zone: zone, request: req, planner: i, grantedAt: b.Now()}
		b.mu.Lock()
		b.places[req.ID] = p
		b.usedAt[zone] = b.Now()
		b.mu.Unlock()
		return p, nil
	case d.Refusal != nil:
		return nil, d.Refusal
	default: // no decision in time
		b.sendRelease(i, placement.Release{ID: req.ID, Owner: b.Name})
		return nil, &placement.Refusal{ID: req.ID, Reason: placement.ReasonMoved, RetryAfter: minBackoff}
	}
}

func (b *Broker) addWaiter(id string) chan placement.Decision {
	waiting := make(chan placement.Decision, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending[id] = waiting
	return waiting
}

func (b *Broker) removeWaiter(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, id)
}

func (b *Broker) deliver(d placement.Decision) {
	id := ""
	switch {
	case d.Grant != nil:
		id = d.Grant.ID
	case d.Refusal != nil:
		id = d.Refusal.ID
	}
	b.mu.Lock()
	waiting := b.pending[id]
	b.mu.Unlock()
	if waiting == nil {
		b.Scope.Counter("placement_late_verdicts").Inc(1)
		return // the next announcement frees the place that it granted
	}
	select {
	case waiting <- d:
	default:
	}
}
