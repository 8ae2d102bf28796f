package relay

import (
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// askedAgain is after how long a configuration that was heard of is read once more, if it
// has not come: the reading may have begun before it was written.
const askedAgain = 500 * time.Millisecond

// awaited is a configuration that was heard of and is to be read from the store.
type awaited struct {
	version int64
	at      clock.Millis // when it was last asked for
}

// version is that of the newest configuration that was heard of. The directory's revision
// may be past it while it is still being read, so revisions do not tell who lacks it.
func (r *Relay) version(v *directory.View) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(v.Version(), r.wanted.version)
}

// large says whether the newest configuration is to be read from the store: it has too many
// routes to be passed round, or is not here yet.
func (r *Relay) large(v *directory.View) bool {
	return v.Version() < r.version(v) || v.Table != nil && len(v.Table.Document().Routes) > routesMost
}

// askStore has a configuration read from the store, unless it is here or asked for.
func (r *Relay) askStore(version int64) {
	if version <= r.version(r.Directory.View()) {
		return
	}
	r.mu.Lock()
	r.wanted = awaited{version: version, at: r.Now()}
	r.mu.Unlock()
	r.Configure()
}

// askAgain repeats an ask that brought nothing.
func (r *Relay) askAgain(now clock.Millis) {
	own := r.Directory.View().Version()
	r.mu.Lock()
	due := own < r.wanted.version && now.Sub(r.wanted.at) >= askedAgain
	if due {
		r.wanted.at = now
	}
	r.mu.Unlock()
	if due {
		r.Configure()
	}
}
