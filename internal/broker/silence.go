package broker

import (
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

// silence is how long a planner that does not answer is left alone.
type silence struct {
	until clock.Millis
	last  time.Duration
}

// isDown says whether a process was found silent. One that was started anew
// under the same name has another certificate and is asked.
func (b *Broker) isDown(i roster.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Now() < b.down[i.Fingerprint].until
}

func (b *Broker) heard(i roster.Instance) {
	b.mu.Lock()
	before, was := b.down[i.Fingerprint]
	delete(b.down, i.Fingerprint)
	b.met[i.Fingerprint] = true
	b.mu.Unlock()
	if was {
		b.Log.Write(eventlog.Line{Event: eventlog.PeerRegained, Detail: i.Name, Age: before.last})
	}
}

// firstAnswer is how long a planner may take for its first answer.
func (b *Broker) firstAnswer(i roster.Instance) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.met[i.Fingerprint] || b.Now().Sub(b.began) > young {
		return firstAnswer
	}
	return firstContact
}

func (b *Broker) silent(i roster.Instance) {
	b.mu.Lock()
	before := b.down[i.Fingerprint]
	if b.Now() < before.until {
		b.mu.Unlock()
		return // another request found out at the same time
	}
	length := min(max(2*before.last, downFor), downMost)
	b.down[i.Fingerprint] = silence{until: b.Now().Add(length), last: length}
	b.mu.Unlock()
	b.Scope.Counter("planner_silent").Inc(1)
	b.Log.Write(eventlog.Line{Event: eventlog.PeerLost, Address: i.Address.String(), Reason: "planner_silent", Detail: i.Name})
}
