package throttle

import (
	"context"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/permit"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

// tick lends what this instance has, while there are limits, and asks once whether there
// are any.
func (t *Throttle) tick(ctx context.Context) {
	now, away := t.Now(), t.StoreAway()
	t.mu.Lock()
	if !away {
		t.stored += tickEvery
	}
	t.count(now)
	t.table.Expire(now)
	t.issuer.Keep(t.table.Binds)
	t.forget(now)
	active := !t.table.Empty()
	t.active.Store(active)
	zones, met := t.table.Zones(), t.met
	t.Scope.Gauge("endpoints_limited").Update(float64(t.table.Size()))
	t.mu.Unlock()
	if !active && met {
		return
	}
	t.probe(ctx, append(zones, t.Zone))
	first, known := t.first(t.Zone)
	if !known {
		return
	}
	if first.Name != t.Name {
		t.mu.Lock()
		own := t.issuer.Own(now)
		t.mu.Unlock()
		t.lend(ctx, first, own)
		return
	}
	if !t.giveBack(ctx, "") {
		return
	}
	t.lendOn(ctx, zones)
	if !met {
		t.inquire(ctx)
	}
}

// inquire asks the first of the other zones what they know: whoever is the first of its
// own has nobody else to hear of limits from.
func (t *Throttle) inquire(ctx context.Context) {
	for _, zone := range t.Roster.Zones() {
		first, known := t.first(zone)
		if zone != t.Zone && known {
			t.offer(ctx, first, permit.Loan{Zone: noZone}, func() {})
		}
	}
}

// count tells the issuer how many instances there are. One that lost the store before it
// had seen them all would take a whole limit for its own part. The caller holds the lock.
func (t *Throttle) count(now clock.Millis) {
	t.issuer.Count(now, t.Roster.Size(), t.stored >= youth)
}

// probe asks those who were silent whether they answer again, if they would be the first
// of a zone that matters. What is lent to one that does not answer is of use to nobody.
func (t *Throttle) probe(ctx context.Context, zones []string) {
	now := t.Now()
	for _, zone := range zones {
		for _, i := range t.order(zone) {
			t.mu.Lock()
			s, silent := t.silent[i.Fingerprint]
			t.mu.Unlock()
			if !silent {
				break
			}
			if now >= s.probeAt {
				t.offer(ctx, i, permit.Loan{Zone: noZone}, func() {})
			}
		}
	}
}

// lendOn lends the zone's parts to the first of each other zone that has limited
// endpoints.
func (t *Throttle) lendOn(ctx context.Context, zones []string) {
	for _, zone := range zones {
		first, known := t.first(t.home(zone))
		if !known || first.Name == t.Name {
			continue
		}
		t.mu.Lock()
		l := t.issuer.OnLoan(t.Now(), zone)
		t.mu.Unlock()
		t.lend(ctx, first, l)
	}
}

// lend lends parts to an instance. What another one holds is asked back first.
func (t *Throttle) lend(ctx context.Context, to roster.Instance, l permit.Loan) {
	if l.Parts == 0 {
		return
	}
	now := t.Now()
	t.mu.Lock()
	holder, lent := t.issuer.Borrower(now, l.Zone)
	if lent && holder != to.Name {
		t.mu.Unlock()
		t.giveBack(ctx, l.Zone)
		return
	}
	if t.lending[to.Name] {
		t.mu.Unlock()
		return
	}
	t.issuer.Lend(now, to.Name, l)
	t.mu.Unlock()
	t.offer(ctx, to, l, func() {})
}

// giveBack asks back what is lent of a zone's endpoints. It returns true if nothing is.
func (t *Throttle) giveBack(ctx context.Context, zone string) bool {
	t.mu.Lock()
	holder, lent := t.issuer.Borrower(t.Now(), zone)
	t.mu.Unlock()
	if !lent {
		return true
	}
	if i, known := t.Roster.Find(holder); known && !t.isSilent(i) {
		t.offer(ctx, i, permit.Loan{Zone: zone}, func() { t.issuer.Returned(holder, zone) })
	}
	return false // until it answers, or the loan ends
}

// offer sends a loan; whoever does not answer holds nothing up. agreed is called with
// the lock held.
func (t *Throttle) offer(ctx context.Context, to roster.Instance, l permit.Loan, agreed func()) {
	t.mu.Lock()
	if t.lending[to.Name] {
		t.mu.Unlock()
		return
	}
	t.lending[to.Name] = true
	m := loan{Loan: l, Digest: t.table.Digest()}
	if now := t.Now(); now >= t.wholeAt[to.Name] {
		m.Known, t.wholeAt[to.Name] = t.table.All(now), now.Add(wholeEvery)
	}
	t.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, lendWait)
		defer cancel()
		v, err := peer.Ask[loan, told](ctx, t.Transport, to.Address, topicLend, m)
		t.mu.Lock()
		delete(t.lending, to.Name)
		if err == nil {
			agreed()
			t.met = true
			delete(t.silent, to.Fingerprint)
			if v.Differs {
				delete(t.wholeAt, to.Name)
			}
		}
		t.mu.Unlock()
		if err != nil {
			t.Scope.Counter("loans_unanswered").Inc(1)
			t.passOver(to)
			return
		}
		t.take(v.Known, false)
	}()
}

// forget drops what is past. The caller holds the lock.
func (t *Throttle) forget(now clock.Millis) {
	for endpoint, d := range t.denials {
		if !t.table.Binds(endpoint) || d.left(now, leastUrgent) <= 0 {
			delete(t.denials, endpoint)
		}
	}
	for certificate, s := range t.silent {
		if now.Sub(s.probeAt) > probeGivenUp {
			delete(t.silent, certificate)
		}
	}
	for name, at := range t.wholeAt {
		if now > at {
			delete(t.wholeAt, name)
		}
	}
	for f, at := range t.toldAt {
		if now.Sub(at) >= tellPause {
			delete(t.toldAt, f)
		}
	}
	for endpoint, s := range t.spares {
		if now >= s.until {
			delete(t.spares, endpoint)
		}
	}
}
