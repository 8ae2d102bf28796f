// Package overload refuses new connections of callers while the instance has more work than it can do, so that
// their callers turn to other instances at once.
package overload

import (
	"errors"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("overload")

// errUnread is the error of reading a connection that is closed unread.
var errUnread = Error.New("the connection is closed unread")

const (
	// pollInterval is the time between two looks at whether connections may be accepted again.
	pollInterval = 10 * time.Millisecond
	// maxRefusing is how long all connections may be refused. A balancer that routes connections to the
	// instance must not see it dead.
	maxRefusing = time.Second
	// queueWait is how long no connection arrives before Finish closes the port.
	queueWait = 10 * time.Millisecond
	// maxFinishing is how long Finish accepts connections if they keep arriving.
	maxFinishing = 500 * time.Millisecond
)

// Listener is a listener for callers. While the instance can't take another request, the port is closed, so
// that the host refuses connections: a connection that was accepted and closed would have cost the link a
// request, which callers send at once.
type Listener struct {
	// Listen opens the port.
	Listen func() (net.Listener, error)
	// MaxConnections bounds the open connections.
	MaxConnections int64
	Now            func() clock.Millis
	// Room returns how many requests the instance can take, beside those in progress and a number of
	// connections that are yet to be read. few is the least number for which the port is opened.
	Room func(unread int) (room, few int)
	// Admit decides whether a new connection is read, after it has waited for the processor.
	Admit func(waited time.Duration) bool
	// OnUnread is called for each connection that is closed unread, also by the kernel with the port.
	OnUnread func(reason string)
	// OnRefused is called when connections are accepted again, with how long they were refused. err is not nil
	// while the port can't be opened again.
	OnRefused func(length time.Duration, err error)

	open   atomic.Int64
	unread atomic.Int64 // open connections that are yet to be read

	mu      sync.Mutex
	port    net.Listener // nil while connections are refused
	address net.Addr
	closed  chan struct{}
	// finishing is when Finish closes the port, though connections keep arriving. It is 0 before.
	finishing clock.Millis
}

// Reasons to close a connection unread.
const (
	ReasonOverloaded = "overloaded"
	ReasonTooMany    = "too_many_connections"
	ReasonQueued     = "queued" // in the port's queue when it was closed
)

// Open opens the port for the first time.
func (l *Listener) Open() error {
	port, err := l.Listen()
	if err != nil {
		return Error.Wrap(err)
	}
	l.port, l.address, l.closed = port, port.Addr(), make(chan struct{})
	return nil
}

// Addr returns the address of the port.
func (l *Listener) Addr() net.Addr { return l.address }

// Close closes the port for good.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return nil
	default:
	}
	defer close(l.closed) // when the port is closed
	if l.port == nil {
		return nil
	}
	return l.port.Close() //nolint:wrapcheck // net/http only returns it
}

// Finish accepts the connections that are in the port's queue, whether or not there is room for them, and closes the
// port once none is left. A port that is closed with connections in its queue resets these. Accept then fails with
// net.ErrClosed.
func (l *Listener) Finish() {
	l.mu.Lock()
	l.finishing = l.Now().Add(maxFinishing)
	if l.port != nil {
		waitAtMost(l.port, queueWait) // wakes an Accept
	}
	l.mu.Unlock()
	select {
	case <-l.closed:
	case <-time.After(2 * maxFinishing): // nothing accepts
		_ = l.Close()
	}
}

// waitAtMost bounds the time for which connections are waited for.
func waitAtMost(port net.Listener, length time.Duration) {
	if bounded, ok := port.(interface{ SetDeadline(at time.Time) error }); ok {
		_ = bounded.SetDeadline(time.Now().Add(length)) // fails on a closed port; Accept reports that
	}
}

// finishes reports whether Finish was called.
func (l *Listener) finishes() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finishing > 0
}

// finished closes the port if its queue is empty, or Finish has lasted too long. A deadline that has passed hides the
// queue from Accept.
func (l *Listener) finished(port net.Listener) bool {
	l.mu.Lock()
	late := l.Now() >= l.finishing
	l.mu.Unlock()
	if !late && queueLength(port) > 0 {
		return false
	}
	_ = l.Close()
	return true
}

