// Package claim keeps requests that may not be repeated from running twice. A
// claim on (workspace, key) must be in the platform's service before the
// request is sent. The claims of one shard are batched: each batch is one
// compare-and-swap on the shard's head key. The head's version fences every
// former owner of the shard, so owning a shard needs no lease: two owners at
// once cost conflicts, never a second claim.
package claim

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/trailshed/trailshed/internal/platform"
	"github.com/trailshed/trailshed/pkg/clock"
)

// headLimit is the number of claims from which the head is put away into a
// segment of its own, so that each write stays small.
const headLimit = 512

// Key identifies what is claimed, without telling it.
type Key [16]byte

// NewKey returns the key of a workspace's idempotency key.
func NewKey(workspace, key string) Key {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return Key(sum[:16])
}

// Shard returns the number of the key's shard among so many.
func (k Key) Shard(shards int) int { return int(xxhash.Sum64(k[:]) % uint64(shards)) }

// Claim is one request's right to run.
type Claim struct {
	Key     Key            `cbor:"1,keyasint"`
	Request string         `cbor:"2,keyasint"`
	Holder  netip.AddrPort `cbor:"3,keyasint"` // entry that runs it
	Ends    clock.Millis   `cbor:"4,keyasint"` // when the key is forgotten
	Body    uint64         `cbor:"5,keyasint"` // digest of the request, to find a key used for two
}

// Verdict is the answer to a claim.
type Verdict string

// The verdicts.
const (
	Granted     Verdict = "granted"
	Taken       Verdict = "taken"       // another request has the key
	Unavailable Verdict = "unavailable" // the platform did not answer in time
)

// Answer is what an entry gets for a claim.
type Answer struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Claim   Claim   `cbor:"2,keyasint"` // with Taken: the one that has the key
}

// Effect is what the owner must do; each call's outcome comes back by Loaded,
// Written or Failed. At most one of Load and Write is under way.
type Effect interface{ effect() }

// Load reads all keys under Prefix.
type Load struct{ Prefix string }

// Write swaps the head. When Segment is set, its key is created first; one that
// exists already is the same, since it is named by the head's version, and is
// left as it is.
type Write struct {
	Key     string
	Value   []byte
	Version int64
	Segment string
	Put     []byte // value of the segment
}

// Delete removes a segment whose claims have all ended.
type Delete struct {
	Key     string
	Version int64
}

// Reply answers the ask with this number.
type Reply struct {
	Ask    int64
	Answer Answer
}

func (Load) effect()   {}
func (Write) effect()  {}
func (Delete) effect() {}
func (Reply) effect()  {}

// head is the value of the shard's head key.
type head struct {
	Segment int64   `cbor:"1,keyasint"`
	Claims  []Claim `cbor:"2,keyasint"`
}

// asking is one claim that waits for its answer.
type asking struct {
	number   int64
	claim    Claim
	deadline clock.Millis
}

// Shard is the state of one shard's owner. It is not safe for concurrent use.
type Shard struct {
	prefix    string
	interval  time.Duration
	loaded    bool
	busy      bool // a Load or Write is under way
	nextWrite clock.Millis
	version   int64
	head      head
	known     map[Key]Claim
	abandoned map[Key]string // request that has the key but certainly never ran
	asks      []*asking
	writing   []*asking
	attempt   head // what the write under way holds
	effects   []Effect
}

// NewShard returns the owner's state of a shard; interval is the least time
// between two writes.
func NewShard(number int, interval time.Duration) *Shard {
	return &Shard{
		prefix: Prefix(number), interval: interval,
		known: map[Key]Claim{}, abandoned: map[Key]string{},
	}
}

// Prefix returns the platform's key prefix of a shard.
func Prefix(number int) string { return fmt.Sprintf("claims/%04d/", number) }

func (s *Shard) headKey() string { return s.prefix + "head" }

// Ask takes a claim that must be answered by deadline under the given number.
func (s *Shard) Ask(now clock.Millis, number int64, c Claim, deadline clock.Millis) []Effect {
	s.asks = append(s.asks, &asking{number: number, claim: c, deadline: deadline})
	return s.step(now)
}

// Abandon notes that a request never ran and never will, so that its key may be
// claimed again. Only the entry that holds the request can know, and says so.
func (s *Shard) Abandon(key Key, request string) {
	if len(s.abandoned) < headLimit*8 {
		s.abandoned[key] = request
	}
}

