package dialer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/tunnel"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// maxSilentProbes bounds the silent endpoints of a service that are tried at a time.
	maxSilentProbes = 16
	// longSilence is the time after which a silent endpoint is tried less often: by then it has most likely
	// ended.
	longSilence = 2 * time.Second
	// longSilenceInterval is how often it is tried then. With the time that a connection takes, it is shorter
	// than a balancer counts an endpoint as silent.
	longSilenceInterval = 3 * probeInterval
)

// silences holds the endpoints to which the last own connection did not come up in time.
type silences struct {
	mu        sync.Mutex
	endpoints map[string]*silence
}

// silence is that of one endpoint.
type silence struct {
	to       tunnel.Destination
	since    clock.Millis
	probedAt clock.Millis
}

func (s *silences) record(now clock.Millis, to tunnel.Destination) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints[to.EndpointID] == nil {
		s.endpoints[to.EndpointID] = &silence{to: to, since: now, probedAt: now}
	}
}

func (s *silences) forget(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.endpoints, endpoint)
}

// due returns the endpoints that are to be tried now: of each service half of those whose turn it is, those that
// were tried the longest time ago, within bounds.
func (s *silences) due(now clock.Millis) []tunnel.Destination {
	s.mu.Lock()
	defer s.mu.Unlock()
	byService := map[string][]*silence{}
	for e := range maps.Values(s.endpoints) {
		if now.Sub(e.since) < longSilence || now.Sub(e.probedAt) >= longSilenceInterval {
			byService[e.to.Service] = append(byService[e.to.Service], e)
		}
	}
	var list []tunnel.Destination
	for _, silent := range byService {
		slices.SortFunc(silent, func(x, y *silence) int { return int(x.probedAt - y.probedAt) })
		count := min(max(len(silent)/2, probesPerService), maxSilentProbes, len(silent))
		for _, e := range silent[:count] {
			e.probedAt = now
			list = append(list, e.to)
		}
	}
	return list
}
