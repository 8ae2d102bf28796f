package freshness_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/freshness"
	"github.com/trailshed/trailshed/pkg/clock"
)

// bound is the time within which changes must be in force in these tests.
const bound = 2 * time.Second

// A watch that falls silent must not leave an instance behind: on the standard
// day scale-1 it served a configuration 5 s old, with every renewal answered.
func TestSilentWatchIsNoticed(t *testing.T) {
	tests := []struct {
		name string
		rank int
		hint string // peer that tells of the new revision; empty: the store does
		want freshness.Action
	}{
		{"first in rank lists", 0, "", freshness.ListStore},
		{"told by a peer, asks it", 1, "n1", freshness.PullFromPeer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := freshness.New(bound)
			known := int64(28) // the watch tells nothing newer
			acted := clock.Millis(0)
			for now := clock.Millis(10_000); now < 14_000 && acted == 0; now += 50 {
				switch f.Next(now, freshness.LocalState{Revision: known, Rank: test.rank, Watching: true}) {
				case freshness.CheckStore:
					f.Observe(now, 31, 7, test.hint)
				case test.want:
					acted = now
				case freshness.Nothing:
				default:
					t.Fatalf("unexpected action at %d", now)
				}
			}
			c.Assert(acted > 0 && acted <= 11_500, qt.IsTrue, qt.Commentf("acted at %d", acted))
		})
	}
}

func TestCaughtUpDoesNothingMore(t *testing.T) {
	c := qt.New(t)
	f := freshness.New(bound)
	f.Observe(1000, 31, 7, "n1")
	c.Assert(f.Next(1050, watching(30, 0)), qt.Equals, freshness.Nothing)
	c.Assert(f.Next(1100, watching(31, 0)), qt.Equals, freshness.Nothing)
	c.Assert(f.Next(1500, watching(31, 0)), qt.Equals, freshness.Nothing)
	c.Assert(f.Next(1750, watching(31, 0)), qt.Equals, freshness.CheckStore)
}

// Only the first in rank asks while it can be heard.
func TestOneAsksForTheZone(t *testing.T) {
	c := qt.New(t)
	first, second := freshness.New(bound), freshness.New(bound)
	asked := [2]int{}
	for now := clock.Millis(10_000); now < 20_000; now += 50 {
		if first.Next(now, watching(5, 0)) == freshness.CheckStore {
			asked[0]++
			first.Observe(now, 5, 0, "")
			second.Observe(now+1, 5, 0, "first")
		}
		if second.Next(now, watching(5, 1)) == freshness.CheckStore {
			asked[1]++
		}
	}
	c.Assert(asked[0] > 10, qt.IsTrue)
	c.Assert(asked[1], qt.Equals, 0) // also at its own start, when it has read everything
}

func watching(revision int64, rank int) freshness.LocalState {
	return freshness.LocalState{Revision: revision, Rank: rank, Watching: true}
}

// An instance that does not watch asks as soon as it hears of something new,
// or of other beliefs at the same revision, as when a peer gave up waiting
// for an endpoint that the store no longer lists.
func TestFollowers(t *testing.T) {
	tests := []struct {
		name  string
		known freshness.LocalState
		want  freshness.Action
	}{
		{"behind", freshness.LocalState{Revision: 30, Digest: 7}, freshness.PullFromPeer},
		{"believes otherwise", freshness.LocalState{Revision: 31, Digest: 8}, freshness.PullFromPeer},
		{"the same", freshness.LocalState{Revision: 31, Digest: 7}, freshness.Nothing},
		{"newer", freshness.LocalState{Revision: 32, Digest: 8}, freshness.Nothing},
		{"watches, believes otherwise", freshness.LocalState{Revision: 31, Digest: 8, Watching: true}, freshness.Nothing},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := freshness.New(bound)
			f.Observe(1000, 31, 7, "n1")
			qt.Assert(t, f.Next(1050, test.known), qt.Equals, test.want)
		})
	}
}

// A peer that does not answer, because it does not know this instance yet,
// is not asked for ever (grown unions, scale-1: a zone knew no endpoint).
func TestSilentPeerIsGivenUp(t *testing.T) {
	c := qt.New(t)
	f := freshness.New(bound)
	f.Observe(1000, 31, 7, "n1")
	counts := map[freshness.Action]int{}
	for now := clock.Millis(1000); now < 2000 && counts[freshness.ListStore] == 0; now += 50 {
		counts[f.Next(now, freshness.LocalState{Revision: 30, Rank: 5})]++
	}
	c.Assert(counts[freshness.PullFromPeer], qt.Equals, 2)
	c.Assert(counts[freshness.ListStore], qt.Equals, 1)
}

