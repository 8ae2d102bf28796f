package changelog

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/platform"
)

const (
	snapshotKey  = "config/snapshot"
	snapshotRows = 2000 // in a part, to stay well under the platform's megabyte
)

// snapshot is the value of snapshotKey; the rows lie in parts.
type snapshot struct {
	Revision int64 `cbor:"1,keyasint"`
	Parts    int   `cbor:"2,keyasint"`
}

func partKey(revision int64, part int) string {
	return fmt.Sprintf("config/parts/%012d/%04d", revision, part)
}

// writeSnapshot stores the parts first, so that the head never names a part
// that is missing.
func (l *Log) writeSnapshot(ctx context.Context) error {
	now := l.Current()
	rows := now.Rows()
	s := snapshot{Revision: now.Revision}
	for len(rows) > 0 {
		n := min(len(rows), snapshotRows)
		value, err := cbor.Marshal(rows[:n])
		if err != nil {
			return Error.Wrap(err)
		}
		_, err = l.store.Put(ctx, partKey(s.Revision, s.Parts), value, 0)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return Error.Wrap(err)
		}
		rows = rows[n:]
		s.Parts++
	}
	return l.swapSnapshot(ctx, s)
}

func (l *Log) swapSnapshot(ctx context.Context, s snapshot) error {
	old, err := l.store.Get(ctx, snapshotKey)
	if err != nil && !errors.Is(err, platform.ErrMissing) {
		return Error.Wrap(err)
	}
	var before snapshot
	if err == nil {
		if err := cbor.Unmarshal(old.Value, &before); err != nil {
			return Error.Wrap(err)
		}
	}
	if before.Revision >= s.Revision {
		return nil
	}
	value, err := cbor.Marshal(s)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := l.store.Put(ctx, snapshotKey, value, old.Version); err != nil {
		return Error.Wrap(err)
	}
	return l.deleteParts(ctx, before)
}

func (l *Log) deleteParts(ctx context.Context, s snapshot) error {
	for part := range s.Parts {
		e, err := l.store.Get(ctx, partKey(s.Revision, part))
		if err != nil {
			return Error.Wrap(err)
		}
		if err := l.store.Delete(ctx, e.Key, e.Version); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// readSnapshot takes the stored snapshot, if there is one.
func (l *Log) readSnapshot(ctx context.Context) error {
	e, err := l.store.Get(ctx, snapshotKey)
	if errors.Is(err, platform.ErrMissing) {
		return nil
	}
	if err != nil {
		return Error.Wrap(err)
	}
	var s snapshot
	if err := cbor.Unmarshal(e.Value, &s); err != nil {
		return Error.Wrap(err)
	}
	var rows []catalog.Row
	for part := range s.Parts {
		e, err := l.store.Get(ctx, partKey(s.Revision, part))
		if err != nil {
			return Error.Wrap(err)
		}
		var more []catalog.Row
		if err := cbor.Unmarshal(e.Value, &more); err != nil {
			return Error.Wrap(err)
		}
		rows = append(rows, more...)
	}
	c, err := catalog.FromRows(s.Revision, rows)
	if err != nil {
		return Error.Wrap(err)
	}
	l.replace(c)
	return nil
}
