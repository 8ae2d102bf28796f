package releases

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// removalDelay is how long a version is marked before it is removed. Directories of
	// instances that list it must not be later than this one by more.
	removalDelay = 30 * time.Second
	// contactInterval is how often an instance that has lost the store has its versions confirmed
	// by peers. Four attempts fit into the time after which it counts as cut off.
	contactInterval = directory.SoftwareRetention / 4
	// listingTime bounds how long a directory takes to list all endpoints for the first time.
	listingTime = 10 * time.Second
	// maxStepGap is the time between two steps from which on what happened in between does not
	// count as seen: the machine may have been suspended.
	maxStepGap = 5 * time.Second
	// advanceDelay is how long a further version of a service is listed before it is confirmed in
	// advance. Streams that run at the others are recorded and archived in the meantime.
	advanceDelay = time.Second
	// maxRetryPause bounds the time between two attempts to confirm versions in advance.
	maxRetryPause = time.Second
)

// watch is what a process has seen of the directory over time.
type watch struct {
	steppedAt clock.Millis
	// since is from when on the directory has been listing without a gap, within one epoch.
	since    clock.Millis
	epoch    int64
	listedAt map[release]clock.Millis // since when versions have been listed
	askedAt  map[release]clock.Millis // when an instance last wanted a version confirmed
	marks    map[release]mark
	gaps     int // during which the directory was not looked at
}

// mark is a version's mark in the history, and when this process first saw it.
type mark struct {
	number int64
	at     clock.Millis
}

func newWatch(now clock.Millis) watch {
	return watch{steppedAt: now, since: now, listedAt: map[release]clock.Millis{}, askedAt: map[release]clock.Millis{}, marks: map[release]mark{}}
}

// isStale reports whether the directory has not been looked at for so long that versions may
// have gone and come back in between.
func (w *watch) isStale(now clock.Millis) bool { return now.Sub(w.steppedAt) > maxStepGap }

// noteListed notes the versions that the directory lists.
func (w *watch) noteListed(now clock.Millis, list []release) {
	before := w.listedAt
	w.listedAt = map[release]clock.Millis{}
	for _, r := range list {
		at, known := before[r]
		if !known {
			at = now
		}
		w.listedAt[r] = at
		delete(w.marks, r)
	}
}

// noteMarks notes the marks of a history.
func (w *watch) noteMarks(now clock.Millis, s Stored) {
	maps.DeleteFunc(w.marks, func(r release, m mark) bool {
		number, marked := s.Removing[r.Service][r.Software]
		return !marked || number != m.number
	})
	for service, marks := range s.Removing {
		for software, number := range marks {
			r := release{service, software}
			if _, known := w.marks[r]; !known {
				w.marks[r] = mark{number, now}
			}
		}
	}
}

// observe notes what the directory lists now.
func (h *History) observe() {
	now, l, lost := h.Now(), h.listing(), h.StoreLost()
	h.mu.Lock()
	defer h.mu.Unlock()
	w := &h.watch
	if w.isStale(now) {
		clear(h.confirmed)
		clear(h.known.versions)
		w.since, w.gaps = now, w.gaps+1
	}
	w.steppedAt = now
	if !lost {
		h.heardAt = now
	}
	h.epoch = max(h.epoch, epoch.Of(l.Revision))
	if lost || l.Revision == 0 || epoch.Of(l.Revision) < h.epoch || w.epoch != h.epoch {
		w.since, w.epoch = now, h.epoch
	}
	h.known.observe(l, lost, w.watchedLong(now))
	w.noteListed(now, l.all())
	maps.DeleteFunc(w.askedAt, func(_ release, at clock.Millis) bool { return now.Sub(at) >= directory.SoftwareRetention })
	maps.DeleteFunc(h.confirmed, func(r release, _ int64) bool { return !l.has(r) })
}

// noteAsked notes that an instance lists versions and wants them confirmed.
func (h *History) noteAsked(list []release) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range list {
		h.watch.askedAt[r] = h.Now()
		delete(h.watch.marks, r)
	}
}

// retry keeps time between attempts of the background. It is used by one goroutine.
type retry struct {
	pause time.Duration
	at    clock.Millis
}

// maintain confirms versions in advance, so that requests seldom wait for it. A registrar also
// removes versions from the history, and completes it after a restore of the store.
func (h *History) maintain(ctx context.Context) {
	now := h.Now()
	if now < h.retry.at {
		return
	}
	if err := h.maintainOnce(ctx); err != nil && ctx.Err() == nil {
		h.retry.pause = min(max(2*h.retry.pause, stepInterval), maxRetryPause)
		h.retry.at = now.Add(h.retry.pause)
		return
	}
	h.retry.pause = 0
}

