// Package directory keeps what an instance believes of the configuration and
// of the endpoints. Facts come from the platform's store and, while that is out
// of reach, from peers; each carries the store's revision, and an older fact
// never replaces a newer one. Apply is pure apart from the lock: the caller
// gives the time, and learns from the returned changes what to log.
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

	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

// settle is how long after the store's return an endpoint that it does not list
// still counts as present. The users' second letter: entries of endpoints that
// live are back within about two seconds of the store's return.
const settle = 2200 * time.Millisecond

// State is an endpoint's own statement on whether it takes new work.
type State int

// States of an endpoint.
const (
	Ready State = iota
	Draining
	Evacuated // its zone is; only views tell it, as an endpoint knows nothing of it
)

// Stage is the part an engine plays.
type Stage int

// Stages of an engine.
const (
	Whole Stage = iota // reads and decodes; also every plain service
	Prefill
	Decode
)

// Endpoint is one life of a replica of a service, as its entry in the store
// tells. What was learned, held or counted of an endpoint goes by its ID, so that
// nothing of one life is taken for another's.
type Endpoint struct {
	ID       string         `cbor:"1,keyasint"`           // of this life
	Entry    string         `cbor:"2,keyasint"`           // what the store and the endpoint itself know it by, in all its lives
	Born     int64          `cbor:"3,keyasint,omitempty"` // ms since 1970, when this life began; 0 if it does not say
	Service  string         `cbor:"4,keyasint"`
	Address  netip.AddrPort `cbor:"5,keyasint"`
	Zone     string         `cbor:"6,keyasint"`
	Slots    int            `cbor:"7,keyasint"`
	State    State          `cbor:"8,keyasint,omitempty"`
	Stage    Stage          `cbor:"9,keyasint,omitempty"`
	Revision int64          `cbor:"10,keyasint"`           // of the store, when this was written
	Cold     time.Duration  `cbor:"11,keyasint,omitempty"` // how long it still was cold, when this was written
}

// Live returns the endpoint as the life that began at born.
func (e Endpoint) Live(born int64) Endpoint {
	e.Born, e.ID = born, e.Entry
	if born != 0 {
		e.ID += lifeMark + strconv.FormatInt(born, 36)
	}
	return e
}

// entry is what the store knows the endpoint by.
func (e Endpoint) entry() string {
	if e.Entry == "" {
		return e.ID // it has one life
	}
	return e.Entry
}

// before says whether e is older than o: of an earlier life or, within one, of an
// earlier revision. A word of an earlier life may be written after one of a later.
func (e Endpoint) before(o Endpoint) bool {
	if e.Born != o.Born && e.Born != 0 && o.Born != 0 {
		return e.Born < o.Born
	}
	return e.Revision < o.Revision
}

// earlier orders endpoints by their revisions.
func (e *Endpoint) earlier(o *Endpoint) bool {
	return e.Revision < o.Revision || e.Revision == o.Revision && e.entry() < o.entry()
}

// mark is what a digest of beliefs has of an endpoint.
func (e *Endpoint) mark() uint64 {
	return xxhash.Sum64String(e.ID + strconv.FormatInt(e.Revision, 16))
}

// compact returns the endpoint with its texts shared: thousands of endpoints have a few
// services and zones between them.
func (e Endpoint) compact() Endpoint {
	e.Service, e.Zone = unique.Make(e.Service).Value(), unique.Make(e.Zone).Value()
	if strings.HasPrefix(e.ID, e.Entry) {
		e.ID = strings.Clone(e.ID)
		e.Entry = e.ID[:len(e.Entry)]
	}
	return e
}

// lifeMark is between an entry and the time when a life began, in an id.
const lifeMark = "@"

// entryOf is the entry of the life that has an id.
func entryOf(id string) string {
	if i := strings.LastIndex(id, lifeMark); i >= 0 {
		return id[:i]
	}
	return id
}

