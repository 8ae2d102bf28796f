//go:build review

package main

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxy is one gateway's path to the store. It can reset all connections, as while the store is down, or let
// those on which nothing has passed for a while go silent for good, as a stateful firewall does.
type proxy struct {
	address  netip.AddrPort
	target   string
	onSilent func() // called when a connection has gone silent

	mu       sync.Mutex
	down     bool
	idleTime time.Duration // after which a connection goes silent; 0: never
	silences []time.Time   // when connections went silent
	flows    map[*flow]struct{}
}

// flow is one connection through a proxy.
type flow struct {
	proxy  *proxy
	client *net.TCPConn
	server *net.TCPConn

	mu       sync.Mutex
	passedAt time.Time
	silent   bool
}

func newProxy(target string, onSilent func()) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: netip.MustParseAddrPort(l.Addr().String()), target: target, onSilent: onSilent, flows: map[*flow]struct{}{}}
	go p.accept(l)
	go p.watchIdle()
	return p, nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.open(c.(*net.TCPConn))
	}
}

func (p *proxy) open(client *net.TCPConn) {
	server, err := net.Dial("tcp", p.target)
	p.mu.Lock()
	if err != nil || p.down {
		p.mu.Unlock()
		reset(client)
		if err == nil {
			_ = server.Close()
		}
		return
	}
	f := &flow{proxy: p, client: client, server: server.(*net.TCPConn), passedAt: time.Now()}
	p.flows[f] = struct{}{}
	p.mu.Unlock()
	go f.pass(f.server, f.client)
	f.pass(f.client, f.server)
}

// pass copies bytes until the connection ends. What comes once the connection is silent is dropped.
func (f *flow) pass(to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		f.mu.Lock()
		silent := f.silent
		f.passedAt = time.Now()
		f.mu.Unlock()
		if n > 0 && !silent {
			if _, wrote := to.Write(buffer[:n]); wrote != nil {
				err = wrote
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && !silent {
			_ = to.CloseWrite()
		}
		if silent && from == f.server {
			return // the gateway hears nothing of it
		}
		f.close()
		return
	}
}

func (f *flow) close() {
	_ = f.client.Close()
	_ = f.server.Close()
	f.proxy.mu.Lock()
	defer f.proxy.mu.Unlock()
	delete(f.proxy.flows, f)
}

func (p *proxy) watchIdle() {
	for range time.Tick(20 * time.Millisecond) {
		p.mu.Lock()
		idleTime, flows := p.idleTime, p.list()
		p.mu.Unlock()
		for _, f := range flows {
			if idleTime > 0 && f.silence(idleTime) {
				p.mu.Lock()
				p.silences = append(p.silences, time.Now())
				p.mu.Unlock()
				p.onSilent()
			}
		}
	}
}

// silence makes the connection silent if nothing has passed for a time, and reports whether it has.
func (f *flow) silence(after time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent || time.Since(f.passedAt) < after {
		return false
	}
	f.silent = true
	return true
}

// list returns the connections. The lock must be held.
func (p *proxy) list() (all []*flow) {
	for f := range p.flows {
		all = append(all, f)
	}
	return all
}

// silenceIdle makes connections go silent on which nothing passes for a time.
func (p *proxy) silenceIdle(after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTime = after
}

// lastSilence returns how long before a time a connection went silent last. ok is false if none had.
func (p *proxy) lastSilence(before time.Time) (ago time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.silences {
		if at.Before(before) {
			ago, ok = before.Sub(at), true
		}
	}
	return ago, ok
}

// setDown resets all connections, and further ones until it is called with false.
func (p *proxy) setDown(down bool) {
	p.mu.Lock()
	p.down = down
	flows := p.list()
	p.mu.Unlock()
	if !down {
		return
	}
	for _, f := range flows {
		reset(f.client)
		f.close()
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
