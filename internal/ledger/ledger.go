// Package ledger runs the claims of requests that may not be repeated: it sends
// an entry's claims to the owner of their shard, and batches the claims of the
// shards owned here into the platform's service.
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
	topicAsk     = "claim.ask"
	topicAbandon = "claim.abandon"
	fastTick     = 10 * time.Millisecond // while any claim waits
	slowTick     = time.Minute
	listPage     = 64
)

// question is a claim on its way to its shard's owner.
type question struct {
	Claim claim.Claim   `cbor:"1,keyasint"`
	Wait  time.Duration `cbor:"2,keyasint"`
}

// abandonment takes back a claim whose request will never run.
type abandonment struct {
	Key     claim.Key `cbor:"1,keyasint"`
	Request string    `cbor:"2,keyasint"`
}

// Options are the settings and seams of a ledger.
type Options struct {
	Shards   int
	Interval time.Duration
	Now      func() clock.Millis
	// Owner names the process that batches a shard.
	Owner func(shard string) (netip.AddrPort, bool)
}

// Ledger is one process's part in the claims. Lock order: Ledger, then shard.
type Ledger struct {
	options   Options
	store     *platform.Store
	transport *peer.Transport
	scope     tally.Scope
	ticker    *ticker.Ticker

	mu     sync.Mutex
	shards map[int]*running
}

// running is a shard with the asks that wait here for its answers.
type running struct {
	mu      sync.Mutex
	shard   *claim.Shard
	next    int64
	waiters map[int64]chan claim.Answer
}

// New returns a ledger that owns no shard yet.
func New(o Options, store *platform.Store, t *peer.Transport, scope tally.Scope) *Ledger {
	return &Ledger{options: o, store: store, transport: t, scope: scope, ticker: ticker.New(fastTick, slowTick), shards: map[int]*running{}}
}

// Register adds the handlers of other processes' claims.
func (l *Ledger) Register(r *message.Router) {
	peer.Answer(r, l.transport, topicAsk, func(ctx context.Context, _ peer.Sender, q question) claim.Answer {
		ctx, cancel := context.WithTimeout(ctx, q.Wait)
		defer cancel()
		return l.claimHere(ctx, q.Claim, q.Wait)
	})
	peer.Handle(r, l.transport, topicAbandon, func(_ peer.Sender, a abandonment) { l.abandonHere(a) })
}

// Run lets the shards' time pass until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	l.ticker.Run(ctx, func() (busy bool) {
		for _, r := range l.running() {
			l.apply(r, func(now clock.Millis) []claim.Effect {
				if r.shard.Idle() {
					return nil
				}
				busy = true
				return r.shard.Tick(now)
			})
		}
		return busy
	})
}

func (l *Ledger) running() []*running {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*running, 0, len(l.shards))
	for _, r := range l.shards {
		all = append(all, r)
	}
	return all
}

// Claim asks the shard's owner, then this process itself; it answers Unavailable
// when neither does in time.
func (l *Ledger) Claim(ctx context.Context, c claim.Claim, wait time.Duration) claim.Answer {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	owner, ok := l.owner(c.Key)
	if !ok || owner == l.transport.Address() {
		return l.abandonUnlessClaimed(c, l.claimHere(ctx, c, wait))
	}
	asking, stop := context.WithTimeout(ctx, wait/2)
	defer stop()
	answer, err := peer.Ask[question, claim.Answer](asking, l.transport, owner, topicAsk, question{Claim: c, Wait: wait / 2})
	if err == nil {
		return l.abandonUnlessClaimed(c, answer)
	}
	// The owner is gone, or paused. Any process may claim, since the head's
	// version decides; should the owner have written this claim, it is read.
	l.scope.Counter("claim_owner_silent").Inc(1)
	return l.abandonUnlessClaimed(c, l.claimHere(ctx, c, wait/2))
}

// abandonUnlessClaimed frees the key of a request that its entry now refuses.
func (l *Ledger) abandonUnlessClaimed(c claim.Claim, a claim.Answer) claim.Answer {
	if a.Verdict == claim.Unavailable {
		l.Abandon(c)
	}
	return a
}

