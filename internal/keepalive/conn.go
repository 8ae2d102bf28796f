package keepalive

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/trailshed/trailshed/pkg/clock"
)

// lingerTime is how long a connection that was ended as idle is read after its sending side was closed. A caller
// that sends a request at that moment sees the end of the connection, and not a reset, which could cost it the end
// of the last answer.
const lingerTime = 500 * time.Millisecond

// conn is a caller's connection. It is ended as idle by the goroutine that reads it, so that no byte can be read at
// the same time.
type conn struct {
	net.Conn
	connections *Connections
	closeOnce   sync.Once
	rejected    atomic.Bool // the server itself has answered the request

	mu sync.Mutex
	// idle is whether nothing of a request was read since the connection was accepted, or since the last answer. Up to
	// three bytes that were read together with the request before are not seen.
	idle      bool
	idleSince clock.Millis // while idle
	fresh     bool         // nothing was read since it was accepted
	begunAt   clock.Millis // when the first byte of the request was read
	waiting   bool         // the server waits for the next request, while idle
	ahead     bool         // a byte of the next request was read before the last answer ended
	ending    bool         // it is to be ended if nothing has arrived
	ended     bool         // it was ended as idle
	expired   bool         // the time of a header is over
	handled   bool         // a handler has the request
	failure   error        // of the last read
	deadline  time.Time    // of the server, for reads
}

// answered records that the last request was answered and the server waits for the next one.
func (c *conn) answered(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected.Store(false)
	c.idle, c.idleSince, c.begunAt, c.waiting, c.ahead, c.handled = !c.ahead, now, now, false, false, false
}

// endIdle ends a connection that has been idle since before a time, unless something has arrived.
func (c *conn) endIdle(before clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.ending || c.idleSince > before {
		return
	}
	c.ending = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection
}

// expire ends a connection that has been idle since before a time, or whose request began before another one and whose
// header is not complete. The header of the first request is due from the start.
func (c *conn) expire(idleBefore, headerBefore clock.Millis) {
	c.mu.Lock()
	idle, fresh := c.idle, c.fresh
	if !idle && !c.handled && c.begunAt <= headerBefore {
		c.expired = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection
	}
	c.mu.Unlock()
	switch {
	case idle && fresh:
		c.endIdle(headerBefore)
	case idle:
		c.endIdle(idleBefore)
	default:
	}
}

// handle records that a handler has the request.
func (c *conn) handle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
	if c.expired {
		c.expired = false
		_ = c.Conn.SetReadDeadline(c.deadline) // fails on a closed connection; the next read reports that
	}
}

// readFailure returns the reason why reading a request failed: timeout, that the caller has left, or other if it did
// not fail.
func (c *conn) readFailure(timeout, other string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.failure == nil:
		return other
	case errors.Is(c.failure, os.ErrDeadlineExceeded):
		return timeout
	default:
		return ReasonCallerLeft
	}
}

// timedOut reports whether the last read failed by its deadline: then the caller has not left.
func (c *conn) timedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Is(c.failure, os.ErrDeadlineExceeded)
}

// Write records answers that no handler has given: the server rejects what is no request.
func (c *conn) Write(b []byte) (int, error) {
	c.rejected.Store(true)
	return c.Conn.Write(b) //nolint:wrapcheck // as of the connection
}

// begin records that something of a request was read. c.mu must be held.
func (c *conn) begin() {
	c.idle, c.fresh, c.begunAt = false, false, c.connections.Now()
	if c.ending {
		c.ending = false
		_ = c.Conn.SetReadDeadline(c.deadline) // fails on a closed connection; the next read reports that
	}
}

// SetReadDeadline sets the deadline of reads. The server sets one to wait for a request and another once it has the
// first bytes, which it may have read ahead, behind the request before.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.idle && c.waiting {
		c.begin()
	}
	c.waiting = true
	if c.ending {
		return nil // the read is to end at once
	}
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // as of the connection
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	for n == 0 && len(b) == 1 && c.expired && errors.Is(err, os.ErrDeadlineExceeded) {
		c.expired = false
		_ = c.Conn.SetReadDeadline(c.deadline)
		c.mu.Unlock()
		n, err = c.Conn.Read(b)
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	if n == 0 && !c.handled && errors.Is(err, os.ErrDeadlineExceeded) {
		// A deadline that has passed hides what has arrived, such as from a process that was late.
		n = c.readArrived(b)
		switch {
		case n > 0:
			err = nil
		case c.idle && c.ending:
			c.ended = true
			return 0, io.EOF
		default:
		}
	}
	c.failure = err
	switch {
	case n > 0 && c.idle:
		c.begin()
	case n > 0 && len(b) == 1: // this is how net/http watches the caller while it is answered
		c.ahead = true
	default:
	}
	return n, err //nolint:wrapcheck // net/http tells errors by their type
}

// readArrived reads what is in the socket, without waiting.
func (c *conn) readArrived(b []byte) int {
	return c.receive(b, unix.MSG_DONTWAIT)
}

// hasArrived reports whether something is in the socket.
func (c *conn) hasArrived() bool {
	return c.receive(make([]byte, 1), unix.MSG_DONTWAIT|unix.MSG_PEEK) > 0
}

// receive returns how many bytes it has received, which is 0 if there are none or the connection is closed.
func (c *conn) receive(b []byte, flags int) int {
	raw, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	var failure error
	err = control.Control(func(fd uintptr) {
		for n, _, failure = unix.Recvfrom(int(fd), b, flags); errors.Is(failure, unix.EINTR); {
			n, _, failure = unix.Recvfrom(int(fd), b, flags)
		}
	})
	if err != nil || failure != nil {
		return 0
	}
	return n
}

// Close closes the connection. One that was ended as idle is read for lingerTime before.
func (c *conn) Close() error {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	first := false
	c.closeOnce.Do(func() {
		first = true
		c.connections.remove(c)
		c.report()
	})
	if !first || !ended || c.CloseWrite() != nil {
		return c.Conn.Close() //nolint:wrapcheck // as of the connection
	}
	go func() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails on a closed connection
		if dropped, _ := io.Copy(io.Discard, c.Conn); dropped > 0 {
			c.connections.OnUnanswered(ReasonCrossed, false)
		}
		_ = c.Conn.Close()
	}()
	return nil
}

// report reports a request on the connection, which is about to be closed, that no handler has.
func (c *conn) report() {
	c.mu.Lock()
	idle, handled := c.idle, c.handled
	c.mu.Unlock()
	abandoned := c.connections.abandoned.Load()
	switch {
	case handled || !idle && c.rejected.Load():
	case idle && abandoned && c.hasArrived():
		c.connections.OnUnanswered(ReasonUnread, false)
	case idle:
	case abandoned:
		c.connections.OnUnanswered(ReasonStopped, false)
	default:
		c.connections.OnUnanswered(c.readFailure(ReasonHeaderTimeout, ReasonCallerLeft), false)
	}
}

// CloseWrite closes the sending side, as net/http does before it closes a connection that may have unread bytes.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return Error.New("the sending side can't be closed")
	}
	return half.CloseWrite() //nolint:wrapcheck // as of the connection
}

// NetConn returns the connection as the kernel accepted it.
func (c *conn) NetConn() net.Conn {
	inner := c.Conn
	for {
		wrapped, ok := inner.(interface{ NetConn() net.Conn })
		if !ok {
			return inner
		}
		inner = wrapped.NetConn()
	}
}