// Directory is the aggregate.
type Directory struct {
	view atomic.Pointer[View]

	mu         sync.Mutex
	table      *route.Table
	tableRev   int64
	endpoints  map[string]*held       // by entry
	newest     *btree.BTreeG[*held]   // endpoints by revision and entry
	removed    map[string]int64       // by entry: revision of its removal
	removals   *btree.BTreeG[Removed] // the same by revision and entry
	leaving    map[string]departure   // by id: lives that said in an answer that they leave
	leavers    map[string][]string    // of leaving, for views; nil: to be made anew
	zones      map[string]Evacuation  // by zone, also those that are over
	shown      shown                  // what the next view has
	missing    int                    // endpoints that the store does not list
	digest     uint64                 // of the endpoints
	revision   int64
	storeLost  bool
	returnedAt clock.Millis // when the store was last reached again; 0 at first
}

// held is an endpoint with what is doubted of it.
type held struct {
	endpoint *Endpoint // replaced and never changed, since views share it
	missing  bool      // the store does not list it
	denied   bool      // another endpoint answered at its address: it is not used
}

// New returns a directory that knows nothing.
func New() *Directory {
	d := &Directory{
		endpoints: map[string]*held{}, removed: map[string]int64{}, leaving: map[string]departure{}, zones: map[string]Evacuation{},
		shown: newShown(),
	}
	unlocked := btree.Options{NoLocks: true} // the directory's own lock guards them
	d.newest = btree.NewBTreeGOptions(func(a, b *held) bool { return a.endpoint.earlier(b.endpoint) }, unlocked)
	d.removals = btree.NewBTreeGOptions(func(a, b Removed) bool {
		return a.Revision < b.Revision || a.Revision == b.Revision && a.Entry < b.Entry
	}, unlocked)
	d.publish()
	return d
}

// View returns the present beliefs.
func (d *Directory) View() *View { return d.view.Load() }

// Refutes says whether more is known here of an endpoint than a peer knew who told
// of it: that it is gone or leaves, that its zone is evacuated, that its address is
// another's, or that it started anew.
func (d *Directory) Refutes(e Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, leaving := d.leaving[e.ID]; leaving || d.removed[e.entry()] >= e.Revision || d.isEvacuated(e.Zone) {
		return true
	}
	h := d.endpoints[e.entry()]
	return h != nil && (h.denied && h.endpoint.ID == e.ID || e.before(*h.endpoint))
}

// Apply takes one event and returns what it changed.
func (d *Directory) Apply(now clock.Millis, e Event) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	switch e := e.(type) {
	case Configured:
		changes = d.configure(e)
	case Listed:
		changes = d.list(now, e)
	case Relayed:
		changes = d.relay(e)
	case Seen:
		changes = d.see(e.Endpoint)
		d.revision = max(d.revision, e.Endpoint.Revision)
	case Removed:
		changes = d.remove(now, e)
		d.revision = max(d.revision, e.Revision)
	case Evacuation:
		changes = d.evacuate(e)
		d.revision = max(d.revision, e.Revision)
	case Denied:
		changes = d.deny(e)
	case Leaving:
		changes = d.leave(now, e)
	case StoreLost:
		d.storeLost = true
	case StoreReached:
		d.revision = max(d.revision, e.Revision)
		if d.storeLost {
			d.storeLost = false
			d.returnedAt = now
		}
	case Tick:
		d.forgetLeaving(now)
		changes = d.expire(now)
	}
	if len(changes) > 0 || d.view.Load().Revision != d.revision {
		d.publish()
	}
	return changes
}

func (d *Directory) configure(e Configured) []Change {
	if d.table != nil && e.Table.Version <= d.table.Version {
		return nil
	}
	d.table, d.tableRev = e.Table, e.Revision
	return []Change{{What: ConfigurationChanged, Version: e.Table.Version, Revision: e.Revision}}
}

// list takes a whole listing of the store: what it lacks is gone, at once or,
// shortly after an outage, once it has stayed missing.
func (d *Directory) list(now clock.Millis, e Listed) []Change {
	var changes []Change
	present := make(map[string]bool, len(e.Endpoints)+len(e.Present))
	for _, p := range e.Endpoints {
		present[p.entry()] = true
		changes = append(changes, d.see(p)...)
	}
	for _, entry := range e.Present {
		present[entry] = true
	}
	for entry, h := range d.endpoints {
		if present[entry] || h.endpoint.Revision > e.Revision {
			continue
		}
		changes = append(changes, d.remove(now, Removed{Entry: entry, Revision: e.Revision})...)
	}
	changes = append(changes, d.evacuateOnly(e.Evacuations, e.Revision)...)
	d.revision = max(d.revision, e.Revision)
	return changes
}