// Abandon tells the owner that a claimed request will never run.
func (l *Ledger) Abandon(c claim.Claim) {
	a := abandonment{Key: c.Key, Request: c.Request}
	owner, ok := l.owner(c.Key)
	if !ok || owner == l.transport.Address() {
		l.abandonHere(a)
		return
	}
	_ = peer.Send(l.transport, owner, topicAbandon, a) // lost: the key stays taken
}

func (l *Ledger) owner(k claim.Key) (netip.AddrPort, bool) {
	return l.options.Owner("claims/" + strconv.Itoa(k.Shard(l.options.Shards)))
}

func (l *Ledger) abandonHere(a abandonment) {
	r := l.shard(a.Key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shard.Abandon(a.Key, a.Request)
}

func (l *Ledger) claimHere(ctx context.Context, c claim.Claim, wait time.Duration) claim.Answer {
	r := l.shard(c.Key)
	reply := make(chan claim.Answer, 1)
	l.apply(r, func(now clock.Millis) []claim.Effect {
		r.next++
		r.waiters[r.next] = reply
		return r.shard.Ask(now, r.next, c, now.Add(wait))
	})
	l.ticker.Wake()
	select {
	case a := <-reply:
		l.scope.Tagged(map[string]string{"verdict": string(a.Verdict)}).Counter("claims").Inc(1)
		return a
	case <-ctx.Done():
		return claim.Answer{Verdict: claim.Unavailable}
	}
}

func (l *Ledger) shard(k claim.Key) *running {
	number := k.Shard(l.options.Shards)
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.shards[number]
	if !ok {
		r = &running{shard: claim.NewShard(number, l.options.Interval), waiters: map[int64]chan claim.Answer{}}
		l.shards[number] = r
	}
	return r
}

// apply runs one step of a shard under its lock and carries out the effects
// outside it.
func (l *Ledger) apply(r *running, step func(clock.Millis) []claim.Effect) {
	r.mu.Lock()
	effects := step(l.options.Now())
	for _, e := range effects {
		if reply, ok := e.(claim.Reply); ok {
			l.reply(r, reply)
		}
	}
	r.mu.Unlock()
	for _, e := range effects {
		switch e := e.(type) {
		case claim.Load:
			go l.load(r, e)
		case claim.Write:
			go l.write(r, e)
		case claim.Delete:
			go func() { _ = l.store.Delete(context.Background(), e.Key, e.Version) }()
		}
	}
}

// reply gives an ask its only answer; the caller holds the shard's lock.
func (l *Ledger) reply(r *running, e claim.Reply) {
	waiter, ok := r.waiters[e.Ask]
	if !ok {
		l.scope.Counter("invariants_violated").Inc(1)
		return
	}
	delete(r.waiters, e.Ask)
	waiter <- e.Answer
}

func (l *Ledger) load(r *running, e claim.Load) {
	var all []platform.Entry
	after := ""
	for {
		page, err := l.store.List(context.Background(), e.Prefix, after, listPage)
		if err != nil {
			l.apply(r, r.shard.Failed)
			return
		}
		all = append(all, page...)
		if len(page) < listPage {
			break
		}
		after = page[len(page)-1].Key
	}
	l.apply(r, func(now clock.Millis) []claim.Effect { return r.shard.Loaded(now, all) })
}

func (l *Ledger) write(r *running, e claim.Write) {
	l.scope.Counter("claim_writes").Inc(1)
	if e.Segment != "" {
		_, err := l.store.Put(context.Background(), e.Segment, e.Put, 0)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			l.apply(r, r.shard.Failed)
			return
		}
	}
	version, err := l.store.Put(context.Background(), e.Key, e.Value, e.Version)
	if err != nil {
		l.apply(r, r.shard.Failed)
		return
	}
	l.apply(r, func(now clock.Millis) []claim.Effect { return r.shard.Written(now, version) })
}
