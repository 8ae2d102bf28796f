package tunnel_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/tunnel"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// poolThrough returns a pool whose connections lead through a peer of the fleet's first instance.
func (f *fleet) poolThrough() *uplink.Pool {
	p := uplink.NewPool(tally.NoopScope, clock.System())
	f.t.Cleanup(p.Close)
	p.Connect = func(ctx context.Context, m uplink.Message) (uplink.Path, error) {
		c, err := f.instances[0].Dial(ctx, tunnel.Destination{Address: m.Address, EndpointID: m.EndpointID, Service: "web", MaxIdle: m.MaxIdle})
		if err != nil {
			return uplink.Path{}, err
		}
		return uplink.Path{Conn: c, Peer: c.Peer(), Finish: c.Finish}, nil
	}
	return p
}

// waitCarried waits until no connection is carried.
func (f *fleet) waitCarried() {
	f.t.Helper()
	eventually(f.t, "nothing is carried", func() bool {
		_, carried := f.instances[1].Open()
		return carried == 0
	})
}

// listen returns a destination whose connections are passed to serve with their number, from 1 on.
func listen(t *testing.T, serve func(n int, c net.Conn)) tunnel.Destination {
	t.Helper()
	e := newEndpoint(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	d := e.Destination
	d.Address = l.Addr().(*net.TCPAddr).AddrPort()
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(n, c)
		}
	}()
	return d
}

// Guards against a peer that lends a used connection for a request that needs a new one, as its endpoint was sent the
// request before, and against the loss of the used one.
func TestNewConnectionThroughPeer(t *testing.T) {
	c := qt.New(t)
	f, e := newFleet(t, "n1", "n2"), newEndpoint(t)
	for _, test := range []struct {
		maxIdle  time.Duration
		accepted int64
	}{{time.Second, 1}, {0, 2}, {time.Second, 2}, {time.Second, 2}, {0, 3}} {
		d := e.Destination
		d.MaxIdle = test.maxIdle
		conn, err := f.instances[0].Dial(t.Context(), d)
		c.Assert(err, qt.IsNil)
		exchange(t, conn, "line\n")
		conn.Finish()
		f.waitCarried()
		c.Assert(e.accepted.Load(), qt.Equals, test.accepted)
	}
	c.Check(e.closed.Load(), qt.Equals, int64(0))
}

// arrivals is an endpoint that records what arrives and does not answer.
type arrivals struct {
	mu   sync.Mutex
	text strings.Builder
}

func (a *arrivals) serve(_ int, c net.Conn) {
	defer func() { _ = c.Close() }()
	buffer := make([]byte, 4<<10)
	for {
		n, err := c.Read(buffer)
		a.mu.Lock()
		a.text.Write(buffer[:min(n, 256)]) // the begin of each request
		a.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (a *arrivals) contain(text string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.Contains(a.text.String(), text)
}

// interruptedConn calls interrupt before each write.
type interruptedConn struct {
	net.Conn
	interrupt func()
}

func (c interruptedConn) Write(b []byte) (int, error) {
	c.interrupt()
	return c.Conn.Write(b)
}

// Guards against a request that is said not to have been sent, and of which something arrives: a write that fails with
// no byte written says so for an own connection and for a stream to a peer, whenever the context ends.
func TestNothingArrivesOfWhatWasNotSent(t *testing.T) {
	const requests = 60
	tests := []struct {
		name        string
		throughPeer bool
	}{{"own connection", false}, {"through a peer", true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			f := newFleet(t, "n1", "n2")
			var a arrivals
			d := listen(t, a.serve)
			p := uplink.NewPool(tally.NoopScope, clock.System())
			if test.throughPeer {
				p = f.poolThrough()
			}
			connect := p.Connect
			var unsent, sent []string
			for n := range requests {
				id := fmt.Sprintf("request-%03d", n)
				ctx, cancel := context.WithCancel(t.Context())
				delay, atOnce := time.Duration(random.IntN(400))*time.Microsecond, random.IntN(2) == 0
				p.Connect = func(ctx context.Context, m uplink.Message) (uplink.Path, error) {
					path, err := connect(ctx, m)
					path.Conn = interruptedConn{path.Conn, func() {
						if atOnce {
							cancel()
							time.Sleep(delay)
							return
						}
						time.AfterFunc(delay, cancel)
					}}
					return path, err
				}
				header := http.Header{"Long": {strings.Repeat("x", []int{1, 4 << 10, 2 << 20}[random.IntN(3)])}}
				time.AfterFunc(50*time.Millisecond, cancel) // nobody answers
				_, err := p.Do(ctx, uplink.Message{
					Address: d.Address, EndpointID: d.EndpointID, Method: http.MethodPost, Target: "/" + id, Host: "h", Header: header,
				}, func(*http.Response) bool { return true })
				c.Assert(err, qt.IsNotNil)
				if errors.Is(err, uplink.ErrNotSent) {
					unsent = append(unsent, id)
				} else {
					sent = append(sent, id)
				}
				f.waitCarried()
			}
			c.Check(len(unsent) > 0, qt.IsTrue)
			c.Check(len(sent) > 0, qt.IsTrue)
			for _, id := range unsent {
				c.Check(a.contain(id), qt.IsFalse, qt.Commentf("%s arrived", id))
			}
			t.Logf("%d of %d requests were not sent", len(unsent), requests)
		})
	}
}
