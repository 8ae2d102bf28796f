package tunnel

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trailshed/trailshed/internal/peer"
)

// Conn is a connection to an endpoint through a peer.
type Conn struct {
	stream   *peer.Stream
	peerName string
	peer     netip.AddrPort
	endpoint netip.AddrPort
	read     atomic.Int64 // bytes that were read
	end      sync.Once
	ended    func()
}

// Peer returns the name of the instance that carries the connection.
func (c *Conn) Peer() string { return c.peerName }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.stream.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) { return c.stream.Write(b) }

// Close breaks off the connection; the peer closes its own to the endpoint.
func (c *Conn) Close() error {
	c.end.Do(func() {
		c.stream.Abort()
		c.ended()
	})
	return nil
}

// Finish ends the connection after a complete exchange; the peer may use its connection to the
// endpoint for another request.
func (c *Conn) Finish() {
	c.end.Do(func() {
		c.stream.FinishAfter(c.read.Load())
		c.ended()
	})
}

// LocalAddr returns the address of the peer, from which the endpoint is reached.
func (c *Conn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.peer) }

// RemoteAddr returns the endpoint's address.
func (c *Conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.endpoint) }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error { return c.stream.SetDeadline(at) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(at time.Time) error { return c.stream.SetReadDeadline(at) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(at time.Time) error { return c.stream.SetWriteDeadline(at) }
