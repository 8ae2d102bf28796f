package tunnel

import (
	"context"
	"errors"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
)

var (
	// ErrRefused means that the host of the endpoint refuses connections to its port,
	// according to a peer whose links work.
	ErrRefused = errors.New("a peer was refused, too")
	// ErrUnreachable means that the endpoint does not answer a peer whose links work.
	ErrUnreachable = errors.New("a peer could not connect, either")
	// ErrNoPeer means that no peer could tell whether the endpoint can be reached.
	ErrNoPeer = errors.New("no peer could try")
)

const (
	// maxPeersAsked bounds the peers that are asked for one connection.
	maxPeersAsked = 3
	// connectTimeout bounds a peer's attempt to connect to an endpoint.
	connectTimeout = 80 * time.Millisecond
	// answerTimeout bounds a peer's answer. It leaves time for a new connection to the peer
	// and for the check of the peer's own links.
	answerTimeout = 150 * time.Millisecond
	// dialTimeout bounds the whole attempt, with all peers that are asked.
	dialTimeout = 250 * time.Millisecond
)

// Dial connects to an endpoint through a peer. Its error is ErrRefused, ErrUnreachable or
// ErrNoPeer; in each case nothing was sent to the endpoint.
func (t *Tunnels) Dial(ctx context.Context, d Destination) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	started := t.Now()
	failure, referred := ErrNoPeer, false
	peers := t.available(d.Service)
	for asked := 0; asked < maxPeersAsked && len(peers) > 0 && ctx.Err() == nil; asked++ {
		p := peers[0]
		peers = peers[1:]
		c, r, err := t.ask(ctx, p, d)
		if c != nil {
			t.setWorking(d.Service, p.Name)
			t.Scope.Histogram("tunnel_open_seconds", openBuckets).RecordDuration(t.Now().Sub(started))
			return c, nil
		}
		if r.Sound {
			return nil, Error.Wrap(errors.Join(soundFailure(r.Outcome), err))
		}
		if !errors.Is(ctx.Err(), context.Canceled) && t.mustBackOff(p, r.Outcome, d.Service) {
			t.backOff(subject{p.Name, r.Outcome.scope(d.Service)}, r.Outcome)
		}
		if other, ok := t.Find(r.Referral); ok && !referred {
			peers, referred = append([]Peer{other}, peers...), true
		}
		failure = errors.Join(ErrNoPeer, err)
	}
	t.Scope.Counter("tunnels_unopened").Inc(1)
	return nil, Error.Wrap(failure)
}

// mustBackOff reports whether a peer that gave an answer is not to be asked for a while.
func (t *Tunnels) mustBackOff(p Peer, o outcome, service string) bool {
	switch o {
	case unknown:
		return false
	case refused, unreachable:
		return !t.workedLately(subject{p.Name, service})
	default:
		return true
	}
}

func soundFailure(o outcome) error {
	if o == refused {
		return ErrRefused
	}
	return ErrUnreachable
}

// ask asks one peer to connect. It returns a nil Conn if the peer did not.
func (t *Tunnels) ask(ctx context.Context, p Peer, d Destination) (*Conn, response, error) {
	var r response
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	s, err := t.Transport.OpenStream(ctx, p.Address)
	if err != nil {
		t.countFailure("no_stream")
		return nil, r, err
	}
	stop := context.AfterFunc(ctx, s.Abort)
	err = s.WriteMessage(request{Destination: d, Timeout: connectTimeout})
	if err == nil {
		err = s.ReadMessage(&r)
	}
	if !stop() || err != nil {
		s.Abort()
		t.countFailure("no_answer")
		return nil, response{}, errors.Join(Error.New("%s did not answer", p.Name), err)
	}
	if r.Outcome != connected {
		s.Finish()
		t.countFailure(r.Outcome.String())
		return nil, r, Error.New("%s: %s", p.Name, r.Outcome)
	}
	t.opened.Add(1)
	t.Scope.Counter("tunnels_opened").Inc(1)
	return &Conn{
		stream: s, peerName: p.Name, peer: p.Address, endpoint: d.Address,
		ended: func() { t.opened.Add(-1) },
	}, r, nil
}

func (t *Tunnels) countFailure(reason string) {
	t.Scope.Tagged(map[string]string{"reason": reason}).Counter("tunnels_failed").Inc(1)
}

// logServed logs a connection that this instance carried, or should have carried, for a peer.
func (t *Tunnels) logServed(from string, d Destination, o outcome, took time.Duration, err error) {
	n := eventlog.Line{
		Event: eventlog.TunnelServed, Request: d.Request, Endpoint: d.EndpointID, Address: d.Address.String(), Peer: from,
		Outcome: o.String(), Took: took,
	}
	if err != nil {
		n.Detail = err.Error()
	}
	t.OnServed(n, o == connected && err == nil)
}
