// Package link is a loopback TCP proxy that can delay, block (in one direction or both),
// refuse and reset connections, without the cooperation of the processes that use it.
package link

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Fault is what a link does to the connections through it.
type Fault int

// Faults of a link.
const (
	Clean     Fault = iota
	Delayed         // each chunk of data is delayed by Delay
	NoReplies       // data to the target passes, data from it is held back
	Silent          // data is held back in both directions; connections stay open
	Refused         // connections are refused, as by a port without a listener
)

// Delay is how long a delayed link holds back each chunk.
const Delay = 120 * time.Millisecond

const (
	// maxFillers connections fill a queue of length 0.
	maxFillers = 8
	// fillTimeout is how long one of these may take to come up if a caller's has filled the queue meanwhile.
	fillTimeout = 20 * time.Millisecond
)

// chunkSize is the maximum number of bytes forwarded at a time.
const chunkSize = 16 << 10

// Link forwards connections to its address to a target.
type Link struct {
	Address netip.AddrPort

	port        *port
	accepting   sync.Mutex // held while a connection is accepted; locked after mu
	mu          sync.Mutex
	listener    net.Listener // nil while connections are refused
	target      netip.AddrPort
	fault       Fault
	changed     chan struct{} // closed and replaced when the fault changes
	connections map[net.Conn]bool
	holds       int        // calls of Hold in force
	fillers     []net.Conn // connections that fill the listener's queue during a hold
}

// New opens a link to target on a loopback port.
func New(target netip.AddrPort) (*Link, error) {
	p, err := reserve()
	if err != nil {
		return nil, err
	}
	l, err := p.listen()
	if err != nil {
		p.release()
		return nil, err
	}
	link := &Link{
		Address: p.address, port: p, listener: l, target: target,
		changed: make(chan struct{}), connections: map[net.Conn]bool{},
	}
	go link.accept(l)
	return link, nil
}

// Set changes the fault. Data that was held back passes once the fault permits it.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
	switch {
	case f == Refused && l.listener != nil:
		_ = l.listener.Close()
		l.listener = nil
	case f != Refused && l.listener == nil:
		l.listen()
	}
}

// listen starts to listen again. It fails only if the machine has no file descriptors left;
// the link then keeps refusing connections.
func (l *Link) listen() {
	listener, err := l.port.listen()
	if err != nil {
		return
	}
	l.listener = listener
	if l.holds > 0 {
		l.fillQueue()
	}
	go l.accept(listener)
}

// Hold makes the link silent beside its fault: data is held back in both directions, and new
// connections do not come up, like those to a machine that cannot be reached. The returned
// function ends the hold, after which everything goes on.
func (l *Link) Hold() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holds++
	if l.holds == 1 {
		l.fillQueue()
	}
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.holds--
		if l.holds > 0 {
			return
		}
		setQueue(l.listener, unix.SOMAXCONN, time.Time{})
		for _, c := range l.fillers {
			_ = c.Close()
		}
		l.fillers = nil
		close(l.changed)
		l.changed = make(chan struct{})
	})
}

// fillQueue fills the queue of the listener, from which nothing is accepted during a hold, so that the
// kernel drops attempts to connect.
func (l *Link) fillQueue() {
	setQueue(l.listener, 0, time.Unix(1, 0))
	l.accepting.Lock() // an accept under way takes a connection in spite of the deadline
	defer l.accepting.Unlock()
	for len(l.fillers) < maxFillers && hasRoom(l.listener) {
		c, err := (&net.Dialer{Timeout: fillTimeout}).DialContext(context.Background(), "tcp", l.Address.String())
		if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
			continue // a caller's connection came first, or this process was slow
		}
		if err != nil {
			return // the machine has no file descriptors left
		}
		l.fillers = append(l.fillers, c)
	}
}

// hasRoom reports whether a listener is open and its queue takes another connection.
func hasRoom(listener net.Listener) (room bool) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		// Of a listener, Unacked is the length of the queue, and Sacked the length beyond which it is full.
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		room = err == nil && info.Unacked <= info.Sacked
	})
	return room
}

// setQueue sets the length of a listener's queue and the deadline of accepting from it. It has no effect
// on a listener that is closed.
func setQueue(listener net.Listener, length int, deadline time.Time) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return
	}
	_ = tcp.SetDeadline(deadline)
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), length) })
	}
}

// waitHeld waits until the link is not held.
func (l *Link) waitHeld() {
	for {
		l.mu.Lock()
		held, changed := l.holds > 0, l.changed
		l.mu.Unlock()
		if !held {
			return
		}
		<-changed
	}
}

// SetTarget sets the target of new connections, as when an address is reused by another
// process.
func (l *Link) SetTarget(target netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		reset(c)
	}
	l.connections = map[net.Conn]bool{}
}

// Close closes the link with all its connections and releases its port.
func (l *Link) Close() {
	l.Set(Refused)
	l.Reset()
	l.port.release()
}

// accept serves connections until the listener is closed.
func (l *Link) accept(listener net.Listener) {
	for {
		l.accepting.Lock()
		c, err := listener.Accept()
		l.accepting.Unlock()
		l.waitHeld()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // a hold has ended
		}
		if err != nil {
			return // closed
		}
		go l.serve(c)
	}
}

// serve forwards one connection in both directions until it ends.
func (l *Link) serve(client net.Conn) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", target.String())
	if err != nil {
		reset(client) // the target does not listen; a reset is the closest to a refused connection
		return
	}
	l.mu.Lock()
	l.connections[client], l.connections[server] = true, true
	l.mu.Unlock()
	go l.forward(server, client, false)
	l.forward(client, server, true)
	l.mu.Lock()
	delete(l.connections, client)
	delete(l.connections, server)
	l.mu.Unlock()
}

// forward copies data from one side to the other until either side ends, and then closes
// or resets the other side likewise. fromTarget is the direction of the data.
func (l *Link) forward(to, from net.Conn, fromTarget bool) {
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		l.wait(fromTarget)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.Close()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// wait blocks for as long as the fault holds back data of a direction.
func (l *Link) wait(fromTarget bool) {
	for {
		l.mu.Lock()
		fault, changed, held := l.fault, l.changed, l.holds > 0
		l.mu.Unlock()
		switch {
		case held:
			<-changed
		case fault == Delayed:
			time.Sleep(Delay)
			return
		case fault == Silent, fault == NoReplies && fromTarget:
			<-changed
		default:
			return
		}
	}
}

// reset closes a connection by a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
