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
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/reachability"
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
	// OnLost and OnRegained are called when the own links to a service are lost, and when they
	// are back.
	OnLost, OnRegained func(reachability.Loss)
	Scope              tally.Scope
	Now                func() clock.Millis
}

// Dialer opens connections to endpoints. It is safe for concurrent use.
type Dialer struct {
	Options
	reach    *reachability.Table
	sound    soundness
	failures failures
	holds    holds
}

// New returns a Dialer. Tunnels must be set before its first use.
func New(o Options) *Dialer {
	d := &Dialer{Options: o, reach: reachability.New(o.Now), sound: soundness{last: map[string][2]connection{}}, failures: failures{last: map[string]map[string]clock.Millis{}}, holds: newHolds()}
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

// ownOrPeer connects to an endpoint, through a peer if the own connection fails or takes long.
func (d *Dialer) ownOrPeer(ctx context.Context, to tunnel.Destination) (uplink.Path, error) {
	own := d.startOwn(ctx, to)
	timer := time.NewTimer(headStart)
	defer timer.Stop()
	select {
	case a := <-own:
		if a.err == nil {
			return uplink.Path{Conn: a.conn}, nil
		}
		return d.afterOwn(ctx, to, a.err)
	case <-timer.C:
		return d.race(ctx, to, own)
	case <-ctx.Done():
		go d.awaitOwn(to, own, nil)
		return uplink.Path{}, Error.Wrap(ctx.Err())
	}
}

// attempt is the result of an attempt to connect.
type attempt[C any] struct {
	conn C
	err  error
}

// startOwn begins an own connection. The attempt goes on if the request ends meanwhile, so that
// its failure is known for the next one.
func (d *Dialer) startOwn(ctx context.Context, to tunnel.Destination) <-chan attempt[net.Conn] {
	own := make(chan attempt[net.Conn], 1)
	go func() {
		c, err := d.dialOwn(context.WithoutCancel(ctx), to)
		own <- attempt[net.Conn]{c, err}
	}()
	return own
}

// afterOwn asks a peer after the own connection has failed. The request waits for the peer only if
// the own links are suspected; otherwise it can try another endpoint meanwhile.
func (d *Dialer) afterOwn(ctx context.Context, to tunnel.Destination, failure error) (uplink.Path, error) {
	suspected := d.suspect(to)
	if ctx.Err() != nil || d.holds.held(d.Now(), to.EndpointID) {
		return uplink.Path{}, failure
	}
	if !suspected {
		d.holds.hold(d.Now(), to.EndpointID) // asked once
		go func() {
			c, err := d.Tunnels.Dial(context.WithoutCancel(ctx), to)
			d.takeSecondOpinion(to, failure, attempt[*tunnel.Conn]{c, err})
		}()
		return uplink.Path{}, failure
	}
	c, err := d.Tunnels.Dial(ctx, to)
	if err != nil {
		d.recordFailure(to, err)
		return uplink.Path{}, failure
	}
	d.recordBypass(to, failure)
	return path(c), nil
}

// takeSecondOpinion takes in a peer's attempt that nobody waits for. If it succeeded although the
// own one failed, the own link is lost.
func (d *Dialer) takeSecondOpinion(to tunnel.Destination, failure error, b attempt[*tunnel.Conn]) {
	if b.err != nil {
		d.recordFailure(to, b.err)
		return
	}
	b.conn.Finish()
	d.holds.release(to.EndpointID)
	d.recordBypass(to, failure)
}

// suspect records that an own connection failed, and reports whether the own links are suspected
// to be lost.
func (d *Dialer) suspect(to tunnel.Destination) bool {
	return d.failures.record(d.Now(), to.Service, to.EndpointID, d.size(to.Service))
}

// size returns the number of a service's endpoints.
func (d *Dialer) size(service string) (size int) {
	for range d.Endpoints(service) {
		size++
	}
	return size
}

// race connects through a peer while the own attempt goes on, and takes what comes up first.
func (d *Dialer) race(ctx context.Context, to tunnel.Destination, own <-chan attempt[net.Conn]) (uplink.Path, error) {
	peers := make(chan attempt[*tunnel.Conn], 1)
	if d.holds.held(d.Now(), to.EndpointID) {
		peers <- attempt[*tunnel.Conn]{nil, tunnel.ErrNoPeer}
	} else {
		go func() {
			c, err := d.Tunnels.Dial(context.WithoutCancel(ctx), to)
			peers <- attempt[*tunnel.Conn]{c, err}
		}()
	}
	select {
	case a := <-own:
		return d.afterRace(ctx, to, a, peers)
	case b := <-peers:
		if b.err == nil {
			go d.awaitOwn(to, own, b.conn)
			return path(b.conn), nil
		}
		d.recordFailure(to, b.err)
	case <-ctx.Done():
		go discard(peers)
	}
	select {
	case a := <-own:
		if a.err != nil {
			d.suspect(to)
		}
		return uplink.Path{Conn: a.conn}, a.err
	case <-ctx.Done():
		go d.awaitOwn(to, own, nil)
		return uplink.Path{}, Error.Wrap(ctx.Err())
	}
}

// afterRace takes the own connection or, if that failed and the own links are suspected, the
// peer's.
func (d *Dialer) afterRace(ctx context.Context, to tunnel.Destination, a attempt[net.Conn], peers <-chan attempt[*tunnel.Conn]) (uplink.Path, error) {
	if a.err == nil {
		go discard(peers)
		return uplink.Path{Conn: a.conn}, nil
	}
	if !d.suspect(to) {
		go func() { d.takeSecondOpinion(to, a.err, <-peers) }()
		return uplink.Path{}, a.err
	}
	select {
	case b := <-peers:
		if b.err != nil {
			d.recordFailure(to, b.err)
			return uplink.Path{}, a.err
		}
		d.recordBypass(to, a.err)
		return path(b.conn), nil
	case <-ctx.Done():
		go discard(peers)
		return uplink.Path{}, Error.Wrap(ctx.Err())
	}
}

func discard(peers <-chan attempt[*tunnel.Conn]) {
	if b := <-peers; b.err == nil {
		b.conn.Finish()
	}
}

// awaitOwn takes in an own attempt that nobody waits for any more. If it fails although a peer
// has connected, the own link is lost.
func (d *Dialer) awaitOwn(to tunnel.Destination, own <-chan attempt[net.Conn], through *tunnel.Conn) {
	a := <-own
	switch {
	case a.err == nil:
		d.Pool.Keep(a.conn, to.Address, to.EndpointID)
	case through != nil:
		d.recordBypass(to, a.err)
	}
}

// path returns the path over a peer's connection.
func path(c *tunnel.Conn) uplink.Path { return uplink.Path{Conn: c, Peer: c.Peer(), Finish: c.Finish} }

// dialOwn opens an own connection and records that the endpoint was reached.
func (d *Dialer) dialOwn(ctx context.Context, to tunnel.Destination) (net.Conn, error) {
	c, err := d.Pool.DialOwn(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	d.sound.record(d.Now(), to.Service, to.EndpointID)
	d.failures.reset(to.Service)
	d.reach.RecordConnection(to.Service, to.EndpointID)
	return c, nil
}

// Lend returns an own connection for an exchange of a peer.
func (d *Dialer) Lend(ctx context.Context, to tunnel.Destination) (*uplink.Lent, error) {
	l, err := d.Pool.Lend(ctx, to.Address, to.EndpointID, to.MaxIdle)
	if err == nil {
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
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
}

// Bypassed reports whether an endpoint is to be reached through a peer.
func (d *Dialer) Bypassed(endpoint string) bool {
	return d.reach.Bypassed(d.ServiceOf(endpoint), endpoint)
}

// LinksLost reports whether the own links to any service are lost.
func (d *Dialer) LinksLost() bool { return d.reach.Lost() }

// Check finds out whether an endpoint's process has ended: its host refuses connections to its
// port. A refusal that only this instance sees proves nothing, as its own network may be at
// fault: a peer whose links work has to see it too or, if no peer can tell, this instance must
// reach another endpoint of the service at the same moment.
func (d *Dialer) Check(ctx context.Context, to tunnel.Destination) Verdict {
	start, bypassed := d.Now(), d.Bypassed(to.EndpointID)
	if !bypassed && !d.Pool.ProcessEnded(ctx, to.Address, to.EndpointID) {
		return Running
	}
	c, err := d.Tunnels.Dial(ctx, to)
	switch {
	case err == nil:
		c.Finish() // nothing was sent on it
		if !bypassed {
			d.recordBypass(to, syscall.ECONNREFUSED)
		}
		return Running
	case errors.Is(err, tunnel.ErrRefused):
		return Ended
	case !errors.Is(err, tunnel.ErrNoPeer):
		return Running // no answer proves nothing
	case !bypassed && d.Sound(ctx, to, start):
		return Ended
	default:
		return Uncertain
	}
}

func (d *Dialer) recordBypass(to tunnel.Destination, failure error) {
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
