// Package ether is a loopback UDP proxy in front of one process. It uses a separate socket
// for each sender address, so that traffic between two processes can be cut in one
// direction only, or made lossy.
package ether

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// maxDatagram is the size of the largest datagram that is forwarded; QUIC's are smaller.
const maxDatagram = 2048

// Loss returns the fraction, from 0 to 1, of datagrams between two addresses that is to be
// dropped.
type Loss func(from, to netip.AddrPort) float64

// Proxy forwards datagrams to one process, the target, and its replies back.
type Proxy struct {
	Address netip.AddrPort

	target  netip.AddrPort
	loss    Loss
	front   *net.UDPConn
	mu      sync.Mutex
	sockets map[netip.AddrPort]*net.UDPConn // by sender: the socket connected to the target
}

// New opens a proxy on address for the process at target.
func New(address, target netip.AddrPort, loss Loss) (*Proxy, error) {
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: address, target: target, loss: loss, front: front, sockets: map[netip.AddrPort]*net.UDPConn{}}
	go p.forward()
	return p, nil
}

// Close closes all sockets of the proxy.
func (p *Proxy) Close() {
	_ = p.front.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.sockets {
		_ = c.Close()
	}
}

// forward forwards datagrams to the target until the proxy is closed.
func (p *Proxy) forward() {
	buffer := make([]byte, maxDatagram)
	for {
		n, sender, err := p.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // closed
		}
		if rand.Float64() < p.loss(sender, p.target) {
			continue
		}
		c, err := p.socket(sender)
		if err != nil {
			continue // the datagram is dropped, as UDP permits
		}
		_, _ = c.Write(buffer[:n]) // dropped if the process is down
	}
}

// socket returns the socket towards the target for a sender, and opens it if necessary.
func (p *Proxy) socket(sender netip.AddrPort) (*net.UDPConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.sockets[sender]; c != nil {
		return c, nil
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.target))
	if err != nil {
		return nil, err
	}
	p.sockets[sender] = c
	go p.forwardReplies(sender, c)
	return c, nil
}

// forwardReplies forwards the target's replies to one sender. It continues after a refused
// port, since the process may be restarted.
func (p *Proxy) forwardReplies(sender netip.AddrPort, c *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := c.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if rand.Float64() < p.loss(p.target, sender) {
			continue
		}
		_, _ = p.front.WriteToUDPAddrPort(buffer[:n], sender) // dropped on failure
	}
}
