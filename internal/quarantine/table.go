package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// heldRetention is how long a request is refused after the last end of an endpoint that
	// ran it, which is long enough for an operator to investigate. Operators can
	// release it earlier.
	heldRetention = 24 * time.Hour
	// suspectRetention is the retention of records of suspected and of cleared requests.
	suspectRetention = time.Hour
	// maxRecords bounds the table; at about 250 bytes a record it takes a megabyte.
	maxRecords = 4096
)

// Stored is a record in the platform's store.
type Stored struct {
	Record
	Revision int64 // of the store
}

// Removal is the removal of a record from the store.
type Removal struct {
	Work     Fingerprint
	OfPart   bool  // it is the record of a part of prompts
	Revision int64 // of the store
}

// Table holds the records that one instance knows. It is not safe for concurrent use.
type Table struct {
	records     map[Fingerprint]*entry
	completions *completions
	parts       partIndex
	heldChanges []Record
}

// entry is a record with its local state.
type entry struct {
	Record
	revision  int64        // of the stored record; 0 if the store is not known to have it
	heldSince clock.Millis // when the request became held at this instance
	storedEnd clock.Millis // time of the last end in the stored record of a part
	local     bool         // this instance observed the end that made the request held, or a later one
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[Fingerprint]*entry{}, completions: newCompletions(), parts: newPartIndex()}
}

// Empty reports whether the table has no records.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Holds reports whether the request is held and must not be run.
func (t *Table) Holds(w Work) bool {
	if t.Empty() {
		return false
	}
	e := t.records[w.Fingerprint()]
	return e != nil && e.held
}

// setHeld sets whether a record is held, and remembers the change for TakeHeldChanges.
func (t *Table) setHeld(e *entry, held bool) {
	if held == e.held {
		return
	}
	e.held, e.lapsed = held, false
	t.heldChanges = append(t.heldChanges, e.Record)
}

// TakeHeldChanges returns the records that became held, or are held no more, since the last
// call.
func (t *Table) TakeHeldChanges() []Record {
	changes := t.heldChanges
	t.heldChanges = nil
	return changes
}

// drop removes a record from the table.
func (t *Table) drop(e *entry) {
	delete(t.records, e.Work)
	if e.Part != nil {
		t.parts.remove(e)
		t.decideParts(e.Part)
	}
}

// RecordEnd records that an endpoint ended while it ran the request. It returns the merged
// record, and true if it changed and must be announced to other instances.
func (t *Table) RecordEnd(now clock.Millis, w Work, endpoint string) (Record, bool) {
	return t.AddEnd(now, NewEnd(w, endpoint))
}

// AddEnd is RecordEnd for an End that was created earlier.
func (t *Table) AddEnd(now clock.Millis, e End) (Record, bool) {
	r := Record{Work: e.fingerprint, Ended: []string{e.endpoint}, Seen: now, RecentlyCompleted: t.completions.has(now, e.work)}
	if before := t.records[r.Work]; before != nil {
		r.Cleared = before.Cleared
	}
	merged, changed := t.mergeRecord(now, r)
	if own := t.records[r.Work]; own != nil && changed {
		own.local = true
	}
	return merged, changed
}

// RecordCompletion records that the request ran to completion, which clears it. If the
// request was suspected, it returns the record to announce to other instances, and true.
func (t *Table) RecordCompletion(now clock.Millis, w Work) (Record, bool) {
	t.completions.add(now, w)
	if t.Empty() {
		return Record{}, false
	}
	e := t.records[w.Fingerprint()]
	if e == nil || len(e.Ended) == 0 {
		return Record{}, false
	}
	return t.mergeRecord(now, Record{Work: e.Work, Cleared: max(now, e.Cleared+1), Seen: now})
}

// Merge merges a record from another instance into the table. It returns the merged
// record and whether it changed.
func (t *Table) Merge(now clock.Millis, r Record) (Record, bool) { return t.mergeRecord(now, r) }

func (t *Table) mergeRecord(now clock.Millis, r Record) (Record, bool) {
	if r.Part != nil {
		r = r.notAfter(now)
		r.RecentlyCompleted = r.RecentlyCompleted || t.parts.proven.hasPart(now, *r.Part)
	}
	if r.EndCount() == 0 && r.Cleared == 0 || now.Sub(r.Seen) > retention(r.mayBeHeld()) {
		return Record{}, false
	}
	e := t.records[r.Work]
	if e == nil {
		if r.Part != nil && r.EndCount() == 0 {
			return Record{}, false // the part is not suspected here
		}
		t.makeRoom(now)
		e = &entry{Record: Record{Work: r.Work, Part: r.Part}}
		t.records[r.Work] = e
		if r.Part != nil {
			t.parts.add(e)
		}
	}
	merged, wasHeld := merge(e.Record, r), e.held
	merged.held, merged.lapsed = wasHeld, e.lapsed
	changed := !merged.Equal(e.Record)
	e.Record = merged
	switch {
	case e.Part == nil:
		t.setHeld(e, merged.crashes(t.parts.explained))
	case changed:
		t.decideParts(e.Part)
	}
	if e.held && !wasHeld {
		e.heldSince, e.local = now, false
	}
	return e.Record, changed
}

// mayBeHeld reports whether some table may hold the record.
func (r Record) mayBeHeld() bool {
	return r.Part != nil && len(r.Ends) >= newPartEvidence.ends || r.crashes(nil)
}

// notAfter returns the record of a part with no time later than now. An instance whose clock is
// ahead would otherwise clear a part of ends to come.
func (r Record) notAfter(now clock.Millis) Record {
	r.Cleared = min(r.Cleared, now)
	r.Ends = slices.Clone(r.Ends)
	for i := range r.Ends {
		r.Ends[i].At = min(r.Ends[i].At, now)
	}
	return r
}