// relay takes a peer's complete view. The peer has judged what was doubtful, so
// what it lacks is gone.
func (d *Directory) relay(e Relayed) []Change {
	var changes []Change
	present := make(map[string]bool, len(e.Endpoints))
	for _, p := range e.Endpoints {
		present[p.entry()] = true
		changes = append(changes, d.see(p)...)
	}
	for _, g := range e.Gone {
		if h := d.endpoints[g.Entry]; h != nil && h.endpoint.Revision <= g.Revision {
			changes = append(changes, d.drop(h, g.Revision)...)
		}
	}
	for entry, h := range d.endpoints {
		if e.Whole && !present[entry] && h.endpoint.Revision <= e.Revision {
			changes = append(changes, d.drop(h, e.Revision)...)
		}
	}
	if e.Whole {
		changes = append(changes, d.evacuateOnly(e.Evacuations, e.Revision)...)
	} else {
		for _, z := range e.Evacuations {
			changes = append(changes, d.evacuate(z)...)
		}
	}
	d.revision = max(d.revision, e.Revision)
	return changes
}

// Since returns what changed after a revision, for a peer that has seen the rest: all of
// it, or the first so many endpoints if most is not 0.
func (d *Directory) Since(revision int64, most int) Relayed {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := Relayed{Revision: d.revision, Digest: d.view.Load().Digest}
	after := revision + 1
	d.newest.Ascend(&held{endpoint: &Endpoint{Revision: after}}, func(h *held) bool {
		// Those of one revision stay together: the peer asks on from there.
		if told := len(out.Endpoints); most > 0 && told >= most && out.Endpoints[told-1].Revision < h.endpoint.Revision {
			out.More, out.Revision, out.Digest = true, out.Endpoints[told-1].Revision, 0
			return false
		}
		out.Endpoints = append(out.Endpoints, *h.endpoint)
		return true
	})
	out.Whole = revision == 0 && !out.More
	if revision > 0 {
		d.removals.Ascend(Removed{Revision: after}, func(r Removed) bool {
			if r.Revision > out.Revision {
				return false
			}
			out.Gone = append(out.Gone, r)
			return true
		})
	}
	for _, z := range d.zones {
		if z.Revision > revision && (revision > 0 || !z.Over) {
			out.Evacuations = append(out.Evacuations, z)
		}
	}
	return out
}

func (d *Directory) see(p Endpoint) []Change {
	if d.removed[p.entry()] >= p.Revision {
		return nil
	}
	p = p.compact()
	h := d.endpoints[p.entry()]
	if h == nil {
		d.join(p)
		return []Change{{What: EndpointJoined, Endpoint: p, Revision: p.Revision}}
	}
	before := *h.endpoint
	if p.before(before) {
		if h.missing && p.Revision > before.Revision {
			d.setMissing(h, false) // the entry is there, though an earlier life wrote it
		}
		return nil
	}
	if before.ID != p.ID {
		d.part(h)
		d.join(p)
		return []Change{
			{What: EndpointGone, Endpoint: before, Revision: p.Revision},
			{What: EndpointJoined, Endpoint: p, Revision: p.Revision},
		}
	}
	wasMissing, wasDenied := h.missing, h.denied
	h.denied = wasDenied && p.Revision == before.Revision // a new entry is believed anew
	d.setMissing(h, false)
	d.replace(h, p)
	if before.State != p.State {
		return []Change{{What: EndpointLeaving, Endpoint: p, Revision: p.Revision}}
	}
	before.Revision = p.Revision
	if before == p && !wasMissing && wasDenied == h.denied {
		return nil
	}
	return []Change{{What: EndpointChanged, Endpoint: p, Revision: p.Revision}}
}

func (d *Directory) remove(now clock.Millis, e Removed) []Change {
	h := d.endpoints[e.Entry]
	if h == nil {
		d.bury(e)
		return nil
	}
	if e.Revision < h.endpoint.Revision {
		return nil
	}
	if d.state(h) == Ready && d.unsettled(now) {
		if !h.missing {
			d.setMissing(h, true)
			return []Change{{What: EndpointMissing, Endpoint: *h.endpoint, Revision: e.Revision}}
		}
		return nil
	}
	return d.drop(h, e.Revision)
}

