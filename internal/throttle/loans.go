package throttle

import (
	"context"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/permit"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

// tick renews this instance's loans while there are limits. Without limits it only
// queries once whether there are any.
func (t *Throttle) tick(ctx context.Context) {
	now, storeDown := t.Now(), t.StoreUnreachable()
	t.mu.Lock()
	if !storeDown {
		t.storeTime += tickInterval
	}
	t.updateCount(now)
	t.table.Expire(now)
	t.issuer.Retain(t.table.IsLimited)
	t.expire(now)
	active := !t.table.Empty()
	t.active.Store(active)
	zones, synced := t.table.Zones(), t.synced
	t.Scope.Gauge("endpoints_limited").Update(float64(t.table.Size()))
	t.mu.Unlock()
	if !active && synced {
		return
	}
	t.probe(ctx, append(zones, t.Zone))
	first, known := t.firstResponsive(t.Zone)
	if !known {
		return
	}
	if first.Name != t.Name {
		t.mu.Lock()
		own := t.issuer.OwnLoan(now)
		t.mu.Unlock()
		t.lend(ctx, first, own)
		return
	}
	if !t.recall(ctx, "") {
		return
	}
	t.lendToZones(ctx, zones)
	if !synced {
		t.queryOtherZones(ctx)
	}
}

// queryOtherZones queries the first instance of each other zone for limits: the first
// instance of a zone lends to no one in its zone that could reply with them.
func (t *Throttle) queryOtherZones(ctx context.Context) {
	for _, zone := range t.Roster.Zones() {
		first, known := t.firstResponsive(zone)
		if zone != t.Zone && known {
			t.sendLoan(ctx, first, permit.Loan{Zone: noZone}, func() {})
		}
	}
}

// updateCount tells the issuer how many instances there are. An instance that lost the
// store before it had seen all others would otherwise take a whole limit for its own
// share. The caller holds the lock.
func (t *Throttle) updateCount(now clock.Millis) {
	t.issuer.SetInstances(now, t.Roster.Size(), t.storeTime >= discoveryTime)
}

// lendToZones lends the zone's shares to the first instance of each other zone with
// limited endpoints.
func (t *Throttle) lendToZones(ctx context.Context, zones []string) {
	for _, zone := range zones {
		first, known := t.firstResponsive(t.issuerZone(zone))
		if !known || first.Name == t.Name {
			continue
		}
		t.mu.Lock()
		l := t.issuer.CrossZoneLoan(t.Now(), zone)
		t.mu.Unlock()
		t.lend(ctx, first, l)
	}
}

// lend lends shares to an instance. A loan that another instance still holds is
// recalled first.
func (t *Throttle) lend(ctx context.Context, to roster.Instance, l permit.Loan) {
	if l.Shares == 0 {
		return
	}
	now := t.Now()
	t.mu.Lock()
	holder, lent := t.issuer.Borrower(now, l.Zone)
	if lent && holder != to.Name {
		t.mu.Unlock()
		t.recall(ctx, l.Zone)
		return
	}
	if t.pendingLoans[to.Name] {
		t.mu.Unlock()
		return
	}
	t.issuer.Lend(now, to.Name, l)
	t.mu.Unlock()
	t.sendLoan(ctx, to, l, func() {})
}

// recall asks for the return of the loan for a zone's endpoints. It returns true if
// there is none.
func (t *Throttle) recall(ctx context.Context, zone string) bool {
	t.mu.Lock()
	holder, lent := t.issuer.Borrower(t.Now(), zone)
	t.mu.Unlock()
	if !lent {
		return true
	}
	if i, known := t.Roster.Find(holder); known && !t.isUnresponsive(i) {
		t.sendLoan(ctx, i, permit.Loan{Zone: zone}, func() { t.issuer.Returned(holder, zone) })
	}
	return false // until the holder replies or the lease expires
}

// sendLoan sends a loan without waiting for the reply. onReply is called with the lock
// held.
func (t *Throttle) sendLoan(ctx context.Context, to roster.Instance, l permit.Loan, onReply func()) {
	t.mu.Lock()
	if t.pendingLoans[to.Name] {
		t.mu.Unlock()
		return
	}
	t.pendingLoans[to.Name] = true
	m := loan{Loan: l, Digest: t.table.Digest()}
	if now := t.Now(); now >= t.nextFullSync[to.Name] {
		m.Known, t.nextFullSync[to.Name] = t.table.All(now), now.Add(fullSyncInterval)
	}
	t.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, loanTimeout)
		defer cancel()
		reply, err := peer.Call[loan, limitsMessage](ctx, t.Transport, to.Address, topicLoan, m)
		if err != nil {
			t.Scope.Counter("loans_unanswered").Inc(1)
			t.exclude(to, true)
		} else {
			t.restore(to)
		}
		t.mu.Lock()
		delete(t.pendingLoans, to.Name)
		if err != nil {
			t.mu.Unlock()
			return
		}
		onReply()
		t.synced = true
		if reply.Differs {
			delete(t.nextFullSync, to.Name)
		}
		t.mu.Unlock()
		t.merge(reply.Known, false)
	}()
}

// expire removes outdated state. The caller holds the lock.
func (t *Throttle) expire(now clock.Millis) {
	for endpoint, d := range t.denials {
		if !t.table.IsLimited(endpoint) || d.left(now, lowestPriority) <= 0 {
			delete(t.denials, endpoint)
		}
	}
	for certificate, s := range t.unresponsive {
		if now.Sub(s.nextProbe) > unresponsiveRetention {
			delete(t.unresponsive, certificate)
		}
	}
	for name, at := range t.nextFullSync {
		if now > at {
			delete(t.nextFullSync, name)
		}
	}
	for a, at := range t.announcedAt {
		if now.Sub(at) >= minAnnounceInterval {
			delete(t.announcedAt, a)
		}
	}
	for endpoint, s := range t.returned {
		if now >= s.until {
			delete(t.returned, endpoint)
		}
	}
}
