package tunnel_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/standin/cert"
	"github.com/trailshed/trailshed/internal/tunnel"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// waitTimeout bounds every wait. No test asserts that something is fast.
const waitTimeout = 20 * time.Second

// instance has Tunnels whose properties a test can change.
type instance struct {
	*tunnel.Tunnels
	name      string
	transport *peer.Transport
	pool      *uplink.Pool
	knows     atomic.Bool
	sound     atomic.Bool
	cut       atomic.Bool
	now       atomic.Int64
}

// fleet is some instances that may carry connections for each other.
type fleet struct {
	t         *testing.T
	instances []*instance
	dial      func(ctx context.Context, to netip.AddrPort) (net.Conn, error) // to endpoints, if not nil
}

func newFleet(t *testing.T, names ...string) *fleet {
	t.Helper()
	f := &fleet{t: t}
	f.start(names...)
	return f
}

// start starts instances.
func (f *fleet) start(names ...string) {
	t := f.t
	t.Helper()
	dir := t.TempDir()
	authority, err := cert.NewAuthority(dir)
	qt.Assert(t, err, qt.IsNil)
	for _, name := range names {
		qt.Assert(t, authority.Issue(name), qt.IsNil)
		file := filepath.Join(dir, name)
		certificates, err := peer.LoadTLS(filepath.Join(dir, "ca.pem"), file+".pem", file+".key")
		qt.Assert(t, err, qt.IsNil)
		transport, err := peer.Listen(name, netip.MustParseAddrPort("127.0.0.1:0"), certificates, tally.NoopScope)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = transport.Close() })
		f.add(name, transport, 2)
	}
}

// add starts an instance that carries at most limit connections.
func (f *fleet) add(name string, transport *peer.Transport, limit int) {
	i := &instance{name: name, transport: transport}
	i.now.Store(1000)
	now := func() clock.Millis { return clock.Millis(i.now.Load()) }
	i.knows.Store(true)
	i.sound.Store(true)
	i.pool = uplink.NewPool(tally.NoopScope, now)
	if f.dial != nil {
		i.pool.Dial = f.dial
	}
	i.Tunnels = tunnel.New(tunnel.Options{
		Transport: transport, Candidates: func() []tunnel.Peer { return f.others(name) },
		Find: func(wanted string) (tunnel.Peer, bool) {
			for _, p := range f.others(name) {
				if p.Name == wanted {
					return p, true
				}
			}
			return tunnel.Peer{}, false
		},
		Knows: func(tunnel.Destination) bool { return i.knows.Load() },
		Lend: func(ctx context.Context, d tunnel.Destination) (*uplink.Lent, error) {
			return i.pool.Lend(ctx, d.Address, d.EndpointID, d.MaxIdle)
		},
		Cut:   func(tunnel.Destination) bool { return i.cut.Load() },
		Sound: func(context.Context, tunnel.Destination, clock.Millis) bool { return i.sound.Load() },
		Max:   limit, OnServed: func(eventlog.Line, bool) {}, Scope: tally.NoopScope, Now: now,
	})
	f.instances = append(f.instances, i)
}

// others returns the other instances in the order of their start.
func (f *fleet) others(name string) []tunnel.Peer {
	var list []tunnel.Peer
	for _, i := range f.instances {
		if i.name != name {
			list = append(list, tunnel.Peer{Name: i.name, Address: i.transport.Address()})
		}
	}
	return list
}

// endpoint is a TCP server that returns each line, or does what the line says.
type endpoint struct {
	tunnel.Destination
	accepted atomic.Int64
	closed   atomic.Int64 // connections that the other side closed
}

func newEndpoint(t *testing.T) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	e := &endpoint{Destination: tunnel.Destination{
		Address: netip.MustParseAddrPort(l.Addr().String()), EndpointID: "e1", Service: "web", MaxIdle: time.Second,
	}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.accepted.Add(1)
			go e.serve(c)
		}
	}()
	return e
}

