package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// heldFor is how long a request is refused after an endpoint last ended under
	// it: by then somebody has looked into it. Operators end it sooner.
	heldFor = 24 * time.Hour
	// suspectedFor is the same for what is not refused yet, and for what was cleared.
	suspectedFor = time.Hour
	// recordsMost bounds the records; at about 250 bytes each they take a megabyte.
	recordsMost = 4096
)

// Stored is a record in the platform's store.
type Stored struct {
	Record
	Revision int64 // of the store
}

// Release says that a request's record was removed from the store.
type Release struct {
	Work     Fingerprint
	Revision int64 // of the store
}

// Table is what one instance knows. It is not safe for concurrent use.
type Table struct {
	records map[Fingerprint]*held
	vouched *vouched
}

// held is a record and where it stands.
type held struct {
	Record
	revision int64        // of the store, which has it; 0: it is not known to
	since    clock.Millis // when it was first held here
	own      bool         // this instance saw the end for which it is held
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[Fingerprint]*held{}, vouched: newVouched()}
}

// Empty says whether no request is suspected.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Holds says whether the request is to be run no more.
func (t *Table) Holds(w Work) bool {
	if t.Empty() {
		return false
	}
	h := t.records[w.Fingerprint()]
	return h != nil && h.Held()
}

// Ended takes that an endpoint ended while it ran the request. It returns what is
// to be told to others, if that is news.
func (t *Table) Ended(now clock.Millis, w Work, endpoint string) (Record, bool) {
	return t.Blame(now, NewEnd(w, endpoint))
}

// Blame is Ended for an end that was seen before.
func (t *Table) Blame(now clock.Millis, e End) (Record, bool) {
	r := Record{Work: e.print, Ended: []string{e.endpoint}, Seen: now, Vouched: t.vouched.has(now, e.work)}
	if before := t.records[r.Work]; before != nil {
		r.Cleared = before.Cleared
	}
	merged, news := t.take(now, r)
	if h := t.records[r.Work]; h != nil && news {
		h.own = true
	}
	return merged, news
}

// Completed takes that the request ran to its end, which shows that it ends no
// endpoint. It returns what is to be told to others, if it was suspected.
func (t *Table) Completed(now clock.Millis, w Work) (Record, bool) {
	t.vouched.add(now, w)
	if t.Empty() {
		return Record{}, false
	}
	h := t.records[w.Fingerprint()]
	if h == nil || len(h.Ended) == 0 {
		return Record{}, false
	}
	return t.take(now, Record{Work: h.Work, Cleared: max(now, h.Cleared+1), Seen: now})
}

// Take joins what another instance knows with what is known here, and says whether
// that is news here.
func (t *Table) Take(now clock.Millis, r Record) (Record, bool) { return t.take(now, r) }

func (t *Table) take(now clock.Millis, r Record) (Record, bool) {
	if len(r.Ended) == 0 && r.Cleared == 0 || now.Sub(r.Seen) > keptFor(r) {
		return Record{}, false
	}
	h := t.records[r.Work]
	if h == nil {
		t.makeRoom(now)
		h = &held{Record: Record{Work: r.Work}}
		t.records[r.Work] = h
	}
	merged := merge(h.Record, r)
	news := !merged.equal(h.Record)
	if merged.Held() && !h.Held() {
		h.since, h.own = now, false
	}
	h.Record = merged
	return merged, news
}

func keptFor(r Record) time.Duration {
	if r.Held() {
		return heldFor
	}
	return suspectedFor
}

// makeRoom drops the record that was seen the longest ago, one that is not held if
// there is one, when the table is full.
func (t *Table) makeRoom(now clock.Millis) {
	if len(t.records) < recordsMost {
		return
	}
	t.Expire(now)
	if len(t.records) < recordsMost {
		return
	}
	var oldest *held
	for _, h := range t.records {
		if oldest == nil || !h.Held() && oldest.Held() || h.Held() == oldest.Held() && h.Seen < oldest.Seen {
			oldest = h
		}
	}
	delete(t.records, oldest.Work)
}

// Expire drops what is too old and returns those of it that the store has.
func (t *Table) Expire(now clock.Millis) []Release {
	var old []Release
	for work, h := range t.records {
		if now.Sub(h.Seen) <= keptFor(h.Record) {
			continue
		}
		delete(t.records, work)
		if h.revision != 0 {
			old = append(old, Release{Work: work, Revision: h.revision})
		}
	}
	return old
}

// Saved takes a record that the store has, and says whether it is news here.
func (t *Table) Saved(now clock.Millis, s Stored) (Record, bool) {
	r, news := t.take(now, s.Record)
	if h := t.records[s.Work]; h != nil {
		h.revision = max(h.revision, s.Revision)
	}
	return r, news
}

// Released takes that a record was removed from the store, by an operator or
// because the request was cleared. It says whether the request was held here.
func (t *Table) Released(now clock.Millis, l Release) (Record, bool) {
	h := t.records[l.Work]
	if h == nil || h.revision == 0 || h.revision > l.Revision {
		return Record{}, false
	}
	h.revision = 0
	if !h.Held() {
		return Record{}, false
	}
	return t.take(now, Record{Work: h.Work, Cleared: max(now, h.Cleared+1), Seen: now})
}

// Missing are the records that the store had, of which a listing of it, complete up
// to a revision, tells nothing.
func (t *Table) Missing(all []Stored, revision int64) []Release {
	listed := map[Fingerprint]bool{}
	for _, s := range all {
		listed[s.Work] = true
	}
	var gone []Release
	for work, h := range t.records {
		if h.revision != 0 && h.revision <= revision && !listed[work] {
			gone = append(gone, Release{Work: work, Revision: revision})
		}
	}
	return gone
}

// Unsaved are the held records that the store is not known to have. Who saw the
// last end saves it at once; whoever watches the store does so if it is not there
// after grace.
func (t *Table) Unsaved(now clock.Millis, watches bool, grace time.Duration) []Record {
	var list []Record
	for _, h := range t.records {
		if h.Held() && h.revision == 0 && (h.own || watches && now.Sub(h.since) >= grace) {
			list = append(list, h.Record)
		}
	}
	return sorted(list)
}

// Unneeded are the records that the store has of requests that are not held.
func (t *Table) Unneeded() []Release {
	var list []Release
	for work, h := range t.records {
		if !h.Held() && h.revision != 0 {
			list = append(list, Release{Work: work, Revision: h.revision})
		}
	}
	return list
}

// Digest tells two tables that hold different requests apart.
func (t *Table) Digest() uint64 {
	digest := uint64(0)
	for work, h := range t.records {
		if h.Held() {
			digest ^= binary.BigEndian.Uint64(work[:])
		}
	}
	return digest
}

// Firm are the records of requests that are held or were cleared, the last seen
// first, at most so many.
func (t *Table) Firm(most int) []Record {
	var list []Record
	for _, h := range t.records {
		if h.Held() || h.Cleared != 0 {
			list = append(list, h.Record)
		}
	}
	list = sorted(list)
	return list[:min(len(list), most)]
}

// Count is how many requests are held, and how many suspected.
func (t *Table) Count() (heldNow, suspected int) {
	for _, h := range t.records {
		switch {
		case h.Held():
			heldNow++
		case len(h.Ended) > 0:
			suspected++
		}
	}
	return heldNow, suspected
}

// sorted orders records by when they were last seen, the newest first.
func sorted(list []Record) []Record {
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.Seen, a.Seen), slices.Compare(a.Work[:], b.Work[:]))
	})
	return list
}
