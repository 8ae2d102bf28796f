package feed

import (
	"context"
	"time"
)

// isLarge reports whether there are too many entries for each instance to read, either when
// this one started or now.
func (f *Feed) isLarge() bool {
	return f.largeAtStart || f.Directory.View().Size() > f.Source.MaxEntries
}

// seedFromZone gets all endpoints of a large store from the zone.
func (f *Feed) seedFromZone(ctx context.Context) (ok bool) {
	f.runInBackground(ctx, func() { ok = f.Seed(ctx) })
	return ok
}

// readList reads everything.
func (f *Feed) readList(ctx context.Context) (update Update, err error) {
	read := func() { update, err = f.Source.List(ctx, f.Progress) }
	if f.isLarge() {
		f.runInBackground(ctx, read)
	} else {
		read()
	}
	return update, err
}

// runInBackground runs work that takes long in a large fleet, and meanwhile reads the
// configuration whenever it is requested: endpoints may come late, a configuration may not.
func (f *Feed) runInBackground(ctx context.Context, work func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	for {
		f.readConfiguration(ctx)
		select {
		case <-done:
			return
		case <-f.wakeup:
		}
	}
}

// readConfiguration reads the configuration if it is requested.
func (f *Feed) readConfiguration(ctx context.Context) {
	f.mu.Lock()
	wanted := f.needConfiguration
	f.needConfiguration = false
	f.mu.Unlock()
	if !wanted {
		return
	}
	update, err := f.Source.Configuration(ctx)
	if err != nil {
		f.taskFailed(taskConfiguration, err)
		time.AfterFunc(maxRetryDelay, f.wake)
		return
	}
	f.ApplyUpdate(update)
	f.storeReached(0)
	f.Updated()
}
