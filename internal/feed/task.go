package feed

import (
	"context"
	"time"

	"github.com/trailshed/trailshed/internal/ticker"
)

// task is what Run does next.
type task int

// The tasks.
const (
	follow task = iota
	catchUp
	readTable
	readAll
	begin
)

// watch notes the function that ends the watch in progress; nil: there is none.
func (f *Feed) watch(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = cancel
}

func (f *Feed) wanted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wantBegin || f.wantAll || f.wantTable || f.wantChanges
}

// claim returns the next task.
func (f *Feed) claim() task {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = f.next()
	return f.current
}

// next takes back what is wanted first. The caller holds the lock.
func (f *Feed) next() task {
	switch {
	case f.wantBegin:
		f.wantTable = false
		return begin
	case f.wantAll:
		f.wantTable, f.wantChanges = f.wantTable && f.isLarge(), false
		return readAll
	case f.wantTable:
		f.wantTable = false
		return readTable
	case f.wantChanges:
		f.wantChanges = false
		return catchUp
	default:
		return follow
	}
}

func (f *Feed) met(t task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch t {
	case begin:
		f.wantBegin = false
	case readAll:
		f.wantAll = false
	case follow, readTable, catchUp:
	}
}

func (f *Feed) unmet(t task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch t {
	case readTable:
		f.wantTable = true
	case catchUp:
		f.wantChanges = true
	case begin, readAll, follow:
	}
}

// rest waits until something is wanted, at most until an interval ends.
func (f *Feed) rest(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(ticker.UntilNext(interval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.asked:
	}
}

// endWatch ends a watch in progress, and never a reading: one that takes longer
// than the pauses between those who ask for it would not come to its end. The
// caller holds the lock.
func (f *Feed) endWatch() {
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// List has everything read.
func (f *Feed) List() {
	f.Scope.Counter("feed_listed_anew").Inc(1)
	f.ask(&f.wantAll)
}

// Configure has the configuration read.
func (f *Feed) Configure() {
	f.Scope.Counter("feed_configuration_read").Inc(1)
	f.ask(&f.wantTable)
}

// CatchUp has the changes read that this process lacks, as when an instance knocks
// that it does not know. While the store does not answer, that one can have written
// no entry either.
func (f *Feed) CatchUp() {
	if f.isLost() {
		return
	}
	f.Scope.Counter("feed_caught_up").Inc(1)
	f.ask(&f.wantChanges)
}

// CatchingUp says whether changes are being read, or are to be. Until they are here it is
// not known that they do not bring what is lacking.
func (f *Feed) CatchingUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wantChanges || f.current == catchUp
}

func (f *Feed) ask(want *bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*want = true
	f.endWatch()
	f.wake()
}

// wake has Run see what is wanted.
func (f *Feed) wake() {
	select {
	case f.asked <- struct{}{}:
	default: // it is awake already
	}
}
