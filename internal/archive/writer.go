package archive

import (
	"context"
	"errors"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// minInterval and maxInterval bound the time between two writes of an instance.
	minInterval = 250 * time.Millisecond
	maxInterval = 10 * time.Second
	// gatherTime is how long the first record after a quiet time waits for others.
	gatherTime = 50 * time.Millisecond
	// maxRetryPause bounds the pause after a failed write, which begins with minInterval and
	// doubles.
	maxRetryPause = 2 * time.Second
	// leaseTTL outlives an outage of all instances by the longest wait of callers.
	leaseTTL = 60 * time.Second
	// renewInterval allows for two renewals without an answer.
	renewInterval = 20 * time.Second
	// lastWriteTimeout bounds the write with which Run ends.
	lastWriteTimeout = 100 * time.Millisecond
	// maxQueue bounds the records that wait for the store, at about 60 bytes each.
	maxQueue = 20_000
)

// writer is the state of writes to the store. Only Run uses it.
type writer struct {
	segments  *segmentSet
	lease     int64        // 0: none
	renewedAt clock.Millis // the lease lasts for leaseTTL from then
	renewAt   clock.Millis
	notBefore clock.Millis // of the next write
	failures  int          // in a row
}

// Run writes what is added until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			a.writeLast(ctx)
			return
		case <-a.wake:
		case <-timer.C:
			a.step(ctx)
		}
		timer.Stop()
		if at, due := a.nextStep(); due {
			timer.Reset(at.Sub(a.Now()))
		}
	}
}

// writeLast tries to write what is left as ctx has ended.
func (a *Archive) writeLast(ctx context.Context) {
	if _, due := a.nextWrite(); !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastWriteTimeout)
	defer cancel()
	a.write(ctx)
}

// step renews the lease and writes if it is time.
func (a *Archive) step(ctx context.Context) {
	if w := &a.writer; w.lease != 0 && a.Now() >= w.renewAt {
		a.renew(ctx)
	}
	if at, due := a.nextWrite(); due && a.Now() >= at {
		a.write(ctx)
	}
}

// nextStep returns when step is due next, if ever without further records.
func (a *Archive) nextStep() (at clock.Millis, due bool) {
	at, due = a.nextWrite()
	if w := &a.writer; w.lease != 0 && (!due || w.renewAt < at) {
		return w.renewAt, true
	}
	return at, due
}

// nextWrite returns when a write is due, if there is something to be written.
func (a *Archive) nextWrite() (at clock.Millis, due bool) {
	if a.writer.segments.due() != nil {
		return a.writer.notBefore, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.writer.notBefore, a.queuedSince.Add(gatherTime)), len(a.queue) > 0
}

// interval returns the time between two writes, with which all instances keep to WriteRate.
func (a *Archive) interval() time.Duration {
	seconds := float64(a.Writers()) / a.WriteRate
	if seconds < maxInterval.Seconds() {
		return max(time.Duration(seconds*float64(time.Second)), minInterval)
	}
	return maxInterval
}

// write writes one segment.
func (a *Archive) write(ctx context.Context) {
	w, now := &a.writer, a.Now()
	w.notBefore = now.Add(a.interval())
	w.segments.expire(now)
	a.fill(now)
	s := w.segments.due()
	if s == nil {
		return
	}
	if err := a.writeSegment(ctx, s, now); err != nil {
		a.Scope.Counter("archive_writes_failed").Inc(1)
		pause := min(minInterval<<min(w.failures, 8), maxRetryPause)
		w.failures++
		w.notBefore = max(w.notBefore, a.Now().Add(pause))
		return
	}
	w.failures = 0
	a.Scope.Counter("archive_writes").Inc(1)
	s.dirty = false
	written := int64(0)
	for i := range s.entries {
		if e := &s.entries[i]; !e.stored {
			e.stored = true
			written++
		}
	}
	a.Scope.Counter("archive_records_written").Inc(written)
}

// fill moves queued records into segments, as far as there is room.
func (a *Archive) fill(now clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, e := range a.queue {
		if now < e.until && !a.writer.segments.add(now, e) {
			a.queue = a.queue[i:]
			return
		}
	}
	a.queue = nil
}

// writeSegment writes a segment, under a new lease if there is none.
func (a *Archive) writeSegment(ctx context.Context, s *segment, now clock.Millis) error {
	w := &a.writer
	if w.lease == 0 {
		lease, err := a.Store.Grant(ctx, leaseTTL)
		if err != nil {
			return err
		}
		w.lease, w.renewedAt, w.renewAt = lease, now, now.Add(renewInterval)
	}
	err := a.Store.Write(ctx, w.lease, s.slot, encode(s.entries, now))
	switch {
	case errors.Is(err, ErrLapsed):
		a.lapse(now)
	case err != nil:
		w.segments.move(s, a.Now())
	}
	return err
}

// renew renews the lease, unless all of its records have expired: then it may lapse.
func (a *Archive) renew(ctx context.Context) {
	w, now := &a.writer, a.Now()
	if !w.segments.expire(now) {
		w.lease, w.segments = 0, newSegmentSet()
		return
	}
	err := a.Store.Renew(ctx, w.lease)
	switch {
	case err == nil:
		w.renewedAt, w.renewAt = now, now.Add(renewInterval)
	case errors.Is(err, ErrLapsed):
		a.Scope.Counter("archive_leases_lapsed").Inc(1)
		a.lapse(now)
	default:
		a.Scope.Counter("archive_renewals_failed").Inc(1)
		w.renewAt = a.Now().Add(maxRetryPause)
		if a.Now().Sub(w.renewedAt) > leaseTTL-renewInterval {
			a.lapse(now) // records written under it now would not last
		}
	}
}

// lapse has all segments written again, under a new lease.
func (a *Archive) lapse(now clock.Millis) {
	a.writer.lease = 0
	a.writer.segments.touchAll(now)
}
