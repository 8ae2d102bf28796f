// Package uplink is an HTTP/1.1 client for endpoints with a connection pool. It uses
// net/http's parser but not its transport, which repeats some requests on its own and hides
// whether any byte of a request was sent; that decides whether a request may be repeated,
// and whether it may be reported as not run.
package uplink

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/obsfold"
	"github.com/trailshed/trailshed/internal/socket"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("uplink")

const (
	// DialTimeout is how long a request waits for a connection. Round trips between zones take 3 ms and an
	// endpoint's accept 1 ms, so an unreachable address is detected quickly. The shortest target of a
	// request is 120 ms.
	DialTimeout = 100 * time.Millisecond
	// connectTimeout bounds connecting itself, which goes on after the request has turned to another endpoint:
	// how late a connection comes up tells a full link from a lost one. A busy host that dropped
	// the SYN gets it again after a second, and is better avoided.
	connectTimeout = 900 * time.Millisecond
	// defaultMaxIdle is how long an idle connection is kept if the endpoint names no
	// timeout.
	defaultMaxIdle = 4 * time.Second
	// keepAliveRatio is the part of the endpoint's Keep-Alive timeout that is used, so that
	// this side closes first.
	keepAliveRatio = 0.7
	// maxIdlePerEndpoint bounds the idle connections to one endpoint; all instances share
	// the endpoint's connection limit.
	maxIdlePerEndpoint = 8
	readBufferSize     = 4 << 10
)

// Pool holds idle connections by endpoint.
type Pool struct {
	// Dial opens a connection of this instance's own. Tests may replace it.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// Connect opens a connection for a message, by Dial or through a peer. By default it uses
	// Dial.
	Connect func(ctx context.Context, m Message) (Path, error)
	// Bypassed reports whether an endpoint is to be reached through a peer, so that open
	// connections are not used.
	Bypassed func(endpointID string) bool
	// OnResponse is called with the endpoint's ID and the header of each response, including
	// responses that belong to no request in progress. It must not read the body.
	OnResponse func(endpointID string, head *http.Response)
	// OnConnect is called with the time that opening a connection of this instance's own took.
	OnConnect func(took time.Duration)

	scope tally.Scope
	now   func() clock.Millis
	mu    sync.Mutex
	idle  map[connKey][]*conn
}

// connKey identifies one incarnation of an endpoint. A new one at the same address knows
// nothing of the connections of the previous one.
type connKey struct {
	address    netip.AddrPort
	endpointID string
}

// conn is a pooled connection.
type conn struct {
	*socket.Conn
	key         connKey
	head        *headReader
	reader      *bufio.Reader // reads from head
	maxIdle     time.Duration
	idleSince   clock.Millis  // end of the last exchange
	carried     []string      // IDs of the last requests, at most maxCarried
	connectTime time.Duration // that opening it took
	peer        string        // instance that carries the connection; empty: it is this instance's own
	finish      func()        // see Path
}

// Path is a new connection to an endpoint.
type Path struct {
	net.Conn
	// Peer is the name of the instance that carries the connection, if it is not this
	// instance's own. Such a connection is used for one exchange.
	Peer string
	// Finish ends a connection through a peer after a complete exchange.
	Finish func()
}

// NewPool returns a pool that reports its metrics to scope. Endpoints close idle
// connections also while this machine is suspended, so now must include the time of
// suspension.
func NewPool(scope tally.Scope, now func() clock.Millis) *Pool {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	p := &Pool{
		Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", to.String())
		},
		Bypassed:   func(string) bool { return false },
		OnResponse: func(string, *http.Response) {},
		OnConnect:  func(time.Duration) {},
		scope:      scope, now: now, idle: map[connKey][]*conn{},
	}
	p.Connect = func(ctx context.Context, m Message) (Path, error) {
		ctx, cancel := context.WithTimeout(ctx, DialTimeout)
		defer cancel()
		c, err := p.DialOwn(ctx, m.Address)
		return Path{Conn: c}, err
	}
	return p
}

