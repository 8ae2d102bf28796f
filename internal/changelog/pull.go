package changelog

import "github.com/trailshed/trailshed/internal/catalog"

// Pull asks a peer for what is newer than a revision.
type Pull struct {
	After int64 `cbor:"1,keyasint"`
}

// Delta answers a Pull: the changes that follow, or the whole when the peer no
// longer keeps them all. It is empty from a peer that has not the whole itself.
type Delta struct {
	Changes  []catalog.Change `cbor:"1,keyasint"`
	Revision int64            `cbor:"2,keyasint"` // of Rows; 0 without
	Rows     []catalog.Row    `cbor:"3,keyasint"`
}

// Delta returns what a peer at a revision lacks.
func (l *Log) Delta(p Pull) Delta {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Current()
	if p.After >= now.Revision || !l.Loaded() {
		return Delta{}
	}
	first := now.Revision - int64(len(l.history)) + 1
	if p.After+1 < first {
		return Delta{Revision: now.Revision, Rows: now.Rows()}
	}
	return Delta{Changes: append([]catalog.Change(nil), l.history[p.After+1-first:]...)}
}

// TakeDelta applies a peer's answer.
func (l *Log) TakeDelta(d Delta) error {
	if d.Revision > 0 {
		c, err := catalog.FromRows(d.Revision, d.Rows)
		if err != nil {
			return Error.Wrap(err)
		}
		l.replace(c)
	}
	if err := l.Take(d.Changes...); err != nil {
		return err
	}
	if d.Revision > 0 || len(d.Changes) > 0 {
		l.loaded.Store(true)
	}
	return nil
}
