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

// Take gets a permit for one request to an endpoint. It returns 0 if the request may be
// sent, as it always may to an endpoint without a limit; else when there may be a permit.
func (t *Throttle) Take(ctx context.Context, endpoint string, priority int) time.Duration {
	if !t.active.Load() {
		return 0
	}
	now := t.Now()
	t.mu.Lock()
	rate, zone, limited := t.table.Limit(endpoint)
	if !limited || t.takeSpare(now, endpoint) {
		t.mu.Unlock()
		return 0
	}
	left := t.denials[endpoint].left(now, priority)
	t.mu.Unlock()
	if left > 0 {
		return left
	}
	v := t.ask(ctx, permit.Ask{Endpoint: endpoint, Zone: zone, Rate: rate, Priority: priority})
	if !v.Granted {
		t.Scope.Counter("permits_denied").Inc(1)
		t.deny(endpoint, priority, v.After)
		return v.After
	}
	t.Scope.Counter("permits").Inc(1)
	return 0
}

// Return gives back a permit that was not used.
func (t *Throttle) Return(endpoint string) {
	if !t.active.Load() {
		return
	}
	t.mu.Lock()
	limited := t.table.Binds(endpoint)
	t.mu.Unlock()
	if limited {
		t.keep(endpoint)
	}
}

// Withheld is for how long no request of a priority may go to which endpoints, as far as
// that is known without asking.
func (t *Throttle) Withheld(priority int) map[string]time.Duration {
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

// Spent are the endpoints of the own zone for which this instance has no permit left,
// and how long it has none for the first of them. Where it issues them, nobody has one.
func (t *Throttle) Spent() (endpoints []string, next time.Duration) {
	if !t.active.Load() {
		return nil, 0
	}
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.table.Bound() {
		if s.Zone != t.Zone {
			continue
		}
		after := t.issuer.Spent(now, permit.Ask{Endpoint: s.Endpoint, Zone: s.Zone, Rate: s.Rate})
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

// ask asks the first of the endpoint's zone, then the first of the own zone, and in the
// end this instance's own part.
func (t *Throttle) ask(ctx context.Context, a permit.Ask) permit.Verdict {
	for _, zone := range []string{t.home(a.Zone), t.Zone} {
		i, known := t.first(zone)
		if !known {
			continue
		}
		if i.Name == t.Name {
			break
		}
		v, err := t.askAt(ctx, i, a)
		if err == nil {
			return v
		}
		if ctx.Err() != nil { // the request is over, which says nothing of who was asked
			return permit.Verdict{After: askWait}
		}
		t.Scope.Counter("permits_unanswered").Inc(1)
		t.passOver(i)
	}
	return t.issue(a)
}

func (t *Throttle) askAt(ctx context.Context, i roster.Instance, a permit.Ask) (permit.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	return peer.Ask[permit.Ask, permit.Verdict](ctx, t.Transport, i.Address, topicAsk, a)
}

// home is the zone whose first instance issues permits for a zone's endpoints: that zone,
// or the first of all zones if it has no instances.
func (t *Throttle) home(zone string) string {
	zones := t.Roster.Zones()
	if len(zones) == 0 || slices.Contains(zones, zone) {
		return zone
	}
	return zones[0]
}

// issue answers from this instance's own parts and those that it borrowed, at the rate
// that it knows itself, if it does.
func (t *Throttle) issue(a permit.Ask) permit.Verdict {
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(now)
	if rate, _, limited := t.table.Limit(a.Endpoint); limited {
		a.Rate = rate
	}
	return t.issuer.Ask(now, a)
}

// first is the first instance of a zone that is not silent.
func (t *Throttle) first(zone string) (i roster.Instance, known bool) {
	for _, i := range t.order(zone) {
		if i.Name == t.Name || !t.isSilent(i) {
			return i, true
		}
	}
	return roster.Instance{}, false
}

// order is that of a zone's instances.
func (t *Throttle) order(zone string) []roster.Instance { return t.Roster.Ranked(zone, roleIssuer) }

func (t *Throttle) isSilent(i roster.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, silent := t.silent[i.Fingerprint]
	return silent
}

// passOver has an instance that did not answer left out until it does.
func (t *Throttle) passOver(i roster.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pause := min(max(2*t.silent[i.Fingerprint].pause, probeFirst), probeMost)
	t.silent[i.Fingerprint] = silence{probeAt: t.Now().Add(pause), pause: pause}
}

func (t *Throttle) deny(endpoint string, priority int, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.denials[endpoint]
	if d == nil {
		d = denial{}
		t.denials[endpoint] = d
	}
	d[priority] = t.Now().Add(min(after, permit.DenyMost))
}

// left is how long a priority is denied: what a more urgent one did not get, a less
// urgent one does not get either.
func (d denial) left(now clock.Millis, priority int) time.Duration {
	var longest time.Duration
	for p, until := range d {
		if p <= priority {
			longest = max(longest, until.Sub(now))
		}
	}
	return longest
}

// takeSpare uses a permit that was kept here. The caller holds the lock.
func (t *Throttle) takeSpare(now clock.Millis, endpoint string) bool {
	s, kept := t.spares[endpoint]
	if !kept {
		return false
	}
	s.permits--
	t.spares[endpoint] = s
	if s.permits <= 0 || now >= s.until {
		delete(t.spares, endpoint)
	}
	return now < s.until
}

func (t *Throttle) keep(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	s := t.spares[endpoint]
	if now >= s.until {
		s.permits = 0
	}
	t.spares[endpoint] = spare{permits: s.permits + 1, until: now.Add(spareFor)}
}
