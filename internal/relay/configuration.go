package relay

import (
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// configurationRetryDelay is how long to wait for an announced configuration before it is
// read again: an earlier read may have started before the configuration was written.
const configurationRetryDelay = 500 * time.Millisecond

// pendingConfiguration is a configuration that a peer has announced and that is still to be
// read from the store.
type pendingConfiguration struct {
	version     int64
	requestedAt clock.Millis // when it was last requested
}

// newestVersion returns the version of the newest configuration known to exist. The
// directory's revision may already be past that configuration while it is still being read,
// so revisions do not show which instance lacks it.
func (r *Relay) newestVersion(v *directory.View) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(v.Version(), r.pending.version)
}

// configurationFromStore reports whether the newest configuration has to be read from the
// store: it has too many routes to be sent between peers, or this instance does not have it
// yet.
func (r *Relay) configurationFromStore(v *directory.View) bool {
	return v.Version() < r.newestVersion(v) || v.Table != nil && len(v.Table.Document().Routes) > maxSharedRoutes
}

// requestConfiguration has a configuration read from the store, unless this instance has it
// or has requested it already.
func (r *Relay) requestConfiguration(version int64) {
	if version <= r.newestVersion(r.Directory.View()) {
		return
	}
	r.mu.Lock()
	r.pending = pendingConfiguration{version: version, requestedAt: r.Now()}
	r.mu.Unlock()
	r.Configure()
}

// retryConfiguration repeats a request that did not bring the configuration.
func (r *Relay) retryConfiguration(now clock.Millis) {
	own := r.Directory.View().Version()
	r.mu.Lock()
	due := own < r.pending.version && now.Sub(r.pending.requestedAt) >= configurationRetryDelay
	if due {
		r.pending.requestedAt = now
	}
	r.mu.Unlock()
	if due {
		r.Configure()
	}
}
