// Package ledger records the claims of requests that must not run twice. It sends an
// entry's claims to the owner of their shard, and writes the claims of the shards owned
// here to the platform's store in batches.
package ledger

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/claim"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/platform"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	topicClaim   = "claim.ask"
	topicAbandon = "claim.abandon"
	busyInterval = 10 * time.Millisecond // while any claim waits
	idleInterval = time.Minute
	pageSize     = 64
)

// claimRequest sends a claim to the owner of its shard.
type claimRequest struct {
	Claim claim.Claim   `cbor:"1,keyasint"`
	Wait  time.Duration `cbor:"2,keyasint"`
}

// abandonRequest withdraws the claim of a request that will never run.
type abandonRequest struct {
	Key     claim.Key `cbor:"1,keyasint"`
	Request string    `cbor:"2,keyasint"`
}

// Options are the settings and dependencies of a ledger.
type Options struct {
	Shards   int
	Interval time.Duration
	Now      func() clock.Millis
	// Owner returns the process that batches a shard.
	Owner func(shard string) (netip.AddrPort, bool)
}

// Ledger handles claims on one process. Lock order: Ledger, then shard.
type Ledger struct {
	options   Options
	store     *platform.Store
	transport *peer.Transport
	scope     tally.Scope
	ticker    *ticker.Ticker

	mu     sync.Mutex
	shards map[int]*localShard
}

// localShard is a shard with the callers that wait here for its answers.
type localShard struct {
	mu      sync.Mutex
	shard   *claim.Shard
	lastID  int64
	waiters map[int64]chan claim.Result
}

// New returns a ledger without shards.
func New(o Options, store *platform.Store, t *peer.Transport, scope tally.Scope) *Ledger {
	return &Ledger{options: o, store: store, transport: t, scope: scope, ticker: ticker.New(busyInterval, idleInterval), shards: map[int]*localShard{}}
}

// Register adds the handlers for claims from other processes.
func (l *Ledger) Register(r *message.Router) {
	peer.HandleCall(r, l.transport, topicClaim, func(ctx context.Context, _ peer.Sender, req claimRequest) claim.Result {
		ctx, cancel := context.WithTimeout(ctx, req.Wait)
		defer cancel()
		return l.claimLocal(ctx, req.Claim, req.Wait)
	})
	peer.Handle(r, l.transport, topicAbandon, func(_ peer.Sender, a abandonRequest) { l.abandonLocal(a) })
}

// Run advances the shards until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	l.ticker.Run(ctx, func() (busy bool) {
		for _, s := range l.localShards() {
			l.apply(s, func(now clock.Millis) []claim.Effect {
				if s.shard.Idle() {
					return nil
				}
				busy = true
				return s.shard.Tick(now)
			})
		}
		return busy
	})
}

func (l *Ledger) localShards() []*localShard {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*localShard, 0, len(l.shards))
	for _, s := range l.shards {
		all = append(all, s)
	}
	return all
}

// Claim sends a claim to the shard's owner, and falls back to this process. It returns
// Unavailable if neither answers in time.
func (l *Ledger) Claim(ctx context.Context, c claim.Claim, wait time.Duration) claim.Result {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	owner, ok := l.owner(c.Key)
	if !ok || owner == l.transport.Address() {
		return l.abandonIfUnavailable(c, l.claimLocal(ctx, c, wait))
	}
	ownerCtx, cancelOwner := context.WithTimeout(ctx, wait/2)
	defer cancelOwner()
	answer, err := peer.Call[claimRequest, claim.Result](ownerCtx, l.transport, owner, topicClaim, claimRequest{Claim: c, Wait: wait / 2})
	if err == nil {
		return l.abandonIfUnavailable(c, answer)
	}
	// The owner is gone or paused. Any process may write claims, because the store
	// checks the version of the shard's head. If the owner has written this claim
	// already, it is read back.
	l.scope.Counter("claim_owner_silent").Inc(1)
	return l.abandonIfUnavailable(c, l.claimLocal(ctx, c, wait/2))
}

// abandonIfUnavailable frees the key of a request that its entry now refuses.
func (l *Ledger) abandonIfUnavailable(c claim.Claim, a claim.Result) claim.Result {
	if a.Decision == claim.Unavailable {
		l.Abandon(c)
	}
	return a
}