func (e *endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	lines := bufio.NewReader(c)
	for {
		line, err := lines.ReadString('\n')
		switch {
		case err != nil:
			e.closed.Add(1)
			return
		case line == "close\n":
			_, _ = c.Write([]byte("closing"))
			return
		case line == "reset\n":
			_, _ = c.Write([]byte("partial"))
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = c.Write([]byte(line))
	}
}

// exchange sends a line and reads as many bytes.
func exchange(t *testing.T, c net.Conn, line string) {
	t.Helper()
	_, err := c.Write([]byte(line))
	qt.Assert(t, err, qt.IsNil)
	got := make([]byte, len(line))
	_, err = io.ReadFull(c, got)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, line)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A connection that was finished carries the next exchange, one that was closed does not.
func TestExchanges(t *testing.T) {
	c := qt.New(t)
	f, e := newFleet(t, "n1", "n2"), newEndpoint(t)
	long := string(bytes.Repeat([]byte("x"), 200<<10)) + "\n"
	for _, line := range []string{"one\n", long, "two\n"} {
		conn, err := f.instances[0].Dial(t.Context(), e.Destination)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.Peer(), qt.Equals, "n2")
		go func() { _, _ = conn.Write([]byte(line)) }()
		got := make([]byte, len(line))
		_, err = io.ReadFull(conn, got)
		c.Assert(err, qt.IsNil)
		c.Assert(string(got) == line, qt.IsTrue)
		conn.Finish()
		eventually(t, "connection is given back", func() bool {
			_, carried := f.instances[1].Open()
			return carried == 0
		})
	}
	c.Assert(e.accepted.Load(), qt.Equals, int64(1))
	conn, err := f.instances[0].Dial(t.Context(), e.Destination)
	c.Assert(err, qt.IsNil)
	exchange(t, conn, "three\n")
	c.Assert(conn.Close(), qt.IsNil)
	eventually(t, "endpoint sees the close", func() bool { return e.closed.Load() == 1 })
	through, _ := f.instances[0].Open()
	c.Assert(through, qt.Equals, int64(0))
}

// The end of some answers is the end of the connection, so a reset must not look like one.
func TestEndOfConnection(t *testing.T) {
	tests := []struct {
		line, text string
		whole      bool
	}{
		{"close\n", "closing", true},
		{"reset\n", "partial", false},
	}
	for _, test := range tests {
		t.Run(test.line, func(t *testing.T) {
			c := qt.New(t)
			f, e := newFleet(t, "n1", "n2"), newEndpoint(t)
			conn, err := f.instances[0].Dial(t.Context(), e.Destination)
			c.Assert(err, qt.IsNil)
			_, err = conn.Write([]byte(test.line))
			c.Assert(err, qt.IsNil)
			text, err := io.ReadAll(conn)
			c.Assert(err == nil, qt.Equals, test.whole)
			if test.whole {
				c.Assert(string(text), qt.Equals, test.text)
			}
			c.Assert(conn.Close(), qt.IsNil)
			eventually(t, "nothing is carried", func() bool {
				_, carried := f.instances[1].Open()
				return carried == 0
			})
		})
	}
}

// What a peer answers decides whether the endpoint is at fault.
func TestRefusals(t *testing.T) {
	refusing := tunnel.Destination{Address: closedPort(t), EndpointID: "e1", Service: "web"}
	tests := []struct {
		name   string
		change func(n2 *instance)
		to     func(e *endpoint) tunnel.Destination
		err    error
	}{
		{"endpoint refuses", func(*instance) {}, func(*endpoint) tunnel.Destination { return refusing }, tunnel.ErrRefused},
		{"peer's links may be lost, too", func(i *instance) { i.sound.Store(false) }, func(*endpoint) tunnel.Destination { return refusing }, tunnel.ErrNoPeer},
		{"peer has lost its links", func(i *instance) { i.cut.Store(true) }, func(e *endpoint) tunnel.Destination { return e.Destination }, tunnel.ErrNoPeer},
		{"peer does not know the endpoint", func(i *instance) { i.knows.Store(false) }, func(e *endpoint) tunnel.Destination { return e.Destination }, tunnel.ErrNoPeer},
		{"peer is leaving", func(i *instance) { i.Refuse() }, func(e *endpoint) tunnel.Destination { return e.Destination }, tunnel.ErrNoPeer},
		{"peer is gone", func(i *instance) { _ = i.transport.Close() }, func(e *endpoint) tunnel.Destination { return e.Destination }, tunnel.ErrNoPeer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, e := newFleet(t, "n1", "n2"), newEndpoint(t)
			test.change(f.instances[1])
			_, err := f.instances[0].Dial(t.Context(), test.to(e))
			qt.Assert(t, errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, e.accepted.Load(), qt.Equals, int64(0))
		})
	}
}

