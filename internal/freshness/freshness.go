// Package freshness decides when an instance must ask whether what it knows is
// still the newest. In each zone a few instances watch the store and tell the
// others its revision and a digest of what they believe. A watch can fall
// silent while changes are made and renewals of leases are answered, so silence
// proves nothing: one instance of the zone also asks the store for its
// revision, and the next in rank does so when nothing was heard in time. An
// instance that is behind what it heard of fetches what it lacks; one that
// watches first gives its own watch a moment. Decisions are pure.
package freshness

import (
	"math"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// checkPart of the time within which a change must be in force may pass until
	// the first in rank asks the store. Of 2 s, a check, the patience and a fetch
	// take 1.2 s.
	checkPart = 0.35
	// rankDelay is how much later each next in rank asks, and turnsMost how much later
	// the last of a zone does.
	rankDelay = 150 * time.Millisecond
	turnsMost = 4 * rankDelay
	// patience is how long the watch may take to tell of a revision that was
	// heard of. Watches are told within a few milliseconds.
	patience = 200 * time.Millisecond
	// again is the pause between fetches while still behind.
	again = 250 * time.Millisecond
	// wholeEvery is the least time between two whole views from peers. One is
	// 15 KB at 140 endpoints, and links carry 10 Mbit/s. Beyond viewSize
	// endpoints it grows with them, so that views take no more of a link.
	wholeEvery = time.Second
	viewSize   = 200
	// asksPart of the time within which a change must be in force may go by with
	// peers asked in vain before the store is: a peer that does not know this
	// instance yet refuses its certificate, and hears of it with its next watch.
	// Where that was half a second, most restarts of an instance cost the store a
	// listing of everything, seven calls at 195 instances.
	asksPart = 0.25
)

// Action is what the caller must do.
type Action int

// The actions.
const (
	Nothing      Action = iota
	CheckStore          // ask the store for its revision and call Heard
	ListStore           // read everything from the store
	PullFromPeer        // ask the peer that Source names
)

// Freshness is the state of one instance.
type Freshness struct {
	bound   time.Duration // within which a change must be in force
	heardAt clock.Millis  // when a revision was last heard of
	newest  int64         // the highest revision heard of
	behind  clock.Millis  // since when the own knowledge is older; 0 if it is not
	fetched clock.Millis  // when it was last fetched
	source  string
	digest  uint64       // of the source's beliefs at newest; 0 if not told
	asked   int          // times that peers were asked in vain
	had     int64        // the own revision when one was last asked
	whole   clock.Millis // when everything was last asked of a peer
}

// New returns the state of an instance that has just begun by reading
// everything; a change must be in force within bound.
func New(bound time.Duration) *Freshness { return &Freshness{bound: bound} }

// LocalState is what an instance has.
type LocalState struct {
	Revision int64 // up to which it knows everything
	Digest   uint64
	Rank     int  // its place in its zone, from 0
	ZoneSize int  // instances of the zone
	Watching bool // it watches the store itself
	// Endpoints is how many a whole view holds.
	Endpoints int
}

// wholePause is the least time between two whole views.
func (k LocalState) wholePause() time.Duration {
	return time.Duration(max(k.Endpoints, viewSize)) * wholeEvery / viewSize
}

// Observe takes a revision that the store has, told by the peer called source
// with a digest of its beliefs, or by the store itself if source is empty.
func (f *Freshness) Observe(now clock.Millis, revision int64, digest uint64, source string) {
	f.heardAt = now
	if revision < f.newest || revision == f.newest && source == "" {
		return
	}
	f.newest, f.digest, f.source = revision, digest, source
}

// CheckFailed notes that the store did not answer the question for its revision.
func (f *Freshness) CheckFailed(now clock.Millis) { f.heardAt = now }

// Source is the peer that knows more, for AskPeer.
func (f *Freshness) Source() string { return f.source }

// PeerBusy notes that a peer is there and will answer: it was not asked in vain.
func (f *Freshness) PeerBusy() { f.asked = max(f.asked-1, 0) }

// Behind says whether something was lacking when it was last decided what to do.
func (f *Freshness) Behind() bool { return f.behind != 0 }

// Next returns what must be done now.
func (f *Freshness) Next(now clock.Millis, k LocalState) Action {
	differs := !k.Watching && f.source != "" && k.Revision == f.newest && f.digest != k.Digest
	if k.Revision >= f.newest && !differs {
		f.behind, f.asked = 0, 0
		return f.check(now, k)
	}
	if f.behind == 0 {
		f.behind = now
	}
	if k.Watching && now.Sub(f.behind) < patience || now.Sub(f.fetched) < again {
		return Nothing
	}
	f.fetched = now
	if k.Revision > f.had {
		f.asked = 0 // they answer; while changes go on, there is always more to ask for
	}
	f.had = k.Revision
	if f.source == "" || f.asked >= int(asksPart*float64(f.bound)/float64(again)) {
		f.asked = 0
		return ListStore
	}
	f.asked++
	return PullFromPeer
}

// NeedsFullView says whether to ask a peer for everything, after its changes up to
// revision were taken: the beliefs must be the same then. They are not where a
// change was not passed on by another peer, which doubted it at that time.
func (f *Freshness) NeedsFullView(now clock.Millis, k LocalState, revision int64, digest uint64) bool {
	if k.Revision != revision || k.Digest == digest || now.Sub(f.whole) < k.wholePause() {
		return false
	}
	f.whole = now
	return true
}

func (f *Freshness) check(now clock.Millis, k LocalState) Action {
	if f.heardAt == 0 {
		f.heardAt = now // it has just begun by reading everything
	}
	if now.Sub(f.heardAt) < time.Duration(checkPart*float64(f.bound))+k.turn() {
		return Nothing
	}
	f.heardAt = now // the answer, or its absence, comes before the next check
	return CheckStore
}

// turn is how long an instance waits for those before it. In a zone of many, ever more
// take their turns together, so that the last need not wait long, and its whole crowd
// does not ask at one moment: each turn doubles those who have asked.
func (k LocalState) turn() time.Duration {
	if k.Rank == 0 {
		return 0
	}
	part := math.Log(float64(1+k.Rank)) / math.Log(float64(1+max(k.Rank, k.ZoneSize)))
	return min(time.Duration(k.Rank)*rankDelay, time.Duration(part*float64(turnsMost)))
}
