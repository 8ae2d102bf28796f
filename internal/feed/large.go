package feed

import (
	"context"
	"time"
)

// isLarge says whether there is too much for each instance to read: there was when this
// one began, or there is by now.
func (f *Feed) isLarge() bool { return f.large || f.Directory.View().Size() > f.Source.Most }

// seed learns of all endpoints of a large store from the zone.
func (f *Feed) seed(ctx context.Context) (ok bool) {
	f.beside(ctx, func() { ok = f.Seed(ctx) })
	return ok
}

// list reads everything.
func (f *Feed) list(ctx context.Context) (news News, err error) {
	read := func() { news, err = f.Source.List(ctx, f.Progressed) }
	if f.isLarge() {
		f.beside(ctx, read)
	} else {
		read()
	}
	return news, err
}

// beside does what takes long in a large fleet, and meanwhile reads the configuration
// whenever that is wanted: endpoints may come late, a configuration may not.
func (f *Feed) beside(ctx context.Context, work func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	for {
		f.configure(ctx)
		select {
		case <-done:
			return
		case <-f.asked:
		}
	}
}

// configure reads the configuration if it is wanted.
func (f *Feed) configure(ctx context.Context) {
	f.mu.Lock()
	wanted := f.wantTable
	f.wantTable = false
	f.mu.Unlock()
	if !wanted {
		return
	}
	news, err := f.Source.Configuration(ctx)
	if err != nil {
		f.failed(err)
		f.unmet(readTable)
		time.AfterFunc(retryMost, f.wake)
		return
	}
	f.Take(news)
	f.reached(0)
	f.Told()
}
