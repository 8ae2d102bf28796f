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
)

// processes start under certificates of their own, which all know.
type processes struct {
	t     *testing.T
	names sync.Map // by fingerprint
}

// start returns a process that doubles what it is asked.
func (p *processes) start(name string, address netip.AddrPort) *node {
	p.t.Helper()
	own, err := peer.NewIdentity(name)
	qt.Assert(p.t, err, qt.IsNil)
	p.names.Store(own.Fingerprint, name)
	pinned := peer.Pinned(own, func(fingerprint string) (string, bool) {
		known, ok := p.names.Load(fingerprint)
		if !ok {
			return "", false
		}
		return known.(string), true
	})
	n := openAt(p.t, name, address, pinned, tally.NoopScope, func(n *node) {
		peer.Answer(n.router, n.Transport, "double", func(_ context.Context, _ peer.Sender, v int) int { return 2 * v })
	})
	p.t.Cleanup(n.close)
	return n
}

func (p *processes) ask(from, to *node) error {
	ctx, cancel := context.WithTimeout(p.t.Context(), time.Second)
	defer cancel()
	got, err := peer.Ask[int, int](ctx, from.Transport, to.Address(), "double", 21)
	if err == nil {
		qt.Check(p.t, got, qt.Equals, 42)
	}
	return err
}

// Who starts anew at its address after an end that nobody was told of is answered at once.
// Peers take their connections to the old process for sound until an idle timeout of six
// seconds, in which no answer reached the new one, from peers or planners.
func TestWhoStartsAnewIsAnswered(t *testing.T) {
	tests := []struct {
		name   string
		before func(p *processes, a, b *node) error // b is lost after it
		after  func(a, b *node)                     // while nobody is there
	}{
		{"it had dialled", func(p *processes, a, b *node) error { return p.ask(b, a) }, nil},
		{"it was dialled", func(p *processes, a, b *node) error { return p.ask(a, b) }, nil},
		{
			"more was sent to it",
			func(p *processes, a, b *node) error { return p.ask(a, b) },
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
			t.Parallel() // it mostly waits
			c := qt.New(t)
			p := &processes{t: t}
			local := netip.MustParseAddrPort("127.0.0.1:0")
			a, b := p.start("a", local), p.start("b", local)
			if test.before != nil {
				c.Assert(test.before(p, a, b), qt.IsNil)
			}
			b.Lose()
			if test.after != nil {
				test.after(a, b)
			}
			time.Sleep(700 * time.Millisecond) // a dial that fails is repeated less and less often
			b = p.start("b", b.Address())
			err := p.ask(b, a)
			if err != nil { // what was on its way to the old process may be lost
				err = p.ask(b, a)
			}
			c.Assert(err, qt.IsNil)
			c.Assert(p.ask(a, b), qt.IsNil)
		})
	}
}
