package relay

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/freshness"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

// relayTest is a relay with a store of which only the calls are counted.
type relayTest struct {
	*Relay
	now                clock.Millis
	configurationReads int
	listings           int
	catchUps           []int64 // revisions after which changes were requested
	catchingUp         bool    // the changes are still to be read
}

// newMember returns the relay of an instance that is not one of its zone's watchers.
func newMember(t *testing.T) *relayTest {
	t.Helper()
	w := &relayTest{now: 1000}
	now := func() clock.Millis { return w.now }
	log := eventlog.Open(io.Discard, "n9")
	t.Cleanup(func() { _ = log.Close() })
	all := roster.New(now)
	for n := range 9 {
		all.See(roster.Instance{Name: fmt.Sprint("n", n), Zone: "a", Revision: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")})
	}
	d := directory.New()
	w.Relay = New(Options{
		Directory: d, Roster: all, Now: now, Zone: "a", Log: log, Scope: tally.NoopScope, Fresh: freshness.New(2 * time.Second),
		Tell:       func(e directory.Event) { d.Apply(w.now, e) },
		Instances:  func([]roster.Instance, []roster.Departure, bool, int64) {},
		Configure:  func() { w.configurationReads++ },
		List:       func() { w.listings++ },
		CatchUp:    func() { w.catchUps = append(w.catchUps, d.View().Revision) },
		CatchingUp: func() bool { return w.catchingUp },
		Head:       func(context.Context) (int64, error) { return 99, nil },
	})
	for _, i := range all.Ranked("a", roleWatch) {
		w.Name = i.Name // the last in rank
	}
	d.Apply(0, configured(t, 1, 5))
	d.Apply(0, directory.Seen{Endpoint: directory.Endpoint{ID: "e1", Service: "llm", Zone: "a", Revision: 10}})
	return w
}

func configured(t *testing.T, version, revision int64) directory.Configured {
	t.Helper()
	table, err := route.NewTable(route.Document{Version: version})
	qt.Assert(t, err, qt.IsNil)
	return directory.Configured{Table: table, Revision: revision}
}

// changesHint returns a hint with the changes from revision 10 to 12.
func changesHint(version int64, askStore bool) Hint {
	e := directory.Endpoint{ID: "e2", Service: "llm", Zone: "a", Revision: 12}
	return Hint{
		Revision: 12, Since: 10, Version: version, AskStore: askStore,
		Changes: &Response{Revision: 12, Version: version, Endpoints: []directory.Endpoint{e}},
	}
}

// A hint with changes must not take an instance past a configuration that it does not know
// of: it would never request that configuration. One of 100 instances refused a route for
// four seconds because of this.
func TestChangesDoNotSkipConfiguration(t *testing.T) {
	c := qt.New(t)
	w := newMember(t)
	from := peer.Sender{Name: "n1"}

	w.receiveHint(from, changesHint(2, false))
	c.Check(w.Directory.View().Revision, qt.Equals, int64(10))
	w.receiveHint(from, Hint{Revision: 12, Digest: 1, Version: 2})
	c.Check(w.Fresh.Next(w.now, freshness.LocalState{Revision: 10, Rank: 8, ZoneSize: 9}), qt.Equals, freshness.PullFromPeer)

	w.receiveHint(from, changesHint(2, true)) // the configuration is large: each instance reads it without a request to a peer
	c.Check(w.configurationReads, qt.Equals, 1)
	c.Check(w.Directory.View().Revision, qt.Equals, int64(12))
	w.receiveHint(from, Hint{Revision: 12, Digest: 1, Version: 2, AskStore: true})
	c.Check(w.configurationReads, qt.Equals, 1)
}

// The second watcher does not repeat what the first has announced to the zone, and
// continues where the first stopped.
func TestChangesAreAnnouncedOnce(t *testing.T) {
	c := qt.New(t)
	w := newMember(t)
	first := peer.Sender{Name: w.Roster.Ranked("a", roleWatch)[0].Name}
	change := func(revision int64) *directory.View {
		w.Tell(directory.Seen{Endpoint: directory.Endpoint{ID: fmt.Sprint("e", revision), Service: "llm", Zone: "a", Revision: revision}})
		return w.Directory.View()
	}
	w.receiveHint(first, Hint{Revision: 10, Digest: 1})
	v := change(12)
	w.receiveHint(first, Hint{Revision: 12, Digest: 1})
	c.Check(w.newChanges(v), qt.HasLen, 0)
	hints := w.newChanges(change(14)) // not announced by the first watcher
	c.Assert(hints, qt.HasLen, 1)
	c.Check(hints[0].Since, qt.Equals, int64(12))
	c.Check(hints[0].Changes.Endpoints, qt.HasLen, 1)
	w.receiveHint(peer.Sender{Name: "n99"}, Hint{Revision: 16, Digest: 1}) // not the first watcher
	c.Check(w.newChanges(change(16)), qt.HasLen, 1)
}

// An instance that waits for a configuration from the store may be past that
// configuration's revision. It must still name it to peers, and read the store again if the
// configuration does not come.
func TestPendingConfigurationIsAnnounced(t *testing.T) {
	c := qt.New(t)
	w := newMember(t)
	w.receiveHint(peer.Sender{Name: "n1"}, changesHint(2, true))
	resp := w.buildResponse(w.Directory.View(), Request{Version: 1, Revision: 10})
	c.Check(resp.AskStore, qt.IsTrue)
	c.Check(resp.Version, qt.Equals, int64(2))

	w.retryConfiguration(w.now + 400)
	c.Check(w.configurationReads, qt.Equals, 1)
	w.retryConfiguration(w.now + 500)
	c.Check(w.configurationReads, qt.Equals, 2)
	w.Tell(configured(t, 2, 11))
	w.retryConfiguration(w.now + 2000)
	c.Check(w.configurationReads, qt.Equals, 2)
	resp = w.buildResponse(w.Directory.View(), Request{Version: 1, Revision: 10})
	c.Check(resp.AskStore, qt.IsFalse)
	c.Assert(resp.Document, qt.IsNotNil)
	c.Check(resp.Document.Version, qt.Equals, int64(2))
}

// lag advances the time while the store is known to be ahead.
func (w *relayTest) lag(ctx context.Context, length time.Duration) {
	for end := w.now.Add(length); w.now < end; w.now += 50 {
		w.Fresh.Observe(w.now, 99, 0, "")
		w.step(ctx)
	}
}

// An instance that is behind the store reads the changes, which are few in a large fleet,
// and reads everything only if that brought nothing.
func TestChangesAreReadBeforeListing(t *testing.T) {
	c := qt.New(t)
	w := newMember(t)
	w.lag(t.Context(), 200*time.Millisecond)
	c.Check(w.catchUps, qt.DeepEquals, []int64{10})
	c.Check(w.listings, qt.Equals, 0)
	w.Tell(directory.StoreReached{Revision: 20})
	w.lag(t.Context(), 200*time.Millisecond)
	c.Check(w.catchUps, qt.DeepEquals, []int64{10, 20})
	c.Check(w.listings, qt.Equals, 0)
	w.lag(t.Context(), 500*time.Millisecond)
	c.Check(w.listings > 0, qt.IsTrue)
}

// A call that takes long, as when a whole fleet starts, does not show that the changes lack
// something: everything is read only after the changes have come.
func TestChangesAreAwaitedBeforeListing(t *testing.T) {
	c := qt.New(t)
	w := newMember(t)
	w.catchingUp = true
	w.lag(t.Context(), 4*time.Second)
	c.Check(w.catchUps, qt.DeepEquals, []int64{10})
	c.Check(w.listings, qt.Equals, 0)
	w.catchingUp = false
	w.lag(t.Context(), 500*time.Millisecond)
	c.Check(w.listings > 0, qt.IsTrue)
}

// What watchers learn shortly after their start is announced to the zone once they know
// that they are its watchers, even if nothing else happens. Other instances announce
// nothing.
func TestNewsOfYoungInstancesIsTold(t *testing.T) {
	for rank := range 3 {
		c := qt.New(t)
		w := newMember(t)
		own, err := peer.NewIdentity("own")
		c.Assert(err, qt.IsNil)
		w.Transport, err = peer.Listen("own", netip.MustParseAddrPort("127.0.0.1:0"), peer.Pinned(own, func(string) (string, bool) { return "", false }), tally.NoopScope)
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = w.Transport.Close() })
		w.Name = w.Roster.Ranked("a", roleWatch)[rank].Name
		w.announced = 9
		w.Told()
		w.announceDue(w.now)
		c.Check(w.announced, qt.Equals, int64(9)) // the other instances are not known yet
		w.announceDue(w.now.Add(minAnnounceAge))
		c.Check(w.announced, qt.Equals, int64(9)) // still too early when many instances start together
		w.now = w.now.Add(roster.JoinTime)
		w.announceDue(w.now)
		want := int64(9)
		if rank < watchersPerZone {
			want = 10
		}
		c.Check(w.announced, qt.Equals, want, qt.Commentf("rank %d", rank))
	}
}
