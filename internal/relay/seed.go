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
	// seedPause is between two such asks in vain.
	seedPause = 250 * time.Millisecond
	// seedWait bounds one answer, which takes its time on a link that several share.
	seedWait = 1500 * time.Millisecond
	// seedsEach is how many instances are told of all endpoints at a time, for each
	// seedShare of a core that the teller has: links are as strong as processors.
	seedsEach = 4
	seedShare = 0.2
	// seededMost is how many of those that were told are named to others.
	seededMost = 8
	// seedOver is how long after an answer its asker is taken to be done.
	seedOver = 600 * time.Millisecond
)

// Seed learns of all endpoints from the own zone, where there are too many for each
// instance to read them from the store: a fleet that starts, or one of whose instances
// many lack something, would take minutes of the store's link. It returns false if this
// instance is to read them itself: it watches for the zone, or nobody there got on within
// the bound. Those who watch need longer for a larger fleet, so it waits while they get on.
func (r *Relay) Seed(ctx context.Context) bool {
	r.seeding.Store(true)
	defer r.seeding.Store(false)
	began := r.Now()
	s := seed{
		Relay: r, advanced: began, progress: map[string]int64{},
		present: map[string]bool{}, evacuations: map[string]directory.Evacuation{},
	}
	counted := false // those who started together are known
	for first := true; ctx.Err() == nil && r.Now().Sub(s.advanced) < r.Bound; first = false {
		together := r.Now().Sub(began) >= roster.JoinTime || r.Now().Sub(r.began) > 2*roster.JoinTime
		if first || together && !counted {
			if err := r.Roll(ctx); err != nil {
				return false
			}
			counted = together
		}
		if counted && r.speaks() {
			return false
		}
		if from, ok := s.seeder(); ok && s.ask(ctx, from) {
			return true
		}
		ticker.Sleep(ctx, seedPause)
	}
	return false
}

// seeder is an instance of the zone that may know all endpoints: one that watches or, if
// those have named any, one that they have told. To ask others would connect each with
// each while nobody knows anything.
func (s *seed) seeder() (roster.Instance, bool) {
	zone := s.members()
	if len(zone) == 0 {
		return roster.Instance{}, false
	}
	if n := rand.IntN(len(s.others) + 1); n < len(s.others) {
		name := s.others[n]
		s.others = slices.Delete(s.others, n, n+1) // they are asked by many; the next answer names more
		if i, known := s.Roster.Find(name); known && i.Zone == s.Zone {
			return i, name != s.Name
		}
	}
	i := zone[rand.IntN(min(len(zone), watchers))]
	return i, i.Name != s.Name
}

// seed is what was told so far, by one instance or several: what they tell is in the order
// of revisions, so another one goes on where the last one stopped.
type seed struct {
	*Relay
	advanced    clock.Millis     // when something was told, or who was asked had got on
	progress    map[string]int64 // of those who were asked, by name
	revision    int64
	others      []string        // who may know all
	present     map[string]bool // entries
	evacuations map[string]directory.Evacuation
}

// ask asks an instance for all that is lacking. It returns true once that is everything.
func (s *seed) ask(ctx context.Context, from roster.Instance) bool {
	for ctx.Err() == nil {
		q := Question{Version: s.Directory.View().Version(), Revision: s.revision, Seeding: true}
		told, err := s.page(ctx, from, q)
		if err == nil && len(told.Others) > 0 {
			s.others = told.Others
		}
		if told.Progress > s.progress[from.Name] || told.Revision > s.revision {
			s.progress[from.Name], s.advanced = told.Progress, s.Now()
		}
		if err != nil || told.Revision <= s.revision {
			return false
		}
		s.take(from, told)
		if !told.More {
			s.settle(from)
			return true
		}
	}
	return false
}

func (s *seed) page(ctx context.Context, from roster.Instance, q Question) (Told, error) {
	ctx, cancel := context.WithTimeout(ctx, seedWait)
	defer cancel()
	return peer.Ask[Question, Told](ctx, s.Transport, from.Address, topic, q)
}

func (s *seed) take(from roster.Instance, told Told) {
	s.takeTable(from, told)
	s.Instances(told.Instances, told.Left, false, told.Revision)
	for _, e := range told.Endpoints {
		s.present[e.Entry] = true
	}
	for _, g := range told.Gone {
		delete(s.present, g.Entry)
	}
	for _, z := range told.Evacuations {
		s.evacuations[z.Zone] = z
	}
	s.revision = told.Revision
	s.Tell(directory.Relayed{Endpoints: told.Endpoints, Gone: told.Gone, Evacuations: told.Evacuations, Revision: told.Revision})
}

// settle drops what an old listing told of and nobody tells of any more.
func (s *seed) settle(from roster.Instance) {
	all := directory.Listed{Revision: s.revision}
	for entry := range s.present {
		all.Present = append(all.Present, entry)
	}
	for _, z := range s.evacuations {
		if !z.Over {
			all.Evacuations = append(all.Evacuations, z)
		}
	}
	s.Tell(all)
	s.Log.Write(eventlog.Line{
		Event: eventlog.PeerTold, Outcome: "seeded", Address: from.Address.String(), Count: int64(len(all.Present)), Revision: s.revision,
	})
}

// Progressed counts entries that were read from the store or told to an instance that had
// just begun. While it grows, others that wait for this instance have reason to.
func (r *Relay) Progressed(entries int) { r.progress.Add(int64(entries)) }

// noteSeeded notes that an instance was told of all endpoints.
func (r *Relay) noteSeeded(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeded = append(r.seeded[max(0, len(r.seeded)-seededMost+1):], name)
}

// seededLately are instances that were told of all endpoints here.
func (r *Relay) seededLately() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.seeded)
}

// maySeed says whether this instance can tell another one of all endpoints now: it knows
// them without doubts, and not too many ask at a time.
func (r *Relay) maySeed(name string) bool {
	v := r.Directory.View()
	if r.seeding.Load() || v.Revision == 0 || v.Doubtful {
		return false
	}
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, at := range r.seeds {
		if now.Sub(at) >= seedOver {
			delete(r.seeds, other)
		}
	}
	if _, asks := r.seeds[name]; !asks && len(r.seeds) >= max(int(seedsEach*r.Capacity/seedShare), seedsEach) {
		r.Scope.Counter("relay_seeds_put_off").Inc(1)
		return false
	}
	r.seeds[name] = now
	return true
}
