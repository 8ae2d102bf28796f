// Package changelog stores the operators' configuration in the platform's key-value
// service, as a log of changes with snapshots, and keeps the copy of each process up to
// date. A change is accepted by creating the key of the next revision, which only one of
// several concurrent operators can do.
package changelog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/platform"
	"github.com/trailshed/trailshed/internal/ticker"
)

// Error is the class of all errors of this package.
var Error = errs.Class("change log")

var (
	// ErrConflict means that the aggregate of a command has changed since the revision on
	// which the command was based.
	ErrConflict = errors.New("concurrently changed by another operator")
	// ErrUnavailable means that the platform did not accept the command.
	ErrUnavailable = errors.New("platform is unavailable")
)

const (
	logPrefix            = "config/log/"
	maxHistory           = 1024
	revisionsPerSnapshot = 64
	listPageSize         = 256
	retryDelay           = 200 * time.Millisecond
	initialSubmitDelay   = 5 * time.Millisecond // grows exponentially, with jitter, after each failed attempt
	maxSubmitAttempts    = 40
)

// Log is a process's copy of the configuration. Its methods may be called
// concurrently.
type Log struct {
	store *platform.Store
	scope tally.Scope
	log   zerolog.Logger
	// OnChange is called after each new revision, without a lock held.
	OnChange func(*catalog.Catalog)

	current atomic.Pointer[catalog.Catalog]
	loaded  atomic.Bool
	mu      sync.Mutex // guards history and updates of current
	history []catalog.Change
}

// New returns a Log without configuration.
func New(store *platform.Store, scope tally.Scope, log zerolog.Logger) *Log {
	l := &Log{store: store, scope: scope, log: log, OnChange: func(*catalog.Catalog) {}}
	l.current.Store(catalog.New())
	return l
}

// Current returns the newest configuration known to this process.
func (l *Log) Current() *catalog.Catalog { return l.current.Load() }

// Loaded reports whether this process has received the complete configuration from the
// platform or a peer and may therefore serve requests. Part of the configuration is not
// enough.
func (l *Log) Loaded() bool { return l.loaded.Load() }

// History returns the newest changes known to this process, oldest first.
func (l *Log) History() []catalog.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]catalog.Change(nil), l.history...)
}

// Apply applies changes that follow the current revision and ignores older ones, so that
// the configuration never goes back. It returns an error if a revision is missing.
func (l *Log) Apply(changes ...catalog.Change) error {
	for _, ch := range changes {
		next, err := l.apply(ch)
		if err != nil {
			return err
		}
		if next != nil {
			l.OnChange(next)
		}
	}
	return nil
}

// apply applies one change. It returns nil if the change is not newer than the current
// revision.
func (l *Log) apply(ch catalog.Change) (*catalog.Catalog, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Current()
	if ch.Revision <= now.Revision {
		return nil, nil
	}
	next, err := now.Apply(ch)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l.current.Store(next)
	l.history = append(l.history, ch)
	if len(l.history) > maxHistory {
		l.history = l.history[len(l.history)-maxHistory:]
	}
	l.scope.Gauge("config_revision").Update(float64(next.Revision))
	return next, nil
}

// adopt replaces the configuration with a snapshot if that is newer, and clears the
// history, which the snapshot does not contain.
func (l *Log) adopt(next *catalog.Catalog) {
	l.mu.Lock()
	newer := next.Revision > l.Current().Revision
	if newer {
		l.current.Store(next)
		l.history = nil
	}
	l.mu.Unlock()
	if newer {
		l.OnChange(next)
	}
}

// Submit stores a change as the next revision. Base is the revision on which the command
// was based: if its aggregate has changed since, Submit stores nothing and returns
// ErrConflict with the revision and operator of the other change.
func (l *Log) Submit(ctx context.Context, ch catalog.Change, base int64) (catalog.Change, error) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = initialSubmitDelay, retryDelay
	for range maxSubmitAttempts {
		if accepted, ok := l.acceptedChange(ch.ID); ok {
			return accepted, nil // by an attempt whose outcome was unknown
		}
		if other, ok := l.conflictingChange(base, ch); ok {
			return ch, Error.Wrap(fmt.Errorf("%w: revision %d by %s", ErrConflict, other.Revision, other.Actor))
		}
		now := l.Current()
		ch.Revision, ch.From = now.Revision+1, now.OldFields(ch)
		if _, err := now.Apply(ch); err != nil {
			return ch, Error.Wrap(err)
		}
		done, err := l.create(ctx, ch)
		if err == nil && done {
			return ch, l.applyAccepted(ctx, ch)
		}
		if err != nil && ctx.Err() != nil {
			return ch, Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
		}
		if errors.Is(err, platform.ErrRefused) {
			return ch, Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
		}
		_ = l.CatchUp(ctx) // if this fails, the next attempt fails too
		ticker.Sleep(ctx, delay.NextBackOff())
	}
	return ch, Error.Wrap(ErrUnavailable)
}