func (d *Directory) drop(h *held, revision int64) []Change {
	d.part(h)
	d.bury(Removed{Entry: h.endpoint.entry(), Revision: revision})
	return []Change{{What: EndpointGone, Endpoint: *h.endpoint, Revision: revision}}
}

// bury notes that an entry was removed, so that no older fact brings it back.
func (d *Directory) bury(r Removed) {
	before, known := d.removed[r.Entry]
	if known && before >= r.Revision {
		return
	}
	if known {
		d.removals.Delete(Removed{Entry: r.Entry, Revision: before})
	}
	d.removed[r.Entry] = r.Revision
	d.removals.Set(r)
}

// deny takes an endpoint whose address turned out to belong to another one out
// of use. It still counts as told by the store, so that the digest shows
// peers no difference that they could mend.
func (d *Directory) deny(e Denied) []Change {
	h := d.life(e.ID)
	if h == nil || h.denied {
		return nil
	}
	h.denied = true
	d.show(h)
	return []Change{{What: EndpointDenied, Endpoint: *h.endpoint, Revision: h.endpoint.Revision}}
}

// life returns the endpoint whose present life has an id; nil if there is none.
func (d *Directory) life(id string) *held {
	for _, entry := range []string{id, entryOf(id)} {
		if h := d.endpoints[entry]; h != nil && h.endpoint.ID == id {
			return h
		}
	}
	return nil
}

// join begins to hold an endpoint.
func (d *Directory) join(p Endpoint) {
	h := &held{endpoint: &p}
	d.endpoints[p.entry()] = h
	d.newest.Set(h)
	d.digest ^= p.mark()
	d.show(h)
}

// part holds an endpoint no more.
func (d *Directory) part(h *held) {
	d.setMissing(h, false)
	delete(d.endpoints, h.endpoint.entry())
	d.newest.Delete(h)
	d.digest ^= h.endpoint.mark()
	d.shown.drop(h.endpoint.ID)
	d.leavers = nil
}

// replace takes a newer entry of the same life.
func (d *Directory) replace(h *held, p Endpoint) {
	d.newest.Delete(h)
	d.digest ^= h.endpoint.mark() ^ p.mark()
	h.endpoint = &p
	d.newest.Set(h)
	d.show(h)
}

func (d *Directory) setMissing(h *held, missing bool) {
	if h.missing == missing {
		return
	}
	h.missing = missing
	if missing {
		d.missing++
	} else {
		d.missing--
	}
}

// show has the next view tell of an endpoint as it is now.
func (d *Directory) show(h *held) {
	if len(d.leaving) > 0 {
		d.leavers = nil
	}
	if h.denied {
		d.shown.drop(h.endpoint.ID)
		return
	}
	e := h.endpoint
	state := d.state(h)
	if d.isEvacuated(e.Zone) {
		state = Evacuated
	}
	if state != e.State {
		other := *e
		other.State = state
		e = &other
	}
	d.shown.put(e)
}

// state is an endpoint's, as its entry or its answers tell.
func (d *Directory) state(h *held) State {
	if _, leaving := d.leaving[h.endpoint.ID]; leaving {
		return Draining
	}
	return h.endpoint.State
}

// unsettled says that entries may be absent only because the store was away.
func (d *Directory) unsettled(now clock.Millis) bool {
	return d.storeLost || d.returnedAt != 0 && now.Sub(d.returnedAt) < settle
}

func (d *Directory) expire(now clock.Millis) []Change {
	if d.missing == 0 || d.unsettled(now) {
		return nil
	}
	var changes []Change
	for _, h := range d.endpoints {
		if h.missing {
			changes = append(changes, d.drop(h, d.revision)...)
		}
	}
	return changes
}

func (d *Directory) publish() {
	v := d.shown.view()
	v.Table, v.TableRev, v.Revision = d.table, d.tableRev, d.revision
	v.Leaving, v.Doubtful = d.leavingByService(), d.missing > 0
	zones, digest := d.evacuated()
	v.Evacuated, v.Digest = zones, d.digest^digest
	d.view.Store(v)
}
