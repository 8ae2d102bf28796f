// Package claim makes requests that must not be repeated run at most once. A
// claim on (workspace, idempotency key) must be stored on the platform before
// the request is sent. The claims of a shard are batched: each batch is one
// compare-and-swap on the shard's head key. The version of the head fences
// former owners of the shard, so owning a shard needs no lease: two concurrent
// owners cause conflicts, but never a second claim.
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

// maxHeadClaims is the number of claims at which the head is moved to a
// segment of its own, so that each write stays small.
const maxHeadClaims = 512

// Key identifies what is claimed, without revealing the idempotency key.
type Key [16]byte

// NewKey returns the Key of an idempotency key of a workspace.
func NewKey(workspace, key string) Key {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return Key(sum[:16])
}

// Shard returns the number of the key's shard, given the number of shards.
func (k Key) Shard(shards int) int { return int(xxhash.Sum64(k[:]) % uint64(shards)) }

// Claim gives one request the right to run.
type Claim struct {
	Key           Key            `cbor:"1,keyasint"`
	Request       string         `cbor:"2,keyasint"`
	Holder        netip.AddrPort `cbor:"3,keyasint"`           // entry that runs it
	ExpiresAt     clock.Millis   `cbor:"4,keyasint"`           // when the claim expires
	RequestDigest uint64         `cbor:"5,keyasint"`           // digest of the request's body, to detect one key used for two requests
	TargetDigest  uint64         `cbor:"6,keyasint,omitempty"` // digest of what the request is sent to; 0 in claims of earlier builds
}

// SameRequest reports whether two claims of a key are for one request, which its caller repeats.
func (c Claim) SameRequest(o Claim) bool {
	known := c.TargetDigest != 0 && o.TargetDigest != 0
	return c.RequestDigest == o.RequestDigest && (!known || c.TargetDigest == o.TargetDigest)
}

// Decision is the decision on a claim.
type Decision string

// The decisions on a claim.
const (
	Granted     Decision = "granted"
	Taken       Decision = "taken"       // another request holds the key
	Unavailable Decision = "unavailable" // the platform did not answer in time
)

// Result is the result of a claim, as sent to the entry.
type Result struct {
	Decision Decision `cbor:"1,keyasint"`
	Claim    Claim    `cbor:"2,keyasint"` // with Taken: the claim that holds the key
}

// Effect is an operation that the owner must carry out. The outcome of a Load
// or Write is reported through Loaded, Written or Failed; at most one of them
// is in progress at a time.
type Effect interface{ effect() }

// Load reads all keys under Prefix.
type Load struct{ Prefix string }

// Write replaces the head by compare-and-swap. If Segment is set, that key is
// created first. A segment that already exists is left as it is: its name
// contains the head's version, so its content is the same.
type Write struct {
	Key          string
	Value        []byte
	Version      int64
	Segment      string
	SegmentValue []byte // value of the segment
}

// Delete removes a segment whose claims have all expired.
type Delete struct {
	Key     string
	Version int64
}

// Unreadable reports an entry that can't be read as claims. Until it can, or is removed, the shard grants nothing: it may
// hold a claim on any key.
type Unreadable struct{ Key string }

// Reply is the answer to the claim that Shard.Submit received with this number.
type Reply struct {
	Number int64
	Result Result
}

func (Load) effect()       {}
func (Write) effect()      {}
func (Delete) effect()     {}
func (Unreadable) effect() {}
func (Reply) effect()      {}

// head is the value of the shard's head key.
type head struct {
	Segment int64   `cbor:"1,keyasint"`
	Claims  []Claim `cbor:"2,keyasint"`
}

// pendingClaim is a claim that waits for its reply.
type pendingClaim struct {
	number   int64
	claim    Claim
	deadline clock.Millis
}

// Shard is the state of one shard's owner. It is not safe for concurrent use.
type Shard struct {
	prefix    string
	interval  time.Duration
	loaded    bool
	busy      bool // a Load or Write is in progress
	nextWrite clock.Millis
	version   int64
	head      head
	known     map[Key]Claim
	abandoned map[Key]string // request that holds the key but certainly never ran
	waiting   []*pendingClaim
	writing   []*pendingClaim
	nextHead  head // the value of the Write in progress
	effects   []Effect
}

// NewShard returns the owner's state of a shard; interval is the minimum time
// between two writes.
func NewShard(number int, interval time.Duration) *Shard {
	return &Shard{
		prefix: Prefix(number), interval: interval,
		known: map[Key]Claim{}, abandoned: map[Key]string{},
	}
}

// Prefix returns the prefix of a shard's keys on the platform.
func Prefix(number int) string { return fmt.Sprintf("claims/%04d/", number) }

func (s *Shard) headKey() string { return s.prefix + "head" }

// Submit adds a claim. The Reply to it carries number and is due by deadline.
func (s *Shard) Submit(now clock.Millis, number int64, c Claim, deadline clock.Millis) []Effect {
	s.waiting = append(s.waiting, &pendingClaim{number: number, claim: c, deadline: deadline})
	return s.step(now)
}

