package throttle

import (
	"context"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/permit"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Take acquires a permit for one request to an endpoint. It returns 0 if the request
// may be sent, which is always so for an endpoint without a limit, or else the time
// until a permit may be available.
func (t *Throttle) Take(ctx context.Context, endpoint string, priority int) time.Duration {
	if !t.active.Load() {
		return 0
	}
	now := t.Now()
	t.mu.Lock()
	rate, zone, limited := t.table.Limit(endpoint)
	if !limited || t.takeReturned(now, endpoint) {
		t.mu.Unlock()
		return 0
	}
	left := t.denials[endpoint].left(now, priority)
	t.mu.Unlock()
	if left > 0 {
		return left
	}
	d := t.requestPermit(ctx, permit.Request{Endpoint: endpoint, Zone: zone, Rate: rate, Priority: priority})
	if !d.Granted {
		t.Scope.Counter("permits_denied").Inc(1)
		t.deny(endpoint, priority, d.RetryAfter)
		return d.RetryAfter
	}
	t.Scope.Counter("permits").Inc(1)
	return 0
}

// Return gives back an unused permit.
func (t *Throttle) Return(endpoint string) {
	if !t.active.Load() {
		return
	}
	t.mu.Lock()
	limited := t.table.IsLimited(endpoint)
	t.mu.Unlock()
	if limited {
		t.keepReturned(endpoint)
	}
}

// Denied returns the endpoints to which no request of a priority may be sent, and for
// how long, as far as that is known locally.
func (t *Throttle) Denied(priority int) map[string]time.Duration {
	if !t.active.Load() {
		return nil
	}
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var list map[string]time.Duration
	for endpoint, d := range t.denials {
		left := d.left(now, priority)
		if left <= 0 {
			continue
		}
		if list == nil {
			list = map[string]time.Duration{}
		}
		list[endpoint] = left
	}
	return list
}

// Exhausted returns the endpoints of this instance's zone for which it has no permit
// left, and the shortest time until it has one again. Where this instance is the
// issuer, that holds for all instances.
func (t *Throttle) Exhausted() (endpoints []string, next time.Duration) {
	if !t.active.Load() {
		return nil, 0
	}
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.table.Limited() {
		if s.Zone != t.Zone {
			continue
		}
		after := t.issuer.WaitTime(now, permit.Request{Endpoint: s.Endpoint, Zone: s.Zone, Rate: s.Rate})
		if after <= 0 {
			continue
		}
		if len(endpoints) == 0 || after < next {
			next = after
		}
		endpoints = append(endpoints, s.Endpoint)
	}
	return endpoints, next
}

// requestPermit requests a permit from the first instance of the endpoint's zone, then
// from the first of this zone, and finally from this instance's own shares.
func (t *Throttle) requestPermit(ctx context.Context, req permit.Request) permit.Decision {
	for _, zone := range []string{t.issuerZone(req.Zone), t.Zone} {
		i, known := t.firstResponsive(zone)
		if !known {
			continue
		}
		if i.Name == t.Name {
			break
		}
		if d, answered := t.requestFrom(ctx, i, req); answered {
			return d
		}
		if ctx.Err() != nil { // the request was cancelled, which says nothing about the issuer
			return permit.Decision{RetryAfter: permitTimeout}
		}
		t.Scope.Counter("permits_unanswered").Inc(1)
		t.passOver(context.WithoutCancel(ctx), i)
	}
	return t.issue(req)
}

// requestFrom requests a permit from an instance and waits for the answer up to
// permitTimeout.
func (t *Throttle) requestFrom(ctx context.Context, i roster.Instance, req permit.Request) (d permit.Decision, answered bool) {
	waiting, stop := context.WithTimeout(ctx, permitTimeout)
	defer stop()
	answers := make(chan permit.Decision)
	failed := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateAnswerTimeout)
		defer cancel()
		d, err := peer.Call[permit.Request, permit.Decision](ctx, t.Transport, i.Address, topicPermit, req)
		if err != nil {
			close(failed)
			return
		}
		select {
		case answers <- d:
		case <-waiting.Done():
			t.acceptLate(i, req.Endpoint, d)
		}
	}()
	select {
	case d = <-answers:
		return d, true
	case <-failed:
	case <-waiting.Done():
	}
	return d, false
}

// acceptLate handles an answer for which its request no longer waits. The permit would be
// lost to all instances if no other request used it.
func (t *Throttle) acceptLate(i roster.Instance, endpoint string, d permit.Decision) {
	t.Scope.Counter("permits_late").Inc(1)
	if d.Granted {
		t.keepReturned(endpoint)
	}
	t.restore(i)
}

// issuerZone returns the zone whose first instance issues permits for a zone's
// endpoints: that zone, or the first of all zones if it has no instances.
func (t *Throttle) issuerZone(zone string) string {
	zones := t.Roster.Zones()
	if len(zones) == 0 || slices.Contains(zones, zone) {
		return zone
	}
	return zones[0]
}

// issue decides on a permit from this instance's own and borrowed shares. A limit known
// here takes precedence over the rate in the request.
func (t *Throttle) issue(req permit.Request) permit.Decision {
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateCount(now)
	if rate, _, limited := t.table.Limit(req.Endpoint); limited {
		req.Rate = rate
	}
	return t.issuer.Issue(now, req)
}

// firstResponsive returns the first instance of a zone that is not marked unresponsive.
func (t *Throttle) firstResponsive(zone string) (i roster.Instance, known bool) {
	for _, i := range t.ranked(zone) {
		if i.Name == t.Name || !t.isUnresponsive(i) {
			return i, true
		}
	}
	return roster.Instance{}, false
}

// ranked returns the instances of a zone in the order in which they become issuer.
func (t *Throttle) ranked(zone string) []roster.Instance { return t.Roster.Ranked(zone, roleIssuer) }

func (t *Throttle) deny(endpoint string, priority int, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.denials[endpoint]
	if d == nil {
		d = denial{}
		t.denials[endpoint] = d
	}
	d[priority] = t.Now().Add(min(after, permit.MaxDenial))
}

// left returns how long requests of a priority are denied. A denial also applies to all
// less urgent priorities.
func (d denial) left(now clock.Millis, priority int) time.Duration {
	var longest time.Duration
	for p, until := range d {
		if p <= priority {
			longest = max(longest, until.Sub(now))
		}
	}
	return longest
}

// takeReturned uses a returned permit. The caller holds the lock.
func (t *Throttle) takeReturned(now clock.Millis, endpoint string) bool {
	s, found := t.returned[endpoint]
	if !found {
		return false
	}
	s.count--
	t.returned[endpoint] = s
	if s.count <= 0 || now >= s.until {
		delete(t.returned, endpoint)
	}
	return now < s.until
}

func (t *Throttle) keepReturned(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	s := t.returned[endpoint]
	if now >= s.until {
		s.count = 0
	}
	t.returned[endpoint] = returnedPermits{count: s.count + 1, until: now.Add(returnedLifetime)}
}
