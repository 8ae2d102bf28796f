// Package dialer opens connections to endpoints: of the instance's own or, where these fail,
// through a peer. A failure of the instance's own network is thus not taken for a failure of
// the endpoint.
package dialer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
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
	Pool      *uplink.Pool
	Tunnels   *tunnel.Tunnels
	Directory *directory.Directory
	Log       *eventlog.Log
	Scope     tally.Scope
	Now       func() clock.Millis
}

// Dialer opens connections to endpoints. It is safe for concurrent use.
type Dialer struct {
	Options
	reach *reachability.Table
	sound soundness
	holds holds
}

// New returns a Dialer. Tunnels must be set before its first use.
func New(o Options) *Dialer {
	d := &Dialer{Options: o, reach: reachability.New(o.Now), sound: soundness{last: map[string][2]connection{}}, holds: newHolds()}
	d.reach.OnLost = func(l reachability.Loss) {
		d.Log.Write(eventlog.Line{Event: eventlog.LinksLost, Service: l.Service, Detail: l.Evidence})
	}
	d.reach.OnRegained = func(l reachability.Loss) {
		d.Log.Write(eventlog.Line{Event: eventlog.LinksRegained, Service: l.Service, Detail: l.Evidence, Took: l.Length})
	}
	return d
}

// Connect opens a connection for a message. An error with uplink.ErrOwnLinks says nothing about
// the endpoint.
func (d *Dialer) Connect(ctx context.Context, m uplink.Message) (uplink.Path, error) {
	to := tunnel.Destination{Address: m.Address, EndpointID: m.EndpointID, Request: m.Request, MaxIdle: m.MaxIdle, Service: d.service(m.EndpointID)}
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
	own := make(chan attempt[net.Conn], 1)
	go func() {
		c, err := d.dialOwn(ctx, to)
		own <- attempt[net.Conn]{c, err}
	}()
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
	}
}

// attempt is the result of an attempt to connect.
type attempt[C any] struct {
	conn C
	err  error
}

// afterOwn asks a peer after the own connection has failed. A peer's failure confirms that the
// endpoint is at fault.
func (d *Dialer) afterOwn(ctx context.Context, to tunnel.Destination, failure error) (uplink.Path, error) {
	if ctx.Err() != nil || d.holds.held(d.Now(), to.EndpointID) {
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

// race connects through a peer while the own attempt goes on, and takes what comes up first.
func (d *Dialer) race(ctx context.Context, to tunnel.Destination, own <-chan attempt[net.Conn]) (uplink.Path, error) {
	if d.holds.held(d.Now(), to.EndpointID) {
		a := <-own
		return uplink.Path{Conn: a.conn}, a.err
	}
	peerContext, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := make(chan attempt[*tunnel.Conn], 1)
	go func() {
		c, err := d.Tunnels.Dial(peerContext, to)
		peers <- attempt[*tunnel.Conn]{c, err}
	}()
	select {
	case a := <-own:
		if a.err == nil {
			go discard(peers)
			return uplink.Path{Conn: a.conn}, nil
		}
		b := <-peers
		if b.err != nil {
			d.recordFailure(to, b.err)
			return uplink.Path{}, a.err
		}
		d.recordBypass(to, a.err)
		return path(b.conn), nil
	case b := <-peers:
		if b.err != nil {
			d.recordFailure(to, b.err)
			a := <-own
			return uplink.Path{Conn: a.conn}, a.err
		}
		go d.awaitOwn(to, own)
		return path(b.conn), nil
	}
}

// awaitOwn records the result of an own attempt that a peer's has overtaken.
func (d *Dialer) awaitOwn(to tunnel.Destination, own <-chan attempt[net.Conn]) {
	a := <-own
	switch {
	case a.err == nil:
		d.Pool.Keep(a.conn, to.Address, to.EndpointID)
	case !errors.Is(a.err, context.Canceled):
		d.recordBypass(to, a.err)
	}
}

func discard(peers <-chan attempt[*tunnel.Conn]) {
	if b := <-peers; b.err == nil {
		b.conn.Finish()
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
func (d *Dialer) Client(e directory.Endpoint) *http.Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		p, err := d.Connect(ctx, uplink.Message{Address: e.Address, EndpointID: e.ID})
		return p.Conn, err
	}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
}

// Bypassed reports whether an endpoint is to be reached through a peer.
func (d *Dialer) Bypassed(endpoint string) bool {
	return d.reach.Bypassed(d.service(endpoint), endpoint)
}

// LinksLost reports whether the own links to any service are lost.
func (d *Dialer) LinksLost() bool { return d.reach.Lost() }

// Check finds out whether an endpoint's process has ended: its host refuses connections to its
// port. A refusal that only this instance sees proves nothing, as its own network may be at
// fault: a peer whose links work has to see it too or, if no peer can tell, this instance must
// reach another endpoint of the service at the same moment.
func (d *Dialer) Check(ctx context.Context, e *directory.Endpoint) Verdict {
	to := tunnel.Destination{Address: e.Address, EndpointID: e.ID, Service: e.Service}
	start, bypassed := d.Now(), d.Bypassed(e.ID)
	if !bypassed && !d.Pool.ProcessEnded(ctx, e.Address, e.ID) {
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
	size := 0
	for range d.Directory.View().Service(to.Service) {
		size++
	}
	d.reach.RecordBypass(to.Service, to.EndpointID, size, failure)
}

// recordFailure records that a peer could not connect either.
func (d *Dialer) recordFailure(to tunnel.Destination, err error) {
	if !errors.Is(err, tunnel.ErrNoPeer) {
		d.holds.hold(d.Now(), to.EndpointID)
	}
}

// service returns the service of an endpoint, or "" if the endpoint is not known.
func (d *Dialer) service(endpoint string) string {
	if e := d.Directory.View().Find(endpoint); e != nil {
		return e.Service
	}
	return ""
}
