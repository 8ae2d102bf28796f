package changelog_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/changelog"
	"github.com/trailshed/trailshed/internal/platform"
	standin "github.com/trailshed/trailshed/internal/standin/platform"
)

// fixture is a platform stand-in to which tests connect any number of logs.
type fixture struct {
	platform *standin.Platform
	store    *platform.Store
}

func newFixture(t testing.TB) *fixture {
	p := standin.New(5000, 5000, 0)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	return &fixture{platform: p, store: platform.Connect(address, time.Second, tally.NoopScope)}
}

func (f *fixture) log() *changelog.Log { return changelog.New(f.store, tally.NoopScope, zerolog.Nop()) }

func zone(id, name string) catalog.Change {
	return catalog.Change{ID: id, Actor: id, Verb: catalog.VerbCreate, Noun: catalog.NounZone, Name: name}
}

// TestRacingOperators checks that commands submitted concurrently on different processes
// each get their own revision, and that all copies end up equal.
func TestRacingOperators(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	const operators, each = 4, 30
	logs := make([]*changelog.Log, operators)
	var group sync.WaitGroup
	errs := make(chan error, operators*each)
	for i := range logs {
		logs[i] = f.log()
		group.Go(func() {
			for n := range each {
				id := fmt.Sprintf("op%d-%d", i, n)
				_, err := logs[i].Submit(context.Background(), zone(id, id), logs[i].Current().Revision)
				errs <- err
			}
		})
	}
	group.Wait()
	close(errs)
	for err := range errs {
		c.Assert(err, qt.IsNil)
	}
	for _, l := range append(logs, f.log()) { // the last one starts from the snapshot
		c.Assert(l.CatchUp(context.Background()), qt.IsNil)
		c.Assert(l.Current().Revision, qt.Equals, int64(operators*each))
		c.Assert(l.Current().Zones, qt.HasLen, operators*each)
	}
}

// TestConflictingOperators checks that of two commands on one aggregate that are based on
// the same revision, the second fails with the revision and operator of the first.
func TestConflictingOperators(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	first, second := f.log(), f.log()
	_, err := first.Submit(context.Background(), zone("a", "a"), 0)
	c.Assert(err, qt.IsNil)
	_, err = second.Submit(context.Background(), zone("b", "a"), 0)
	c.Assert(err, qt.ErrorIs, changelog.ErrConflict)
	c.Assert(err, qt.ErrorMatches, ".*revision 1 by a.*")
}

func TestSubmitUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		ok     bool
	}{
		{"healthy", standin.Faults{}, true},
		{"answer lost after the write", standin.Faults{LoseAnswers: 1}, true},
		{"two answers lost", standin.Faults{LoseAnswers: 2}, true},
		{"outage", standin.Faults{Outage: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			l := f.log()
			f.platform.SetFaults(test.faults)
			_, err := l.Submit(context.Background(), zone("a", "a"), 0)
			f.platform.SetFaults(standin.Faults{})
			if !test.ok {
				c.Assert(err, qt.ErrorIs, changelog.ErrUnavailable)
			} else {
				c.Assert(err, qt.IsNil)
			}
			fresh := f.log()
			c.Assert(fresh.CatchUp(context.Background()), qt.IsNil)
			c.Assert(fresh.Current().Revision == 1, qt.Equals, test.ok)
		})
	}
}

// TestNeverReverts checks that old revisions and revisions after a gap change nothing.
func TestNeverReverts(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	l := f.log()
	for _, n := range []string{"a", "b", "c"} {
		_, err := l.Submit(context.Background(), zone(n, n), l.Current().Revision)
		c.Assert(err, qt.IsNil)
	}
	history := l.History()
	c.Assert(l.Apply(history[0], history[1]), qt.IsNil)
	c.Assert(l.ApplyDelta(changelog.Delta{Revision: 1, Rows: []catalog.Row{{Noun: "zone", Name: "x"}}}), qt.IsNil)
	c.Assert(l.Current().Revision, qt.Equals, int64(3))
	gap := history[2]
	gap.Revision = 9
	c.Assert(l.Apply(gap), qt.IsNotNil)
	c.Assert(l.Current().Revision, qt.Equals, int64(3))
}

