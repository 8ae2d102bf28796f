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
	rt := &relayTest{now: 1000}
	now := func() clock.Millis { return rt.now }
	log := eventlog.Open(io.Discard, "n9")
	t.Cleanup(func() { _ = log.Close() })
	all := roster.New(now)
	for n := range 9 {
		all.Update(roster.Instance{Name: fmt.Sprint("n", n), Zone: "a", Revision: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")})
	}
	d := directory.New()
	rt.Relay = New(Options{
		Directory: d, Roster: all, Now: now, Zone: "a", Log: log, Scope: tally.NoopScope, Fresh: freshness.New(2 * time.Second),
		ApplyEvent:     func(e directory.Event) { d.Apply(rt.now, e) },
		ApplyInstances: func([]roster.Instance, []roster.Removal, bool, int64) {},
		Configure:      func() { rt.configurationReads++ },
		List:           func() { rt.listings++ },
		CatchUp:        func() { rt.catchUps = append(rt.catchUps, d.View().Revision) },
		CatchingUp:     func() bool { return rt.catchingUp },
		HeadRevision:   func(context.Context) (int64, error) { return 99, nil },
	})
	for _, i := range all.Ranked("a", roleWatch) {
		rt.Name = i.Name // the last in rank
	}
	d.Apply(0, configured(t, 1, 5))
	d.Apply(0, directory.Seen{Endpoint: directory.Endpoint{ID: "e1", Service: "llm", Zone: "a", Revision: 10}})
	return rt
}

func configured(t *testing.T, version, revision int64) directory.Configured {
	t.Helper()
	table, err := route.NewTable(route.Document{Version: version})
	qt.Assert(t, err, qt.IsNil)
	return directory.Configured{Table: table, Revision: revision}
}

// changesHint returns a hint with the changes from revision 10 to 12.
func changesHint(version int64, readStore bool) Hint {
	e := directory.Endpoint{ID: "e2", Service: "llm", Zone: "a", Revision: 12}
	return Hint{
		Revision: 12, Since: 10, Version: version, ReadStore: readStore,
		Changes: &Response{Revision: 12, Version: version, Endpoints: []directory.Endpoint{e}},
	}
}

// A hint with changes must not take an instance past a configuration that it does not know
// of: it would never request that configuration. One of 100 instances refused a route for
// four seconds because of this.
func TestChangesDoNotSkipConfiguration(t *testing.T) {
	c := qt.New(t)
	rt := newMember(t)
	from := peer.Sender{Name: "n1"}

	rt.receiveHint(from, changesHint(2, false))
	c.Check(rt.Directory.View().Revision, qt.Equals, int64(10))
	rt.receiveHint(from, Hint{Revision: 12, Digest: 1, Version: 2})
	c.Check(rt.Fresh.Next(rt.now, freshness.LocalState{Revision: 10, Rank: 8, ZoneSize: 9}), qt.Equals, freshness.PullFromPeer)

	rt.receiveHint(from, changesHint(2, true)) // the configuration is large: each instance reads it without a request to a peer
	c.Check(rt.configurationReads, qt.Equals, 1)
	c.Check(rt.Directory.View().Revision, qt.Equals, int64(12))
	rt.receiveHint(from, Hint{Revision: 12, Digest: 1, Version: 2, ReadStore: true})
	c.Check(rt.configurationReads, qt.Equals, 1)
}

// The second watcher does not repeat what the first has announced to the zone, and
// continues where the first stopped.
func TestChangesAreAnnouncedOnce(t *testing.T) {
	c := qt.New(t)
	rt := newMember(t)
	first := peer.Sender{Name: rt.Roster.Ranked("a", roleWatch)[0].Name}
	change := func(revision int64) *directory.View {
		rt.ApplyEvent(directory.Seen{Endpoint: directory.Endpoint{ID: fmt.Sprint("e", revision), Service: "llm", Zone: "a", Revision: revision}})
		return rt.Directory.View()
	}
	rt.receiveHint(first, Hint{Revision: 10, Digest: 1})
	v := change(12)
	rt.receiveHint(first, Hint{Revision: 12, Digest: 1})
	c.Check(rt.newChanges(v), qt.HasLen, 0)
	hints := rt.newChanges(change(14)) // not announced by the first watcher
	c.Assert(hints, qt.HasLen, 1)
	c.Check(hints[0].Since, qt.Equals, int64(12))
	c.Check(hints[0].Changes.Endpoints, qt.HasLen, 1)
	rt.receiveHint(peer.Sender{Name: "n99"}, Hint{Revision: 16, Digest: 1}) // not the first watcher
	c.Check(rt.newChanges(change(16)), qt.HasLen, 1)
}

// An instance that waits for a configuration from the store may be past that
// configuration's revision. It must still name it to peers, and read the store again if the
// configuration does not come.
func TestPendingConfigurationIsAnnounced(t *testing.T) {
	c := qt.New(t)
	rt := newMember(t)
	rt.receiveHint(peer.Sender{Name: "n1"}, changesHint(2, true))
	resp := rt.buildResponse(rt.Directory.View(), Request{Version: 1, Revision: 10})
	c.Check(resp.ReadStore, qt.IsTrue)
	c.Check(resp.Version, qt.Equals, int64(2))

	rt.retryConfiguration(rt.now + 400)
	c.Check(rt.configurationReads, qt.Equals, 1)
	rt.retryConfiguration(rt.now + 500)
	c.Check(rt.configurationReads, qt.Equals, 2)
	rt.ApplyEvent(configured(t, 2, 11))
	rt.retryConfiguration(rt.now + 2000)
	c.Check(rt.configurationReads, qt.Equals, 2)
	resp = rt.buildResponse(rt.Directory.View(), Request{Version: 1, Revision: 10})
	c.Check(resp.ReadStore, qt.IsFalse)
	c.Assert(resp.Document, qt.IsNotNil)
	c.Check(resp.Document.Version, qt.Equals, int64(2))
}

// lag advances the time while the store is known to be ahead.
func (rt *relayTest) lag(ctx context.Context, length time.Duration) {
	for end := rt.now.Add(length); rt.now < end; rt.now += 50 {
		rt.Fresh.Observe(rt.now, 99, 0, "")
		rt.step(ctx)
	}
}

// An instance that is behind the store reads the changes, which are few in a large fleet,
// and reads everything only if that brought nothing.
func TestChangesAreReadBeforeListing(t *testing.T) {
	c := qt.New(t)
	rt := newMember(t)
	rt.lag(t.Context(), 200*time.Millisecond)
	c.Check(rt.catchUps, qt.DeepEquals, []int64{10})
	c.Check(rt.listings, qt.Equals, 0)
	rt.ApplyEvent(directory.StoreReached{Revision: 20})
	rt.lag(t.Context(), 200*time.Millisecond)
	c.Check(rt.catchUps, qt.DeepEquals, []int64{10, 20})
	c.Check(rt.listings, qt.Equals, 0)
	rt.lag(t.Context(), 500*time.Millisecond)
	c.Check(rt.listings > 0, qt.IsTrue)
}

// A call that takes long, as when a whole fleet starts, does not show that the changes lack
// something: everything is read only after the changes have come.
func TestChangesAreAwaitedBeforeListing(t *testing.T) {
	c := qt.New(t)
	rt := newMember(t)
	rt.catchingUp = true
	rt.lag(t.Context(), 4*time.Second)
	c.Check(rt.catchUps, qt.DeepEquals, []int64{10})
	c.Check(rt.listings, qt.Equals, 0)
	rt.catchingUp = false
	rt.lag(t.Context(), 500*time.Millisecond)
	c.Check(rt.listings > 0, qt.IsTrue)
}

// What watchers learn shortly after their start is announced to the zone once they know
// that they are its watchers, even if nothing else happens. Other instances announce
// nothing.
func TestNewsOfYoungInstancesIsTold(t *testing.T) {
	for rank := range 3 {
		c := qt.New(t)
		rt := newMember(t)
		own, err := peer.NewIdentity("own")
		c.Assert(err, qt.IsNil)
		rt.Transport, err = peer.Listen("own", netip.MustParseAddrPort("127.0.0.1:0"), peer.PinnedTLS(own, func(string) (string, bool) { return "", false }), tally.NoopScope)
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = rt.Transport.Close() })
		rt.Name = rt.Roster.Ranked("a", roleWatch)[rank].Name
		rt.announced = 9
		rt.Announce()
		rt.announceDue(rt.now)
		c.Check(rt.announced, qt.Equals, int64(9)) // the other instances are not known yet
		rt.announceDue(rt.now.Add(minAnnounceAge))
		c.Check(rt.announced, qt.Equals, int64(9)) // still too early when many instances start together
		rt.now = rt.now.Add(roster.JoinDelay)
		rt.announceDue(rt.now)
		want := int64(9)
		if rank < watchersPerZone {
			want = 10
		}
		c.Check(rt.announced, qt.Equals, want, qt.Commentf("rank %d", rank))
	}
}
