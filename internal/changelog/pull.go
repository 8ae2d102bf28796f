package changelog

import "github.com/trailshed/trailshed/internal/catalog"

// Pull requests from a peer the changes after a revision.
type Pull struct {
	After int64 `cbor:"1,keyasint"`
}

// Delta is the answer to a Pull: the changes after the revision, or all rows of the
// configuration if the peer no longer keeps all of these changes. It is empty if the peer
// itself has not loaded the complete configuration.
type Delta struct {
	Changes  []catalog.Change `cbor:"1,keyasint"`
	Revision int64            `cbor:"2,keyasint"` // of Rows; 0 if there are none
	Rows     []catalog.Row    `cbor:"3,keyasint"`
}

// Delta returns the answer to a Pull.
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

// ApplyDelta applies the Delta of a peer.
func (l *Log) ApplyDelta(d Delta) error {
	if d.Revision > 0 {
		c, err := catalog.FromRows(d.Revision, d.Rows)
		if err != nil {
			return Error.Wrap(err)
		}
		l.adopt(c)
	}
	if err := l.Apply(d.Changes...); err != nil {
		return err
	}
	if d.Revision > 0 || len(d.Changes) > 0 {
		l.loaded.Store(true)
	}
	return nil
}