// TestNotReadyWithPartialConfiguration checks that a copy with only the first part of the
// configuration is not ready and sends none of it to peers.
func TestNotReadyWithPartialConfiguration(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	writer := f.log()
	for _, n := range []string{"a", "b", "c"} {
		_, err := writer.Submit(context.Background(), zone(n, n), writer.Current().Revision)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(writer.CatchUp(context.Background()), qt.IsNil)
	fresh, other := f.log(), f.log()
	c.Assert(fresh.Apply(writer.History()[0]), qt.IsNil)
	c.Assert(fresh.Loaded(), qt.IsFalse)
	c.Assert(other.ApplyDelta(fresh.Delta(changelog.Pull{After: 0})), qt.IsNil)
	c.Assert(other.Loaded(), qt.IsFalse)
	c.Assert(other.Current().Revision, qt.Equals, int64(0))
	c.Assert(fresh.CatchUp(context.Background()), qt.IsNil)
	c.Assert(fresh.Loaded(), qt.IsTrue)
	c.Assert(other.ApplyDelta(fresh.Delta(changelog.Pull{After: 0})), qt.IsNil)
	c.Assert(other.Loaded(), qt.IsTrue)
}

// TestStartInAnOutage checks that during an outage of the platform a process loads the
// configuration from a peer, as changes or, if the peer no longer keeps them, as rows.
func TestStartInAnOutage(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	peer := f.log()
	for n := range 5 {
		id := fmt.Sprint(n)
		_, err := peer.Submit(context.Background(), zone(id, id), peer.Current().Revision)
		c.Assert(err, qt.IsNil)
	}
	f.platform.SetFaults(standin.Faults{Outage: true})
	fresh := f.log()
	c.Assert(fresh.CatchUp(context.Background()), qt.IsNotNil)
	c.Assert(fresh.Loaded(), qt.IsFalse)
	c.Assert(fresh.ApplyDelta(peer.Delta(changelog.Pull{After: 0})), qt.IsNil)
	c.Assert(fresh.Loaded(), qt.IsTrue)
	c.Assert(fresh.Current().Revision, qt.Equals, int64(5))
	snapshot := changelog.Delta{Revision: 5, Rows: peer.Current().Rows()}
	other := f.log()
	c.Assert(other.ApplyDelta(snapshot), qt.IsNil)
	c.Assert(other.Current().Rows(), qt.DeepEquals, peer.Current().Rows())
	c.Assert(other.Delta(changelog.Pull{After: 2}).Revision, qt.Equals, int64(5))
}

// Guards against an operator who is told that a command was refused, as what it creates exists already, when the command
// itself has created it: the response to its write was lost, and so was that of the read that would have told.
func TestAcceptedChangeIsNotRefused(t *testing.T) {
	for lost := range 3 { // reads after the write
		t.Run(fmt.Sprint(lost, " reads lost"), func(t *testing.T) {
			c := qt.New(t)
			p := standin.New(5000, 5000, 0)
			var writes, reads atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPut && writes.Add(1) == 1 {
					p.Handler().ServeHTTP(httptest.NewRecorder(), r)
					panic(http.ErrAbortHandler)
				}
				if r.Method == http.MethodGet && writes.Load() == 1 && reads.Add(1) <= int64(lost) {
					panic(http.ErrAbortHandler)
				}
				p.Handler().ServeHTTP(w, r)
			}))
			defer server.Close()
			f := &fixture{store: platform.Connect(netip.MustParseAddrPort(server.Listener.Addr().String()), time.Second, tally.NoopScope)}
			accepted, err := f.log().Submit(t.Context(), zone("a", "a"), 0)
			c.Assert(err, qt.IsNil)
			c.Assert(accepted.Revision, qt.Equals, int64(1))
			fresh := f.log()
			c.Assert(fresh.CatchUp(t.Context()), qt.IsNil)
			c.Assert(fresh.Current().Revision, qt.Equals, int64(1))
		})
	}
}
