package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// seedRetryDelay is the pause after an attempt that did not complete.
	seedRetryDelay = 250 * time.Millisecond
	// seedTimeout bounds one response, which is slow on a link that several requests share.
	seedTimeout = 1500 * time.Millisecond
	// seedsPerShare is how many instances may receive all endpoints at a time, for each
	// capacityShare of a core that the sender has: network capacity grows with the
	// processor.
	seedsPerShare = 4
	capacityShare = 0.2
	// maxRecentlySeeded is how many of the instances that have received all endpoints are
	// named to others.
	maxRecentlySeeded = 8
	// seedExpiry is how long after its last request an instance counts as still seeding.
	seedExpiry = 600 * time.Millisecond
)

// Seed gets all endpoints from the own zone, where there are too many for each instance to
// read them from the store: a starting fleet, or one of which many instances lack
// something, would take minutes of the store's link. It returns false if this instance has
// to read the store itself: it watches for the zone, the zone's instances could not be
// read, or none that it sent requests to made progress within the bound. The watchers need
// longer in a larger fleet, so Seed waits as long as they make progress.
func (r *Relay) Seed(ctx context.Context) bool {
	r.seeding.Store(true)
	defer r.seeding.Store(false)
	start := r.Now()
	s := seedRun{
		Relay: r, advancedAt: start, progress: map[string]int64{},
		present: map[string]bool{}, evacuations: map[string]directory.Evacuation{},
	}
	zoneRead := false // the zone was read after the instances that started together had registered
	for first := true; ctx.Err() == nil && r.Now().Sub(s.advancedAt) < r.Bound; first = false {
		peersKnown := r.Now().Sub(start) >= roster.JoinDelay || r.Now().Sub(r.startedAt) > 2*roster.JoinDelay
		if first || peersKnown && !zoneRead {
			if err := r.ReadZone(ctx); err != nil {
				return false
			}
			zoneRead = peersKnown
		}
		if zoneRead && r.isWatcher() {
			return false
		}
		if from, ok := s.pickSeeder(); ok && s.requestAll(ctx, from) {
			return true
		}
		ticker.Sleep(ctx, seedRetryDelay)
	}
	return false
}

// pickSeeder returns an instance of the zone that may have all endpoints: a watcher or, if
// watchers have named any, an instance that got them from a watcher. Requests to others
// would connect every instance to every other while none has the endpoints.
func (s *seedRun) pickSeeder() (roster.Instance, bool) {
	zone := s.zoneMembers()
	if len(zone) == 0 {
		return roster.Instance{}, false
	}
	if n := rand.IntN(len(s.seeders) + 1); n < len(s.seeders) {
		name := s.seeders[n]
		s.seeders = slices.Delete(s.seeders, n, n+1) // several instances are given the same names; the next response has others
		if i, known := s.Roster.Find(name); known && i.Zone == s.Zone {
			return i, name != s.Name
		}
	}
	i := zone[rand.IntN(min(len(zone), watchersPerZone))]
	return i, i.Name != s.Name
}

// seedRun holds what was received so far, from one instance or several. Responses are in
// the order of revisions, so another instance can continue where the last one stopped.
type seedRun struct {
	*Relay
	advancedAt  clock.Millis     // when something was received, or a seeder had made progress
	progress    map[string]int64 // of the instances that got requests, by name
	revision    int64
	seeders     []string        // may have all endpoints
	present     map[string]bool // by entry
	evacuations map[string]directory.Evacuation
}

// requestAll requests everything that is missing from one instance, page by page. It
// returns true once nothing is missing.
func (s *seedRun) requestAll(ctx context.Context, from roster.Instance) bool {
	for ctx.Err() == nil {
		req := Request{Version: s.Directory.View().Version(), Revision: s.revision, Seeding: true}
		resp, err := s.requestPage(ctx, from, req)
		if err == nil && len(resp.Seeders) > 0 {
			s.seeders = resp.Seeders
		}
		if resp.Progress > s.progress[from.Name] || resp.Revision > s.revision {
			s.progress[from.Name], s.advancedAt = resp.Progress, s.Now()
		}
		if err != nil || resp.Revision <= s.revision {
			return false
		}
		s.applyPage(from, resp)
		if !resp.More {
			s.finish(from)
			return true
		}
	}
	return false
}

// requestPage requests the next page.
func (s *seedRun) requestPage(ctx context.Context, from roster.Instance, req Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	return peer.Call[Request, Response](ctx, s.Transport, from.Address, topicRequest, req)
}

// applyPage applies one page and records which entries it has.
func (s *seedRun) applyPage(from roster.Instance, resp Response) {
	s.applyTable(from, resp)
	s.ApplyInstances(resp.Instances, resp.RemovedInstances, false, resp.Revision)
	for _, e := range resp.Endpoints {
		s.present[e.Entry] = true
	}
	for _, g := range resp.Removed {
		delete(s.present, g.Entry)
	}
	for _, z := range resp.Evacuations {
		s.evacuations[z.Zone] = z
	}
	s.revision = resp.Revision
	s.ApplyEvent(resp.update(false))
}

// finish removes endpoints that came from an older listing and that no page has.
func (s *seedRun) finish(from roster.Instance) {
	listing := directory.Listed{Revision: s.revision}
	for entry := range s.present {
		listing.PresentEntries = append(listing.PresentEntries, entry)
	}
	for _, z := range s.evacuations {
		if !z.Ended {
			listing.Evacuations = append(listing.Evacuations, z)
		}
	}
	s.ApplyEvent(listing)
	s.Log.Write(eventlog.Line{
		Event: eventlog.PeerTold, Outcome: "seeded", Address: from.Address.String(), Count: int64(len(listing.PresentEntries)), Revision: s.revision,
	})
}

// AddProgress counts entries that were read from the store or sent to an instance that is
// seeding. While the count grows, instances that wait for this one keep waiting.
func (r *Relay) AddProgress(entries int) { r.progress.Add(int64(entries)) }

// noteSeeded records that an instance has received all endpoints.
func (r *Relay) noteSeeded(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recentlySeeded = append(r.recentlySeeded[max(0, len(r.recentlySeeded)-maxRecentlySeeded+1):], name)
}

// recentSeeders returns the last instances that received all endpoints from this one.
func (r *Relay) recentSeeders() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.recentlySeeded)
}

// canSeed reports whether this instance can send all endpoints to another one now: its view
// is certain, and not too many instances are seeding.
func (r *Relay) canSeed(name string) bool {
	v := r.Directory.View()
	if r.seeding.Load() || v.Revision == 0 || v.Uncertain {
		return false
	}
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, at := range r.activeSeeds {
		if now.Sub(at) >= seedExpiry {
			delete(r.activeSeeds, other)
		}
	}
	if _, active := r.activeSeeds[name]; !active && len(r.activeSeeds) >= max(int(seedsPerShare*r.Capacity/capacityShare), seedsPerShare) {
		r.Scope.Counter("relay_seeds_put_off").Inc(1)
		return false
	}
	r.activeSeeds[name] = now
	return true
}