func (h *History) maintainOnce(ctx context.Context) error {
	if list := h.unconfirmed(); len(list) > 0 {
		_, err := h.confirms.do(ctx, list)
		return err
	}
	if err := h.readForKnown(ctx); err != nil {
		return err
	}
	if !h.isRegistrar() {
		h.forgetLatest()
		return nil
	}
	if !h.needsUpkeep() {
		return nil
	}
	_, err := h.writes.do(ctx, h.upkeep)
	if err != nil {
		h.Scope.Counter("release_failures").Inc(1)
	}
	return err
}

// readForKnown reads the history after a start, and after the store was lost.
func (h *History) readForKnown(ctx context.Context) error {
	l := h.listing()
	h.mu.Lock()
	subjects := h.known.unread(h.Now(), l)
	h.mu.Unlock()
	if len(subjects) == 0 {
		return nil
	}
	_, err := h.queries.do(ctx, subjects)
	if err != nil {
		h.mu.Lock()
		h.known.triedAt = 0
		h.mu.Unlock()
	}
	return err
}

// forgetLatest has the history read again if this instance becomes a registrar: until then it
// does not see all versions that others add.
func (h *History) forgetLatest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latest, h.hasLatest = Stored{}, false
}

// unconfirmed returns the versions that the directory lists and that are to be confirmed in
// advance, or again as the store has been lost for long. As long as the history holds one version
// of a service, streams without a record go on; with the next one they are refused. So that one
// waits until the records of those that run have been archived. Where routes lead is known by the
// present configuration alone, so that it does not wait.
func (h *History) unconfirmed() []release {
	listed := h.listing().all()
	if h.isContactDue() {
		return listed
	}
	return slices.DeleteFunc(listed, func(r release) bool {
		return h.isConfirmed(r) || h.isNew(r) && !route.IsBucketName(r.Service) && len(h.Confirmed(r.Service)) > 0
	})
}

// isNew reports whether a version has not been listed for long.
func (h *History) isNew(r release) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, known := h.watch.listedAt[r]
	return !known || h.Now().Sub(at) < advanceDelay
}

// isContactDue reports whether the store is lost and no peer has answered for a while.
func (h *History) isContactDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known.lost && h.Now().Sub(h.heardAt) >= contactInterval
}

// needsUpkeep reports whether the history has to be changed, as far as this process knows it.
func (h *History) needsUpkeep() bool {
	h.mu.Lock()
	s, known := h.latest.clone(), h.hasLatest
	h.mu.Unlock()
	return !known || h.upkeep(&s)
}

// upkeep makes the changes that time has made due.
func (h *History) upkeep(s *Stored) (changed bool) {
	now, l := h.Now(), h.listing()
	h.mu.Lock()
	defer h.mu.Unlock()
	w := &h.watch
	if w.isStale(now) {
		return false
	}
	watched := now.Sub(w.since)
	if s.Revision != 0 && !s.complete() && w.epoch == s.StoreEpoch && watched >= directory.SoftwareRetention+listingTime {
		adding(l.all())(s)
		s.Epoch, changed = s.StoreEpoch, true
	}
	for _, r := range s.all() {
		if !w.mayRemove(now, l, r) {
			continue
		}
		number, marked := s.Removing[r.Service][r.Software]
		if !marked {
			s.mark(r)
			changed = true
			continue
		}
		if w.markedFor(now, r, number) >= removalDelay && w.watchedLong(now) {
			s.remove(r)
			changed = true
		}
	}
	return changed
}

// markedFor returns for how long a mark has been seen while the version was not listed.
func (w *watch) markedFor(now clock.Millis, r release, number int64) time.Duration {
	if w.marks[r].number != number {
		w.marks[r] = mark{number, now}
	}
	return now.Sub(w.marks[r].at)
}

// mayRemove reports whether no caller returns to a stream that a version began, as far as this
// process knows. A directory that lists nothing of a service proves nothing about it.
func (w *watch) mayRemove(now clock.Millis, l listing, r release) bool {
	if _, asked := w.askedAt[r]; asked {
		return false
	}
	return len(l.values(r.Service)) > 0 && !l.has(r) && now.Sub(w.since) >= directory.SoftwareRetention
}
