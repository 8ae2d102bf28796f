// Package tunnel carries connections to endpoints through a peer, for instances that have lost
// their own links to endpoints. The instance that took a request keeps all decisions about it:
// attempts, deadlines, retry budget and permits. Its peer only opens a connection to an endpoint
// that it knows and passes bytes on, so a request cannot be passed on twice.
package tunnel

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("tunnel")

// Peer is an instance that may carry connections.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Options configure Tunnels.
type Options struct {
	Transport *peer.Transport
	// Candidates returns the instances that may carry connections, the preferred ones first.
	// It returns the same few instances each time, as connections are made to all of them.
	Candidates func() []Peer
	// Find returns the instance called name.
	Find func(name string) (Peer, bool)
	// Knows reports whether an endpoint has an address, according to this instance's view.
	Knows func(Destination) bool
	// Lend returns a connection of this instance's own to an endpoint.
	Lend func(ctx context.Context, d Destination) (*uplink.Lent, error)
	// Cut reports whether this instance has lost its own links to an endpoint.
	Cut func(Destination) bool
	// Sound reports whether this instance has connected to another endpoint of the same service
	// since start, or can now.
	Sound func(ctx context.Context, d Destination, start clock.Millis) bool
	// Overloaded reports whether this instance gets more work than it can do. It then carries nothing, and
	// its own attempts to connect would say nothing. If it is nil, the instance never is.
	Overloaded func() bool
	// Max is how many connections are carried for peers at a time.
	Max int
	// OnServed is called with a line about each request of a peer, once it is over.
	OnServed func(line eventlog.Line, whole bool)
	Scope    tally.Scope
	Now      func() clock.Millis
}

// Tunnels opens connections through peers, and carries connections for them. It is safe for
// concurrent use.
type Tunnels struct {
	Options
	carried  atomic.Int64 // connections carried for peers
	opened   atomic.Int64 // connections through peers
	leaving  atomic.Bool
	mu       sync.Mutex
	backoffs map[subject]clock.Millis // until when peers are not asked
	silences map[string]int           // consecutive times that a peer did not answer, by name
	working  map[string]string        // peer through which the last connection was opened, by service
	workedAt map[subject]clock.Millis // when a peer last opened a connection to a service
	served   map[*peer.Stream]bool    // streams of the connections that are carried
}

// New returns Tunnels that serve peers from now on.
func New(o Options) *Tunnels {
	if o.Overloaded == nil {
		o.Overloaded = func() bool { return false }
	}
	t := &Tunnels{Options: o, backoffs: map[subject]clock.Millis{}, silences: map[string]int{}, working: map[string]string{}, workedAt: map[subject]clock.Millis{}, served: map[*peer.Stream]bool{}}
	o.Transport.HandleStreams(t.serve)
	return t
}

// Open returns the number of connections through peers, and of those carried for peers.
func (t *Tunnels) Open() (through, carried int64) { return t.opened.Load(), t.carried.Load() }

// drainInterval is how often Drain looks for connections that are still carried.
const drainInterval = 50 * time.Millisecond

// Refuse makes this instance carry no further connections.
func (t *Tunnels) Refuse() { t.leaving.Store(true) }

// breakOffTime is how long Drain waits until peers have been told of the connections that it breaks off.
const breakOffTime = 30 * time.Millisecond

// Drain waits until the connections that this instance carries have ended, or ctx ends. Those that are left are broken
// off: their peers would not notice the end of this process before the connection to it times out.
func (t *Tunnels) Drain(ctx context.Context) {
	for t.carried.Load() > 0 && ctx.Err() == nil {
		ticker.Sleep(ctx, drainInterval)
	}
	t.mu.Lock()
	left := len(t.served)
	for s := range t.served {
		s.Abort()
	}
	t.mu.Unlock()
	if left > 0 {
		t.Scope.Counter("tunnels_broken_off").Inc(int64(left))
		time.Sleep(breakOffTime)
	}
}

// setServed records that the connection of a stream is carried, or that it is not any more.
func (t *Tunnels) setServed(s *peer.Stream, carried bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if carried {
		t.served[s] = true
	} else {
		delete(t.served, s)
	}
}

const (
	// backoffTime is how long a peer that could not help is not asked again.
	backoffTime = time.Second
	// backoffJitter spreads the end of backoffs, so that not all instances ask at once.
	backoffJitter = 500 * time.Millisecond
	// fullBackoffTime is how long one is not asked that carries as many connections as it
	// can: exchanges end all the time.
	fullBackoffTime = 100 * time.Millisecond
	// maxDoublings bounds the backoff of a silent peer, to 6 s.
	maxDoublings = 2
)

// subject is what a peer could not help with: one service, or any if service is empty.
type subject struct{ peer, service string }

// backOff records that a peer could not help, with its answer or 0 if it was silent. The time
// doubles for one that stays silent.
func (t *Tunnels) backOff(about subject, answer outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	length := backoffTime + rand.N(backoffJitter)
	switch answer {
	case 0:
		length <<= min(t.silences[about.peer], maxDoublings)
		t.silences[about.peer]++
	case full:
		length = fullBackoffTime
	default:
	}
	for other, until := range t.backoffs {
		if until <= now {
			delete(t.backoffs, other)
		}
	}
	for other, at := range t.workedAt {
		if now.Sub(at) >= backoffTime {
			delete(t.workedAt, other)
		}
	}
	t.backoffs[about] = now.Add(length)
	if t.working[about.service] == about.peer {
		delete(t.working, about.service)
	}
}

// available returns the peers that may be asked now about a service. The preferred ones come
// first, in random order, so that load spreads.
func (t *Tunnels) available(service string) []Peer {
	candidates := t.Candidates()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	list := make([]Peer, 0, len(candidates))
	for _, p := range candidates {
		if t.backoffs[subject{p.Name, service}] <= now && t.backoffs[subject{p.Name, ""}] <= now {
			list = append(list, p)
		}
	}
	if n := min(len(list), spread); n > 1 {
		rand.Shuffle(n, func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return list
}

// spread is the number of peers among which connections are spread while all can help.
const spread = 2

func (t *Tunnels) setWorking(service, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.working[service] = name
	t.workedAt[subject{name, service}] = t.Now()
	delete(t.silences, name)
}

// workedLately reports whether a peer opened a connection to a service within backoffTime. That
// one endpoint refuses it then says nothing of its links to the others.
func (t *Tunnels) workedLately(about subject) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.workedAt[about]
	return ok && t.Now().Sub(at) < backoffTime
}

// referral returns the name of the instance through which this one last reached a service, or
// "".
func (t *Tunnels) referral(service string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.working[service]
}
