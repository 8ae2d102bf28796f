package directory_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// usable are the ids of the endpoints that may get requests.
func usable(d *directory.Directory) []string {
	var list []string
	for e := range d.View().Service("web") {
		if e.State == directory.Ready {
			list = append(list, e.ID)
		}
	}
	return list
}

// The word of an endpoint that it leaves holds for its life, whatever the store and
// peers tell, and for no other.
func TestWordOfAnEndpointThatLeaves(t *testing.T) {
	first, second := life(1000, 5).ID, life(2000, 7).ID
	says := directory.Leaving{ID: first}
	tests := []struct {
		name   string
		events []directory.Event
		want   []string
	}{
		{"said", []directory.Event{directory.Seen{Endpoint: life(1000, 5)}, says}, nil},
		{"said before its entry is known", []directory.Event{says, directory.Seen{Endpoint: life(1000, 5)}}, nil},
		{"its entry is written again", []directory.Event{directory.Seen{Endpoint: life(1000, 5)}, says, directory.Seen{Endpoint: life(1000, 8)}}, nil},
		{
			"its entry goes and comes back",
			[]directory.Event{
				directory.Seen{Endpoint: life(1000, 5)},
				says,
				directory.Removed{Entry: "e1", Revision: 6},
				directory.Seen{Endpoint: life(1000, 8)},
			},
			nil,
		},
		{
			"a peer that was not told knows it as ready",
			[]directory.Event{
				directory.Seen{Endpoint: life(1000, 5)},
				says,
				directory.Relayed{Whole: true, Endpoints: []directory.Endpoint{life(1000, 5)}, Revision: 9},
			},
			nil,
		},
		{"it starts anew", []directory.Event{directory.Seen{Endpoint: life(1000, 5)}, says, directory.Seen{Endpoint: life(2000, 7)}}, []string{second}},
		{"a former life said it", []directory.Event{directory.Seen{Endpoint: life(2000, 7)}, says}, []string{second}},
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

// Planners on other instances are told whom only answers name; a word that was said
// once is told once, and an entry that goes then is believed at once, though the store
// was just away.
func TestLeavingIsToldOnce(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	d.Apply(0, directory.Seen{Endpoint: life(1000, 5)})
	d.Apply(10, directory.StoreLost{})
	changes := d.Apply(20, directory.Leaving{ID: life(1000, 5).ID})
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].What, qt.Equals, directory.EndpointSaysLeaving)
	c.Assert(changes[0].Endpoint.Service, qt.Equals, "web")
	c.Assert(d.Apply(30, directory.Leaving{ID: life(1000, 5).ID}), qt.HasLen, 0)
	c.Assert(d.View().Leaving["web"], qt.DeepEquals, []string{life(1000, 5).ID})
	c.Assert(d.Refutes(life(1000, 5)), qt.IsTrue)
	d.Apply(40, directory.Removed{Entry: "e1", Revision: 6})
	c.Assert(lives(d), qt.HasLen, 0)
}

// What was said is forgotten an hour after the last that told of the endpoint.
func TestLeavingIsForgotten(t *testing.T) {
	c := qt.New(t)
	const hour = clock.Millis(3_600_000)
	d := directory.New()
	e := life(1000, 5)
	d.Apply(0, directory.Seen{Endpoint: e})
	d.Apply(1, directory.Leaving{ID: e.ID})
	d.Apply(2*hour, directory.Tick{})
	c.Assert(d.Refutes(e), qt.IsTrue) // its entry is there
	d.Apply(2*hour, directory.Removed{Entry: "e1", Revision: 6})
	e.Revision = 8
	d.Apply(3*hour, directory.Tick{})
	c.Assert(d.Refutes(e), qt.IsTrue)
	d.Apply(3*hour+1, directory.Tick{})
	c.Assert(d.Refutes(e), qt.IsFalse)
}
