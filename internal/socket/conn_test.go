package socket_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/socket"
)

// connect returns a connection and its other end.
func connect(t *testing.T) (near *socket.Conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	accepted, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		_ = raw.Close()
		_ = accepted.Close()
	})
	return socket.Wrap(raw), accepted.(*net.TCPConn)
}

// writeOn writes until that fails and returns the error.
func writeOn(w io.Writer) error {
	for block := make([]byte, 64<<10); ; {
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
}

// reset sends data and resets the connection.
func reset(t *testing.T, far *net.TCPConn, data string) {
	t.Helper()
	_, err := io.WriteString(far, data)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(10 * time.Millisecond) // the data arrives before the reset
	qt.Assert(t, far.SetLinger(0), qt.IsNil)
	qt.Assert(t, far.Close(), qt.IsNil)
}

// Reads fail after a reset, whichever side has noticed it first, and again and again.
func TestReadsAfterReset(t *testing.T) {
	const tries = 20 // which side is first varies
	tests := []struct {
		name       string
		writes     bool // a write is in progress
		writeFirst bool // the reads begin when the write has failed
	}{
		{"noticed by a read", false, false},
		{"noticed by a write", true, true},
		{"noticed by either", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range tries {
				c := qt.New(t)
				near, far := connect(t)
				wrote := make(chan error, 1)
				if test.writes {
					go func() { wrote <- writeOn(near) }()
				}
				reset(t, far, "part")
				if test.writeFirst {
					c.Assert(<-wrote, qt.ErrorIs, syscall.ECONNRESET)
				}
				data, err := io.ReadAll(near)
				c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
				c.Check(string(data), qt.Equals, "part")
				_, err = near.Read(make([]byte, 1))
				c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
			}
		})
	}
}

// Reads end with io.EOF after an orderly close, though a write in progress can't be finished.
func TestReadsAfterOrderlyClose(t *testing.T) {
	tests := []struct {
		name  string
		close func(far *net.TCPConn) error
		wrote error // of the write in progress
	}{
		{"other side reads no more", (*net.TCPConn).CloseWrite, os.ErrDeadlineExceeded},
		{"other side closes after all has been read", func(far *net.TCPConn) error {
			if err := far.CloseWrite(); err != nil {
				return err
			}
			_, err := io.Copy(io.Discard, far)
			return err
		}, os.ErrDeadlineExceeded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			near, far := connect(t)
			wrote := make(chan error, 1)
			go func() { wrote <- writeOn(near) }()
			_, err := io.WriteString(far, "whole")
			c.Assert(err, qt.IsNil)
			closed := make(chan error, 1)
			go func() { closed <- test.close(far) }()
			data, err := io.ReadAll(near)
			c.Check(err, qt.IsNil)
			c.Check(string(data), qt.Equals, "whole")
			c.Check(<-wrote, qt.ErrorIs, test.wrote)
			c.Assert(near.Close(), qt.IsNil)
			c.Check(<-closed, qt.IsNil)
		})
	}
}

// A write that fails after the other side has closed in an orderly way says nothing of what was read.
func TestReadsAfterBrokenPipe(t *testing.T) {
	c := qt.New(t)
	near, far := connect(t)
	_, err := io.WriteString(far, "whole")
	c.Assert(err, qt.IsNil)
	c.Assert(far.Close(), qt.IsNil)
	c.Check(writeOn(near), qt.ErrorIs, syscall.EPIPE)
	data, err := io.ReadAll(near)
	c.Check(err, qt.IsNil)
	c.Check(string(data), qt.Equals, "whole")
}

// failingConn is a connection whose writes fail with an error, after which reads find the end.
type failingConn struct {
	net.Conn
	failure error
}

func (c failingConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c failingConn) Write([]byte) (int, error)        { return 0, c.failure }
func (c failingConn) SetWriteDeadline(time.Time) error { return nil }

// Only errors of the connection itself make its end a failure.
func TestEndAfterFailedWrite(t *testing.T) {
	tests := []struct {
		failure error
		read    error
	}{
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		{syscall.EPIPE, io.EOF},
		{os.ErrDeadlineExceeded, io.EOF},
		{net.ErrClosed, io.EOF},
		{errors.New("a stream was cancelled"), io.EOF},
	}
	for _, test := range tests {
		t.Run(test.failure.Error(), func(t *testing.T) {
			near := socket.Wrap(failingConn{failure: &net.OpError{Op: "write", Err: test.failure}})
			_, err := near.Write([]byte("x"))
			qt.Assert(t, err, qt.ErrorIs, test.failure)
			_, err = near.Read(make([]byte, 1))
			qt.Check(t, err, qt.ErrorIs, test.read)
		})
	}
}
