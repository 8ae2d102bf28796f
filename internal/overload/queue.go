package overload

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// queueLength returns how many connections of a port are yet to be accepted, or 0 if that is not known.
func queueLength(port net.Listener) int {
	raw, ok := port.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0 // it is closed
	}
	length := 0
	err = control.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			length = int(info.Unacked) // of a listening socket
		}
	})
	if err != nil {
		return 0 // it is closed
	}
	return length
}
