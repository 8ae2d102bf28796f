package peer

import (
	"net/netip"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

// An instance has links to hundreds of others, and most of them rarely hold a frame.
// Guards against a queue that is allocated at its full length.
func TestLinkMemory(t *testing.T) {
	const links, maxBytes = 1000, 2 << 10 // bytes per link, without its goroutine
	c := qt.New(t)
	tr := &Transport{scope: tally.NoopScope, links: map[netip.AddrPort]*link{}}
	tr.SetQueueLength(256)
	all := make([]*link, links)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for n := range all {
		all[n] = newLink(tr, netip.AddrPort{})
		c.Assert(all[n].push(frame{Topic: "t"}), qt.IsNil)
		_, ok := all[n].pop()
		c.Assert(ok, qt.IsTrue)
	}
	runtime.ReadMemStats(&after)
	each := (after.TotalAlloc - before.TotalAlloc) / links
	c.Assert(each <= maxBytes, qt.IsTrue, qt.Commentf("%d bytes", each))
}

// A link's queue is bounded and in order, and a closed link accepts no frames.
func TestLinkQueue(t *testing.T) {
	c := qt.New(t)
	tr := &Transport{scope: tally.NoopScope, links: map[netip.AddrPort]*link{}}
	tr.SetQueueLength(3)
	l := newLink(tr, netip.AddrPort{})
	for _, topic := range []string{"a", "b", "c"} {
		c.Assert(l.push(frame{Topic: topic}), qt.IsNil)
	}
	c.Assert(l.push(frame{Topic: "d"}), qt.ErrorMatches, ".*is full")
	c.Assert(tr.retire(l), qt.IsFalse)
	c.Assert(l.busy(), qt.IsTrue)
	for _, topic := range []string{"a", "b", "c"} {
		f, ok := l.pop()
		c.Assert(ok, qt.IsTrue)
		c.Assert(f.Topic, qt.Equals, topic)
	}
	c.Assert(l.busy(), qt.IsTrue) // the last one is being written
	_, ok := l.pop()
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.busy(), qt.IsFalse)
	c.Assert(tr.retire(l), qt.IsTrue)
	c.Assert(l.push(frame{}), qt.Equals, errLinkClosed)
}
