package peer

import (
	"net/netip"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

// An instance has lanes to hundreds of others, most of which hardly ever hold a frame:
// one costs what is queued and not what might be.
func TestLaneCostsWhatIsQueued(t *testing.T) {
	const lanes, most = 1000, 2 << 10 // bytes each, without its goroutine
	c := qt.New(t)
	tr := &Transport{scope: tally.NoopScope, lanes: map[netip.AddrPort]*lane{}}
	tr.Queue(256)
	all := make([]*lane, lanes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for n := range all {
		all[n] = newLane(tr, netip.AddrPort{})
		c.Assert(all[n].push(frame{Topic: "t"}), qt.IsNil)
		_, ok := all[n].pop()
		c.Assert(ok, qt.IsTrue)
	}
	runtime.ReadMemStats(&after)
	each := (after.TotalAlloc - before.TotalAlloc) / lanes
	c.Assert(each <= most, qt.IsTrue, qt.Commentf("%d bytes", each))
}

// A lane keeps to its bound, gives frames out in order and, once it has ended, takes none.
func TestLaneQueue(t *testing.T) {
	c := qt.New(t)
	tr := &Transport{scope: tally.NoopScope, lanes: map[netip.AddrPort]*lane{}}
	tr.Queue(3)
	l := newLane(tr, netip.AddrPort{})
	for _, topic := range []string{"a", "b", "c"} {
		c.Assert(l.push(frame{Topic: topic}), qt.IsNil)
	}
	c.Assert(l.push(frame{Topic: "d"}), qt.ErrorMatches, ".*is full")
	c.Assert(tr.end(l), qt.IsFalse)
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
	c.Assert(tr.end(l), qt.IsTrue)
	c.Assert(l.push(frame{}), qt.Equals, errLaneEnded)
}
