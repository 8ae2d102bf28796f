package releases

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/route"
)

const (
	// readInterval is the shortest time between the beginnings of two reads.
	readInterval = 20 * time.Millisecond
	// maxReadInterval is the same while the store fails, after several failures.
	maxReadInterval = time.Second
	// storeTimeout bounds a call to the store.
	storeTimeout = 2 * time.Second
	// readTrust is how long a version that was read counts as held. One that is marked for removal
	// then stays for longer.
	readTrust = removalDelay / 2
	// maxWriteTries bounds how often a change is tried as others change the history meanwhile.
	maxWriteTries = 8
)

// change changes a history and reports whether anything is different now.
type change func(*Stored) (changed bool)

// adding returns the change that adds versions.
func adding(list []release) change {
	return func(s *Stored) (changed bool) {
		for _, r := range list {
			changed = s.add(r) || changed
		}
		return changed
	}
}

// pacer keeps time between reads. It is used by one goroutine at a time.
type pacer struct {
	began    time.Time // of the last read
	interval time.Duration
}

// pause returns the time until the next read may begin.
func (p *pacer) pause() time.Duration { return max(0, p.interval-time.Since(p.began)) }

// begin notes the beginning of a read.
func (p *pacer) begin() { p.began = time.Now() }

// end notes the result of a read.
func (p *pacer) end(err error) {
	if err == nil {
		p.interval = readInterval
		return
	}
	p.interval = min(2*max(p.interval, readInterval), maxReadInterval)
}

// readStore reads the history for all calls.
func (h *History) readStore([]struct{}) (Stored, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	h.pacer.begin()
	s, err := h.Store.Read(ctx)
	h.pacer.end(err)
	h.Scope.Counter("release_reads").Inc(1)
	if err != nil {
		return Stored{}, fmt.Errorf("reading the history of versions: %w", err)
	}
	h.note(s)
	return s, nil
}

// writeStore makes all changes at once and returns the history with them.
func (h *History) writeStore(changes []change) (Stored, error) {
	for range maxWriteTries {
		before, err := h.reads.do(context.Background(), struct{}{})
		if err != nil {
			return Stored{}, err
		}
		after, changed := before.clone(), false
		for _, do := range changes {
			changed = do(&after) || changed
		}
		if !changed {
			return before, nil
		}
		after.Revision, err = h.replace(after)
		if errors.Is(err, ErrConflict) || err == nil && epoch.Of(after.Revision) != before.StoreEpoch {
			h.Scope.Counter("release_conflicts").Inc(1)
			continue // a write that a restored store has accepted has replaced an unknown history
		}
		if err != nil {
			h.Log.Write(eventlog.Line{Event: eventlog.ReleasesStored, Outcome: "unanswered", Revision: before.Revision, Detail: err.Error()})
			return Stored{}, fmt.Errorf("writing the history of versions: %w", err)
		}
		h.note(after)
		h.logDifference(before, after)
		return after, nil
	}
	return Stored{}, ErrConflict
}

// replace writes a history over the revision that it was made from.
func (h *History) replace(s Stored) (revision int64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	return h.Store.Write(ctx, s)
}

// note notes a history that was read or written.
func (h *History) note(s Stored) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hasLatest && s.precedes(h.latest) {
		return
	}
	h.latest, h.hasLatest, h.latestAt = s, true, h.Now()
	h.epoch = max(h.epoch, s.StoreEpoch)
	h.known.lacking = !s.complete()
	h.watch.noteMarks(h.Now(), s)
	// A write of an earlier epoch that arrived late may have replaced the history, or another
	// instance, which does not list a version, marked it. If it is listed here, it is added again.
	maps.DeleteFunc(h.confirmed, func(r release, _ int64) bool { return !s.holds(r) })
	if !s.complete() && h.incomplete != s.StoreEpoch {
		h.incomplete = s.StoreEpoch
		h.Log.Write(eventlog.Line{Event: eventlog.ReleasesStored, Outcome: "incomplete", Revision: epoch.Join(s.StoreEpoch, epoch.Revision(s.Revision))})
	}
}

// logDifference logs what this process has changed.
func (h *History) logDifference(before, after Stored) {
	line := eventlog.Line{Event: eventlog.ReleasesStored, Revision: after.Revision}
	log := func(outcome string, from, to Stored) {
		buckets := 0
		for _, r := range to.all() {
			switch {
			case from.lists(r):
			case route.IsBucketName(r.Service):
				buckets++
			default:
				line.Outcome, line.Service, line.Software = outcome, r.Service, r.Software
				h.Log.Write(line)
			}
		}
		if buckets > 0 {
			h.Log.Write(eventlog.Line{Event: eventlog.ReleasesStored, Outcome: "routes_" + outcome, Revision: after.Revision, Detail: fmt.Sprint(buckets, " buckets of routes")})
		}
	}
	log("entered", before, after)
	log("left", after, before)
	if after.complete() && !before.complete() {
		h.Log.Write(eventlog.Line{Event: eventlog.ReleasesStored, Outcome: "complete", Revision: after.Revision})
	}
}
