package peer_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/standin/cert"
)

// processes starts transports with self-signed certificates, whose fingerprints all of
// them trust.
type processes struct {
	t     *testing.T
	names sync.Map // by fingerprint
}

// start runs a transport that handles the call "double".
func (p *processes) start(name string, address netip.AddrPort) *node {
	p.t.Helper()
	own, err := peer.NewIdentity(name)
	qt.Assert(p.t, err, qt.IsNil)
	p.names.Store(own.Fingerprint, name)
	pinned := peer.PinnedTLS(own, func(fingerprint string) (string, bool) {
		known, ok := p.names.Load(fingerprint)
		if !ok {
			return "", false
		}
		return known.(string), true
	})
	n := openAt(p.t, name, address, pinned, tally.NoopScope, func(n *node) {
		peer.HandleCall(n.router, n.Transport, "double", func(_ context.Context, _ peer.Sender, v int) int { return 2 * v })
	})
	p.t.Cleanup(n.close)
	return n
}

func (p *processes) call(from, to *node) error {
	ctx, cancel := context.WithTimeout(p.t.Context(), time.Second)
	defer cancel()
	got, err := peer.Call[int, int](ctx, from.Transport, to.Address(), "double", 21)
	if err == nil {
		qt.Check(p.t, got, qt.Equals, 42)
	}
	return err
}

// A process that ends without closing its connections and restarts at the same address
// gets replies at once. Guards against peers that reply on their connections to the old
// process, which look alive until the idle timeout of six seconds.
func TestRestartedPeerGetsReplies(t *testing.T) {
	tests := []struct {
		name   string
		before func(p *processes, a, b *node) error // run before b is killed
		after  func(a, b *node)                     // run while b is down
	}{
		{"it had dialled", func(p *processes, a, b *node) error { return p.call(b, a) }, nil},
		{"it was dialled", func(p *processes, a, b *node) error { return p.call(a, b) }, nil},
		{
			"more was sent to it",
			func(p *processes, a, b *node) error { return p.call(a, b) },
			func(a, b *node) {
				for range 200 {
					_ = peer.Send(a.Transport, b.Address(), "news", make([]byte, 10_000))
				}
			},
		},
		{"it is being dialled", nil, func(a, b *node) { _ = peer.Send(a.Transport, b.Address(), "news", 1) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel() // mostly waiting
			c := qt.New(t)
			p := &processes{t: t}
			local := netip.MustParseAddrPort("127.0.0.1:0")
			a, b := p.start("a", local), p.start("b", local)
			if test.before != nil {
				c.Assert(test.before(p, a, b), qt.IsNil)
			}
			b.Kill()
			if test.after != nil {
				test.after(a, b)
			}
			time.Sleep(700 * time.Millisecond) // a dial in progress retransmits at growing intervals
			b = p.start("b", b.Address())
			err := p.call(b, a)
			if err != nil { // a frame in flight to the old process may be lost
				err = p.call(b, a)
			}
			c.Assert(err, qt.IsNil)
			c.Assert(p.call(a, b), qt.IsNil)
		})
	}
}

// Requests may still arrive while the transport closes, when no goroutine may start any more.
// Under the race detector this fails if a handler starts one.
func TestRequestsWhileClosing(t *testing.T) {
	dir := t.TempDir()
	authority, err := cert.NewAuthority(dir)
	qt.Assert(t, err, qt.IsNil)
	a := open(t, "n1", certificates(t, dir, "n1", authority), handleNothing)
	defer a.close()
	for range 20 {
		b := open(t, "n2", certificates(t, dir, "n2", authority), func(n *node) {
			peer.HandleCall(n.router, n.Transport, "double", func(_ context.Context, _ peer.Sender, q note) note { return q })
		})
		ctx, stop := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		for range 16 {
			callers.Go(func() {
				for ctx.Err() == nil {
					_, _ = peer.Call[note, note](ctx, a.Transport, b.Address(), "double", note{})
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		_ = b.Close() // while its router runs
		stop()
		callers.Wait()
		b.close()
	}
}
