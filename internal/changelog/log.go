// Package changelog keeps the operators' configuration in the platform's
// service, as a log of changes with snapshots, and every process up to date
// with it. A change is accepted by creating the key of the next revision,
// which only one of two racing operators can do.
package changelog

import (
	"context"
	"errors"
	"fmt"
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

// Error marks every error of this package.
var Error = errs.Class("change log")

var (
	// ErrRaced says that what a command was decided on has changed since.
	ErrRaced = errors.New("changed by another operator meanwhile")
	// ErrUnavailable says that the platform did not take the command.
	ErrUnavailable = errors.New("platform is unavailable")
)

const (
	logPrefix     = "config/log/"
	historyKept   = 1024
	snapshotEvery = 64
	listPage      = 256
	retryPause    = 200 * time.Millisecond
	submitPause   = 5 * time.Millisecond // doubled after each lost race, with a random part
	submitTries   = 40
)

// Log is a process's copy of the configuration. Its methods may be called
// concurrently.
type Log struct {
	store *platform.Store
	scope tally.Scope
	log   zerolog.Logger
	// Changed is called after each new revision, without any lock held.
	Changed func(*catalog.Catalog)

	current atomic.Pointer[catalog.Catalog]
	loaded  atomic.Bool
	mu      sync.Mutex // guards history and the step to the next revision
	history []catalog.Change
}

// New returns an empty copy.
func New(store *platform.Store, scope tally.Scope, log zerolog.Logger) *Log {
	l := &Log{store: store, scope: scope, log: log, Changed: func(*catalog.Catalog) {}}
	l.current.Store(catalog.New())
	return l
}

// Current returns the newest configuration known here.
func (l *Log) Current() *catalog.Catalog { return l.current.Load() }

// Loaded says whether the whole configuration came from the platform or a peer,
// so that this process may serve. A first part of it is not enough.
func (l *Log) Loaded() bool { return l.loaded.Load() }

// History returns the newest changes known here, oldest first.
func (l *Log) History() []catalog.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]catalog.Change(nil), l.history...)
}

// Take applies changes that follow the present revision and passes over older
// ones, so that nothing ever reverts. It reports a gap as an error.
func (l *Log) Take(changes ...catalog.Change) error {
	for _, ch := range changes {
		next, err := l.take(ch)
		if err != nil {
			return err
		}
		if next != nil {
			l.Changed(next)
		}
	}
	return nil
}

func (l *Log) take(ch catalog.Change) (*catalog.Catalog, error) {
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
	if len(l.history) > historyKept {
		l.history = l.history[len(l.history)-historyKept:]
	}
	l.scope.Gauge("config_revision").Update(float64(next.Revision))
	return next, nil
}

// replace jumps to a snapshot when it is newer.
func (l *Log) replace(next *catalog.Catalog) {
	l.mu.Lock()
	newer := next.Revision > l.Current().Revision
	if newer {
		l.current.Store(next)
		l.history = nil
	}
	l.mu.Unlock()
	if newer {
		l.Changed(next)
	}
}

// Submit makes a change the next revision. Base is the revision that the
// command was decided on: when its aggregate changed since, nothing is done and
// the error tells by whom.
func (l *Log) Submit(ctx context.Context, ch catalog.Change, base int64) (catalog.Change, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = submitPause, retryPause
	for range submitTries {
		if other, ok := l.changedSince(base, ch); ok {
			return ch, Error.Wrap(fmt.Errorf("%w: revision %d by %s", ErrRaced, other.Revision, other.Who))
		}
		now := l.Current()
		ch.Revision, ch.From = now.Revision+1, now.Before(ch)
		if _, err := now.Apply(ch); err != nil {
			return ch, Error.Wrap(err)
		}
		done, err := l.create(ctx, ch)
		if err == nil && done {
			return ch, l.accepted(ctx, ch)
		}
		if err != nil && ctx.Err() != nil {
			return ch, Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
		}
		if errors.Is(err, platform.ErrRefused) {
			return ch, Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
		}
		_ = l.CatchUp(ctx) // if it fails, so does the next try
		ticker.Sleep(ctx, pause.NextBackOff())
	}
	return ch, Error.Wrap(ErrUnavailable)
}

// create tries to take the key of the next revision. After a lost answer it
// reads back: the id tells whether the entry there is ours.
func (l *Log) create(ctx context.Context, ch catalog.Change) (done bool, err error) {
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
	var there catalog.Change
	if err := cbor.Unmarshal(entry.Value, &there); err != nil {
		return false, Error.Wrap(err)
	}
	return there.ID == ch.ID, nil
}

func (l *Log) accepted(ctx context.Context, ch catalog.Change) error {
	l.scope.Counter("config_accepted").Inc(1)
	if err := l.Take(ch); err != nil {
		return l.CatchUp(ctx)
	}
	l.loaded.Store(true) // what makes the next revision had all before it
	if ch.Revision%snapshotEvery == 0 {
		if err := l.writeSnapshot(ctx); err != nil {
			l.log.Warn().Err(err).Msg("snapshot not written; the log still holds every change")
		}
	}
	return nil
}

func (l *Log) changedSince(base int64, ch catalog.Change) (catalog.Change, bool) {
	for _, other := range l.History() {
		if other.Revision > base && other.Noun == ch.Noun && other.Name == ch.Name && other.ID != ch.ID {
			return other, true
		}
	}
	return catalog.Change{}, false
}

// CatchUp reads everything newer from the platform.
func (l *Log) CatchUp(ctx context.Context) error {
	if l.Current().Revision == 0 {
		if err := l.readSnapshot(ctx); err != nil {
			return err
		}
	}
	for {
		entries, err := l.store.List(ctx, logPrefix, logKey(l.Current().Revision), listPage)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := l.takeEntries(entries); err != nil {
			return err
		}
		if len(entries) < listPage {
			l.loaded.Store(true)
			return nil
		}
	}
}

func (l *Log) takeEntries(entries []platform.Entry) error {
	for _, e := range entries {
		if e.Deleted {
			continue
		}
		var ch catalog.Change
		if err := cbor.Unmarshal(e.Value, &ch); err != nil {
			return Error.New("%s: %v", e.Key, err)
		}
		if err := l.Take(ch); err != nil {
			return err
		}
	}
	return nil
}

// Watch keeps this copy up to date from the platform until ctx ends. Only while
// wanted returns true does it hold a watch, since the platform counts each.
func (l *Log) Watch(ctx context.Context, wait time.Duration, wanted func() bool) {
	index := int64(0)
	for ctx.Err() == nil {
		if !wanted() {
			ticker.Sleep(ctx, retryPause)
			continue
		}
		entries, next, err := l.store.Watch(ctx, logPrefix, index, wait)
		if err != nil {
			l.scope.Counter("config_watch_failed").Inc(1)
			ticker.Sleep(ctx, retryPause)
			continue
		}
		if l.takeEntries(entries) != nil {
			if l.CatchUp(ctx) != nil {
				ticker.Sleep(ctx, retryPause)
				continue
			}
		}
		l.loaded.Store(true)
		index = next
	}
}

func logKey(revision int64) string { return fmt.Sprintf("%s%012d", logPrefix, revision) }