func retention(held bool) time.Duration {
	if held {
		return heldRetention
	}
	return suspectRetention
}

// makeRoom drops a record if the table is full: the least recently seen one that is not
// held or, if all are held, the least recently seen one.
func (t *Table) makeRoom(now clock.Millis) {
	if len(t.records) < maxRecords {
		return
	}
	t.Expire(now)
	if len(t.records) < maxRecords {
		return
	}
	var oldest *entry
	for _, e := range t.records {
		if oldest == nil || !e.held && oldest.held || e.held == oldest.held && e.Seen < oldest.Seen {
			oldest = e
		}
	}
	t.drop(oldest)
}

// Expire drops the records that are past their retention, and returns those of them that
// the store has.
func (t *Table) Expire(now clock.Millis) []Removal {
	var expired []Removal
	for work, e := range t.records {
		if now.Sub(e.Seen) <= retention(e.held) {
			continue
		}
		t.drop(e)
		if e.revision != 0 {
			expired = append(expired, Removal{Work: work, OfPart: e.Part != nil, Revision: e.revision})
		}
	}
	return expired
}

// MergeStored merges a record that the store has. It returns the merged record and whether
// it changed.
func (t *Table) MergeStored(now clock.Millis, s Stored) (Record, bool) {
	r, changed := t.mergeRecord(now, s.Record)
	if e := t.records[s.Work]; e != nil {
		if s.Revision >= e.revision && len(s.Ends) > 0 {
			e.storedEnd = s.Ends[len(s.Ends)-1].At
		}
		e.revision = max(e.revision, s.Revision)
	}
	return r, changed
}

// ApplyRemoval handles the removal of a record from the store, by an operator or because the
// request was cleared. If the request was held here, it clears it and returns the record
// and true.
func (t *Table) ApplyRemoval(now clock.Millis, removal Removal) (Record, bool) {
	e := t.records[removal.Work]
	if e == nil || e.revision == 0 || e.revision > removal.Revision {
		return Record{}, false
	}
	e.revision, e.storedEnd = 0, 0
	if !e.held {
		return Record{}, false
	}
	return t.mergeRecord(now, Record{Work: e.Work, Part: e.Part, Cleared: max(now, e.Cleared+1), Seen: now})
}

// Missing returns the records that the store had, but that a full listing of it as of
// revision does not contain. A record that the store had in an earlier epoch was lost when the
// store was restored: no operator has released it, and it is to be saved again.
func (t *Table) Missing(all []Stored, revision int64) []Removal {
	listed := map[Fingerprint]bool{}
	for _, s := range all {
		listed[s.Work] = true
	}
	var gone []Removal
	for work, e := range t.records {
		if e.revision == 0 || e.revision > revision || listed[work] {
			continue
		}
		if epoch.Of(e.revision) < epoch.Of(revision) {
			e.revision, e.storedEnd = 0, 0
		} else {
			gone = append(gone, Removal{Work: work, OfPart: e.Part != nil, Revision: revision})
		}
	}
	return gone
}

// Unsaved returns the held records that the store is not known to have and that this
// instance should save. The instance that observed the last end saves the record at once;
// those that watch the store do so if it is still missing after grace.
func (t *Table) Unsaved(now clock.Millis, watches bool, grace time.Duration) []Record {
	var list []Record
	for _, e := range t.records {
		if e.held && e.revision == 0 && (e.local || watches && now.Sub(e.heldSince) >= grace) {
			list = append(list, e.Record)
		}
	}
	return sorted(list)
}

// Obsolete returns the stored records of requests that are not held any more.
func (t *Table) Obsolete() []Removal {
	var list []Removal
	for work, e := range t.records {
		if !e.held && e.revision != 0 {
			list = append(list, Removal{Work: work, OfPart: e.Part != nil, Revision: e.revision})
		}
	}
	return list
}

// Digest returns a hash of the set of held requests.
func (t *Table) Digest() uint64 { return t.digest(false) }

// PartsDigest returns a hash of the set of held parts of prompts.
func (t *Table) PartsDigest() uint64 { return t.digest(true) }

func (t *Table) digest(ofParts bool) uint64 {
	digest := uint64(0)
	for work, e := range t.records {
		if e.held && (e.Part != nil) == ofParts {
			digest ^= binary.BigEndian.Uint64(work[:])
		}
	}
	return digest
}

// Settled returns up to limit records of requests that are held or were cleared, the most
// recently seen first.
func (t *Table) Settled(limit int) []Record { return t.settled(limit, false) }

// SettledParts is Settled for parts of prompts.
func (t *Table) SettledParts(limit int) []Record { return t.settled(limit, true) }

func (t *Table) settled(limit int, ofParts bool) []Record {
	var list []Record
	for _, e := range t.records {
		if (e.held || e.Cleared != 0) && (e.Part != nil) == ofParts {
			list = append(list, e.Record)
		}
	}
	list = sorted(list)
	return list[:min(len(list), limit)]
}

// Count returns the numbers of held and of suspected requests.
func (t *Table) Count() (held, suspected int) { return t.count(false) }

// CountParts returns the numbers of held and of suspected parts of prompts.
func (t *Table) CountParts() (held, suspected int) { return t.count(true) }

func (t *Table) count(ofParts bool) (held, suspected int) {
	for _, e := range t.records {
		switch {
		case (e.Part != nil) != ofParts:
		case e.held:
			held++
		case e.EndCount() > 0:
			suspected++
		}
	}
	return held, suspected
}

// sorted sorts records in place, the most recently seen first, and returns them.
func sorted(list []Record) []Record {
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.Seen, a.Seen), slices.Compare(a.Work[:], b.Work[:]))
	})
	return list
}
