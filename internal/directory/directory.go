// Package directory keeps an instance's view of the configuration and of the endpoints.
// Facts come from the platform's store and, while that is out of reach, from peers. Each
// carries the store's revision, and an older fact never replaces a newer one. Apply is pure
// apart from the lock: the caller passes the time, and logs the changes that it returns.
package directory

import (
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"

	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

// State says whether an endpoint takes new work.
type State int

// States of an endpoint.
const (
	Ready State = iota
	Draining
	Evacuated // its zone is evacuated; set only in views, as the endpoint does not know
)

// Stage is the part of the work that an engine does.
type Stage int

// Stages of an engine.
const (
	Combined Stage = iota // prefill and decode; also every plain service
	Prefill
	Decode
)

// Endpoint is one incarnation of a replica of a service, as its entry in the store
// describes it: a replica that starts again is another incarnation. All state about an
// endpoint is kept by its ID, so that nothing of one incarnation is attributed to another.
type Endpoint struct {
	ID        string         `cbor:"1,keyasint"`           // of this incarnation
	Entry     string         `cbor:"2,keyasint"`           // name in the store and to the endpoint itself, the same for all incarnations
	StartedAt int64          `cbor:"3,keyasint,omitempty"` // start of this incarnation, in ms since 1970; 0 if unknown
	Service   string         `cbor:"4,keyasint"`
	Address   netip.AddrPort `cbor:"5,keyasint"`
	Zone      string         `cbor:"6,keyasint"`
	Slots     int            `cbor:"7,keyasint"`
	State     State          `cbor:"8,keyasint,omitempty"`
	Stage     Stage          `cbor:"9,keyasint,omitempty"`
	Revision  int64          `cbor:"10,keyasint"`           // of the store, when this entry was written
	ColdFor   time.Duration  `cbor:"11,keyasint,omitempty"` // how long it would stay cold, when this entry was written
	Software  string         `cbor:"12,keyasint,omitempty"` // version of its software; empty if unknown
}

// WithStart returns the endpoint as the incarnation that started at startedAt.
func (e Endpoint) WithStart(startedAt int64) Endpoint {
	e.StartedAt, e.ID = startedAt, e.Entry
	if startedAt != 0 {
		e.ID += startSeparator + strconv.FormatInt(startedAt, 36)
	}
	return e
}

// entry returns the endpoint's name in the store.
func (e Endpoint) entry() string {
	if e.Entry == "" {
		return e.ID // it has one incarnation
	}
	return e.Entry
}

// before reports whether e is older than o: of an earlier incarnation or, within one, of an
// earlier revision. An earlier incarnation's entry may be written after that of a later
// one.
func (e Endpoint) before(o Endpoint) bool {
	if e.StartedAt != o.StartedAt && e.StartedAt != 0 && o.StartedAt != 0 {
		return e.StartedAt < o.StartedAt
	}
	return e.Revision < o.Revision
}

// less orders endpoints by revision, then by entry.
func (e *Endpoint) less(o *Endpoint) bool {
	return e.Revision < o.Revision || e.Revision == o.Revision && e.entry() < o.entry()
}

// hash returns what the endpoint contributes to a view's digest. The epoch is left out: an
// entry that a restored store has kept counts to the former one where it was known before.
func (e *Endpoint) hash() uint64 {
	text := e.ID + strconv.FormatInt(epoch.Revision(e.Revision), 16)
	if e.State == Draining {
		text += "\x00leaving"
	}
	return xxhash.Sum64String(text)
}

// interned returns the endpoint with shared strings: thousands of endpoints have only a few
// services, zones and versions.
func (e Endpoint) interned() Endpoint {
	e.Service, e.Zone = unique.Make(e.Service).Value(), unique.Make(e.Zone).Value()
	e.Software = unique.Make(e.Software).Value()
	if strings.HasPrefix(e.ID, e.Entry) {
		e.ID = strings.Clone(e.ID)
		e.Entry = e.ID[:len(e.Entry)]
	}
	return e
}

// startSeparator separates the entry from the incarnation's start in an ID.
const startSeparator = "@"

// entryFromID returns the entry of the incarnation with an ID.
func entryFromID(id string) string {
	if i := strings.LastIndex(id, startSeparator); i >= 0 {
		return id[:i]
	}
	return id
}

// Directory holds the current facts and publishes a view of them after each change.
type Directory struct {
	view atomic.Pointer[View]

	mu              sync.Mutex
	table           *route.Table
	tableRevision   int64
	endpoints       map[string]*record     // by entry
	byRevision      *btree.BTreeG[*record] // endpoints by revision and entry
	removedAt       map[string]int64       // by entry: revision of its removal
	removals        *btree.BTreeG[Removed] // the same by revision and entry
	leaving         map[string]leavingMark // by ID: incarnations that announced in an answer that they leave
	leavingIDs      map[string][]string    // of leaving, for views; nil: to be computed again
	zones           map[string]Evacuation  // by zone, including those that are over
	index           viewIndex              // endpoints of the next view
	missing         int                    // endpoints whose removal is held
	digest          uint64                 // of the endpoints
	revision        int64
	storeLost       bool
	storeReturnedAt clock.Millis // when the store was last reached again; 0 if it was never lost
	restore         restore
}

// record is an endpoint with what is doubtful about it.
type record struct {
	endpoint  *Endpoint // replaced, never modified, since views share it
	missingAt int64     // position of a removal that is held, as the store may only have been out of reach; 0: none is
	denied    bool      // another endpoint answered at its address: it is not used
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{
		endpoints: map[string]*record{}, removedAt: map[string]int64{}, leaving: map[string]leavingMark{}, zones: map[string]Evacuation{},
		index: newViewIndex(),
	}
	unlocked := btree.Options{NoLocks: true} // the directory's own lock guards them
	d.byRevision = btree.NewBTreeGOptions(func(a, b *record) bool { return a.endpoint.less(b.endpoint) }, unlocked)
	d.removals = btree.NewBTreeGOptions(func(a, b Removed) bool {
		return a.Revision < b.Revision || a.Revision == b.Revision && a.Entry < b.Entry
	}, unlocked)
	d.publish()
	return d
}

// View returns the current view.
func (d *Directory) View() *View { return d.view.Load() }

// Supersedes reports whether this directory has newer facts about an endpoint than the peer
// that sent it: that it is gone or leaving, that its zone is evacuated, that its address
// belongs to another endpoint, or that it has started again.
func (d *Directory) Supersedes(e Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, leaving := d.leaving[e.ID]; leaving || d.removedAt[e.entry()] >= e.Revision || d.isEvacuated(e.Zone) {
		return true
	}
	rec := d.endpoints[e.entry()]
	return rec != nil && (rec.denied && rec.endpoint.ID == e.ID || e.before(*rec.endpoint))
}

// Apply applies one event and returns what it changed.
func (d *Directory) Apply(now clock.Millis, e Event) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index.now = now
	changes := d.enterEpoch(now, e)
	softwareForgotten := false
	switch e := e.(type) {
	case Configured:
		changes = append(changes, d.applyConfiguration(e)...)
	case Listed:
		changes = append(changes, d.applyListing(now, e)...)
	case PeerUpdate:
		changes = append(changes, d.applyPeerUpdate(now, e)...)
	case Seen:
		changes = append(changes, d.applyEntry(now, e.Endpoint, e.Endpoint.Revision)...)
		d.revision = max(d.revision, e.Endpoint.Revision)
	case Removed:
		changes = append(changes, d.applyRemoval(now, e)...)
		d.revision = max(d.revision, e.Revision)
	case Evacuation:
		changes = append(changes, d.applyEvacuation(now, e)...)
		d.revision = max(d.revision, e.Revision)
	case Denied:
		changes = d.markDenied(e)
	case Leaving:
		changes = d.markLeaving(now, e)
	case StoreLost:
		d.storeLost = true
	case StoreReached:
		d.revision = max(d.revision, e.Revision)
		if d.storeLost {
			d.storeLost = false
			d.storeReturnedAt = now
		}
	case Tick:
		d.expireLeaving(now)
		softwareForgotten = d.index.software.expire(now)
		softwareForgotten = d.index.routes.expire(now) || softwareForgotten
		changes = d.removeMissing(now)
	}
	if len(changes) > 0 || softwareForgotten || d.view.Load().Revision != d.revision {
		d.publish()
	}
	return changes
}

