package directory_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/pkg/clock"
)

// in returns the position of a revision in epoch 1, the one after the restore of these tests.
func in(revision int64) int64 { return epoch.Join(1, revision) }

func entry(id string, position int64, state directory.State) directory.Endpoint {
	return directory.Endpoint{ID: id, Entry: id, Service: "llm", Zone: "a", State: state, Revision: position}
}

// How each kind of fact from the store's older copy meets what is known, while the store settles
// and after that.
func TestFactsOfACopy(t *testing.T) {
	const ready, leaving = directory.Ready, directory.Draining
	settled := clock.Millis(0).Add(directory.SettlePeriod + time.Second)
	listed := func(revision int64, endpoints ...directory.Endpoint) directory.Event {
		return directory.Listed{Endpoints: endpoints, Revision: in(revision)}
	}
	tests := []struct {
		name   string
		known  []directory.Event
		then   []directory.Event // while the store settles
		during string            // state of e1: ready, leaving or gone
		later  []directory.Event // once it has settled
		after  string
	}{
		{
			"entry missing, written again",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 20, ready)}},
			[]directory.Event{listed(15)},
			"ready",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", in(18), ready)}},
			"ready",
		},
		{
			"entry missing for good",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 20, ready)}},
			[]directory.Event{listed(15)},
			"ready",
			[]directory.Event{directory.Tick{}},
			"gone",
		},
		{
			"removed, in the copy again",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 10, ready)}, directory.Removed{Entry: "e1", Revision: 20}},
			[]directory.Event{listed(15, entry("e1", in(10), ready))},
			"gone",
			[]directory.Event{listed(30)},
			"gone",
		},
		{
			"removed, in the copy and still there later",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 10, ready)}, directory.Removed{Entry: "e1", Revision: 20}},
			[]directory.Event{listed(15, entry("e1", in(10), ready))},
			"gone",
			[]directory.Event{listed(30, entry("e1", in(10), ready))},
			"ready",
		},
		{
			"removed, written again at once",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 10, ready)}, directory.Removed{Entry: "e1", Revision: 20}},
			[]directory.Event{listed(15), directory.Seen{Endpoint: entry("e1", in(16), ready)}},
			"ready", nil, "ready",
		},
		{
			"leaving, ready in the copy",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 20, leaving)}},
			[]directory.Event{listed(15, entry("e1", in(10), ready))},
			"leaving",
			[]directory.Event{listed(30, entry("e1", in(10), ready))},
			"leaving",
		},
		{
			"leaving, ready in the copy and written again",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 20, leaving)}},
			[]directory.Event{listed(15, entry("e1", in(10), ready)), directory.Seen{Endpoint: entry("e1", in(16), ready)}},
			"leaving", nil, "leaving",
		},
		{
			"leaves at a number that was known",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 10, ready)}, directory.StoreReached{Revision: 20}},
			[]directory.Event{listed(15, entry("e1", in(10), ready)), directory.Seen{Endpoint: entry("e1", in(20), leaving)}},
			"leaving", nil, "leaving",
		},
		{
			"leaves at the number that its entry had",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 20, ready)}},
			[]directory.Event{listed(15), directory.Seen{Endpoint: entry("e1", in(20), leaving)}},
			"leaving", nil, "leaving",
		},
		{
			"left before the first listing",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 10, ready)}},
			[]directory.Event{listed(15, entry("e1", in(14), leaving))},
			"leaving", nil, "leaving",
		},
		{
			"told by a peer that knows only the copy",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 20, ready)}},
			[]directory.Event{directory.PeerUpdate{Complete: true, Revision: in(15)}},
			"ready",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", in(18), ready)}},
			"ready",
		},
		{
			"an earlier epoch's answer comes late",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 10, ready)}},
			[]directory.Event{listed(15, entry("e1", in(10), ready)), directory.Seen{Endpoint: entry("e1", in(16), leaving)}, directory.Seen{Endpoint: entry("e1", 25, ready)}},
			"leaving", nil, "leaving",
		},
		{
			"two restores in a row",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", 20, ready)}},
			[]directory.Event{listed(15), directory.Listed{Revision: epoch.Join(2, 12)}},
			"ready",
			[]directory.Event{directory.Seen{Endpoint: entry("e1", epoch.Join(2, 13), leaving)}},
			"leaving",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := directory.New()
			apply := func(now clock.Millis, events []directory.Event) {
				for _, e := range events {
					d.Apply(now, e)
				}
			}
			state := func() string {
				e := d.View().Find("e1")
				switch {
				case e == nil:
					return "gone"
				case e.State == leaving:
					return "leaving"
				default:
					return "ready"
				}
			}
			apply(0, test.known)
			apply(1, test.then)
			c.Check(state(), qt.Equals, test.during)
			apply(settled, test.later)
			c.Check(state(), qt.Equals, test.after)
		})
	}
}

// A process that knows nothing yet keeps nothing back: its stale listing may be older than a
// restore, and what it reads next counts at once.
func TestStartAfterARestore(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	d.Apply(0, directory.PeerUpdate{Endpoints: []directory.Endpoint{entry("e1", 20, directory.Ready)}})
	d.Apply(0, directory.Listed{PresentEntries: []string{"e1"}, Revision: 20, Stale: true})
	d.Apply(1, directory.Listed{Endpoints: []directory.Endpoint{entry("e2", in(5), directory.Ready)}, Revision: in(15)})
	c.Check(d.View().Find("e1"), qt.IsNil)
	c.Check(d.View().Find("e2"), qt.IsNotNil)
}

