package throttle

import (
	"context"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/permit"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

// probeState says when an unresponsive instance is probed. The instance gets no permit
// requests and no loans until it has answered.
type probeState struct {
	since     clock.Millis
	nextProbe clock.Millis
	delay     time.Duration // since the last probe; 0 before one has failed
}

func (t *Throttle) isUnresponsive(i roster.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, unresponsive := t.unresponsive[i.Fingerprint]
	return unresponsive
}

// passOver excludes an instance that did not answer a permit request in time, and probes it
// at once. The shares of the limits are lent to that instance: until it is used again, the
// limits are used only in part. Of several requests that waited for it, only the first has
// an effect.
func (t *Throttle) passOver(ctx context.Context, i roster.Instance) {
	if t.exclude(i, false) {
		t.sendProbe(ctx, i)
	}
}

// exclude marks an instance as unresponsive. It returns false if it was already. If a probe
// failed, the delay to the next one doubles.
func (t *Throttle) exclude(i roster.Instance, probeFailed bool) bool {
	t.mu.Lock()
	now := t.Now()
	s, excluded := t.unresponsive[i.Fingerprint]
	if !excluded {
		s = probeState{since: now, nextProbe: now}
	}
	if probeFailed {
		s.delay = min(max(2*s.delay, initialProbeDelay), maxProbeDelay)
		s.nextProbe = now.Add(s.delay)
	}
	t.unresponsive[i.Fingerprint] = s
	t.mu.Unlock()
	if !excluded {
		t.Log.Write(eventlog.Line{Event: eventlog.PeerLost, Address: i.Address.String(), Reason: "issuer_silent", Detail: i.Name})
	}
	return !excluded
}

// restore uses an instance again that has answered. Denials were issued without its shares
// and no longer hold.
func (t *Throttle) restore(i roster.Instance) {
	t.mu.Lock()
	s, excluded := t.unresponsive[i.Fingerprint]
	if excluded {
		delete(t.unresponsive, i.Fingerprint)
		clear(t.denials)
	}
	t.mu.Unlock()
	if excluded {
		t.Log.Write(eventlog.Line{Event: eventlog.PeerRegained, Address: i.Address.String(), Detail: i.Name, Age: t.Now().Sub(s.since)})
	}
}

// probe sends probes to unresponsive instances that rank before the first responsive one of
// the zones that issue permits for the given zones. They get no loans, because no instance
// could use what is lent to one that does not respond.
func (t *Throttle) probe(ctx context.Context, zones []string) {
	now := t.Now()
	for _, zone := range zones {
		for _, i := range t.ranked(t.issuerZone(zone)) {
			t.mu.Lock()
			s, unresponsive := t.unresponsive[i.Fingerprint]
			t.mu.Unlock()
			if !unresponsive {
				break
			}
			if now >= s.nextProbe {
				t.sendProbe(ctx, i)
			}
		}
	}
}

// sendProbe sends an empty loan, which changes nothing.
func (t *Throttle) sendProbe(ctx context.Context, i roster.Instance) {
	t.sendLoan(ctx, i, permit.Loan{Zone: noZone}, func() {})
}
