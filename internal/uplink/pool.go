// Package uplink carries HTTP/1.1 exchanges to endpoints over kept
// connections. net/http's transport is not used here because it sends some
// requests again by itself and hides whether a byte of a request has left,
// which decides what may be repeated and what may be called "not run"; its
// parser is used.
package uplink

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("uplink")

const (
	// dialTimeout bounds a connection's set-up. Round trips between zones take
	// 3 ms and an endpoint's accept 1 ms, so a silent address is known soon;
	// a busy one that dropped the opening packet sends it again after a second
	// and is better left alone. The shortest target of a request is 120 ms.
	dialTimeout = 100 * time.Millisecond
	// keepDefault is how long an idle connection is kept where the endpoint
	// names no time of its own.
	keepDefault = 4 * time.Second
	// keepPart of the time that an endpoint names is used, so that we close
	// before it does.
	keepPart = 0.7
	// idlePerEndpoint bounds the idle connections kept to one endpoint; the
	// endpoints' connections are shared by all instances.
	idlePerEndpoint = 8
	readBuffer      = 4 << 10
)

// Pool keeps idle connections by endpoint.
type Pool struct {
	// Dial opens a connection; tests replace it.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// Heard is given the head of each answer of one life of an endpoint, also of
	// those that belong to no request in progress. It must not read the body.
	Heard func(life string, head *http.Response)

	scope tally.Scope
	now   func() clock.Millis
	mu    sync.Mutex
	idle  map[target][]*conn
}

// target is one life of an endpoint: what starts anew at an address knows nothing
// of the connections that the one before it had.
type target struct {
	address netip.AddrPort
	life    string
}

// conn is one connection and what is known of it.
type conn struct {
	net.Conn
	to       target
	reader   *bufio.Reader
	keep     time.Duration
	restedAt clock.Millis // when its last exchange ended
}

// NewPool returns a pool that counts in scope. Connections rest also while the machine
// is suspended, and endpoints close them then as they do at any time, so now must go
// on meanwhile.
func NewPool(scope tally.Scope, now func() clock.Millis) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Pool{
		Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", to.String())
		},
		Heard: func(string, *http.Response) {},
		scope: scope, now: now, idle: map[target][]*conn{},
	}
}

// take returns a connection to an endpoint: one that rested for less than rest
// and is still open, or a new one.
func (p *Pool) take(ctx context.Context, to target, rest time.Duration) (*conn, error) {
	for {
		c := p.pop(to)
		if c == nil {
			break
		}
		rested := p.now().Sub(c.restedAt)
		if rested < min(rest, c.keep) && quiet(c) {
			return c, nil
		}
		_ = c.Close()
	}
	p.scope.Counter("uplink_dials").Inc(1)
	raw, err := p.Dial(ctx, to.address)
	if err != nil {
		p.scope.Counter("uplink_dial_failed").Inc(1)
		return nil, err
	}
	return &conn{Conn: raw, to: to, reader: bufio.NewReaderSize(raw, readBuffer), keep: keepDefault}, nil
}

func (p *Pool) pop(to target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if len(list) == 1 {
		delete(p.idle, to)
	} else {
		p.idle[to] = list[:len(list)-1]
	}
	return c
}

func (p *Pool) put(c *conn) {
	c.restedAt = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.to]) >= idlePerEndpoint || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.idle[c.to] = append(p.idle[c.to], c)
}

// Ended says whether the process of an endpoint has ended: its host refuses a
// connection to its port. A host that is silent or cut off tells nothing. A
// connection that comes up is kept for the next request.
func (p *Pool) Ended(ctx context.Context, to netip.AddrPort, life string) bool {
	p.scope.Counter("uplink_dials").Inc(1)
	raw, err := p.Dial(ctx, to)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(&conn{Conn: raw, to: target{to, life}, reader: bufio.NewReaderSize(raw, readBuffer), keep: keepDefault})
	return false
}

// Sweep closes connections that have rested for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if p.now().Sub(c.restedAt) < c.keep {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, to)
			continue
		}
		p.idle[to] = kept
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, to)
	}
}
