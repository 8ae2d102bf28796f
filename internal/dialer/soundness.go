package dialer

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/trailshed/trailshed/internal/tunnel"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// maxSoundDials bounds the endpoints that are dialled to check the own links.
const maxSoundDials = 3

// soundness holds the last two endpoints of each service to which connections came up.
type soundness struct {
	mu   sync.Mutex
	last map[string][2]connection // by service
}

// connection is an own connection that came up.
type connection struct {
	endpoint string
	at       clock.Millis
}

func (s *soundness) record(now clock.Millis, service, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.last[service]
	if last[0].endpoint != endpoint {
		last[1] = last[0]
	}
	last[0] = connection{endpoint, now}
	s.last[service] = last
}

// since reports whether a connection to an endpoint other than the given one came up after a
// time. An earlier one proves nothing: the links may have been lost since.
func (s *soundness) since(start clock.Millis, service, except string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.last[service] {
		if c.endpoint != "" && c.endpoint != except && c.at > start {
			return true
		}
	}
	return false
}

// Sound reports whether this instance has connected to another endpoint of the same service
// after a time, or can now. Links to one service say nothing about those to another. An endpoint
// that is the only one of its service can't be compared with any.
func (d *Dialer) Sound(ctx context.Context, to tunnel.Destination, start clock.Millis) bool {
	if d.sound.since(start, to.Service, to.EndpointID) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, uplink.DialTimeout)
	defer cancel()
	others := d.others(to)
	results := make(chan bool, len(others))
	for _, e := range others {
		go func() { results <- d.probeEndpoint(ctx, e) }()
	}
	for range others {
		if <-results {
			return true
		}
	}
	return len(others) == 0
}

// others returns some other endpoints of the service, drawn at random.
func (d *Dialer) others(to tunnel.Destination) []tunnel.Destination {
	list := make([]tunnel.Destination, 0, maxSoundDials)
	seen := 0
	for e := range d.Endpoints(to.Service) {
		if e.EndpointID == to.EndpointID {
			continue
		}
		seen++
		if len(list) < maxSoundDials {
			list = append(list, e)
		} else if at := rand.IntN(seen); at < maxSoundDials {
			list[at] = e
		}
	}
	return list
}