// create tries to create the key of the next revision. If the key exists or no answer
// came, it reads the key, since the write may have succeeded: the ID tells whether the
// stored entry is this change.
func (l *Log) create(ctx context.Context, ch catalog.Change) (created bool, err error) {
	value, err := cbor.Marshal(ch)
	if err != nil {
		return false, Error.Wrap(err)
	}
	_, err = l.store.Put(ctx, logKey(ch.Revision), value, 0)
	if err == nil {
		return true, nil
	}
	if !errors.Is(err, platform.ErrUnknown) && !errors.Is(err, platform.ErrConflict) {
		return false, err
	}
	entry, readErr := l.store.Get(ctx, logKey(ch.Revision))
	if readErr != nil {
		return false, err
	}
	var stored catalog.Change
	if err := cbor.Unmarshal(entry.Value, &stored); err != nil {
		return false, Error.Wrap(err)
	}
	return stored.ID == ch.ID, nil
}

// applyAccepted applies a change of this process that was stored, and writes a snapshot
// every revisionsPerSnapshot revisions.
func (l *Log) applyAccepted(ctx context.Context, ch catalog.Change) error {
	l.scope.Counter("config_accepted").Inc(1)
	if err := l.Apply(ch); err != nil {
		return l.CatchUp(ctx)
	}
	l.loaded.Store(true) // the next revision can only be created with all earlier ones applied
	if ch.Revision%revisionsPerSnapshot == 0 {
		if err := l.writeSnapshot(ctx); err != nil {
			l.log.Warn().Err(err).Msg("snapshot not written; the log still holds every change")
		}
	}
	return nil
}

// acceptedChange returns the change with an ID, if this process has applied it.
func (l *Log) acceptedChange(id string) (catalog.Change, bool) {
	history := l.History()
	i := slices.IndexFunc(history, func(ch catalog.Change) bool { return ch.ID == id })
	if i < 0 {
		return catalog.Change{}, false
	}
	return history[i], true
}

// conflictingChange returns a change of the same aggregate that is newer than base.
func (l *Log) conflictingChange(base int64, ch catalog.Change) (catalog.Change, bool) {
	for _, other := range l.History() {
		if other.Revision > base && other.Noun == ch.Noun && other.Name == ch.Name && other.ID != ch.ID {
			return other, true
		}
	}
	return catalog.Change{}, false
}

// CatchUp reads and applies all newer changes from the platform.
func (l *Log) CatchUp(ctx context.Context) error {
	if l.Current().Revision == 0 {
		if err := l.readSnapshot(ctx); err != nil {
			return err
		}
	}
	for {
		entries, err := l.store.List(ctx, logPrefix, logKey(l.Current().Revision), listPageSize)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := l.applyEntries(entries); err != nil {
			return err
		}
		if len(entries) < listPageSize {
			l.loaded.Store(true)
			return nil
		}
	}
}

func (l *Log) applyEntries(entries []platform.Entry) error {
	for _, e := range entries {
		if e.Deleted {
			continue
		}
		var ch catalog.Change
		if err := cbor.Unmarshal(e.Value, &ch); err != nil {
			return Error.New("%s: %v", e.Key, err)
		}
		if err := l.Apply(ch); err != nil {
			return err
		}
	}
	return nil
}

// Watch applies changes from the platform as they come until ctx ends. It keeps a watch
// open only while wanted returns true, since the platform counts each watch.
func (l *Log) Watch(ctx context.Context, wait time.Duration, wanted func() bool) {
	index := int64(0)
	for ctx.Err() == nil {
		if !wanted() {
			ticker.Sleep(ctx, retryDelay)
			continue
		}
		entries, next, err := l.store.Watch(ctx, logPrefix, index, wait)
		if err != nil {
			l.scope.Counter("config_watch_failed").Inc(1)
			ticker.Sleep(ctx, retryDelay)
			continue
		}
		if l.applyEntries(entries) != nil {
			if l.CatchUp(ctx) != nil {
				ticker.Sleep(ctx, retryDelay)
				continue
			}
		}
		l.loaded.Store(true)
		index = next
	}
}

func logKey(revision int64) string { return fmt.Sprintf("%s%012d", logPrefix, revision) }