// Abandon records that a request has not run and never will, so that its key
// can be claimed again. Only the entry that holds the request knows this and
// reports it.
func (s *Shard) Abandon(key Key, request string) {
	if len(s.abandoned) < maxHeadClaims*8 {
		s.abandoned[key] = request
	}
}

// Loaded processes the result of a Load: all entries under the shard's prefix.
func (s *Shard) Loaded(now clock.Millis, entries []platform.Entry) []Effect {
	s.busy, s.loaded = false, true
	s.version, s.head = 0, head{}
	s.known = map[Key]Claim{}
	var effects []Effect
	for _, e := range entries {
		var h head
		if err := cbor.Unmarshal(e.Value, &h); err != nil {
			s.loaded, s.nextWrite = false, now.Add(s.interval)
			effects = append(effects, Unreadable{Key: e.Key})
			continue
		}
		if e.Key == s.headKey() {
			s.version, s.head = e.Version, h
		} else if !slices.ContainsFunc(h.Claims, func(c Claim) bool { return c.ExpiresAt > now }) {
			effects = append(effects, Delete{Key: e.Key, Version: e.Version})
		}
		for _, c := range h.Claims {
			s.addKnown(now, c)
		}
	}
	for _, c := range s.head.Claims {
		s.addKnown(now, c) // the head is newer than any segment
	}
	return append(effects, s.step(now)...)
}

func (s *Shard) addKnown(now clock.Millis, c Claim) {
	if c.ExpiresAt > now {
		s.known[c.Key] = c
	}
}

// Written reports that the write took effect and gave the head this version.
func (s *Shard) Written(now clock.Millis, version int64) []Effect {
	s.busy, s.version, s.head = false, version, s.nextHead
	for _, p := range s.writing {
		s.known[p.claim.Key] = p.claim
		s.waiting = append(s.waiting, p)
	}
	s.writing = nil
	return s.step(now)
}

// Failed reports that a Load or Write failed. After a conflict or an unknown
// outcome the shard is read again: the stored claims decide.
func (s *Shard) Failed(now clock.Millis) []Effect {
	s.busy, s.loaded = false, false
	s.waiting = append(s.waiting, s.writing...)
	s.writing = nil
	s.nextWrite = now.Add(s.interval)
	return s.step(now)
}

// Tick replies to claims past their deadline and starts the next Load or Write
// when it is due.
func (s *Shard) Tick(now clock.Millis) []Effect { return s.step(now) }

// Idle reports whether no claim waits and no Load or Write is in progress.
func (s *Shard) Idle() bool { return !s.busy && len(s.waiting) == 0 }

func (s *Shard) step(now clock.Millis) []Effect {
	s.effects = nil
	s.answerKnown(now)
	s.expire(now)
	if s.busy || len(s.waiting) == 0 || now < s.nextWrite {
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

// answerKnown replies to every waiting claim whose key is already claimed,
// unless the request that holds it was abandoned.
func (s *Shard) answerKnown(now clock.Millis) {
	if !s.loaded {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(p *pendingClaim) bool {
		c, ok := s.known[p.claim.Key]
		switch {
		case !ok || c.ExpiresAt <= now:
			return false
		case c.Request == p.claim.Request:
			s.reply(p, Result{Decision: Granted})
		case s.abandoned[c.Key] == c.Request:
			return false
		default:
			s.reply(p, Result{Decision: Taken, Claim: c})
		}
		return true
	})
}

func (s *Shard) reply(p *pendingClaim, result Result) {
	s.effects = append(s.effects, Reply{Number: p.number, Result: result})
}

// expire replies Unavailable to claims past their deadline. That alone does not
// free the key: the entry may have claimed it through another owner meanwhile,
// and run the request.
func (s *Shard) expire(now clock.Millis) {
	late := func(p *pendingClaim) bool {
		if p.deadline > now {
			return false
		}
		s.reply(p, Result{Decision: Unavailable})
		return true
	}
	s.waiting = slices.DeleteFunc(s.waiting, late)
	s.writing = slices.DeleteFunc(s.writing, late)
}

// write adds the waiting claims, one for each key, to the head in one
// compare-and-swap.
func (s *Shard) write(now clock.Millis) {
	claims := slices.Clone(s.head.Claims)
	w := Write{Key: s.headKey(), Version: s.version}
	segment := s.head.Segment
	if len(claims) >= maxHeadClaims {
		w.Segment = fmt.Sprintf("%sseg-%08d-%d", s.prefix, segment, s.version)
		w.SegmentValue = encode(head{Segment: segment, Claims: claims})
		claims = nil
		segment++
	}
	taken := map[Key]bool{}
	s.waiting = slices.DeleteFunc(s.waiting, func(p *pendingClaim) bool {
		if taken[p.claim.Key] {
			return false // decided once the first one is written
		}
		taken[p.claim.Key] = true
		s.writing = append(s.writing, p)
		claims = append(claims, p.claim)
		return true
	})
	s.nextHead = head{Segment: segment, Claims: claims}
	w.Value = encode(s.nextHead)
	s.busy = true
	s.nextWrite = now.Add(s.interval)
	s.effects = append(s.effects, w)
}

func encode(h head) []byte {
	data, _ := cbor.Marshal(h) // cannot fail: all fields have encodable types
	return data
}
