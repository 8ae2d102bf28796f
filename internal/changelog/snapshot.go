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
	snapshotKey = "config/snapshot"
	maxPartRows = 2000 // keeps a part well below the platform's limit of 1 MB for a value
)

// snapshot is the value of snapshotKey. The rows are stored in parts under their own keys.
type snapshot struct {
	Revision int64 `cbor:"1,keyasint"`
	Parts    int   `cbor:"2,keyasint"`
}

func partKey(revision int64, part int) string {
	return fmt.Sprintf("config/parts/%012d/%04d", revision, part)
}

// writeSnapshot stores a snapshot of the current configuration. It writes the parts
// before the head, so that the head never refers to a missing part.
func (l *Log) writeSnapshot(ctx context.Context) error {
	now := l.Current()
	rows := now.Rows()
	s := snapshot{Revision: now.Revision}
	for len(rows) > 0 {
		n := min(len(rows), maxPartRows)
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
	return l.replaceSnapshotHead(ctx, s)
}

// replaceSnapshotHead replaces the head if s is newer and deletes the parts of the
// previous snapshot.
func (l *Log) replaceSnapshotHead(ctx context.Context, s snapshot) error {
	old, err := l.store.Get(ctx, snapshotKey)
	if err != nil && !errors.Is(err, platform.ErrMissing) {
		return Error.Wrap(err)
	}
	var previous snapshot
	if err == nil {
		if err := cbor.Unmarshal(old.Value, &previous); err != nil {
			return Error.Wrap(err)
		}
	}
	if previous.Revision >= s.Revision {
		return nil
	}
	value, err := cbor.Marshal(s)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := l.store.Put(ctx, snapshotKey, value, old.Version); err != nil {
		return Error.Wrap(err)
	}
	return l.deleteParts(ctx, previous)
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

// readSnapshot adopts the stored snapshot, if there is one.
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
	l.adopt(c)
	return nil
}
