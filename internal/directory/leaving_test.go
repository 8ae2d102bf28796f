package directory_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// usable returns the IDs of the endpoints that may get requests.
func usable(d *directory.Directory) []string {
	var list []string
	for e := range d.View().Service("web") {
		if e.State == directory.Ready {
			list = append(list, e.ID)
		}
	}
	return list
}

// An endpoint's announcement that it leaves holds for its incarnation whatever the store
// and peers say, and for no other incarnation.
func TestLeavingEndpoint(t *testing.T) {
	first, second := incarnation(1000, 5).ID, incarnation(2000, 7).ID
	leaving := directory.Leaving{ID: first}
	tests := []struct {
		name   string
		events []directory.Event
		want   []string
	}{
		{"after its entry", []directory.Event{directory.Seen{Endpoint: incarnation(1000, 5)}, leaving}, nil},
		{"before its entry is known", []directory.Event{leaving, directory.Seen{Endpoint: incarnation(1000, 5)}}, nil},
		{"its entry is written again", []directory.Event{directory.Seen{Endpoint: incarnation(1000, 5)}, leaving, directory.Seen{Endpoint: incarnation(1000, 8)}}, nil},
		{
			"its entry goes and comes back",
			[]directory.Event{
				directory.Seen{Endpoint: incarnation(1000, 5)},
				leaving,
				directory.Removed{Entry: "e1", Revision: 6},
				directory.Seen{Endpoint: incarnation(1000, 8)},
			},
			nil,
		},
		{
			"a peer without the announcement sends it as ready",
			[]directory.Event{
				directory.Seen{Endpoint: incarnation(1000, 5)},
				leaving,
				directory.PeerUpdate{Complete: true, Endpoints: []directory.Endpoint{incarnation(1000, 5)}, Revision: 9},
			},
			nil,
		},
		{"it starts again", []directory.Event{directory.Seen{Endpoint: incarnation(1000, 5)}, leaving, directory.Seen{Endpoint: incarnation(2000, 7)}}, []string{second}},
		{"a former incarnation leaves", []directory.Event{directory.Seen{Endpoint: incarnation(2000, 7)}, leaving}, []string{second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := directory.New()
			for i, e := range test.events {
				d.Apply(clock.Millis(10*i), e)
			}
			qt.Assert(t, usable(d), qt.DeepEquals, test.want)
		})
	}
}

// Planners on other instances must be notified of endpoints whose leaving only answers
// show. A repeated announcement is reported once. A later removal of the entry applies at
// once, even during an outage of the store.
func TestLeavingIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	d.Apply(0, directory.Seen{Endpoint: incarnation(1000, 5)})
	d.Apply(10, directory.StoreLost{})
	changes := d.Apply(20, directory.Leaving{ID: incarnation(1000, 5).ID})
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Kind, qt.Equals, directory.EndpointSaysLeaving)
	c.Assert(changes[0].Endpoint.Service, qt.Equals, "web")
	c.Assert(d.Apply(30, directory.Leaving{ID: incarnation(1000, 5).ID}), qt.HasLen, 0)
	c.Assert(d.View().Leaving["web"], qt.DeepEquals, []string{incarnation(1000, 5).ID})
	c.Assert(d.Supersedes(incarnation(1000, 5)), qt.IsTrue)
	d.Apply(40, directory.Removed{Entry: "e1", Revision: 6})
	c.Assert(currentIDs(d), qt.HasLen, 0)
}

// An announcement is forgotten an hour after the endpoint's entry was last present.
func TestLeavingIsForgotten(t *testing.T) {
	c := qt.New(t)
	const hour = clock.Millis(3_600_000)
	d := directory.New()
	e := incarnation(1000, 5)
	d.Apply(0, directory.Seen{Endpoint: e})
	d.Apply(1, directory.Leaving{ID: e.ID})
	d.Apply(2*hour, directory.Tick{})
	c.Assert(d.Supersedes(e), qt.IsTrue) // its entry still exists
	d.Apply(2*hour, directory.Removed{Entry: "e1", Revision: 6})
	e.Revision = 8
	d.Apply(3*hour, directory.Tick{})
	c.Assert(d.Supersedes(e), qt.IsTrue)
	d.Apply(3*hour+1, directory.Tick{})
	c.Assert(d.Supersedes(e), qt.IsFalse)
}
