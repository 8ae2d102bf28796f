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

// world is a relay before a store that has a configuration to read.
type world struct {
	*Relay
	now   clock.Millis
	reads int // of the configuration
	lists int
	after []int64 // revisions from which changes were asked for
	slow  bool    // what changed is still to be read
}

// member returns one of a zone's instances, not one that watches.
func member(t *testing.T) *world {
	t.Helper()
	w := &world{now: 1000}
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
		Configure:  func() { w.reads++ },
		List:       func() { w.lists++ },
		CatchUp:    func() { w.after = append(w.after, d.View().Revision) },
		CatchingUp: func() bool { return w.slow },
		Head:       func(context.Context) (int64, error) { return 99, nil },
	})
	for _, i := range all.Ranked("a", roleCheck) {
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

// news is a hint that takes its receiver from revision 10 to 12.
func news(version int64, askStore bool) Hint {
	e := directory.Endpoint{ID: "e2", Service: "llm", Zone: "a", Revision: 12}
	return Hint{
		Revision: 12, Since: 10, Version: version, AskStore: askStore,
		News: &Told{Revision: 12, Version: version, Endpoints: []directory.Endpoint{e}},
	}
}

// What is pushed takes nobody past a configuration of which he has not heard: he would
// not ask for it any more. One of 100 instances refused a route for four seconds so.
func TestNewsDoesNotHideAConfiguration(t *testing.T) {
	c := qt.New(t)
	w := member(t)
	from := peer.Sender{Name: "n1"}

	w.hear(from, news(2, false))
	c.Check(w.Directory.View().Revision, qt.Equals, int64(10))
	w.hear(from, Hint{Revision: 12, Digest: 1, Version: 2})
	c.Check(w.Fresh.Next(w.now, freshness.Known{Revision: 10, Rank: 8, Zone: 9}), qt.Equals, freshness.AskPeer)

	w.hear(from, news(2, true)) // it is large: each reads it, and need not ask first
	c.Check(w.reads, qt.Equals, 1)
	c.Check(w.Directory.View().Revision, qt.Equals, int64(12))
	w.hear(from, Hint{Revision: 12, Digest: 1, Version: 2, AskStore: true})
	c.Check(w.reads, qt.Equals, 1)
}

// What the first of those who watch has told the zone, the second does not tell again; he
// goes on where the first has stopped.
func TestChangesAreToldOnce(t *testing.T) {
	c := qt.New(t)
	w := member(t)
	first := peer.Sender{Name: w.Roster.Ranked("a", roleCheck)[0].Name}
	change := func(revision int64) *directory.View {
		w.Tell(directory.Seen{Endpoint: directory.Endpoint{ID: fmt.Sprint("e", revision), Service: "llm", Zone: "a", Revision: revision}})
		return w.Directory.View()
	}
	w.hear(first, Hint{Revision: 10, Digest: 1})
	v := change(12)
	w.hear(first, Hint{Revision: 12, Digest: 1})
	c.Check(w.news(v), qt.HasLen, 0)
	told := w.news(change(14)) // of which the first has not told
	c.Assert(told, qt.HasLen, 1)
	c.Check(told[0].Since, qt.Equals, int64(12))
	c.Check(told[0].News.Endpoints, qt.HasLen, 1)
	w.hear(peer.Sender{Name: "n99"}, Hint{Revision: 16, Digest: 1}) // who is not the first
	c.Check(w.news(change(16)), qt.HasLen, 1)
}

// Who waits for a configuration from the store is past its revision already. Others that
// ask him hear of it all the same, and he asks the store again if it does not come.
func TestAwaitedConfigurationIsPassedOn(t *testing.T) {
	c := qt.New(t)
	w := member(t)
	w.hear(peer.Sender{Name: "n1"}, news(2, true))
	told := w.tell(w.Directory.View(), Question{Version: 1, Revision: 10})
	c.Check(told.AskStore, qt.IsTrue)
	c.Check(told.Version, qt.Equals, int64(2))

	w.askAgain(w.now + 400)
	c.Check(w.reads, qt.Equals, 1)
	w.askAgain(w.now + 500)
	c.Check(w.reads, qt.Equals, 2)
	w.Tell(configured(t, 2, 11))
	w.askAgain(w.now + 2000)
	c.Check(w.reads, qt.Equals, 2)
	told = w.tell(w.Directory.View(), Question{Version: 1, Revision: 10})
	c.Check(told.AskStore, qt.IsFalse)
	c.Assert(told.Document, qt.IsNotNil)
	c.Check(told.Document.Version, qt.Equals, int64(2))
}

// lag lets time pass in which the store is known to have more.
func (w *world) lag(ctx context.Context, length time.Duration) {
	for end := w.now.Add(length); w.now < end; w.now += 50 {
		w.Fresh.Heard(w.now, 99, 0, "")
		w.step(ctx)
	}
}

// Who hears from the store that he lacks something asks it for the changes, which in a large
// fleet are few, and for everything only if that brought nothing.
func TestChangesAreReadBeforeEverything(t *testing.T) {
	c := qt.New(t)
	w := member(t)
	w.lag(t.Context(), 200*time.Millisecond)
	c.Check(w.after, qt.DeepEquals, []int64{10})
	c.Check(w.lists, qt.Equals, 0)
	w.Tell(directory.StoreReached{Revision: 20})
	w.lag(t.Context(), 200*time.Millisecond)
	c.Check(w.after, qt.DeepEquals, []int64{10, 20})
	c.Check(w.lists, qt.Equals, 0)
	w.lag(t.Context(), 500*time.Millisecond)
	c.Check(w.lists > 0, qt.IsTrue)
}

// A call that takes its time, as where all start together, does not show that changes lack
// something: everything is read only once they have come.
func TestChangesAreAwaitedBeforeEverything(t *testing.T) {
	c := qt.New(t)
	w := member(t)
	w.slow = true
	w.lag(t.Context(), 4*time.Second)
	c.Check(w.after, qt.DeepEquals, []int64{10})
	c.Check(w.lists, qt.Equals, 0)
	w.slow = false
	w.lag(t.Context(), 500*time.Millisecond)
	c.Check(w.lists > 0, qt.IsTrue)
}

// What those who watch hear while they are young is told to the zone once they know that
// they are the ones to do so, though nothing else happens; others tell nobody.
func TestNewsOfYoungInstancesIsTold(t *testing.T) {
	for rank := range 3 {
		c := qt.New(t)
		w := member(t)
		own, err := peer.NewIdentity("own")
		c.Assert(err, qt.IsNil)
		w.Transport, err = peer.Listen("own", netip.MustParseAddrPort("127.0.0.1:0"), peer.Pinned(own, func(string) (string, bool) { return "", false }), tally.NoopScope)
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = w.Transport.Close() })
		w.Name = w.Roster.Ranked("a", roleCheck)[rank].Name
		w.told = 9
		w.Told()
		w.tellDue(w.now)
		c.Check(w.told, qt.Equals, int64(9)) // it does not know yet who else there is
		w.tellDue(w.now.Add(silentFor))
		c.Check(w.told, qt.Equals, int64(9)) // nor here, where many start together
		w.now = w.now.Add(roster.JoinTime)
		w.tellDue(w.now)
		want := int64(9)
		if rank < watchers {
			want = 10
		}
		c.Check(w.told, qt.Equals, want, qt.Commentf("rank %d", rank))
	}
}
