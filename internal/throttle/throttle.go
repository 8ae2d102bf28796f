// Package throttle keeps all instances together within the request rates that endpoints
// accept. A limit that one instance reads from a response is announced to all. A permit
// for a request to a limited endpoint is requested from the instance that issues them
// (see package permit). While no endpoint has a limit, nothing is sent and no request
// waits.
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

// Topics of messages between instances.
const (
	topicPermit = "throttle.ask"
	topicLoan   = "throttle.lend"
	topicLimits = "throttle.told"
)

// roleIssuer is the role of issuing permits for a zone's endpoints. It is the planner's
// role, so that the planner sees which endpoints have permits left when it assigns
// engines.
const roleIssuer = "planner"

const (
	// tickInterval is how often loans are renewed: at least twice within the shortest
	// lease. The first instance of a zone of 75 receives 190 loans a second.
	tickInterval = 400 * time.Millisecond
	// permitTimeout is the timeout of a permit request. A round trip between zones
	// takes 3 ms; a slow instance takes tens of milliseconds.
	permitTimeout = 60 * time.Millisecond
	// lateAnswerTimeout is how long the answer to a permit request is accepted after all.
	// Later the permit might have expired at the issuer.
	lateAnswerTimeout = loanTimeout
	// loanTimeout is the timeout of a loan message. No request waits for it.
	loanTimeout = 200 * time.Millisecond
	// initialProbeDelay and maxProbeDelay bound the delay between probes of an
	// unresponsive instance, which doubles with each failure.
	initialProbeDelay = tickInterval
	maxProbeDelay     = 2 * time.Second
	// unresponsiveRetention is how long an unresponsive instance that is no longer
	// probed is remembered after its next probe was due.
	unresponsiveRetention = time.Minute
	// returnedLifetime is how long a returned permit may be used by another request of
	// this instance.
	returnedLifetime = 200 * time.Millisecond
	// minAnnounceInterval is the minimum time between two announcements of the same
	// endpoint, whose rate may change with each response. Loan messages carry the
	// differences in between.
	minAnnounceInterval = 500 * time.Millisecond
	// fullSyncInterval is how often two instances exchange all known limits, even if
	// their digests match. A limit expires when no response confirms it, and an
	// instance that sends no requests to the endpoint sees no response: only this
	// exchange refreshes the limit there.
	fullSyncInterval = 8 * time.Second
	// discoveryTime is how long a process must have had access to the store before it
	// can be expected to know all other instances.
	discoveryTime = 3 * time.Second
)

// Options configure a Throttle.
type Options struct {
	Name, Zone string
	Transport  *peer.Transport
	Roster     *roster.Roster
	Log        *eventlog.Log
	Scope      tally.Scope
	Now        func() clock.Millis
	// StoreUnreachable reports whether the store is unreachable from this instance.
	StoreUnreachable func() bool
	// ZoneOf returns the zone of an endpoint ID, or this instance's zone if it is not
	// known.
	ZoneOf func(endpoint string) string
}

// Throttle enforces the limits on one instance. It is safe for concurrent use.
type Throttle struct {
	Options
	active atomic.Bool // some limit is known; otherwise requests are not checked

	mu           sync.Mutex // never held while sending
	table        *ratelimit.Table
	issuer       *permit.Issuer
	denials      map[string]denial
	returned     map[string]returnedPermits
	unresponsive map[string]probeState         // by certificate fingerprint
	synced       bool                          // a peer has sent the limits it knows
	nextFullSync map[string]clock.Millis       // by instance name
	announcedAt  map[announcement]clock.Millis // when each was last sent
	storeTime    time.Duration                 // how long this process has had access to the store
	pendingLoans map[string]bool               // instance names with a loan message in flight
}

// denial maps a priority to the time before which no permit is available for it.
type denial map[int]clock.Millis

// returnedPermits are unused permits given back by requests of this instance.
type returnedPermits struct {
	count int
	until clock.Millis
}

// announcement is what is announced of an endpoint: its limit, or that the limit was
// lifted.
type announcement struct {
	endpoint string
	lifted   bool
}

// New returns a throttle that is not running yet.
func New(o Options) *Throttle {
	return &Throttle{
		Options: o, table: ratelimit.NewTable(), issuer: permit.New(rand.Float64),
		denials: map[string]denial{}, returned: map[string]returnedPermits{}, unresponsive: map[string]probeState{},
		pendingLoans: map[string]bool{}, nextFullSync: map[string]clock.Millis{}, announcedAt: map[announcement]clock.Millis{},
	}
}

// loan lends shares. The reply is a limitsMessage, empty if both sides know the same
// limits.
type loan struct {
	permit.Loan
	Known  []ratelimit.Statement `cbor:"3,keyasint,omitempty"`
	Digest uint64                `cbor:"4,keyasint"` // of the limits that the lender knows
}

// limitsMessage holds the limits that an instance knows.
type limitsMessage struct {
	Known   []ratelimit.Statement `cbor:"1,keyasint,omitempty"`
	Forward bool                  `cbor:"2,keyasint,omitempty"` // to the receiver's zone
	Differs bool                  `cbor:"3,keyasint,omitempty"` // the lender's digest did not match
}