// closedPort returns an address where nobody listens.
func closedPort(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// An instance that carries as many connections as it can says so, and another one is used.
func TestFullPeer(t *testing.T) {
	c := qt.New(t)
	f, e := newFleet(t, "n1", "n2", "n3"), newEndpoint(t)
	carriers := map[string]int{}
	var last *tunnel.Conn
	for range 4 { // two each
		conn, err := f.instances[0].Dial(t.Context(), e.Destination)
		c.Assert(err, qt.IsNil)
		carriers[conn.Peer()]++
		last = conn
		defer conn.Finish()
	}
	c.Assert(carriers, qt.DeepEquals, map[string]int{"n2": 2, "n3": 2})
	_, err := f.instances[0].Dial(t.Context(), e.Destination)
	c.Assert(errors.Is(err, tunnel.ErrNoPeer), qt.IsTrue)
	// One that ends makes room soon.
	f.instances[0].now.Add(200)
	last.Finish()
	eventually(t, "a connection is carried again", func() bool {
		conn, err := f.instances[0].Dial(t.Context(), e.Destination)
		f.instances[0].now.Add(200)
		if err == nil {
			conn.Finish()
		}
		return err == nil
	})
}

// A peer that could not help with one service is asked about another, and again after a while.
func TestBackoffs(t *testing.T) {
	c := qt.New(t)
	f, e := newFleet(t, "n1", "n2"), newEndpoint(t)
	n1, n2 := f.instances[0], f.instances[1]
	n2.cut.Store(true)
	_, err := n1.Dial(t.Context(), e.Destination)
	c.Assert(err, qt.IsNotNil)
	n2.cut.Store(false)
	_, err = n1.Dial(t.Context(), e.Destination)
	c.Assert(errors.Is(err, tunnel.ErrNoPeer), qt.IsTrue)
	other := e.Destination
	other.Service = "llm"
	conn, err := n1.Dial(t.Context(), other)
	c.Assert(err, qt.IsNil)
	conn.Finish()
	n1.now.Add(2000)
	conn, err = n1.Dial(t.Context(), e.Destination)
	c.Assert(err, qt.IsNil)
	conn.Finish()
}

// A peer that has lost its links names the instance through which it reaches endpoints itself.
func TestReferral(t *testing.T) {
	c := qt.New(t)
	f, e := newFleet(t, "n1", "n2", "n3", "n4", "n5", "n6"), newEndpoint(t)
	n5 := f.instances[4]
	for _, i := range f.instances[:4] {
		i.cut.Store(true)
	}
	f.instances[5].cut.Store(true)
	// The other instances find n5 in the end, each by its own attempts.
	for _, i := range f.instances[1:4] {
		for range 3 {
			if conn, err := i.Dial(t.Context(), e.Destination); err == nil {
				conn.Finish()
			}
		}
	}
	conn, err := f.instances[0].Dial(t.Context(), e.Destination)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Peer(), qt.Equals, n5.name)
	conn.Finish()
}

// An instance that leaves waits for what it carries.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	f, e := newFleet(t, "n1", "n2"), newEndpoint(t)
	conn, err := f.instances[0].Dial(t.Context(), e.Destination)
	c.Assert(err, qt.IsNil)
	f.instances[1].Refuse()
	drained := make(chan struct{})
	go func() {
		f.instances[1].Drain(t.Context())
		close(drained)
	}()
	exchange(t, conn, "still here\n")
	select {
	case <-drained:
		t.Fatal("drained while a connection was carried")
	default:
	}
	conn.Finish()
	<-drained
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = f.instances[0].Dial(ctx, e.Destination)
	c.Assert(err, qt.IsNotNil)
}

// What an instance carried at its exit looked as if the endpoint were silent, until the peer noticed that the instance
// was gone.
func TestDrainBreaksOffAtItsEnd(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration
	}{
		{"some time is left", 200 * time.Millisecond},
		{"no time is left", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f, e := newFleet(t, "n1", "n2"), newEndpoint(t)
			var conn *tunnel.Conn
			var err error
			// On a busy machine a peer's answer may come too late to count.
			eventually(t, "a connection through the peer", func() bool {
				conn, err = f.instances[0].Dial(t.Context(), e.Destination)
				return err == nil
			})
			exchange(t, conn, "begun\n")
			f.instances[1].Refuse()
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			f.instances[1].Drain(ctx)
			c.Assert(conn.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
			_, err = conn.Read(make([]byte, 1))
			c.Check(err, qt.IsNotNil)
			c.Check(errors.Is(err, io.EOF), qt.IsFalse) // an end would look like a whole answer
			c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
			eventually(t, "the endpoint's connection is closed", func() bool { return e.closed.Load() == 1 })
		})
	}
}

// A peer that has just reached a service is asked again about its other endpoints when one of
// them refuses it.
func TestPeerThatWorkedIsKept(t *testing.T) {
	c := qt.New(t)
	f, e := newFleet(t, "n1", "n2"), newEndpoint(t)
	conn, err := f.instances[0].Dial(t.Context(), e.Destination)
	c.Assert(err, qt.IsNil)
	conn.Finish()
	f.instances[1].sound.Store(false)
	crashed := e.Destination
	crashed.Address, crashed.EndpointID = closedPort(t), "e2"
	_, err = f.instances[0].Dial(t.Context(), crashed)
	c.Assert(errors.Is(err, tunnel.ErrNoPeer), qt.IsTrue)
	conn, err = f.instances[0].Dial(t.Context(), e.Destination)
	c.Assert(err, qt.IsNil)
	conn.Finish()
}
