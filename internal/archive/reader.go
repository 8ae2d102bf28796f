package archive

import (
	"context"
	"sync"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// readInterval is the time between the beginnings of two reads. They bring the records of
	// all instances.
	readInterval = 250 * time.Millisecond
	// readTimeout bounds a read of several pages.
	readTimeout = 5 * time.Second
	// reuseTime is how long a record that was read is used again: it may be replaced by that of a
	// later send.
	reuseTime = 500 * time.Millisecond
	// maxRead bounds the records that are kept of a read besides those that calls wait for, at
	// about 60 bytes each.
	maxRead = 50_000
)

// reader reads the records for all calls of Find together.
type reader struct {
	mu        sync.Mutex
	next      *read         // the read that has not begun yet; nil: none
	recent    *read         // the latest that brought records, for reuseTime
	lastDone  chan struct{} // of the latest read that has begun; nil: none has
	lastBegun clock.Millis
}

// read is one read of all records. Its keys may be changed until it begins, and the rest is
// valid once done is closed.
type read struct {
	keys    map[uint64]bool // that calls wait for
	done    chan struct{}
	begunAt clock.Millis
	found   map[uint64]stored
	err     error
}

// stored is a record that was read.
type stored struct {
	origin     *origin
	left, send uint8
}

// Find returns the record of a stream that any instance has written before the call. With an
// error it is not known whether there is one.
func (a *Archive) Find(ctx context.Context, key uint64) (r Record, known bool, err error) {
	r, known, err = a.find(ctx, key)
	switch {
	case err != nil:
		a.Scope.Counter("archive_finds_failed").Inc(1)
	case known:
		a.Scope.Counter("archive_finds_found").Inc(1)
	default:
		a.Scope.Counter("archive_finds_not_found").Inc(1)
	}
	return r, known, err
}

func (a *Archive) find(ctx context.Context, key uint64) (r Record, known bool, err error) {
	a.reader.mu.Lock()
	if recent := a.reader.recent; recent != nil {
		if r, known = recent.record(key); known && a.Now().Sub(recent.begunAt) < reuseTime {
			a.reader.mu.Unlock()
			return r, true, nil
		}
	}
	next := a.reader.next
	if next == nil {
		next = &read{keys: map[uint64]bool{}, done: make(chan struct{})}
		a.reader.next = next
		go a.read(context.WithoutCancel(ctx), next, a.reader.lastDone)
	}
	next.keys[key&keyMask] = true
	a.reader.mu.Unlock()
	select {
	case <-next.done:
	case <-ctx.Done():
		return Record{}, false, ctx.Err()
	}
	if next.err != nil {
		return Record{}, false, next.err
	}
	r, known = next.record(key)
	return r, known, nil
}

// read reads all records once the read before has ended and the interval is over. Calls that
// come later wait for the next one, as this one may have missed what they look for.
func (a *Archive) read(ctx context.Context, r *read, beforeDone chan struct{}) {
	defer close(r.done)
	if beforeDone != nil {
		<-beforeDone
		time.Sleep(a.untilNextRead())
	}
	a.reader.mu.Lock()
	r.begunAt = a.Now()
	a.reader.next, a.reader.lastDone, a.reader.lastBegun = nil, r.done, r.begunAt
	a.reader.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	a.Scope.Counter("archive_reads").Inc(1)
	batches, err := a.Store.Read(ctx)
	if err != nil {
		a.Scope.Counter("archive_reads_failed").Inc(1)
		r.err = err
		return
	}
	r.found = map[uint64]stored{}
	for _, data := range batches {
		if err := r.take(data); err != nil {
			a.Scope.Counter("archive_batches_unreadable").Inc(1)
		}
	}
	a.reader.mu.Lock()
	a.reader.recent = r
	a.reader.mu.Unlock()
	time.AfterFunc(reuseTime, func() { a.forget(r) })
}

func (a *Archive) untilNextRead() time.Duration {
	a.reader.mu.Lock()
	defer a.reader.mu.Unlock()
	return a.reader.lastBegun.Add(readInterval).Sub(a.Now())
}

// forget frees the records of a read.
func (a *Archive) forget(r *read) {
	a.reader.mu.Lock()
	defer a.reader.mu.Unlock()
	if a.reader.recent == r {
		a.reader.recent = nil
	}
}

// take adds the records of a batch.
func (r *read) take(data []byte) error {
	groups, err := decode(data)
	for _, g := range groups {
		g.each(func(key uint64, left, send uint8) {
			before, known := r.found[key]
			if known && before.send >= send || !known && len(r.found) >= maxRead && !r.keys[key] {
				return
			}
			r.found[key] = stored{&g.origin, left, send}
		})
	}
	return err
}

// record returns the record of a key.
func (r *read) record(key uint64) (out Record, known bool) {
	s, known := r.found[key&keyMask]
	if !known {
		return Record{}, false
	}
	return Record{Key: key, Service: s.origin.service, Software: s.origin.software, Send: int(s.send), Left: time.Duration(s.left) * lifeUnit}, true
}
