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

func (b *Broker) isDown(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Now() < b.down[name].until
}

func (b *Broker) heard(name string) {
	b.mu.Lock()
	before, was := b.down[name]
	delete(b.down, name)
	b.mu.Unlock()
	if was {
		b.Log.Write(eventlog.Line{Event: eventlog.PeerRegained, Detail: name, Age: before.last})
	}
}

func (b *Broker) silent(i roster.Instance) {
	b.mu.Lock()
	before := b.down[i.Name]
	if b.Now() < before.until {
		b.mu.Unlock()
		return // another request found out at the same time
	}
	length := min(max(2*before.last, downFor), downMost)
	b.down[i.Name] = silence{until: b.Now().Add(length), last: length}
	b.mu.Unlock()
	b.Scope.Counter("planner_silent").Inc(1)
	b.Log.Write(eventlog.Line{Event: eventlog.PeerLost, Address: i.Address.String(), Reason: "planner_silent", Detail: i.Name})
}