// Evacuations and their ends hold over a restore until the operators write again.
func TestEvacuationsOfACopy(t *testing.T) {
	settled := clock.Millis(0).Add(directory.SettlePeriod + time.Second)
	tests := []struct {
		name   string
		known  []directory.Evacuation
		listed []directory.Evacuation // by the first listing after the restore
		during bool
		later  directory.Event
		after  bool
	}{
		{
			"lost by the copy",
			[]directory.Evacuation{{Zone: "a", Revision: 20}},
			nil, true,
			directory.Evacuation{Zone: "a", Revision: in(30)},
			true,
		},
		{"lost, and not ordered again", []directory.Evacuation{{Zone: "a", Revision: 20}}, nil, true, directory.Listed{Revision: in(30)}, false},
		{
			"ended, in the copy again",
			[]directory.Evacuation{{Zone: "a", Revision: 10}, {Zone: "a", Ended: true, Revision: 20}},
			[]directory.Evacuation{{Zone: "a", Revision: in(10)}},
			false,
			directory.Evacuation{Zone: "a", Ended: true, Revision: in(30)},
			false,
		},
		{
			"ended, and ordered again",
			[]directory.Evacuation{{Zone: "a", Revision: 10}, {Zone: "a", Ended: true, Revision: 20}},
			[]directory.Evacuation{{Zone: "a", Revision: in(10)}},
			false,
			directory.Evacuation{Zone: "a", Revision: in(30)},
			true,
		},
		{"ordered while the store settles", nil, []directory.Evacuation{{Zone: "a", Revision: in(14)}}, true, directory.Tick{}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := directory.New()
			d.Apply(0, directory.Seen{Endpoint: entry("e1", 5, directory.Ready)})
			for _, e := range test.known {
				d.Apply(0, e)
			}
			d.Apply(1, directory.Listed{Endpoints: []directory.Endpoint{entry("e1", in(5), directory.Ready)}, Evacuations: test.listed, Revision: in(15)})
			c.Check(d.View().Evacuated["a"], qt.Equals, test.during)
			d.Apply(settled, test.later)
			c.Check(d.View().Evacuated["a"], qt.Equals, test.after)
		})
	}
}

// After any restores, an instance that was there and one that starts afterwards agree once all
// writers have written again, and no endpoint that said it leaves is used again.
func TestViewsAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type stored = map[string]directory.Endpoint
		old := directory.New()
		now, at, revision := clock.Millis(0), int64(0), int64(0)
		content, left := stored{}, map[string]bool{}
		write := func(id string) {
			state := directory.Ready
			if left[id] {
				state = directory.Draining
			}
			revision++
			content[id] = entry(id, epoch.Join(at, revision), state)
			old.Apply(now, directory.Seen{Endpoint: content[id]})
		}
		listing := func(position int64) directory.Listed {
			l := directory.Listed{Revision: epoch.Join(at, position)}
			for _, e := range content {
				e.Revision = epoch.Join(at, epoch.Revision(e.Revision))
				l.Endpoints = append(l.Endpoints, e)
			}
			return l
		}
		old.Apply(now, listing(0))
		for range rapid.IntRange(1, 3).Draw(rt, "restores") {
			copied, copiedRevision := stored{}, revision
			for id, e := range content {
				copied[id] = e
			}
			var lost []string
			for n := range rapid.IntRange(1, 8).Draw(rt, "lost") {
				id := fmt.Sprint("e", rapid.IntRange(0, 5).Draw(rt, fmt.Sprint("id", n)))
				left[id] = left[id] || rapid.Bool().Draw(rt, fmt.Sprint("leaves", n))
				lost = append(lost, id)
				write(id)
			}
			content, revision = copied, copiedRevision
			at++
			old.Apply(now, listing(revision))
			for id, gone := range left {
				if e := old.View().Find(id); gone && e != nil && e.State == directory.Ready {
					rt.Fatalf("%s is used again", id)
				}
			}
			for _, id := range lost {
				now = now.Add(50 * time.Millisecond)
				write(id)
			}
			now = now.Add(directory.SettlePeriod + time.Second)
			old.Apply(now, listing(revision))
			old.Apply(now, directory.Tick{})
		}
		fresh := directory.New()
		fresh.Apply(now, listing(revision))
		if a, b := old.View(), fresh.View(); a.Digest != b.Digest || a.Size() != b.Size() || a.Ready != b.Ready {
			rt.Fatalf("%d endpoints, %d ready, digest %x; a new instance has %d, %d and %x", a.Size(), a.Ready, a.Digest, b.Size(), b.Ready, b.Digest)
		}
	})
}

// While a restored store settles, an instance that receives from a peer what was written again
// must reach that peer's view, or all instances of a zone request whole views repeatedly.
func TestPeersAgreeWhileStoreSettles(t *testing.T) {
	c := qt.New(t)
	watcher, member := directory.New(), directory.New()
	for _, d := range []*directory.Directory{watcher, member} {
		for n := range 5 {
			d.Apply(0, directory.Seen{Endpoint: entry(fmt.Sprint("e", n), int64(10+n), directory.Ready)})
		}
	}
	known := member.View().Revision
	watcher.Apply(1, directory.Listed{Endpoints: []directory.Endpoint{
		entry("e0", in(10), directory.Ready), entry("e1", in(8), directory.Ready), entry("e2", in(9), directory.Ready),
	}, Revision: in(11)})
	again := entry("e2", in(15), directory.Ready)
	again.ColdFor = time.Second
	watcher.Apply(2, directory.Seen{Endpoint: again})
	watcher.Apply(2, directory.Seen{Endpoint: entry("e3", in(16), directory.Draining)})
	member.Apply(3, watcher.Since(known, 0))
	c.Check(member.View().Revision, qt.Equals, watcher.View().Revision)
	c.Check(member.View().Digest, qt.Equals, watcher.View().Digest)
	c.Check(member.View().Ready, qt.Equals, 4) // the entry of e4 is missing, that of e3 says that it leaves
}
