package feed

import (
	"context"
	"time"

	"github.com/trailshed/trailshed/internal/ticker"
)

// task is what Run does next.
type task int

// Tasks of Run.
const (
	taskFollow task = iota
	taskCatchUp
	taskConfiguration
	taskList
	taskStaleList
)

// setWatch sets the function that cancels the watch in progress; nil: there is none.
func (f *Feed) setWatch(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = cancel
}

// isWatchInProgress reports whether Run waits for changes.
func (f *Feed) isWatchInProgress() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancelWatch != nil
}

// pending reports whether anything is to be read.
func (f *Feed) pending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.needStaleList || f.needList || f.needConfiguration || f.needChanges
}

// nextTask returns the next task.
func (f *Feed) nextTask() task {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = f.selectTask()
	return f.current
}

// selectTask returns the most urgent task and clears the requests that it fulfils. The
// caller holds the lock.
func (f *Feed) selectTask() task {
	switch {
	case f.needStaleList:
		f.needConfiguration = false
		return taskStaleList
	case f.needList:
		f.needConfiguration, f.needChanges = f.needConfiguration && f.isLarge(), false
		return taskList
	case f.needConfiguration:
		f.needConfiguration = false
		return taskConfiguration
	case f.needChanges, f.storeLost:
		// A watch returns with the next change, which may be long in coming. While the store counts as
		// lost, only calls that return at once show that it is back.
		f.needChanges = false
		return taskCatchUp
	default:
		return taskFollow
	}
}

// taskDone clears the request that a task has fulfilled.
func (f *Feed) taskDone(t task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch t {
	case taskStaleList:
		f.needStaleList = false
	case taskList:
		f.needList = false
	case taskFollow, taskConfiguration, taskCatchUp:
	}
}

// taskFailed records that a task failed, and restores its request if selectTask has cleared it.
func (f *Feed) taskFailed(t task, err error) {
	if t == taskFollow {
		f.watchFailed(err)
		return
	}
	f.storeFailed(err)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch t {
	case taskConfiguration:
		f.needConfiguration = true
	case taskCatchUp:
		f.needChanges = true
	case taskStaleList, taskList, taskFollow:
	}
}

// retryPause is the pause after a failed task, which doubles with each further failure. A watch that fails
// is followed by a read at once; only if watches go on failing, though reads succeed, is there a pause.
type retryPause struct{ read, watch time.Duration }

// failed waits after a failed task.
func (p *retryPause) failed(ctx context.Context, t task) {
	if t == taskFollow {
		ticker.Sleep(ctx, p.watch)
		p.watch = min(max(2*p.watch, initialRetryDelay), maxRetryDelay)
		return
	}
	ticker.Sleep(ctx, p.read)
	p.read = min(2*p.read, maxRetryDelay)
}

// succeeded ends the doubling.
func (p *retryPause) succeeded(t task) {
	p.read = initialRetryDelay
	if t == taskFollow {
		p.watch = 0
	}
}

// waitIdle waits until something is requested, but no longer than the end of the interval.
func (f *Feed) waitIdle(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(ticker.UntilNext(interval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wakeup:
	}
}

// endWatch cancels a watch in progress, but never another read: one that takes longer than
// the interval at which it is requested would never complete. The caller holds the lock.
func (f *Feed) endWatch() {
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// List requests a read of everything.
func (f *Feed) List() {
	f.Scope.Counter("feed_listed_anew").Inc(1)
	f.request(&f.needList)
}

// Configure requests a read of the configuration.
func (f *Feed) Configure() {
	f.Scope.Counter("feed_configuration_read").Inc(1)
	f.request(&f.needConfiguration)
}

// CatchUp requests a read of the changes that this process lacks, as when an unknown
// instance connects. While the store does not answer there is no point: that instance
// cannot have written an entry either.
func (f *Feed) CatchUp() {
	if f.isLost() {
		return
	}
	f.Scope.Counter("feed_caught_up").Inc(1)
	f.request(&f.needChanges)
}

// CatchingUp reports whether changes are being read or are still to be read. Until then
// they may still bring what is missing.
func (f *Feed) CatchingUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.needChanges || f.current == taskCatchUp
}

// request sets one of the need flags and cancels the watch in progress.
func (f *Feed) request(need *bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*need = true
	f.endWatch()
	f.wake()
}

// wake makes Run check what is requested.
func (f *Feed) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default: // a wake-up is pending
	}
}
