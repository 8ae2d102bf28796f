package suspects

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/quarantine"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// uncertainRetention is how long an end that could not be proved waits for the entry of
	// its endpoint: entries are removed after three missed heartbeats, some 4 s, and the
	// store may be slow.
	uncertainRetention = 10 * time.Second
	// maxUncertain bounds the ends that wait, which keep their requests' bodies.
	maxUncertain = 64
)

// uncertainEnd is an end that could not be proved, because neither this instance nor a peer
// reached any other endpoint of the service.
type uncertainEnd struct {
	work     quarantine.Work
	prompt   quarantine.Prompt
	endpoint string
	at       clock.Millis
}

// RecordUncertainEnd records that an endpoint broke off a request and refuses connections, while
// the network may be at fault. It counts as an end once the endpoint's entry is gone.
// The arguments are those of RecordEnd.
func (s *Suspects) RecordUncertainEnd(w quarantine.Work, p quarantine.Prompt, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.uncertain) == maxUncertain {
		s.uncertain = slices.Delete(s.uncertain, 0, 1)
	}
	s.uncertain = append(s.uncertain, uncertainEnd{w, p, endpoint, s.Now()})
	s.Scope.Counter("ends_uncertain").Inc(1)
}

// resolveUncertain records the uncertain ends whose endpoints are gone, and drops old ones.
func (s *Suspects) resolveUncertain() {
	var ended []uncertainEnd
	s.mu.Lock()
	now := s.Now()
	s.uncertain = slices.DeleteFunc(s.uncertain, func(e uncertainEnd) bool {
		if s.EndpointGone(e.endpoint) {
			ended = append(ended, e)
			return true
		}
		return now.Sub(e.at) > uncertainRetention
	})
	s.mu.Unlock()
	for _, e := range ended {
		s.RecordEnd(e.work, e.prompt, e.endpoint)
	}
}
