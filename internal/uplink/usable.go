package uplink

import (
	"errors"
	"syscall"
)

// usable reports whether an idle connection is open and holds no unread byte. Unsolicited
// bytes are a late second response to an earlier request, and such a connection must not
// carry another request.
func usable(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	control, err := c.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return true // a net.Pipe in a test
	}
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), one[:])
		open = err == syscall.EAGAIN
		return true // do not block
	})
	return err == nil && open
}
