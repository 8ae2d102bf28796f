package quota

import (
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// zoneState is the last known state of another zone.
type zoneState struct {
	receivedAt   clock.Millis
	incarnation  uint64
	reserved     float64
	rates        map[string]Rates
	frozenShares map[string]float64 // its shares of the limits when it fell silent; nil while its sums are current
	silentFor    time.Duration      // since then, for which they were reserved
}

// AddSums adds another zone's sums. What ran there is added as reported. After a gap
// it is spread over the gap, less the share that was reserved for the zone meanwhile.
func (l *Ledger) AddSums(now clock.Millis, s Sums) {
	z := &zoneState{receivedAt: now, incarnation: s.Incarnation, reserved: s.Reserved, rates: make(map[string]Rates, len(s.Rates))}
	before := l.zones[s.Zone]
	for _, r := range s.Rates {
		z.rates[r.Workspace] = r
		if before == nil || before.rates == nil {
			continue
		}
		gap := now.Sub(before.receivedAt)
		ran := r.Total - before.rates[r.Workspace].Total
		if before.incarnation != s.Incarnation {
			ran = r.Ran * min(gap, zoneTimeout).Seconds()
		}
		w := l.workspace(r.Workspace)
		reserved := 0.0
		if gap > zoneTimeout {
			reserved = before.frozenShares[r.Workspace] * w.limit.Rate * before.silentFor.Seconds()
		}
		w.used.addOver(now, gap, w.correction(now, gap, ran, reserved))
	}
	l.zones[s.Zone] = z
}

// Sums returns this zone's sums for the ledgers of other zones.
func (l *Ledger) Sums(now clock.Millis) Sums {
	s := Sums{Zone: l.zone, Incarnation: l.incarnation, Reserved: l.reserved}
	for name, w := range l.workspaces {
		if w.totalRan != 0 {
			s.Rates = append(s.Rates, Rates{Workspace: name, Requested: w.requested.Now(now), Ran: w.ran.Now(now), Total: w.totalRan, Classes: l.classRates(now, w)})
		}
	}
	return s
}

// trackZones detects zones that have fallen silent and freezes their shares of the
// limits, according to the demand there.
func (l *Ledger) trackZones(now clock.Millis, elapsed time.Duration, limits map[string]Limit, p Membership) {
	for zone := range p.Zones {
		if zone != l.zone && l.zones[zone] == nil {
			l.zones[zone] = &zoneState{receivedAt: now.Add(-zoneTimeout - time.Millisecond)} // no sums received yet
		}
	}
	for zone, z := range l.zones {
		if now.Sub(z.receivedAt) > reservationTimeout && !p.Zones[zone] {
			delete(l.zones, zone)
			continue
		}
		if now.Sub(z.receivedAt) > zoneTimeout && z.frozenShares == nil {
			z.frozenShares = l.zoneShares(now, limits, z)
		}
		if z.frozenShares != nil {
			z.silentFor += elapsed
		}
	}
}

// zoneShares returns a zone's share of each limit.
func (l *Ledger) zoneShares(now clock.Millis, limits map[string]Limit, zone *zoneState) map[string]float64 {
	shares := make(map[string]float64, len(limits))
	for name, limit := range limits {
		baseDemand := evenFraction*limit.Rate + minRate
		total := l.workspace(name).requested.Now(now) + baseDemand
		for _, z := range l.zones {
			total += z.rates[name].Requested + baseDemand
		}
		shares[name] = (zone.rates[name].Requested + baseDemand) / total
	}
	return shares
}
