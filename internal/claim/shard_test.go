package claim_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/claim"
	"github.com/trailshed/trailshed/internal/platform"
	"github.com/trailshed/trailshed/pkg/clock"
)

const interval = 100 * time.Millisecond

// store is a platform whose answers the test decides.
type store struct {
	entries map[string]platform.Entry
	index   int64
}

func newStore() *store { return &store{entries: map[string]platform.Entry{}} }

func (s *store) put(key string, value []byte, version int64) (int64, bool) {
	if s.entries[key].Version != version {
		return 0, false
	}
	s.index++
	s.entries[key] = platform.Entry{Key: key, Value: value, Version: s.index}
	return s.index, true
}

func (s *store) list() []platform.Entry {
	var all []platform.Entry
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		all = append(all, s.entries[key])
	}
	return all
}

// owner is one process that believes it owns the shard.
type owner struct {
	shard   *claim.Shard
	pending []claim.Effect // loads and writes whose outcome is not back yet
	replies []claim.Reply
}

func newOwner() *owner { return &owner{shard: claim.NewShard(3, interval)} }

func (o *owner) take(effects []claim.Effect) {
	for _, e := range effects {
		if r, ok := e.(claim.Reply); ok {
			o.replies = append(o.replies, r)
		} else {
			o.pending = append(o.pending, e)
		}
	}
}

// fate is what becomes of a call to the platform.
type fate int

const (
	done    fate = iota
	lost         // takes effect, but no answer comes
	refused      // does not take effect
)

// settle carries out the oldest pending call.
func (o *owner) settle(s *store, now clock.Millis, f fate) {
	if len(o.pending) == 0 {
		return
	}
	e := o.pending[0]
	o.pending = o.pending[1:]
	switch e := e.(type) {
	case claim.Load:
		if f != done {
			o.take(o.shard.Failed(now))
			return
		}
		o.take(o.shard.Loaded(now, s.list()))
	case claim.Write:
		o.write(s, now, e, f)
	case claim.Delete:
		delete(s.entries, e.Key)
	}
}

func (o *owner) write(s *store, now clock.Millis, e claim.Write, f fate) {
	ok := f != refused
	if ok && e.Segment != "" {
		_, ok = s.put(e.Segment, e.Put, 0)
	}
	var version int64
	if ok {
		version, ok = s.put(e.Key, e.Value, e.Version)
	}
	if !ok || f == lost {
		o.take(o.shard.Failed(now))
		return
	}
	o.take(o.shard.Written(now, version))
}

// TestAtMostOnce lets two owners of one shard, which crash, freeze and lose
// answers at any moment, answer claims on few keys. However it goes, no key is
// granted to two requests, and no ask is answered twice.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		owners := []*owner{newOwner(), newOwner()}
		now := clock.Millis(1_000_000)
		number := int64(0)
		asked := map[int64]claim.Claim{}
		answered := map[int64]bool{}
		granted := map[claim.Key]string{}
		check := func(o *owner) {
			for _, r := range o.replies {
				if answered[r.Ask] {
					t.Fatalf("ask %d answered twice", r.Ask)
				}
				answered[r.Ask] = true
				c := asked[r.Ask]
				if r.Answer.Verdict != claim.Granted {
					continue
				}
				if first, ok := granted[c.Key]; ok {
					t.Fatalf("key granted to %s and %s", first, c.Request)
				}
				granted[c.Key] = c.Request
			}
			o.replies = nil
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			o := owners[rapid.IntRange(0, 1).Draw(t, "owner")]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				number++
				c := claim.Claim{
					Key:     claim.NewKey("w", fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))),
					Request: fmt.Sprint(number), Ends: now + 1e9,
				}
				asked[number] = c
				o.take(o.shard.Ask(now, number, c, now.Add(500*time.Millisecond)))
			case 3, 4, 5, 6:
				f := fate(rapid.IntRange(0, 2).Draw(t, "fate"))
				o.settle(s, now, f)
			case 7, 8:
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
				o.take(o.shard.Tick(now))
			case 9:
				*o = *newOwner() // a crash: its callers' asks die with it
			}
			check(o)
		}
	})
}

// TestSegments fills the head until it is put away and checks that a new owner
// still knows every claim.
func TestSegments(t *testing.T) {
	c := qt.New(t)
	s, o, now := newStore(), newOwner(), clock.Millis(1000)
	const claims = 1200
	for i := range int64(claims) {
		now = now.Add(interval)
		o.take(o.shard.Ask(now, i, claim.Claim{Key: claim.NewKey("w", fmt.Sprint(i)), Request: "first", Ends: now + 1e9}, now+1000))
		for len(o.pending) > 0 {
			o.settle(s, now, done)
		}
	}
	c.Assert(len(o.replies), qt.Equals, claims)
	c.Assert(len(s.entries), qt.Equals, 3) // the head and two segments
	fresh := newOwner()
	for i := range int64(claims) {
		fresh.take(fresh.shard.Ask(now, i, claim.Claim{Key: claim.NewKey("w", fmt.Sprint(i)), Request: "second"}, now+1000))
	}
	fresh.settle(s, now, done)
	c.Assert(len(fresh.replies), qt.Equals, claims)
	for _, r := range fresh.replies {
		c.Assert(r.Answer.Verdict, qt.Equals, claim.Taken)
		c.Assert(r.Answer.Claim.Request, qt.Equals, "first")
	}
}

// TestLostAnswer says that a claim whose write took effect without an answer is
// still granted, and that one which was refused in time may be claimed anew.
func TestLostAnswer(t *testing.T) {
	tests := []struct {
		name   string
		fates  []fate
		pause  time.Duration
		first  claim.Verdict
		second claim.Verdict
	}{
		{"answer comes", []fate{done, done}, interval, claim.Granted, claim.Taken},
		{"answer lost, read back", []fate{done, lost, done}, interval, claim.Granted, claim.Taken},
		{"outage past the deadline", []fate{done, lost}, time.Second, claim.Unavailable, claim.Granted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, o, now := newStore(), newOwner(), clock.Millis(1000)
			key := claim.NewKey("w", "k")
			o.take(o.shard.Ask(now, 1, claim.Claim{Key: key, Request: "a", Ends: now + 1e9}, now.Add(500*time.Millisecond)))
			for _, f := range test.fates {
				o.settle(s, now, f)
				now = now.Add(test.pause)
				o.take(o.shard.Tick(now))
			}
			c.Assert(o.replies[0].Answer.Verdict, qt.Equals, test.first)
			o.take(o.shard.Ask(now, 2, claim.Claim{Key: key, Request: "b", Ends: now + 1e9}, now+1e6))
			for range 6 {
				o.settle(s, now, done)
				now = now.Add(interval)
				o.take(o.shard.Tick(now))
			}
			c.Assert(o.replies[1].Answer.Verdict, qt.Equals, test.second)
		})
	}
}
