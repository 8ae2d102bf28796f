// Package socket wraps TCP connections that are read and written at the same time.
package socket

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error marks the error of a read that found the end of a connection on which an earlier read or write had failed.
var Error = errs.Class("socket")

// Conn is a connection whose reads return io.EOF only after an orderly close. The kernel reports a reset once, to
// whichever read or write comes first, and to all later reads it looks like the end of the connection.
type Conn struct {
	net.Conn
	writing sync.Mutex            // held during a write
	failure atomic.Pointer[error] // the first error that the kernel reported; nil: none
}

// Wrap returns a connection on top of another one.
func Wrap(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements net.Conn. At the end of the connection it interrupts a write in progress, which may have been given
// the error of a reset.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		c.keep(err)
		return n, err //nolint:wrapcheck // as of the connection
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, on which writes end
	c.writing.Lock()
	defer c.writing.Unlock()
	if failure := c.failure.Load(); failure != nil {
		return n, Error.Wrap(*failure)
	}
	return n, err //nolint:wrapcheck // as of the connection
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.keep(err)
	return n, err //nolint:wrapcheck // as of the connection
}

// keep keeps the first error that the kernel reported. EPIPE is none: it follows an orderly close or another error.
func (c *Conn) keep(err error) {
	var number syscall.Errno
	if errors.As(err, &number) && number != syscall.EPIPE {
		c.failure.CompareAndSwap(nil, &err)
	}
}

// SyscallConn implements syscall.Conn. It fails with errors.ErrUnsupported if the inner connection does not.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, Error.Wrap(errors.ErrUnsupported)
	}
	return inner.SyscallConn() //nolint:wrapcheck // as of the connection
}
