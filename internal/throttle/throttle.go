// Package throttle keeps all instances together to how many requests a second endpoints
// take. What one instance hears in an answer is told to all; permits for requests to a
// limited endpoint are asked of whoever issues them (package permit). While no endpoint
// names a limit nothing is sent and nothing is waited for.
package throttle

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/permit"
	"github.com/trailshed/trailshed/internal/ratelimit"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// The topics between instances.
const (
	topicAsk  = "throttle.ask"
	topicLend = "throttle.lend"
	topicTold = "throttle.told"
)

// roleIssuer is the role of issuing permits for a zone's endpoints. It is the planner's,
// who then sees, as it gives out engines, which of them have permits left.
const roleIssuer = "planner"

const (
	// tickEvery is how often parts are lent anew: twice within the shortest loan's time.
	// The first of a zone of 75 gets 190 loans a second.
	tickEvery = 400 * time.Millisecond
	// askWait bounds a question. A round trip between zones takes 3 ms; a slowed
	// instance takes some tens.
	askWait = 60 * time.Millisecond
	// lendWait bounds the answer to a loan, for which no request waits.
	lendWait = 200 * time.Millisecond
	// probeFirst and probeMost are after how long an instance that did not answer is
	// asked whether it does again, at first and in the end.
	probeFirst = tickEvery
	probeMost  = 2 * time.Second
	// probeGivenUp is how long one is remembered that nobody needs to ask any more.
	probeGivenUp = time.Minute
	// spareFor is how long a permit that was given back may be used by another request
	// of this instance.
	spareFor = 200 * time.Millisecond
	// tellPause is the least time between two messages to all of one endpoint, whose rate
	// may change with each answer; loans tell what differs in between.
	tellPause = 500 * time.Millisecond
	// wholeEvery is how often an instance tells and is told all that is known, also if
	// both know the same: a limit that no answer names for long is forgotten, and who
	// sends nothing hears of no answer but so.
	wholeEvery = 8 * time.Second
	// youth is for how long a process must have had the store to know all other instances.
	youth = 3 * time.Second
)

// Options are what a Throttle works with.
type Options struct {
	Name, Zone string
	Transport  *peer.Transport
	Roster     *roster.Roster
	Log        *eventlog.Log
	Scope      tally.Scope
	Now        func() clock.Millis
	// StoreAway says whether the store does not answer this instance.
	StoreAway func() bool
	// ZoneOf is the zone of a life of an endpoint; the own one if that is not known.
	ZoneOf func(endpoint string) string
}

// Throttle is one instance's part. It is safe for concurrent use.
type Throttle struct {
	Options
	active atomic.Bool // something is known: only then requests are looked at

	mu      sync.Mutex // never held while sending
	table   *ratelimit.Table
	issuer  *permit.Issuer
	denials map[string]denial
	spares  map[string]spare
	silent  map[string]silence      // who did not answer, by certificate
	met     bool                    // a peer has told what it knows
	wholeAt map[string]clock.Millis // when the next loan to an instance tells all that is known
	toldAt  map[fact]clock.Millis   // when peers were last told of an endpoint
	stored  time.Duration           // for how long this process has had the store
	lending map[string]bool         // to whom a loan is on its way, by name
}

// denial is until when no permit of an endpoint is to be had, by priority.
type denial map[int]clock.Millis

// spare is permits that were given back here.
type spare struct {
	permits int
	until   clock.Millis
}

// silence is that of an instance which is asked nothing, and lent nothing, until it has
// answered a question that nobody waits for.
type silence struct {
	probeAt clock.Millis
	pause   time.Duration // to the next such question
}

// fact is what peers are told of an endpoint: its limit, or that this is over.
type fact struct {
	endpoint string
	over     bool
}

// New returns a throttle that does not run yet.
func New(o Options) *Throttle {
	return &Throttle{
		Options: o, table: ratelimit.NewTable(), issuer: permit.New(rand.Float64),
		denials: map[string]denial{}, spares: map[string]spare{}, silent: map[string]silence{},
		lending: map[string]bool{}, wholeAt: map[string]clock.Millis{}, toldAt: map[fact]clock.Millis{},
	}
}

// loan lends parts. The answer is told, which has nothing in it if both know the same.
type loan struct {
	permit.Loan
	Known  []ratelimit.Statement `cbor:"3,keyasint,omitempty"`
	Digest uint64                `cbor:"4,keyasint"` // of what the lender knows
}

// told is what an instance knows of limits.
type told struct {
	Known   []ratelimit.Statement `cbor:"1,keyasint,omitempty"`
	PassOn  bool                  `cbor:"2,keyasint,omitempty"` // to the receiver's zone
	Differs bool                  `cbor:"3,keyasint,omitempty"` // the lender knew something else
}