// Loaded brings all entries under the shard's prefix.
func (s *Shard) Loaded(now clock.Millis, entries []platform.Entry) []Effect {
	s.busy, s.loaded = false, true
	s.version, s.head = 0, head{}
	s.known = map[Key]Claim{}
	var deletes []Effect
	for _, e := range entries {
		var h head
		if err := cbor.Unmarshal(e.Value, &h); err != nil {
			continue // not ours; the head's version still fences
		}
		if e.Key == s.headKey() {
			s.version, s.head = e.Version, h
		} else if !slices.ContainsFunc(h.Claims, func(c Claim) bool { return c.Ends > now }) {
			deletes = append(deletes, Delete{Key: e.Key, Version: e.Version})
		}
		for _, c := range h.Claims {
			s.learn(now, c)
		}
	}
	for _, c := range s.head.Claims {
		s.learn(now, c) // the head is newer than any segment
	}
	return append(deletes, s.step(now)...)
}

func (s *Shard) learn(now clock.Millis, c Claim) {
	if c.Ends > now {
		s.known[c.Key] = c
	}
}

// Written says that the write took effect and the head has this version.
func (s *Shard) Written(now clock.Millis, version int64) []Effect {
	s.busy, s.version, s.head = false, version, s.attempt
	for _, a := range s.writing {
		s.known[a.claim.Key] = a.claim
		s.asks = append(s.asks, a)
	}
	s.writing = nil
	return s.step(now)
}

// Failed says that a Load or Write failed. After a conflict or an unknown
// outcome the shard is read again: what stands there settles every claim.
func (s *Shard) Failed(now clock.Millis) []Effect {
	s.busy, s.loaded = false, false
	s.asks = append(s.asks, s.writing...)
	s.writing = nil
	s.nextWrite = now.Add(s.interval)
	return s.step(now)
}

// Tick lets time pass.
func (s *Shard) Tick(now clock.Millis) []Effect { return s.step(now) }

// Idle says whether nothing waits and nothing is under way.
func (s *Shard) Idle() bool { return !s.busy && len(s.asks) == 0 }

func (s *Shard) step(now clock.Millis) []Effect {
	s.effects = nil
	s.settle(now)
	s.expire(now)
	if s.busy || len(s.asks) == 0 || now < s.nextWrite {
		return s.effects
	}
	if !s.loaded {
		s.busy = true
		s.effects = append(s.effects, Load{Prefix: s.prefix})
		return s.effects
	}
	s.write(now)
	return s.effects
}

// settle answers every ask whose key is known.
func (s *Shard) settle(now clock.Millis) {
	if !s.loaded {
		return
	}
	s.asks = slices.DeleteFunc(s.asks, func(a *asking) bool {
		c, ok := s.known[a.claim.Key]
		switch {
		case !ok || c.Ends <= now:
			return false
		case c.Request == a.claim.Request:
			s.reply(a, Answer{Verdict: Granted})
		case s.abandoned[c.Key] == c.Request:
			return false
		default:
			s.reply(a, Answer{Verdict: Taken, Claim: c})
		}
		return true
	})
}

func (s *Shard) reply(a *asking, answer Answer) {
	s.effects = append(s.effects, Reply{Ask: a.number, Answer: answer})
}

// expire answers asks that waited too long. That alone does not free the key:
// the entry may have claimed by itself meanwhile, and run.
func (s *Shard) expire(now clock.Millis) {
	late := func(a *asking) bool {
		if a.deadline > now {
			return false
		}
		s.reply(a, Answer{Verdict: Unavailable})
		return true
	}
	s.asks = slices.DeleteFunc(s.asks, late)
	s.writing = slices.DeleteFunc(s.writing, late)
}

// write puts all waiting claims, one for each key, into one swap of the head.
func (s *Shard) write(now clock.Millis) {
	fresh := slices.Clone(s.head.Claims)
	w := Write{Key: s.headKey(), Version: s.version}
	segment := s.head.Segment
	if len(fresh) >= headLimit {
		w.Segment = fmt.Sprintf("%sseg-%08d-%d", s.prefix, segment, s.version)
		w.Put = encode(head{Segment: segment, Claims: fresh})
		fresh = nil
		segment++
	}
	taken := map[Key]bool{}
	s.asks = slices.DeleteFunc(s.asks, func(a *asking) bool {
		if taken[a.claim.Key] {
			return false // settled when the first one is written
		}
		taken[a.claim.Key] = true
		s.writing = append(s.writing, a)
		fresh = append(fresh, a.claim)
		return true
	})
	s.attempt = head{Segment: segment, Claims: fresh}
	w.Value = encode(s.attempt)
	s.busy = true
	s.nextWrite = now.Add(s.interval)
	s.effects = append(s.effects, w)
}

func encode(h head) []byte {
	data, _ := cbor.Marshal(h) // plain fields only, so it cannot fail
	return data
}
