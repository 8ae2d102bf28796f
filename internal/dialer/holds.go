package dialer

import (
	"sync"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// holdTime is how long no peer is asked about an endpoint that a peer could not reach either.
// It bounds what an endpoint that is down costs the others.
const holdTime = time.Second

// holds are the endpoints about which no peer is asked for now.
type holds struct {
	mu    *sync.Mutex
	until map[string]clock.Millis
}

func newHolds() holds { return holds{mu: &sync.Mutex{}, until: map[string]clock.Millis{}} }

func (h holds) hold(now clock.Millis, endpoint string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, until := range h.until {
		if until <= now {
			delete(h.until, id)
		}
	}
	h.until[endpoint] = now.Add(holdTime)
}

func (h holds) release(endpoint string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.until, endpoint)
}

func (h holds) held(now clock.Millis, endpoint string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.until[endpoint] > now
}
