package dialer

import (
	"sync"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// suspectFailures is how many endpoints of a service must have failed in a row before a
	// request waits for a peer: a single one is most likely down itself, and another endpoint
	// serves the request sooner.
	suspectFailures = 2
	// failureAge is how long a failure counts.
	failureAge = time.Second
)

// failures holds the own connections that failed since the last one that came up, by service.
type failures struct {
	mu   sync.Mutex
	last map[string]map[string]clock.Millis // by service and endpoint
}

// record adds a failure and reports whether the own links to the service are suspected to be
// lost. size is the number of the service's endpoints.
func (f *failures) record(now clock.Millis, service, endpoint string, size int) (suspected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.last[service]
	if list == nil {
		list = map[string]clock.Millis{}
		f.last[service] = list
	}
	for id, at := range list {
		if now.Sub(at) > failureAge {
			delete(list, id)
		}
	}
	list[endpoint] = now
	return len(list) >= min(suspectFailures, max(size, 1))
}

// reset forgets the failures of a service after an own connection to it.
func (f *failures) reset(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.last, service)
}