// applyConfiguration applies a configuration if it is newer than the current one.
func (d *Directory) applyConfiguration(e Configured) []Change {
	if d.table != nil && e.Table.Version <= d.table.Version {
		return nil
	}
	d.index.configure(d.table, e.Table)
	d.table, d.tableRevision = e.Table, e.Revision
	return []Change{{Kind: ConfigurationChanged, Version: e.Table.Version, Revision: e.Revision}}
}

// applyListing applies a complete listing of the store: what it lacks is gone, at once or,
// shortly after an outage, if it is still missing later.
func (d *Directory) applyListing(now clock.Millis, e Listed) []Change {
	var changes []Change
	present := make(map[string]bool, len(e.Endpoints)+len(e.PresentEntries))
	for _, p := range e.Endpoints {
		present[p.entry()] = true
		changes = append(changes, d.applyEntry(now, p, e.Revision)...)
	}
	for _, entry := range e.PresentEntries {
		present[entry] = true
	}
	for entry, rec := range d.endpoints {
		if present[entry] || rec.endpoint.Revision > e.Revision {
			continue
		}
		changes = append(changes, d.applyRemoval(now, Removed{Entry: entry, Revision: e.Revision})...)
	}
	changes = append(changes, d.applyAllEvacuations(now, e.Evacuations, e.Revision)...)
	d.revision = max(d.revision, e.Revision)
	return changes
}

