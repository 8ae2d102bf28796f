package uplink

import (
	"syscall"
)

// quiet says whether an idle connection is open and holds no unread byte. A
// byte that arrives without a question is a late second answer, and the
// connection must not carry another request.
func quiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // a pipe in a test
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), one[:])
		open = err == syscall.EAGAIN
		return true // never wait
	})
	return err == nil && open
}
