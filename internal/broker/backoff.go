package broker

import (
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

// backoff is how long a planner that does not respond is not asked.
type backoff struct {
	until  clock.Millis
	length time.Duration
}

// isBackingOff reports whether a process recently did not respond. A process restarted
// under the same name has another certificate and is asked.
func (b *Broker) isBackingOff(i roster.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Now() < b.backoffs[i.Fingerprint].until
}

func (b *Broker) markAlive(i roster.Instance) {
	b.mu.Lock()
	previous, found := b.backoffs[i.Fingerprint]
	delete(b.backoffs, i.Fingerprint)
	b.responded[i.Fingerprint] = true
	b.mu.Unlock()
	if found {
		b.Log.Write(eventlog.Line{Event: eventlog.PeerRegained, Detail: i.Name, Age: previous.length})
	}
}

// timeoutFor returns the time allowed for a planner's first answer.
func (b *Broker) timeoutFor(i roster.Instance) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.responded[i.Fingerprint] || b.Now().Sub(b.startedAt) > startupPeriod {
		return answerTimeout
	}
	return firstContactTimeout
}

func (b *Broker) markSilent(i roster.Instance) {
	b.mu.Lock()
	previous := b.backoffs[i.Fingerprint]
	if b.Now() < previous.until {
		b.mu.Unlock()
		return // a concurrent request has recorded it
	}
	length := min(max(2*previous.length, minBackoff), maxBackoff)
	b.backoffs[i.Fingerprint] = backoff{until: b.Now().Add(length), length: length}
	b.mu.Unlock()
	b.Scope.Counter("planner_silent").Inc(1)
	b.Log.Write(eventlog.Line{Event: eventlog.PeerLost, Address: i.Address.String(), Reason: "planner_silent", Detail: i.Name})
}