// applyPeerUpdate applies what a peer has sent. A peer with a complete view has already
// decided about doubtful endpoints, so what it lacks is gone.
func (d *Directory) applyPeerUpdate(now clock.Millis, e PeerUpdate) []Change {
	var changes []Change
	present := make(map[string]bool, len(e.Endpoints))
	for _, p := range e.Endpoints {
		present[p.entry()] = true
		changes = append(changes, d.applyEntry(now, p, p.Revision)...) // a peer may hold the removal of an entry that it sends
	}
	for _, g := range e.Removed {
		if rec := d.endpoints[g.Entry]; rec != nil && rec.endpoint.Revision <= g.Revision {
			changes = append(changes, d.removeEndpoint(rec, g.Revision)...)
		}
	}
	for _, h := range e.Held {
		changes = append(changes, d.applyHeldRemoval(now, h)...)
	}
	for entry, rec := range d.endpoints {
		if !e.Complete || present[entry] || rec.endpoint.Revision > e.Revision {
			continue
		}
		if d.restore.settling(now) { // the peer may know only the copy
			changes = append(changes, d.applyRemoval(now, Removed{Entry: entry, Revision: e.Revision})...)
			continue
		}
		changes = append(changes, d.removeEndpoint(rec, e.Revision)...)
	}
	if e.Complete {
		changes = append(changes, d.applyAllEvacuations(now, e.Evacuations, e.Revision)...)
	} else {
		for _, z := range e.Evacuations {
			changes = append(changes, d.applyEvacuation(now, z)...)
		}
	}
	d.revision = max(d.revision, e.Revision)
	return changes
}

// Since returns what changed after a revision, for a peer that has everything up to it. If
// limit is not 0, it stops after that many endpoints, at the end of a revision.
func (d *Directory) Since(revision int64, limit int) PeerUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := PeerUpdate{Revision: d.revision, Digest: d.view.Load().Digest}
	after := revision + 1
	d.byRevision.Ascend(&record{endpoint: &Endpoint{Revision: after}}, func(rec *record) bool {
		// Entries of one revision stay together: the peer continues after that revision.
		if n := len(out.Endpoints); limit > 0 && n >= limit && out.Endpoints[n-1].Revision < rec.endpoint.Revision {
			out.More, out.Revision, out.Digest = true, out.Endpoints[n-1].Revision, 0
			return false
		}
		out.Endpoints = append(out.Endpoints, *rec.endpoint)
		return true
	})
	out.Complete = revision == 0 && !out.More
	out.Held = d.heldRemovals(revision, out.Revision)
	if revision > 0 {
		d.removals.Ascend(Removed{Revision: after}, func(r Removed) bool {
			if r.Revision > out.Revision {
				return false
			}
			out.Removed = append(out.Removed, r)
			return true
		})
	}
	for _, z := range d.zones {
		if z.Revision > revision && (revision > 0 || !z.Ended) {
			out.Evacuations = append(out.Evacuations, z)
		}
	}
	return out
}

