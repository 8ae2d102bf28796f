package link

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// port is a loopback port that stays reserved while nothing listens on it: a socket that
// never listens is bound to it, and listeners share the port by SO_REUSEPORT.
type port struct {
	address netip.AddrPort
	socket  int
}

// reserve reserves a free port.
func reserve() (*port, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	p := &port{socket: socket}
	if err := p.bind(); err != nil {
		p.release()
		return nil, err
	}
	return p, nil
}

// bind binds the reserving socket to a free port and stores the port's address.
func (p *port) bind() error {
	if err := unix.SetsockoptInt(p.socket, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		return err
	}
	if err := unix.Bind(p.socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	name, err := unix.Getsockname(p.socket)
	if err != nil {
		return err
	}
	if at, ok := name.(*unix.SockaddrInet4); ok {
		p.address = netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port))
	}
	return nil
}

// listen opens a listener on the port.
func (p *port) listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	return config.Listen(context.Background(), "tcp", p.address.String())
}

// release gives up the reservation.
func (p *port) release() { _ = unix.Close(p.socket) }
