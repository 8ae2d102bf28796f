// Package freshness decides when an instance must check whether its view is current. In
// each zone a few instances watch the store and announce its revision, with a digest of
// their view, to the others. A watch can stall while changes are made and lease renewals
// are answered, so silence proves nothing: one instance of the zone also reads the store's
// revision, and the next in rank does so if nothing was received in time. An instance that
// is behind an announced revision fetches what it lacks; a watcher first gives its own
// watch a short time. Decisions are pure.
package freshness

import (
	"math"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// checkFraction is how long the first in rank waits after it last received a revision
	// before it checks the store, as a fraction of the time within which a change must be
	// in force. Of 2 s, a check, the grace period and a fetch take 1.2 s.
	checkFraction = 0.35
	// rankDelay is how much later each next in rank checks the store, and maxRankDelay how
	// much later the last of a zone does.
	rankDelay    = 150 * time.Millisecond
	maxRankDelay = 4 * rankDelay
	// watchGracePeriod is how long the watch may take to return a revision that is known to
	// exist. Watches return within a few milliseconds.
	watchGracePeriod = 200 * time.Millisecond
	// retryInterval is the pause between fetches while still behind.
	retryInterval = 250 * time.Millisecond
	// fullViewInterval is the minimum time between two complete views from peers. One takes
	// 15 KB at 140 endpoints, and links carry 10 Mbit/s. Beyond baseViewSize endpoints the
	// interval grows with their number, so that views do not take more of a link.
	fullViewInterval = time.Second
	baseViewSize     = 200
	// peerFraction is how long unsuccessful requests to peers may go on before the store is
	// read, as a fraction of the time within which a change must be in force: a peer that
	// does not know this instance yet refuses its certificate, and learns of it with its
	// next watch. With half a second, most restarts of an instance cost the store a
	// complete listing, seven calls at 195 instances.
	peerFraction = 0.25
	// lostChecks is the number of failed checks or other calls in a row from which on the store counts as lost. One may
	// fail alone, as on a connection that has gone silent.
	lostChecks = 2
)

// Action is what the caller must do.
type Action int

// Actions.
const (
	Nothing      Action = iota
	CheckStore          // read the store's revision and call Observe
	ListStore           // read everything from the store
	PullFromPeer        // request what is missing from the peer that Source names
)

// Freshness is the state of one instance.
type Freshness struct {
	bound           time.Duration // within which a change must be in force
	observedAt      clock.Millis  // when a revision was last received
	newest          int64         // the highest revision received
	behindSince     clock.Millis  // since when this instance is behind; 0 if it is not
	fetchedAt       clock.Millis  // when something was last fetched
	source          string
	digest          uint64       // of the source's view at newest; 0 if unknown
	unanswered      int          // requests to peers without success
	requestRevision int64        // own revision at the last request
	fullViewAt      clock.Millis // when a complete view was last requested from a peer
	failedChecks    int          // of the store, and other calls to it, since a revision was last received
}

// New returns the state of an instance that starts by reading everything; a change must be
// in force within bound.
func New(bound time.Duration) *Freshness { return &Freshness{bound: bound} }

// LocalState describes what an instance has.
type LocalState struct {
	Revision int64 // up to which its view is complete
	Digest   uint64
	Rank     int  // in its zone, from 0
	ZoneSize int  // number of instances in the zone
	Watching bool // it watches the store itself
	// Endpoints is the number of endpoints in a complete view.
	Endpoints int
}

// fullViewPause returns the minimum time between two complete views.
func (s LocalState) fullViewPause() time.Duration {
	return time.Duration(max(s.Endpoints, baseViewSize)) * fullViewInterval / baseViewSize
}

// Observe records a revision that the store has, received from the peer called source with
// a digest of its view, or from the store itself if source is empty.
func (f *Freshness) Observe(now clock.Millis, revision int64, digest uint64, source string) {
	f.observedAt, f.failedChecks = now, 0
	f.Hear(revision, digest, source)
}

