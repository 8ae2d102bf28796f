package quota

import (
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// zoneSums is another zone, as last heard.
type zoneSums struct {
	at     clock.Millis
	life   uint64
	away   float64
	rates  map[string]Rates
	frozen map[string]float64 // its part of each limit, from when it fell silent; nil while it is heard
}

// TakeSums takes another zone's sums. What ran there is added as it is told; after a
// silence it is spread over it, less the part that was kept for the zone meanwhile.
func (l *Ledger) TakeSums(now clock.Millis, s Sums) {
	z := &zoneSums{at: now, life: s.Life, away: s.Away, rates: make(map[string]Rates, len(s.Rates))}
	before := l.zones[s.Zone]
	for _, r := range s.Rates {
		z.rates[r.Workspace] = r
		if before == nil || before.rates == nil {
			continue
		}
		gap := now.Sub(before.at)
		ran := r.Total - before.rates[r.Workspace].Total
		if before.life != s.Life {
			ran = r.Ran * min(gap, zoneSilence).Seconds()
		}
		b := l.book(r.Workspace)
		if gap > zoneSilence {
			ran -= before.frozen[r.Workspace] * b.limit.Rate * (gap - zoneSilence).Seconds()
		}
		b.used.addOver(now, gap, max(ran, 0))
	}
	l.zones[s.Zone] = z
}

// Sums are the own zone's, for other zones' ledgers.
func (l *Ledger) Sums(now clock.Millis) Sums {
	s := Sums{Zone: l.zone, Life: l.life, Away: l.away}
	for name, b := range l.books {
		if b.total > 0 {
			s.Rates = append(s.Rates, Rates{Workspace: name, Asked: b.asked.now(now), Ran: b.ran.now(now), Total: b.total})
		}
	}
	return s
}

// watch notes which zones have fallen silent and keeps for each the part of every
// limit that it had by what was asked there.
func (l *Ledger) watch(now clock.Millis, limits map[string]Limit, p Present) {
	for zone := range p.Zones {
		if zone != l.zone && l.zones[zone] == nil {
			l.zones[zone] = &zoneSums{at: now.Add(-zoneSilence - time.Millisecond)} // not heard yet
		}
	}
	for zone, z := range l.zones {
		if now.Sub(z.at) > lapse && !p.Zones[zone] {
			delete(l.zones, zone)
			continue
		}
		if now.Sub(z.at) > zoneSilence && z.frozen == nil {
			z.frozen = l.parts(now, limits, z)
		}
	}
}

// parts are a zone's parts of all limits.
func (l *Ledger) parts(now clock.Millis, limits map[string]Limit, of *zoneSums) map[string]float64 {
	parts := make(map[string]float64, len(limits))
	for name, limit := range limits {
		even := evenPart*limit.Rate + least
		total := l.book(name).asked.now(now) + even
		for _, z := range l.zones {
			total += z.rates[name].Asked + even
		}
		parts[name] = (of.rates[name].Asked + even) / total
	}
	return parts
}