// While changes go on, an instance is always a little behind. As long as peers
// answer, the store is not asked (grown couriers: a hundred listings at each
// start of the fleet, a call's price each).
func TestSteadyChangesAreToldByPeers(t *testing.T) {
	c := qt.New(t)
	f := freshness.New(bound)
	known, newest := int64(30), int64(30)
	asked := 0
	for now := clock.Millis(1000); now < 6000; now += 50 {
		if now%100 == 0 {
			newest++
			f.Observe(now, newest, 7, "n1")
		}
		switch f.Next(now, freshness.LocalState{Revision: known, Rank: 5}) {
		case freshness.PullFromPeer:
			asked++
			known = newest - 1 // the answer was overtaken by the next change
		case freshness.ListStore, freshness.CheckStore:
			t.Fatalf("the store was asked at %d", now)
		case freshness.Nothing:
		}
	}
	c.Assert(asked > 10, qt.IsTrue)
}

// However many are before it, an instance that hears nothing asks in time.
func TestLastInRankAsksInTime(t *testing.T) {
	c := qt.New(t)
	f := freshness.New(bound)
	f.Observe(1000, 31, 7, "n1")
	asked := clock.Millis(0)
	for now := clock.Millis(1000); now < 5000 && asked == 0; now += 50 {
		if f.Next(now, freshness.LocalState{Revision: 31, Digest: 7, Rank: 20}) == freshness.CheckStore {
			asked = now
		}
	}
	c.Assert(asked > 0 && asked <= 2400, qt.IsTrue, qt.Commentf("asked at %d", asked))
}

// Where those who watch have fallen silent, the instances of a large zone do not ask all at
// once: whoever asks tells the others, and a turn later twice as many have asked at most.
func TestCrowdDoesNotAskAtOnce(t *testing.T) {
	for _, zone := range []int{20, 200, 2000} {
		c := qt.New(t)
		const tick, answer = 50, 20 // ms
		all := make([]*freshness.Freshness, zone)
		for n := range all {
			all[n] = freshness.New(bound)
			all[n].Observe(1000, 31, 7, "n1")
		}
		asked, told := 0, clock.Millis(0)
		for now := clock.Millis(1000); now < 5000 && (told == 0 || now < told); now += tick {
			for rank := 2; rank < zone; rank++ {
				if all[rank].Next(now, freshness.LocalState{Revision: 31, Digest: 7, Rank: rank, ZoneSize: zone}) != freshness.CheckStore {
					continue
				}
				asked++
				told = now + answer
			}
		}
		c.Check(asked > 0 && asked <= 3, qt.IsTrue, qt.Commentf("%d of %d asked", asked, zone))
	}
}

// Whole views take the same part of a link whatever the number of endpoints.
func TestLargeViewsAreAskedForSeldom(t *testing.T) {
	tests := []struct {
		endpoints int
		pause     time.Duration
	}{{0, time.Second}, {146, time.Second}, {200, time.Second}, {3000, 15 * time.Second}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.endpoints), func(t *testing.T) {
			c := qt.New(t)
			f := freshness.New(bound)
			k := freshness.LocalState{Revision: 30, Digest: 7, Endpoints: test.endpoints}
			const start = clock.Millis(100_000)
			c.Assert(f.NeedsFullView(start, k, 30, 8), qt.IsTrue)
			c.Assert(f.NeedsFullView(start.Add(test.pause)-1, k, 30, 8), qt.IsFalse)
			c.Assert(f.NeedsFullView(start.Add(test.pause), k, 30, 8), qt.IsTrue)
		})
	}
}

// A peer that doubted a removal passed its revision on without it; the next
// one tells only what came later. The beliefs then differ at the same revision,
// and everything is asked for, once a second at the most (grown unions,
// trouble-1 820858619590: a leaving endpoint got work for up to nine seconds).
func TestDifferentBeliefsAfterTaking(t *testing.T) {
	tests := []struct {
		name     string
		now      clock.Millis
		revision int64
		digest   uint64
		want     bool
	}{
		{"the same", 1000, 30, 7, false},
		{"another revision by now", 1000, 29, 8, false},
		{"different", 2000, 30, 8, true},
		{"asked a moment ago", 2500, 30, 8, false},
		{"asked a while ago", 3000, 30, 8, true},
	}
	f := freshness.New(bound)
	for _, test := range tests {
		got := f.NeedsFullView(test.now, freshness.LocalState{Revision: 30, Digest: 7}, test.revision, test.digest)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// How often the store is asked follows from how soon changes must be in force: a
// deployment that allows 4 s asks half as often as one that allows 2 s.
func TestChecksFollowTheBound(t *testing.T) {
	tests := []struct {
		bound time.Duration
		asked int // within 28 s, nothing else being heard
	}{
		{2 * time.Second, 40},
		{3 * time.Second, 26},
		{4 * time.Second, 20},
	}
	for _, test := range tests {
		t.Run(test.bound.String(), func(t *testing.T) {
			f := freshness.New(test.bound)
			asked := 0
			for now := clock.Millis(50); now <= 28_050; now += 50 {
				if f.Next(now, watching(5, 0)) == freshness.CheckStore {
					asked++
					f.Observe(now, 5, 0, "")
				}
			}
			qt.Assert(t, asked, qt.Equals, test.asked)
		})
	}
}
