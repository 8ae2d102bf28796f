package link

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// port is a loopback port that is kept while nobody listens on it: a socket is bound to
// it that never listens, and the listeners share the port with that one.
type port struct {
	address netip.AddrPort
	socket  int
}

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

func (p *port) listen() (net.Listener, error) {
	share := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return share.Listen(context.Background(), "tcp", p.address.String())
}

func (p *port) release() { _ = unix.Close(p.socket) }