// get returns a connection to an endpoint: one that has been idle for less than m.MaxIdle and
// is still open, or a new one.
func (p *Pool) get(ctx context.Context, m Message) (*conn, error) {
	key := connKey{m.Address, m.EndpointID}
	if m.MaxIdle > 0 && !p.Bypassed(m.EndpointID) {
		if c := p.popUsable(key, m.MaxIdle, func(c *conn) bool { return !m.Again || !c.hasCarried(m.Request) }); c != nil {
			return c, nil
		}
	}
	start := p.now()
	path, err := p.Connect(ctx, m)
	if err != nil {
		return nil, err
	}
	c := newConn(path.Conn, key)
	c.peer, c.finish, c.connectTime = path.Peer, path.Finish, p.now().Sub(start)
	return c, nil
}

// DialOwn opens a connection of this instance's own by Dial and counts it. It takes up to connectTimeout.
func (p *Pool) DialOwn(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	p.scope.Counter("uplink_dials").Inc(1)
	start := p.now()
	raw, err := p.Dial(ctx, to)
	if err != nil {
		p.countDialFailure(err)
		return nil, err
	}
	p.OnConnect(p.now().Sub(start))
	return raw, nil
}

// maxCarried bounds the requests that a connection remembers. A second response comes at the latest in place of that
// to the next request.
const maxCarried = 8

// carry notes that the connection carries a request.
func (c *conn) carry(request string) {
	if len(c.carried) == maxCarried {
		c.carried = append(c.carried[:0], c.carried[1:]...)
	}
	c.carried = append(c.carried, request)
}

// hasCarried reports whether the request was one of the last on the connection.
func (c *conn) hasCarried(request string) bool { return slices.Contains(c.carried, request) }

// popUsable removes and returns a connection that fits, has been idle for less than maxIdle and is
// still open, or nil. It closes the others that fit.
func (p *Pool) popUsable(key connKey, maxIdle time.Duration, fits func(*conn) bool) *conn {
	for {
		c := p.pop(key, fits)
		if c == nil {
			return nil
		}
		idle := p.now().Sub(c.idleSince)
		if idle < min(maxIdle, c.maxIdle) && usable(c) {
			return c
		}
		_ = c.Close()
	}
}

func newConn(raw net.Conn, key connKey) *conn {
	c := socket.Wrap(raw)
	head := &headReader{Reader: obsfold.NewReader(c)}
	return &conn{Conn: c, key: key, head: head, reader: bufio.NewReaderSize(head, readBufferSize), maxIdle: defaultMaxIdle}
}

// beginHead prepares the reading of a head.
func (c *conn) beginHead() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.head.begin(buffered)
}

// countDialFailure counts a failed dial by its cause: an instance that has lost its links to all
// endpoints shows as one cause for all of them.
func (p *Pool) countDialFailure(err error) {
	cause := "other"
	var timeout net.Error
	switch {
	case errors.Is(err, context.Canceled):
		cause = "canceled"
	case errors.Is(err, syscall.ECONNREFUSED):
		cause = "refused"
	case errors.Is(err, syscall.ECONNRESET):
		cause = "reset"
	case errors.As(err, &timeout) && timeout.Timeout():
		cause = "timeout"
	}
	p.scope.Counter("uplink_dial_failed").Inc(1)
	p.scope.Tagged(map[string]string{"cause": cause}).Counter("uplink_dial_failures").Inc(1)
}

// pop removes and returns the last connection that fits, or nil.
func (p *Pool) pop(key connKey, fits func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if !fits(c) {
			continue
		}
		if len(list) == 1 {
			delete(p.idle, key)
		} else {
			p.idle[key] = slices.Delete(list, i, i+1)
		}
		return c
	}
	return nil
}

func (p *Pool) put(c *conn) {
	c.idleSince = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.key]) >= maxIdlePerEndpoint || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// ProcessEnded reports whether the process of an endpoint has ended as far as this instance can
// tell, that is, whether its host refuses connections to its port. A host that does not respond
// or is unreachable proves nothing. If a connection is established, it is kept for the next
// request.
func (p *Pool) ProcessEnded(ctx context.Context, to netip.AddrPort, endpointID string) bool {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := p.DialOwn(ctx, to)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.Keep(raw, to, endpointID)
	return false
}

// Keep keeps a connection of this instance's own for the next request to an endpoint.
func (p *Pool) Keep(raw net.Conn, to netip.AddrPort, endpointID string) {
	p.put(newConn(raw, connKey{to, endpointID}))
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if p.now().Sub(c.idleSince) < c.maxIdle {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, key)
	}
}
