package dialer

import (
	"context"
	"errors"
	"net"
	"runtime"
	"time"

	"github.com/trailshed/trailshed/internal/tunnel"
	"github.com/trailshed/trailshed/internal/uplink"
)

// ownOrPeer connects to an endpoint, through a peer if the own connection fails or takes long. An instance
// that is overloaded does not ask peers: they would be asked for each connection, over the same link.
func (d *Dialer) ownOrPeer(ctx context.Context, to tunnel.Destination) (uplink.Path, error) {
	if d.Overloaded() {
		return d.waitOwn(ctx, to, d.startOwn(ctx, to, overloadedTimeout))
	}
	own := d.startOwn(ctx, to, uplink.DialTimeout)
	timer := time.NewTimer(headStart)
	defer timer.Stop()
	select {
	case a := <-own:
		if a.err == nil {
			return uplink.Path{Conn: a.conn}, nil
		}
		if errors.Is(a.err, uplink.ErrLate) {
			return uplink.Path{}, a.err
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

// startOwn begins an own connection. The attempt goes on if the request ends or has waited for longer than
// patience, so that its result is known for the next one.
func (d *Dialer) startOwn(ctx context.Context, to tunnel.Destination, patience time.Duration) <-chan attempt[net.Conn] {
	own := make(chan attempt[net.Conn], 1)
	timer := time.AfterFunc(patience, func() {
		err := d.timeoutError()
		d.recordSilence(to, err)
		own <- attempt[net.Conn]{err: err}
	})
	go func() {
		c, err := d.dialOwn(context.WithoutCancel(ctx), to)
		switch {
		case timer.Stop():
			if isTimeout(err) {
				err = errors.Join(d.timeoutError(), err)
			}
			d.recordSilence(to, err)
			own <- attempt[net.Conn]{c, err}
		case err == nil:
			d.Pool.Keep(c, to.Address, to.EndpointID)
		}
	}()
	return own
}

// timeoutError returns the error of an own attempt that has taken too long, marked if this instance may be the
// reason. A connection that has come up is noticed when its goroutine runs, after all that were runnable before.
func (d *Dialer) timeoutError() error {
	before := d.Now()
	runtime.Gosched()
	if d.Overloaded() || d.Now().Sub(before) > maxTurn {
		return errors.Join(uplink.ErrSilent, uplink.ErrLate)
	}
	return uplink.ErrSilent
}

// isTimeout reports whether an attempt took as long as connecting may take at all.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// recordSilence records the result of an own attempt if nothing came back from the endpoint.
func (d *Dialer) recordSilence(to tunnel.Destination, err error) {
	if errors.Is(err, uplink.ErrSilent) && !errors.Is(err, uplink.ErrLate) {
		d.silences.record(d.Now(), to)
	}
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
		d.opinions.Go(func() {
			c, err := d.Tunnels.Dial(context.WithoutCancel(ctx), to)
			d.takeSecondOpinion(to, failure, attempt[*tunnel.Conn]{c, err})
		})
		return uplink.Path{}, failure
	}
	c, err := d.Tunnels.Dial(ctx, to)
	if err != nil {
		d.recordFailure(to, err)
		return uplink.Path{}, judged(failure, err)
	}
	d.recordBypass(to, failure)
	return path(c), nil
}

// judged returns the failure of an own connection, marked if no peer could say whose fault it is. A refusal that a
// peer saw says more than silence.
func judged(own, peers error) error {
	switch {
	case errors.Is(peers, tunnel.ErrNoPeer):
		return errors.Join(own, uplink.ErrUnconfirmed)
	case errors.Is(peers, tunnel.ErrRefused) && errors.Is(own, uplink.ErrSilent):
		return Error.Wrap(peers)
	}
	return own
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
	if d.holds.held(d.Now(), to.EndpointID) {
		return d.waitOwn(ctx, to, own)
	}
	peers := make(chan attempt[*tunnel.Conn], 1)
	go func() {
		c, err := d.Tunnels.Dial(context.WithoutCancel(ctx), to)
		peers <- attempt[*tunnel.Conn]{c, err}
	}()
	select {
	case a := <-own:
		return d.afterRace(ctx, to, a, peers)
	case b := <-peers:
		if b.err == nil {
			go d.awaitOwn(to, own, b.conn)
			return path(b.conn), nil
		}
		d.recordFailure(to, b.err)
		p, err := d.waitOwn(ctx, to, own)
		if errors.Is(b.err, tunnel.ErrRefused) && errors.Is(err, uplink.ErrSilent) && !errors.Is(err, uplink.ErrLate) {
			err = Error.Wrap(b.err)
		}
		return p, err
	case <-ctx.Done():
		go discard(peers)
	}
	return d.waitOwn(ctx, to, own)
}

// waitOwn waits for the own attempt alone.
func (d *Dialer) waitOwn(ctx context.Context, to tunnel.Destination, own <-chan attempt[net.Conn]) (uplink.Path, error) {
	select {
	case a := <-own:
		if a.err != nil && !errors.Is(a.err, uplink.ErrLate) {
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
	if errors.Is(a.err, uplink.ErrLate) {
		go discard(peers)
		return uplink.Path{}, a.err
	}
	if !d.suspect(to) {
		d.opinions.Go(func() { d.takeSecondOpinion(to, a.err, <-peers) })
		return uplink.Path{}, a.err
	}
	select {
	case b := <-peers:
		if b.err != nil {
			d.recordFailure(to, b.err)
			return uplink.Path{}, judged(a.err, b.err)
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
	case errors.Is(a.err, uplink.ErrLate):
	case through != nil:
		d.recordBypass(to, a.err)
	}
}