// Abandon notifies the owner that a claimed request will never run.
func (l *Ledger) Abandon(c claim.Claim) {
	a := abandonRequest{Key: c.Key, Request: c.Request}
	owner, ok := l.owner(c.Key)
	if !ok || owner == l.transport.Address() {
		l.abandonLocal(a)
		return
	}
	_ = peer.Send(l.transport, owner, topicAbandon, a) // if it is lost, the key stays claimed
}

func (l *Ledger) owner(k claim.Key) (netip.AddrPort, bool) {
	return l.options.Owner("claims/" + strconv.Itoa(k.Shard(l.options.Shards)))
}

func (l *Ledger) abandonLocal(a abandonRequest) {
	s := l.shard(a.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shard.Abandon(a.Key, a.Request)
}

func (l *Ledger) claimLocal(ctx context.Context, c claim.Claim, wait time.Duration) claim.Result {
	s := l.shard(c.Key)
	reply := make(chan claim.Result, 1)
	l.apply(s, func(now clock.Millis) []claim.Effect {
		s.lastID++
		s.waiters[s.lastID] = reply
		return s.shard.Submit(now, s.lastID, c, now.Add(wait))
	})
	l.ticker.Wake()
	select {
	case a := <-reply:
		l.scope.Tagged(map[string]string{"verdict": string(a.Decision)}).Counter("claims").Inc(1)
		return a
	case <-ctx.Done():
		return claim.Result{Decision: claim.Unavailable}
	}
}

func (l *Ledger) shard(k claim.Key) *localShard {
	number := k.Shard(l.options.Shards)
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shards[number]
	if !ok {
		s = &localShard{shard: claim.NewShard(number, l.options.Interval), waiters: map[int64]chan claim.Result{}}
		l.shards[number] = s
	}
	return s
}

// apply runs a step of a shard under its lock and carries out the effects after
// unlocking it.
func (l *Ledger) apply(s *localShard, step func(clock.Millis) []claim.Effect) {
	s.mu.Lock()
	effects := step(l.options.Now())
	for _, e := range effects {
		if reply, ok := e.(claim.Reply); ok {
			l.reply(s, reply)
		}
	}
	s.mu.Unlock()
	for _, e := range effects {
		switch e := e.(type) {
		case claim.Load:
			go l.load(s, e)
		case claim.Write:
			go l.write(s, e)
		case claim.Delete:
			go func() { _ = l.store.Delete(context.Background(), e.Key, e.Version) }()
		case claim.Unreadable:
			l.scope.Tagged(map[string]string{"key": e.Key}).Counter("claims_unreadable").Inc(1)
		}
	}
}

// reply delivers the only answer to a waiting caller. The caller of reply holds the
// shard's lock.
func (l *Ledger) reply(s *localShard, e claim.Reply) {
	waiter, ok := s.waiters[e.Number]
	if !ok {
		l.scope.Counter("invariants_violated").Inc(1)
		return
	}
	delete(s.waiters, e.Number)
	waiter <- e.Result
}

func (l *Ledger) load(s *localShard, e claim.Load) {
	var all []platform.Entry
	after := ""
	for {
		page, err := l.store.List(context.Background(), e.Prefix, after, pageSize)
		if err != nil {
			l.apply(s, s.shard.Failed)
			return
		}
		all = append(all, page...)
		if len(page) < pageSize {
			break
		}
		after = page[len(page)-1].Key
	}
	l.apply(s, func(now clock.Millis) []claim.Effect { return s.shard.Loaded(now, all) })
}

func (l *Ledger) write(s *localShard, e claim.Write) {
	l.scope.Counter("claim_writes").Inc(1)
	if e.Segment != "" {
		_, err := l.store.Put(context.Background(), e.Segment, e.SegmentValue, 0)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			l.apply(s, s.shard.Failed)
			return
		}
	}
	version, err := l.store.Put(context.Background(), e.Key, e.Value, e.Version)
	if err != nil {
		l.apply(s, s.shard.Failed)
		return
	}
	l.apply(s, func(now clock.Millis) []claim.Effect { return s.shard.Written(now, version) })
}