// applyEntry applies one endpoint's entry, unless a newer fact is known. The entry existed at position, which is that of
// its writing or a later one.
func (d *Directory) applyEntry(now clock.Millis, p Endpoint, position int64) []Change {
	p, use := d.keepKnown(now, p, position)
	if !use || d.removedAt[p.entry()] >= p.Revision {
		return nil
	}
	p = p.interned()
	rec := d.endpoints[p.entry()]
	if rec == nil {
		d.add(p)
		return []Change{{Kind: EndpointJoined, Endpoint: p, Revision: p.Revision}}
	}
	before := *rec.endpoint
	if p.ID == before.ID && p.Revision == before.Revision && p.Software == "" {
		p.Software = before.Software // from a peer of an earlier build, whose messages lack it
	}
	if p.before(before) {
		if p.Revision > before.Revision {
			d.confirm(rec, position) // the entry exists, though an earlier incarnation wrote it
		}
		return nil
	}
	wasMissingAt, wasDenied := rec.missingAt, rec.denied
	if before.ID != p.ID {
		d.discard(rec)
		d.add(p)
		if position <= wasMissingAt {
			d.setMissing(d.endpoints[p.entry()], wasMissingAt)
		}
		return []Change{
			{Kind: EndpointGone, Endpoint: before, Revision: p.Revision},
			{Kind: EndpointJoined, Endpoint: p, Revision: p.Revision},
		}
	}
	rec.denied = wasDenied && p.Revision == before.Revision // a new entry is trusted again
	d.confirm(rec, position)
	d.replace(rec, p)
	if before.State != p.State {
		return []Change{{Kind: EndpointLeaving, Endpoint: p, Revision: p.Revision}}
	}
	before.Revision = p.Revision
	if before == p && wasMissingAt == rec.missingAt && wasDenied == rec.denied {
		return nil
	}
	return []Change{{Kind: EndpointChanged, Endpoint: p, Revision: p.Revision}}
}

// applyRemoval applies the removal of an entry. While the store is lost or settling, a
// ready endpoint is only marked as missing.
func (d *Directory) applyRemoval(now clock.Millis, e Removed) []Change {
	rec := d.endpoints[e.Entry]
	if rec == nil {
		d.recordRemoval(e)
		return nil
	}
	if e.Revision < rec.endpoint.Revision {
		return nil
	}
	if d.state(rec) == Ready && d.settling(now) {
		return d.holdRemoval(rec, e.Revision)
	}
	return d.removeEndpoint(rec, e.Revision)
}

// applyHeldRemoval applies a removal that a peer holds. Whether this instance has a reason to hold it as well shows at the
// next Tick; a fact from a peer that does not hold it may come before.
func (d *Directory) applyHeldRemoval(now clock.Millis, e Removed) []Change {
	rec := d.endpoints[e.Entry]
	if rec != nil && e.Revision >= rec.endpoint.Revision && d.state(rec) == Ready {
		return d.holdRemoval(rec, e.Revision)
	}
	return d.applyRemoval(now, e)
}

// holdRemoval marks an endpoint as missing from a position on.
func (d *Directory) holdRemoval(rec *record, position int64) []Change {
	wasMissing := rec.missingAt != 0
	d.setMissing(rec, max(rec.missingAt, position))
	if wasMissing {
		return nil
	}
	return []Change{{Kind: EndpointMissing, Endpoint: *rec.endpoint, Revision: position}}
}

// removeEndpoint removes an endpoint and records the removal of its entry.
func (d *Directory) removeEndpoint(rec *record, revision int64) []Change {
	d.discard(rec)
	d.recordRemoval(Removed{Entry: rec.endpoint.entry(), Revision: revision})
	return []Change{{Kind: EndpointGone, Endpoint: *rec.endpoint, Revision: revision}}
}

// recordRemoval records that an entry was removed, so that no older fact restores it.
func (d *Directory) recordRemoval(r Removed) {
	before, known := d.removedAt[r.Entry]
	if known && before >= r.Revision {
		return
	}
	if known {
		d.removals.Delete(Removed{Entry: r.Entry, Revision: before})
	}
	d.removedAt[r.Entry] = r.Revision
	d.removals.Set(r)
}

// markDenied stops the use of an endpoint whose address turned out to belong to another. It
// stays in the digest, since peers have no newer facts that could resolve a difference.
func (d *Directory) markDenied(e Denied) []Change {
	rec := d.find(e.ID)
	if rec == nil || rec.denied {
		return nil
	}
	rec.denied = true
	d.updateIndex(rec)
	return []Change{{Kind: EndpointDenied, Endpoint: *rec.endpoint, Revision: rec.endpoint.Revision}}
}