// Register adds the handlers for messages from other instances.
func (t *Throttle) Register(r *message.Router) {
	peer.HandleCall(r, t.Transport, topicPermit, func(_ context.Context, _ peer.Sender, req permit.Request) permit.Decision {
		return t.issue(req)
	})
	peer.HandleCall(r, t.Transport, topicLoan, func(_ context.Context, from peer.Sender, l loan) limitsMessage {
		t.merge(l.Known, true)
		t.mu.Lock()
		defer t.mu.Unlock()
		now := t.Now()
		t.issuer.Borrow(now, from.Name, l.Loan)
		differs := t.table.Digest() != l.Digest
		if !differs && len(l.Known) == 0 {
			return limitsMessage{}
		}
		return limitsMessage{Known: t.table.All(now), Differs: differs}
	})
	peer.Handle(r, t.Transport, topicLimits, func(_ peer.Sender, m limitsMessage) { t.merge(m.Known, m.Forward) })
}

// Run renews loans and removes expired state until ctx ends.
func (t *Throttle) Run(ctx context.Context) {
	ticker.Every(ctx, tickInterval, func() { t.tick(ctx) })
}

// ObserveLimit records that a response from an endpoint named a limit of rate requests a
// second.
func (t *Throttle) ObserveLimit(endpoint string, rate float64) {
	t.mu.Lock()
	_, zone, known := t.table.Limit(endpoint)
	t.mu.Unlock()
	if !known {
		zone = t.ZoneOf(endpoint)
	}
	t.mu.Lock()
	now := t.Now()
	changed := t.table.ObserveLimit(now, endpoint, zone, rate)
	notify := changed && t.mayAnnounce(now, announcement{endpoint, false})
	t.active.Store(true)
	t.mu.Unlock()
	if changed {
		t.announce(ratelimit.Statement{Endpoint: endpoint, Zone: zone, Rate: rate}, notify)
	}
}

// ObserveCold records that an endpoint is cold for the time left and limited to rate
// meanwhile. Each instance learns this from the endpoint's entry in the store, so it is
// not announced.
func (t *Throttle) ObserveCold(endpoint, zone string, rate float64, left time.Duration) {
	t.mu.Lock()
	changed := t.table.ObserveCold(t.Now(), endpoint, zone, rate, left)
	t.active.Store(true)
	t.mu.Unlock()
	if changed {
		t.Scope.Counter("endpoints_cold").Inc(1)
		t.Log.Write(eventlog.Line{
			Event: eventlog.EndpointLimited, Outcome: "cold", Endpoint: endpoint, Zone: zone, Wait: left,
			Detail: fmt.Sprintf("%g requests a second", rate),
		})
	}
}

// mayAnnounce reports whether an announcement may be sent again, and if so records that
// it is. The caller holds the lock.
func (t *Throttle) mayAnnounce(now clock.Millis, a announcement) bool {
	if at, announced := t.announcedAt[a]; announced && now.Sub(at) < minAnnounceInterval {
		return false
	}
	t.announcedAt[a] = now
	return true
}

// ObserveNoLimit records that an endpoint answered a request successfully without naming
// a limit. The request was sent at the time sent.
func (t *Throttle) ObserveNoLimit(endpoint string, sent clock.Millis) {
	if !t.active.Load() {
		return
	}
	t.mu.Lock()
	now := t.Now()
	changed := t.table.ObserveNoLimit(now, endpoint, sent)
	notify := changed && t.mayAnnounce(now, announcement{endpoint, true})
	t.mu.Unlock()
	if changed {
		t.announce(ratelimit.Statement{Endpoint: endpoint, Lifted: true}, notify)
	}
}

// merge merges the limits that a peer knows. If forward is set, changes are sent on to
// this instance's zone.
func (t *Throttle) merge(list []ratelimit.Statement, forward bool) {
	if len(list) == 0 {
		return
	}
	t.mu.Lock()
	changes := t.table.Merge(t.Now(), list)
	t.active.Store(!t.table.Empty())
	t.mu.Unlock()
	t.applyChanges(changes)
	if forward && len(changes) > 0 {
		t.sendLimits(t.zonePeers(), limitsMessage{Known: changes})
	}
}

// announce applies what a response said and, if notify is set, sends it to this zone's
// instances and to the forwarders of the other zones.
func (t *Throttle) announce(s ratelimit.Statement, notify bool) {
	changes := []ratelimit.Statement{s}
	t.applyChanges(changes)
	if !notify {
		return
	}
	t.sendLimits(t.zonePeers(), limitsMessage{Known: changes})
	t.sendLimits(t.remoteForwarders(), limitsMessage{Known: changes, Forward: true})
}

// applyChanges logs each limit that is new, changed or lifted. Denials under the
// previous limit no longer hold.
func (t *Throttle) applyChanges(changes []ratelimit.Statement) {
	t.mu.Lock()
	for _, s := range changes {
		delete(t.denials, s.Endpoint)
	}
	size := t.table.Size()
	t.mu.Unlock()
	for _, s := range changes {
		t.Log.Write(limitLine(s))
	}
	t.Scope.Gauge("endpoints_limited").Update(float64(size))
}
