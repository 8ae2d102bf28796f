package overload

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("overload")

// errUnread is the error of reading a connection that is closed unread.
var errUnread = Error.New("the connection is closed unread")

// Listener is a listener for callers that closes connections unread while the instance is
// overloaded, and those above a limit.
type Listener struct {
	net.Listener
	// MaxConnections bounds the open connections.
	MaxConnections int64
	Now            func() clock.Millis
	// OnChange is called when the instance becomes overloaded, and when it is no longer, with the
	// number of connections that were closed unread since it became so.
	OnChange func(overloaded bool, unread int64)
	// OnUnread is called for each connection that is closed unread.
	OnUnread func(reason string)

	gate   Gate
	open   atomic.Int64
	unread atomic.Int64 // since the instance became overloaded
}

// Reasons to close a connection unread.
const (
	ReasonOverloaded = "overloaded"
	ReasonTooMany    = "too_many_connections"
)

// Accept returns the next connection that the limit allows.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http tells temporary errors by their type
		}
		if l.open.Add(1) <= l.MaxConnections {
			return &conn{Conn: c, listener: l, accepted: l.Now()}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
		l.OnUnread(ReasonTooMany)
	}
}

// mayRead decides whether a connection is read that was accepted a time ago.
func (l *Listener) mayRead(accepted clock.Millis) bool {
	now := l.Now()
	read, change := l.gate.Observe(now, now.Sub(accepted))
	if change == Began {
		l.unread.Store(0)
	}
	if !read {
		l.unread.Add(1)
		l.OnUnread(ReasonOverloaded)
	}
	if change != None {
		l.OnChange(change == Began, l.unread.Load())
	}
	return read
}

// conn is a caller's connection. Its first Read is the first thing that its goroutine does.
type conn struct {
	net.Conn
	listener *Listener
	accepted clock.Millis
	started  atomic.Bool
	closed   sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	if !c.started.Swap(true) && !c.listener.mayRead(c.accepted) {
		_ = c.Close()
		return 0, errUnread
	}
	return c.Conn.Read(b) //nolint:wrapcheck // net/http tells errors by their type
}

func (c *conn) Close() error {
	c.closed.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close() //nolint:wrapcheck // as of the connection
}

// CloseWrite closes the sending side. net/http does so before it closes a connection that may have
// unread bytes, so that the answer is not lost.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // as of the connection
	}
	return nil
}

// NetConn returns the connection as it was accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }
