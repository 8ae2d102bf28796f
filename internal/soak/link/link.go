// Package link is a loopback TCP proxy whose connections can be delayed, cut
// one way, silenced, refused and reset from outside the processes that use it.
package link

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is what a link does to what passes through it.
type Fault int

// Faults of a link.
const (
	Clean     Fault = iota
	Delayed         // each piece is held up for Delay
	NoAnswers       // what goes there passes, what comes back is held
	Silent          // nothing passes either way; connections stay open
	Refused         // nobody listens, as where a process has ended
)

// Delay is how long a delayed link holds up each piece.
const Delay = 120 * time.Millisecond

// piece is how many bytes pass at a time.
const piece = 16 << 10

// Link passes connections to its address on to a target.
type Link struct {
	Address netip.AddrPort

	port     *port
	mu       sync.Mutex
	listener net.Listener // nil while it refuses
	target   netip.AddrPort
	fault    Fault
	turned   chan struct{} // closed and replaced when the fault changes
	open     map[net.Conn]bool
}

// New opens a link to target.
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
		turned: make(chan struct{}), open: map[net.Conn]bool{},
	}
	go link.accept(l)
	return link, nil
}

// Set changes the fault; what was held passes once the link is clean.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.turned)
	l.turned = make(chan struct{})
	switch {
	case f == Refused && l.listener != nil:
		_ = l.listener.Close()
		l.listener = nil
	case f != Refused && l.listener == nil:
		l.listen()
	}
}

// listen listens again. It can fail only where the machine has no descriptors left;
// the link refuses on then.
func (l *Link) listen() {
	again, err := l.port.listen()
	if err != nil {
		return
	}
	l.listener = again
	go l.accept(again)
}

// Aim sends new connections to another target, as when an address is reused.
func (l *Link) Aim(target netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		reset(c)
	}
	l.open = map[net.Conn]bool{}
}

// Close ends the link.
func (l *Link) Close() {
	l.Set(Refused)
	l.Reset()
	l.port.release()
}

func (l *Link) accept(from net.Listener) {
	for {
		c, err := from.Accept()
		if err != nil {
			return // closed
		}
		go l.serve(c)
	}
}

func (l *Link) serve(near net.Conn) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", target.String())
	if err != nil {
		reset(near) // nobody listens there: callers see what a dead port does
		return
	}
	l.mu.Lock()
	l.open[near], l.open[far] = true, true
	l.mu.Unlock()
	go l.pass(far, near, false)
	l.pass(near, far, true)
	l.mu.Lock()
	delete(l.open, near)
	delete(l.open, far)
	l.mu.Unlock()
}

// pass copies from one side to the other until either ends, and ends the other
// side in the same way.
func (l *Link) pass(to, from net.Conn, answers bool) {
	buffer := make([]byte, piece)
	for {
		n, err := from.Read(buffer)
		l.hold(answers)
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

// hold waits as the fault demands.
func (l *Link) hold(answers bool) {
	for {
		l.mu.Lock()
		fault, turned := l.fault, l.turned
		l.mu.Unlock()
		switch {
		case fault == Delayed:
			time.Sleep(Delay)
			return
		case fault == Silent, fault == NoAnswers && answers:
			<-turned
		default:
			return
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
