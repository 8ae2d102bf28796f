// Package ether is a loopback UDP proxy in front of one process. It tells the
// senders apart by their addresses, so that the way from one process to another
// can be cut in one direction, or made to lose datagrams.
package ether

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// datagram is the largest that is passed; QUIC stays below.
const datagram = 2048

// Loss says which part, from 0 to 1, of the datagrams between two addresses is
// lost; near is the process behind the proxy, far the other one.
type Loss func(from, to netip.AddrPort) float64

// Ether passes datagrams to one process and its replies back.
type Ether struct {
	Address netip.AddrPort

	near   netip.AddrPort
	loss   Loss
	front  *net.UDPConn
	mu     sync.Mutex
	behind map[netip.AddrPort]*net.UDPConn // by sender: the socket that the process sees
}

// New opens a proxy on address before the process at near.
func New(address, near netip.AddrPort, loss Loss) (*Ether, error) {
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	e := &Ether{Address: address, near: near, loss: loss, front: front, behind: map[netip.AddrPort]*net.UDPConn{}}
	go e.forward()
	return e, nil
}

// Close ends the proxy.
func (e *Ether) Close() {
	_ = e.front.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.behind {
		_ = c.Close()
	}
}

func (e *Ether) forward() {
	buffer := make([]byte, datagram)
	for {
		n, far, err := e.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // closed
		}
		if rand.Float64() < e.loss(far, e.near) {
			continue
		}
		c, err := e.socket(far)
		if err != nil {
			continue // the datagram is lost, as datagrams may be
		}
		_, _ = c.Write(buffer[:n]) // the process may be down: lost as well
	}
}

func (e *Ether) socket(far netip.AddrPort) (*net.UDPConn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.behind[far]; c != nil {
		return c, nil
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(e.near))
	if err != nil {
		return nil, err
	}
	e.behind[far] = c
	go e.back(far, c)
	return c, nil
}

// back passes a process's replies to one sender. A refused port is no end: the
// process may come back.
func (e *Ether) back(far netip.AddrPort, c *net.UDPConn) {
	buffer := make([]byte, datagram)
	for {
		n, err := c.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if rand.Float64() < e.loss(e.near, far) {
			continue
		}
		_, _ = e.front.WriteToUDPAddrPort(buffer[:n], far) // lost, if it fails
	}
}