// Hear is Observe for a revision from a peer that the store does not answer at present: it does not show that the
// store answers, or that there is nothing newer.
func (f *Freshness) Hear(revision int64, digest uint64, source string) {
	if revision < f.newest || revision == f.newest && source == "" {
		return
	}
	f.newest, f.digest, f.source = revision, digest, source
}

// CheckFailed records that the store did not return its revision.
func (f *Freshness) CheckFailed(now clock.Millis) {
	f.observedAt = now
	f.failedChecks++
}

// CallFailed records that another call to the store failed. The revision is checked soon, unless checks fail already.
func (f *Freshness) CallFailed(now clock.Millis) {
	if f.failedChecks == 0 {
		f.observedAt = now
	}
	f.failedChecks++
}

// Unsure reports whether the store may be lost, which the next check shows.
func (f *Freshness) Unsure() bool { return f.failedChecks > 0 && !f.StoreLost() }

// StoreLost reports whether several calls to the store failed, and no revision was received meanwhile.
func (f *Freshness) StoreLost() bool { return f.failedChecks >= lostChecks }

// Source returns the peer that has more, for PullFromPeer.
func (f *Freshness) Source() string { return f.source }

// PeerBusy records that a peer will answer later: the request to it was not unsuccessful.
func (f *Freshness) PeerBusy() { f.unanswered = max(f.unanswered-1, 0) }

// Behind reports whether the instance was behind at the last call of Next.
func (f *Freshness) Behind() bool { return f.behindSince != 0 }

// Next returns what must be done now.
func (f *Freshness) Next(now clock.Millis, s LocalState) Action {
	differs := !s.Watching && f.source != "" && s.Revision == f.newest && f.digest != s.Digest
	if s.Revision >= f.newest && !differs {
		f.behindSince, f.unanswered = 0, 0
		return f.check(now, s)
	}
	if f.behindSince == 0 {
		f.behindSince = now
	}
	if s.Watching && now.Sub(f.behindSince) < watchGracePeriod || now.Sub(f.fetchedAt) < retryInterval {
		return Nothing
	}
	f.fetchedAt = now
	if s.Revision > f.requestRevision {
		f.unanswered = 0 // peers answer; while changes go on, there is always more to request
	}
	f.requestRevision = s.Revision
	if f.source == "" || f.unanswered >= int(peerFraction*float64(f.bound)/float64(retryInterval)) {
		f.unanswered = 0
		return ListStore
	}
	f.unanswered++
	return PullFromPeer
}

// NeedsFullView reports whether to request everything from a peer after its changes up to
// revision were applied: the views must be the same then. They differ if another peer did
// not pass on a change because it was still in doubt about it.
func (f *Freshness) NeedsFullView(now clock.Millis, s LocalState, revision int64, digest uint64) bool {
	if s.Revision != revision || s.Digest == digest || now.Sub(f.fullViewAt) < s.fullViewPause() {
		return false
	}
	f.fullViewAt = now
	return true
}

func (f *Freshness) check(now clock.Millis, s LocalState) Action {
	if f.observedAt == 0 {
		f.observedAt = now // it has just read everything
	}
	pause := time.Duration(checkFraction*float64(f.bound)) + s.checkDelay()
	if f.Unsure() {
		pause = retryInterval
	}
	if now.Sub(f.observedAt) < pause {
		return Nothing
	}
	f.observedAt = now // the result, or its absence, comes before the next check
	return CheckStore
}

// checkDelay returns how long an instance waits for those before it in rank. In a large
// zone the delays of later ranks lie ever closer together, so that the last need not wait
// long, and yet not all instances check at the same time: the number that have checked
// grows exponentially with the delay.
func (s LocalState) checkDelay() time.Duration {
	if s.Rank == 0 {
		return 0
	}
	fraction := math.Log(float64(1+s.Rank)) / math.Log(float64(1+max(s.Rank, s.ZoneSize)))
	return min(time.Duration(s.Rank)*rankDelay, time.Duration(fraction*float64(maxRankDelay)))
}
