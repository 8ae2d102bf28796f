// Package keepalive keeps callers' connections between requests and ends them without losing a request: by
// "Connection: close" on an answer, or while a connection is idle and nothing has arrived on it. Requests that end
// without an answer are reported.
package keepalive

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("keepalive")

// Connections are the open connections of an http.Server. The server's own ways to end idle connections are not to be
// used: it takes a connection for idle until it has parsed the header of the next request. Expire takes the place of its
// time-outs.
type Connections struct {
	Now func() clock.Millis
	// Last reports whether the answers that begin now are to be the last ones on their connections.
	Last func() bool
	// OnPanic is called with the request whose handler panicked.
	OnPanic func(r *http.Request, value any, stack []byte)
	// OnUnanswered is called for each request that ended without an answer, or with a part of one if begun is set.
	OnUnanswered func(reason string, begun bool)

	abandoned atomic.Bool

	mu   sync.Mutex
	open map[*conn]struct{}
}

// Listener returns a listener whose connections are these.
func (s *Connections) Listener(l net.Listener) net.Listener { return &listener{l, s} }

type listener struct {
	net.Listener
	connections *Connections
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http tells temporary errors by their type
	}
	return l.connections.add(c), nil
}

func (s *Connections) add(inner net.Conn) *conn {
	c := &conn{Conn: inner, connections: s, idle: true, fresh: true, idleSince: s.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*conn]struct{}{}
	}
	s.open[c] = struct{}{}
	return c
}

func (s *Connections) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Attach makes a server, which is to serve on Listener, use these connections.
func (s *Connections) Attach(server *http.Server) {
	server.Handler = s.handler(server.Handler)
	next := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if next != nil {
			next(c, state)
		}
		if own, ok := c.(*conn); ok && state == http.StateIdle {
			own.answered(s.Now())
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

// Abandon is called before the server is closed with requests in progress.
func (s *Connections) Abandon() { s.abandoned.Store(true) }

// Open returns the number of open connections.
func (s *Connections) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// EndIdle ends the connections on which nothing has arrived for a time.
func (s *Connections) EndIdle(after time.Duration) {
	for _, c := range s.all() {
		c.endIdle(s.Now().Add(-after))
	}
}

// Expire ends the connections that have been idle for a time, or that have taken another one to bring the header of a
// request, unless more of it has arrived.
func (s *Connections) Expire(idle, header time.Duration) {
	for _, c := range s.all() {
		c.expire(s.Now().Add(-idle), s.Now().Add(-header))
	}
}

func (s *Connections) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.open))
	for c := range s.open {
		all = append(all, c)
	}
	return all
}