// find returns the record of the incarnation with an ID if it is the current one, or nil.
func (d *Directory) find(id string) *record {
	for _, entry := range []string{id, entryFromID(id)} {
		if rec := d.endpoints[entry]; rec != nil && rec.endpoint.ID == id {
			return rec
		}
	}
	return nil
}

// add starts a record of an endpoint.
func (d *Directory) add(p Endpoint) {
	rec := &record{endpoint: &p}
	d.endpoints[p.entry()] = rec
	d.byRevision.Set(rec)
	d.digest ^= p.hash()
	d.updateIndex(rec)
}

// discard removes the record of an endpoint.
func (d *Directory) discard(rec *record) {
	d.setMissing(rec, 0)
	delete(d.endpoints, rec.endpoint.entry())
	d.byRevision.Delete(rec)
	d.digest ^= rec.endpoint.hash()
	d.index.remove(rec.endpoint.ID)
	d.leavingIDs = nil
}

// replace replaces an entry by a newer one of the same incarnation.
func (d *Directory) replace(rec *record, p Endpoint) {
	d.byRevision.Delete(rec)
	d.digest ^= rec.endpoint.hash() ^ p.hash()
	rec.endpoint = &p
	d.byRevision.Set(rec)
	d.updateIndex(rec)
}

// setMissing sets the position of the removal that is held of an endpoint; 0: none is.
func (d *Directory) setMissing(rec *record, position int64) {
	before := rec.missingAt
	rec.missingAt = position
	switch {
	case before == 0 && position != 0:
		d.missing++
	case before != 0 && position == 0:
		d.missing--
	}
}

// confirm records that an endpoint's entry existed at a position. A removal that is held and came later stays.
func (d *Directory) confirm(rec *record, position int64) {
	if position > rec.missingAt {
		d.setMissing(rec, 0)
	}
}

// updateIndex brings an endpoint's current state into the next view.
func (d *Directory) updateIndex(rec *record) {
	if len(d.leaving) > 0 {
		d.leavingIDs = nil
	}
	if rec.denied {
		d.index.remove(rec.endpoint.ID)
		return
	}
	e := rec.endpoint
	state := d.state(rec)
	if d.isEvacuated(e.Zone) {
		state = Evacuated
	}
	if state != e.State {
		other := *e
		other.State = state
		e = &other
	}
	d.index.put(e)
}

// state returns an endpoint's state according to its entry and its answers.
func (d *Directory) state(rec *record) State {
	if _, leaving := d.leaving[rec.endpoint.ID]; leaving {
		return Draining
	}
	return rec.endpoint.State
}

// settling reports whether entries may be missing only because the store was out of reach.
func (d *Directory) settling(now clock.Millis) bool {
	return d.storeLost || d.storeReturnedAt != 0 && now.Sub(d.storeReturnedAt) < SettlePeriod || d.restore.settling(now)
}

// heldRemovals returns the removals that are held of those after one revision and up to another.
func (d *Directory) heldRemovals(after, upTo int64) (held []Removed) {
	if d.missing == 0 {
		return nil
	}
	for entry, rec := range d.endpoints {
		if at := rec.missingAt; at > after && at <= upTo {
			held = append(held, Removed{Entry: entry, Revision: at})
		}
	}
	return held
}

// removeMissing removes endpoints that are still missing after the store has settled.
func (d *Directory) removeMissing(now clock.Millis) []Change {
	if d.missing == 0 || d.settling(now) {
		return nil
	}
	var changes []Change
	for _, rec := range d.endpoints {
		if rec.missingAt != 0 {
			changes = append(changes, d.removeEndpoint(rec, d.revision)...)
		}
	}
	return changes
}

// publish makes a view of the current facts available to readers.
func (d *Directory) publish() {
	v := d.index.view()
	v.Table, v.TableRevision, v.Revision = d.table, d.tableRevision, d.revision
	v.Leaving, v.Uncertain = d.leavingByService(), d.missing > 0
	zones, digest := d.evacuatedZones()
	v.Evacuated, v.Digest = zones, d.digest^digest
	d.view.Store(v)
}