// Accept returns the next connection that may be read.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		forced := l.room() == 0 && l.refuse()
		port, err := l.current()
		if err != nil {
			return nil, err
		}
		c, err := port.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if l.finished(port) {
				return nil, net.ErrClosed
			}
			continue
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http tells temporary errors by their type
		}
		if l.room() > 0 || (forced || l.finishes()) && l.open.Load() < l.MaxConnections {
			l.open.Add(1)
			l.unread.Add(1)
			return &conn{Conn: c, listener: l, accepted: l.Now()}, nil
		}
		_ = c.Close()
		l.OnUnread(l.fullReason())
	}
}

// room returns how many connections can be taken.
func (l *Listener) room() int {
	room, _ := l.Room(int(l.unread.Load()))
	return max(min(room, int(l.MaxConnections-l.open.Load())), 0)
}

// mayOpen reports whether the port is worth opening. Callers that connect at the moment at which it is closed
// again have sent their requests in vain.
func (l *Listener) mayOpen() bool {
	_, few := l.Room(int(l.unread.Load()))
	return l.room() >= max(few, 1)
}

func (l *Listener) fullReason() string {
	if l.open.Load() >= l.MaxConnections {
		return ReasonTooMany
	}
	return ReasonOverloaded
}

// refuse closes the port until connections can be taken, or for maxRefusing. Then it returns true: a connection is
// to be taken nevertheless.
func (l *Listener) refuse() (forced bool) {
	if l.finishes() {
		return false
	}
	queued, open := l.closePort()
	if !open {
		return false
	}
	for range queued {
		l.OnUnread(ReasonQueued)
	}
	started := l.Now()
	for {
		select {
		case <-l.closed:
			return false
		case <-time.After(pollInterval):
		}
		if l.finishes() {
			_ = l.Close()
			return false
		}
		length, mayOpen := l.Now().Sub(started), l.mayOpen()
		if !mayOpen && length < maxRefusing {
			continue
		}
		err := l.openPort()
		l.OnRefused(length, err)
		if err == nil {
			return !mayOpen
		}
	}
}

// closePort closes the port if it is open. The kernel resets the connections in its queue.
func (l *Listener) closePort() (queued int, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.port == nil {
		return 0, false
	}
	queued = queueLength(l.port)
	_ = l.port.Close()
	l.port = nil
	return queued, true
}

func (l *Listener) openPort() error {
	port, err := l.Listen()
	if err != nil {
		return Error.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		_ = port.Close()
	default:
		l.port = port
	}
	return nil
}

// current returns the open port.
func (l *Listener) current() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.port == nil {
		return nil, net.ErrClosed
	}
	if l.finishing > 0 {
		waitAtMost(l.port, min(queueWait, max(l.finishing.Sub(l.Now()), 0)))
	}
	return l.port, nil
}

// mayRead decides whether a connection is read that was accepted a time ago.
func (l *Listener) mayRead(accepted clock.Millis) bool {
	runtime.Gosched() // a new goroutine runs before those that wait for the processor
	if l.Admit(l.Now().Sub(accepted)) {
		return true
	}
	l.OnUnread(ReasonOverloaded)
	return false
}

// conn is a caller's connection. Its first Read is the first thing that its goroutine does.
type conn struct {
	net.Conn
	listener *Listener
	accepted clock.Millis
	started  atomic.Bool
	closed   sync.Once
}

// start notes that the connection is unread no more.
func (c *conn) start() {
	if !c.started.Swap(true) {
		c.listener.unread.Add(-1)
	}
}

func (c *conn) Read(b []byte) (int, error) {
	if !c.started.Load() {
		admitted := c.listener.mayRead(c.accepted)
		c.start()
		if !admitted {
			_ = c.Close()
			return 0, errUnread
		}
	}
	return c.Conn.Read(b) //nolint:wrapcheck // net/http tells errors by their type
}

func (c *conn) Close() error {
	c.start()
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
