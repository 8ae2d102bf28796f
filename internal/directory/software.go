package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// SoftwareRetention is how long a version of endpoints' software is remembered after its last
// endpoint is gone: by then no caller returns to a stream that it began.
const SoftwareRetention = 2 * time.Minute

// softwareIndex counts a fleet's endpoints by service and by the version of their software, and
// remembers the versions that are gone. Another one does so for the digests of the configuration's
// buckets of routes.
type softwareIndex struct {
	counts map[string]map[string]int          // endpoints
	goneAt map[string]map[string]clock.Millis // when the last endpoint of a version went
	lists  map[string][]string                // what views share; nil: to be computed again
}

func newSoftwareIndex() softwareIndex {
	return softwareIndex{counts: map[string]map[string]int{}, goneAt: map[string]map[string]clock.Millis{}}
}

func (x *softwareIndex) add(service, software string) {
	versions := x.counts[service]
	if versions == nil {
		versions = map[string]int{}
		x.counts[service] = versions
	}
	versions[software]++
	if versions[software] == 1 {
		delete(x.goneAt[service], software)
		x.lists = nil
	}
}

func (x *softwareIndex) remove(now clock.Millis, service, software string) {
	versions := x.counts[service]
	versions[software]--
	if versions[software] > 0 {
		return
	}
	delete(versions, software)
	gone := x.goneAt[service]
	if gone == nil {
		gone = map[string]clock.Millis{}
		x.goneAt[service] = gone
	}
	gone[software] = now
	x.lists = nil
}

// expire drops the versions that have been gone for SoftwareRetention. It returns whether there
// were any.
func (x *softwareIndex) expire(now clock.Millis) (changed bool) {
	for service, gone := range x.goneAt {
		maps.DeleteFunc(gone, func(_ string, at clock.Millis) bool {
			expired := now.Sub(at) > SoftwareRetention
			changed = changed || expired
			return expired
		})
		if len(gone) == 0 {
			delete(x.goneAt, service)
		}
	}
	if changed {
		x.lists = nil
	}
	return changed
}

// versions returns each service's versions, in order. The result must not be modified.
func (x *softwareIndex) versions() map[string][]string {
	if x.lists != nil {
		return x.lists
	}
	x.lists = map[string][]string{}
	for service, versions := range x.counts {
		x.lists[service] = slices.AppendSeq(x.lists[service], maps.Keys(versions))
	}
	for service, gone := range x.goneAt {
		x.lists[service] = slices.AppendSeq(x.lists[service], maps.Keys(gone))
	}
	for _, list := range x.lists {
		slices.Sort(list)
	}
	return x.lists
}