// Register adds the handlers of other instances' messages.
func (t *Throttle) Register(r *message.Router) {
	peer.Answer(r, t.Transport, topicAsk, func(_ context.Context, _ peer.Sender, a permit.Ask) permit.Verdict {
		return t.issue(a)
	})
	peer.Answer(r, t.Transport, topicLend, func(_ context.Context, from peer.Sender, l loan) told {
		t.take(l.Known, true)
		t.mu.Lock()
		defer t.mu.Unlock()
		now := t.Now()
		t.issuer.Borrow(now, from.Name, l.Loan)
		differs := t.table.Digest() != l.Digest
		if !differs && len(l.Known) == 0 {
			return told{}
		}
		return told{Known: t.table.All(now), Differs: differs}
	})
	peer.Handle(r, t.Transport, topicTold, func(_ peer.Sender, v told) { t.take(v.Known, v.PassOn) })
}

// Run lends parts and forgets what is over until ctx ends.
func (t *Throttle) Run(ctx context.Context) {
	ticker.Every(ctx, tickEvery, func() { t.tick(ctx) })
}

// Named takes that an answer of an endpoint names how many requests a second it takes.
func (t *Throttle) Named(endpoint string, rate float64) {
	t.mu.Lock()
	_, zone, known := t.table.Limit(endpoint)
	t.mu.Unlock()
	if !known {
		zone = t.ZoneOf(endpoint)
	}
	t.mu.Lock()
	now := t.Now()
	news := t.table.Named(now, endpoint, zone, rate)
	tells := news && t.mayTell(now, fact{endpoint, false})
	t.active.Store(true)
	t.mu.Unlock()
	if news {
		t.tellAll(ratelimit.Statement{Endpoint: endpoint, Zone: zone, Rate: rate}, tells)
	}
}

// Warming takes that an endpoint is cold for some time and takes no more than a rate
// meanwhile. All instances hear it with its entry, so nobody is told.
func (t *Throttle) Warming(endpoint, zone string, rate float64, left time.Duration) {
	t.mu.Lock()
	news := t.table.Warming(t.Now(), endpoint, zone, rate, left)
	t.active.Store(true)
	t.mu.Unlock()
	if news {
		t.Scope.Counter("endpoints_cold").Inc(1)
		t.Log.Write(eventlog.Line{
			Event: eventlog.EndpointLimited, Outcome: "cold", Endpoint: endpoint, Zone: zone, Wait: left,
			Detail: fmt.Sprintf("%g requests a second", rate),
		})
	}
}

// mayTell says whether peers may be told of an endpoint again, and notes that they are.
// The caller holds the lock.
func (t *Throttle) mayTell(now clock.Millis, f fact) bool {
	if at, told := t.toldAt[f]; told && now.Sub(at) < tellPause {
		return false
	}
	t.toldAt[f] = now
	return true
}

// Unnamed takes that an endpoint answered a request well and named no limit; sent is
// when the request was.
func (t *Throttle) Unnamed(endpoint string, sent clock.Millis) {
	if !t.active.Load() {
		return
	}
	t.mu.Lock()
	now := t.Now()
	news := t.table.Unnamed(now, endpoint, sent)
	tells := news && t.mayTell(now, fact{endpoint, true})
	t.mu.Unlock()
	if news {
		t.tellAll(ratelimit.Statement{Endpoint: endpoint, Over: true}, tells)
	}
}

// take merges what a peer knows; news goes on to the own zone if passOn is set.
func (t *Throttle) take(list []ratelimit.Statement, passOn bool) {
	if len(list) == 0 {
		return
	}
	t.mu.Lock()
	news := t.table.Merge(t.Now(), list)
	t.active.Store(!t.table.Empty())
	t.mu.Unlock()
	t.note(news)
	if passOn && len(news) > 0 {
		t.send(t.near(), told{Known: news})
	}
}

// tellAll notes what an answer said and, if tells is set, tells the own zone, and those of
// other zones who pass it on to theirs.
func (t *Throttle) tellAll(s ratelimit.Statement, tells bool) {
	news := []ratelimit.Statement{s}
	t.note(news)
	if !tells {
		return
	}
	t.send(t.near(), told{Known: news})
	t.send(t.far(), told{Known: news, PassOn: true})
}

// note writes a line for each limit that is new, another one, or over. What was denied
// under the one before may be asked for again.
func (t *Throttle) note(news []ratelimit.Statement) {
	t.mu.Lock()
	for _, s := range news {
		delete(t.denials, s.Endpoint)
	}
	size := t.table.Size()
	t.mu.Unlock()
	for _, s := range news {
		t.Log.Write(lineOf(s))
	}
	t.Scope.Gauge("endpoints_limited").Update(float64(size))
}
