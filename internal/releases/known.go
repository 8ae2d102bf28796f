package releases

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// knowledge is what this process knows of the history while it can't read it: the last complete
// reading, and what the directory has listed since.
type knowledge struct {
	versions map[string][]string // by service, of the last complete reading
	lost     bool                // the store was lost at the last step
	outdated map[string]bool     // services whose history was not read since the store was lost
	triedAt  clock.Millis        // when the history was last read for this; 0: it is to be read now
	lacking  bool                // the history in the store was not complete when last read
}

// Known returns the versions that may have begun streams of a service, or for the name of a bucket
// the digests of its routes at which streams may have begun, as far as this process knows without
// the store. Complete says that it has read the complete history and has listed
// endpoints since: then only a version that appeared right before the store was lost can be
// missing. The list must not be modified.
func (h *History) Known(service string) Versions {
	listed := h.listing().values(service)
	h.mu.Lock()
	defer h.mu.Unlock()
	read, known := h.known.versions[service]
	complete := known && !h.known.outdated[service] && !h.watch.isStale(h.Now())
	return Versions{List: Union(read, listed), Complete: complete, Lacking: h.known.lacking}
}

// rememberedTrust is how long ago a registrar that answers from memory may have been in contact to
// know all versions, for an instance that reads the store. It covers some steps of that registrar.
const rememberedTrust = time.Second

// learn notes the versions of a reply. One that is not complete after a restore of the store
// adds to what a process knows that has lived through it, and so does one that may be older than
// that.
func (k *knowledge) learn(a reply) {
	if a.Remembered && a.HeardAgo > rememberedTrust && !k.lost {
		a.Complete = false
	}
	for service, list := range a.Versions {
		before, known := k.versions[service]
		switch {
		case a.Complete && (!known || !a.Remembered):
			k.versions[service] = slices.Clone(list)
		case known:
			k.versions[service] = Union(before, list)
		}
		if a.Complete || !a.Remembered {
			delete(k.outdated, service)
		}
	}
	if !a.Remembered {
		k.lacking = !a.Complete
	}
}

// add adds the versions of a history that may be older than what is known. It is no reading of
// the history by itself: a listing may be some seconds old.
func (k *knowledge) add(s Stored) {
	for service, before := range k.versions {
		k.versions[service] = Union(before, s.Versions[service])
	}
}

// observe notes what the directory lists now, and whether the store is lost. Versions that have
// not been listed for long enough are forgotten.
func (k *knowledge) observe(l listing, lost, watchedLong bool) {
	if k.lost && !lost {
		for service := range k.versions {
			k.outdated[service] = true
		}
		k.triedAt = 0
	}
	k.lost = lost
	for service, read := range k.versions {
		listed := l.values(service)
		if watchedLong && len(listed) > 0 {
			read = slices.DeleteFunc(slices.Clone(read), func(software string) bool { return !slices.Contains(listed, software) })
		}
		k.versions[service] = Union(read, listed)
	}
}

// knowInterval is the time between two readings for what this process knows. A restored history
// stays incomplete for a while.
const knowInterval = 10 * time.Second

// unread returns the services and buckets whose history has to be read now for what this process
// knows.
func (k *knowledge) unread(now clock.Millis, l listing) (subjects []string) {
	if k.triedAt != 0 && now.Sub(k.triedAt) < knowInterval {
		return nil
	}
	for _, r := range l.all() {
		if _, known := k.versions[r.Service]; k.outdated[r.Service] || k.lacking || !known {
			subjects = append(subjects, r.Service)
			k.triedAt = now
		}
	}
	return subjects
}

// Union returns the versions that are in either of two lists, in order. It is called for each stream
// that begins: if a holds all of them in order, it is returned itself, so that neither it nor the
// result may be modified.
func Union(a, b []string) []string {
	if len(a) > 0 && isSet(a) && !slices.ContainsFunc(b, func(v string) bool { return !slices.Contains(a, v) }) {
		return a
	}
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// isSet reports whether a list is in order and names nothing twice.
func isSet(list []string) bool {
	for n := 1; n < len(list); n++ {
		if list[n-1] >= list[n] {
			return false
		}
	}
	return true
}

// watchedLong reports whether the directory has been watched for so long that it has listed all
// versions that may have begun streams.
func (w *watch) watchedLong(now clock.Millis) bool {
	return now.Sub(w.since) >= directory.SoftwareRetention+removalDelay
}
