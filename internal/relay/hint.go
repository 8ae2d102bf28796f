package relay

import (
	"math"
	"net/netip"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// silentFor is how long an instance that has begun tells nobody.
	silentFor = roster.JoinTime / 2
	// deputyPart of the time within which a change must be in force is the delay of the
	// second watcher: the first may gather changes for an eighth of it.
	deputyPart = 0.2
)

// Hint tells peers a revision that the store has and what the sender believes. Hints before
// it have what has changed since the zone was last told: most need not ask.
type Hint struct {
	Revision int64  `cbor:"1,keyasint"`
	Digest   uint64 `cbor:"2,keyasint"`
	Since    int64  `cbor:"3,keyasint,omitempty"`
	News     *Told  `cbor:"4,keyasint,omitempty"` // after Since
	Version  int64  `cbor:"5,keyasint,omitempty"` // as in Told
	AskStore bool   `cbor:"6,keyasint,omitempty"` // for a configuration of that version
}

// Told passes on that there is news from the store. Those who watch it tell the zone: if
// all did, as in a start of all, each would connect to each. The first watcher tells at
// once. The second does so later, and leaves out what the first has told, so that each
// change goes over the links of the zone once.
func (r *Relay) Told() {
	switch {
	case !r.speaks():
	case r.rank() == 0:
		r.tellZone()
	default:
		r.tellAt.CompareAndSwap(0, int64(r.Now().Add(time.Duration(deputyPart*float64(r.Bound)))))
	}
}

// tellDue tells the zone what the second watcher has put off.
func (r *Relay) tellDue(now clock.Millis) {
	if at := r.tellAt.Load(); at != 0 && now >= clock.Millis(at) {
		r.tellAt.Store(0)
		r.tellZone()
	}
}

func (r *Relay) tellZone() { r.hint(r.Directory.View().Revision, r.members()) }

// speaks says whether this instance is known to be one of those that tell the zone. A young
// one does not know yet who else there is: where many start together, each of ten or
// twenty would take itself for one of the first two, and connect to all others.
func (r *Relay) speaks() bool {
	place, known := r.Roster.Rank(r.Zone, roleCheck, r.Name)
	return known && place < watchers && r.Now().Sub(r.began) >= silentFor
}

// passOn tells what another zone knew: to the own zone, if this instance speaks for it,
// else to those who do.
func (r *Relay) passOn(revision int64) {
	zone := r.members()
	if !r.speaks() {
		zone = zone[:min(len(zone), watchers)]
	}
	r.hint(revision, zone)
}

// hint tells instances a revision and what is believed here.
func (r *Relay) hint(revision int64, to []roster.Instance) {
	v := r.Directory.View()
	if v.Doubtful {
		return // whoever has no doubts tells the zone
	}
	var addresses []netip.AddrPort
	for _, f := range to {
		if f.Name != r.Name {
			addresses = append(addresses, f.Address)
		}
	}
	list := []Hint{{Revision: revision, Digest: v.Digest}}
	if len(to) > watchers {
		list = append(r.news(v), list...)
	}
	version, large := r.version(v), r.large(v)
	for _, h := range list {
		h.Version, h.AskStore = version, large
		unsent := peer.SendAll(r.Transport, addresses, topicHint, h)
		r.Scope.Counter("relay_hint_failed").Inc(int64(unsent))
	}
}

// news is what has changed since the zone was last told, in parts.
func (r *Relay) news(v *directory.View) (list []Hint) {
	r.mu.Lock()
	since := r.told
	r.told = max(r.told, v.Revision)
	r.mu.Unlock()
	if since == 0 || v.TableRev > since && !r.large(v) {
		return nil // each asks for a new configuration, unless it is read from the store
	}
	for more := since < v.Revision; more; {
		t := r.tell(v, Question{Revision: since, Version: math.MaxInt64})
		list = append(list, Hint{Revision: t.Revision, Digest: t.Digest, Since: since, News: &t})
		since, more = t.Revision, t.More
	}
	return list
}

// hear takes a hint.
func (r *Relay) hear(from peer.Sender, h Hint) {
	if h.AskStore {
		r.askStore(h.Version)
	}
	if h.News != nil {
		r.takeNews(from, h)
		return // the last hint of several has none
	}
	place, known := r.Roster.Rank(r.Zone, roleCheck, from.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Fresh.Heard(r.Now(), h.Revision, h.Digest, from.Name)
	if known && place == 0 {
		r.told = max(r.told, h.Revision)
	}
	r.ticker.Wake()
}

// takeNews takes what came with a hint, if it goes on from what is known here. News from
// beyond a configuration that was not heard of is not taken: with its revision this
// instance would have nothing left to ask for.
func (r *Relay) takeNews(from peer.Sender, h Hint) {
	v := r.Directory.View()
	known := v.Revision
	if known < h.Since || known >= h.News.Revision || known == 0 || h.News.Version > r.version(v) || r.seeding.Load() || r.Watching() {
		return
	}
	r.take(roster.Instance{Name: from.Name, Address: from.Address, Zone: r.Zone}, Question{Revision: known}, *h.News)
}
