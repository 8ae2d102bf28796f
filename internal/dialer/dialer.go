// Package dialer opens connections to endpoints: of the instance's own or, where these fail,
// through a peer. A failure of the instance's own network is thus not taken for a failure of
// the endpoint.
package dialer

import (
	"context"
	"errors"
	"iter"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/reachability"
	"github.com/trailshed/trailshed/internal/response"
	"github.com/trailshed/trailshed/internal/tunnel"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("dialer")

// headStart is how long a connection of the instance's own has to come up before a peer is asked
// as well. A round trip between zones takes a few ms; connecting through a peer must still end
// before the own attempt gives up, so that an endpoint that is down is left no later.
const headStart = 25 * time.Millisecond

const (
	// overloadedTimeout is how long a request waits for a connection while this instance is overloaded: packets
	// wait for its link and goroutines for its processor.
	overloadedTimeout = 400 * time.Millisecond
	// maxTurn is the longest time in which all goroutines that are runnable have run once. An instance that
	// takes longer is late.
	maxTurn = 20 * time.Millisecond
)

// Options configure a Dialer.
type Options struct {
	Pool    *uplink.Pool
	Tunnels *tunnel.Tunnels
	// ServiceOf returns the service of an endpoint, or "" if the endpoint is not known.
	ServiceOf func(endpoint string) string
	// Endpoints yields the endpoints of a service that take requests.
	Endpoints func(service string) iter.Seq[tunnel.Destination]
	// Absolve is called for each endpoint that failed only because the own links to it were
	// lost.
	Absolve func(endpoint string)
	// OnSilence is called for each endpoint that still does not answer when it is tried again after a connection
	// to it did not come up in time, and OnConnection for each own connection that came up in time. Both may be nil.
	OnSilence, OnConnection func(endpoint string)
	// OnLost and OnRegained are called when the own links to a service are lost, and when they
	// are back.
	OnLost, OnRegained func(reachability.Loss)
	// Overloaded reports whether this instance gets more work than it can do. It is then late itself, so that
	// nothing is concluded from connections that take long. If it is nil, the instance never is.
	Overloaded func() bool
	Scope      tally.Scope
	Now        func() clock.Millis
}

// Dialer opens connections to endpoints. It is safe for concurrent use.
type Dialer struct {
	Options
	reach    *reachability.Table
	sound    soundness
	failures failures
	holds    holds
	silences silences
	opinions sync.WaitGroup // peers' attempts that no request waits for
}

// New returns a Dialer. Tunnels must be set before its first use.
func New(o Options) *Dialer {
	if o.Overloaded == nil {
		o.Overloaded = func() bool { return false }
	}
	if o.OnSilence == nil {
		o.OnSilence = func(string) {}
	}
	if o.OnConnection == nil {
		o.OnConnection = func(string) {}
	}
	d := &Dialer{Options: o, reach: reachability.New(o.Now), sound: soundness{last: map[string][2]connection{}}, failures: failures{last: map[string]map[string]clock.Millis{}}, holds: newHolds(), silences: silences{endpoints: map[string]*silence{}}}
	d.reach.OnLost = func(l reachability.Loss) {
		d.OnLost(l)
		for e := range d.Endpoints(l.Service) {
			d.Absolve(e.EndpointID)
		}
	}
	d.reach.OnRegained = o.OnRegained
	return d
}

// Connect opens a connection for a message. An error with uplink.ErrOwnLinks says nothing about
// the endpoint.
func (d *Dialer) Connect(ctx context.Context, m uplink.Message) (uplink.Path, error) {
	to := tunnel.Destination{Address: m.Address, EndpointID: m.EndpointID, Request: m.Request, MaxIdle: m.MaxIdle, Service: d.ServiceOf(m.EndpointID)}
	if m.Again {
		to.MaxIdle = 0 // a peer does not know which requests its connections have carried
	}
	if d.Bypassed(m.EndpointID) {
		return d.throughPeer(ctx, to)
	}
	return d.ownOrPeer(ctx, to)
}

// throughPeer connects to an endpoint to which the own links are lost.
func (d *Dialer) throughPeer(ctx context.Context, to tunnel.Destination) (uplink.Path, error) {
	c, err := d.Tunnels.Dial(ctx, to)
	if err == nil {
		return path(c), nil
	}
	if errors.Is(err, tunnel.ErrNoPeer) {
		err = errors.Join(uplink.ErrOwnLinks, err)
	}
	return uplink.Path{}, Error.Wrap(err)
}

// path returns the path over a peer's connection.
func path(c *tunnel.Conn) uplink.Path { return uplink.Path{Conn: c, Peer: c.Peer(), Finish: c.Finish} }

// dialOwn opens an own connection and records that the endpoint was reached.
func (d *Dialer) dialOwn(ctx context.Context, to tunnel.Destination) (net.Conn, error) {
	start := d.Now()
	c, err := d.Pool.DialOwn(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	d.sound.record(d.Now(), to.Service, to.EndpointID)
	d.failures.reset(to.Service)
	d.reach.RecordConnection(to.Service, to.EndpointID)
	if d.Now().Sub(start) < uplink.DialTimeout { // a later one would not have served a request
		d.silences.forget(to.EndpointID)
		d.OnConnection(to.EndpointID)
	}
	return c, nil
}

// Lend returns an own connection for an exchange of a peer.
func (d *Dialer) Lend(ctx context.Context, to tunnel.Destination) (*uplink.Lent, error) {
	l, err := d.Pool.Lend(ctx, to.Address, to.EndpointID, to.MaxIdle)
	if err == nil && l.Fresh { // an older one does not show that new ones come up
		d.sound.record(d.Now(), to.Service, to.EndpointID)
	}
	return l, err
}

// Client returns an HTTP client for calls of this instance's own to an endpoint, such as for its
// load. It keeps no connection open.
func (d *Dialer) Client(endpoint string, address netip.AddrPort) *http.Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		p, err := d.Connect(ctx, uplink.Message{Address: address, EndpointID: endpoint})
		return p.Conn, err
	}
	return &http.Client{Transport: response.Transport{Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: dial, MaxResponseHeaderBytes: uplink.MaxHeadBytes,
	}}}
}

// Bypassed reports whether an endpoint is to be reached through a peer.
func (d *Dialer) Bypassed(endpoint string) bool {
	return d.reach.Bypassed(d.ServiceOf(endpoint), endpoint)
}

// LinksLost reports whether the own links to any service are lost.
func (d *Dialer) LinksLost() bool { return d.reach.Lost() }

func (d *Dialer) recordBypass(to tunnel.Destination, failure error) {
	d.silences.forget(to.EndpointID)
	d.Absolve(to.EndpointID)
	d.reach.RecordBypass(to.Service, to.EndpointID, d.size(to.Service), failure)
}

// recordFailure records that a peer could not connect either.
func (d *Dialer) recordFailure(to tunnel.Destination, err error) {
	if errors.Is(err, tunnel.ErrNoPeer) {
		d.holds.release(to.EndpointID)
		return
	}
	d.holds.hold(d.Now(), to.EndpointID)
}
