package directory_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// life is an endpoint's entry as one of its lives wrote it.
func life(born, revision int64) directory.Endpoint {
	return directory.Endpoint{Entry: "e1", Service: "web", Zone: "a", Slots: 8, Revision: revision}.Live(born)
}

// lives are the ids of a service's endpoints in the view.
func lives(d *directory.Directory) []string {
	var list []string
	for _, e := range d.View().Endpoints["web"] {
		list = append(list, e.ID)
	}
	return list
}

// A life is known by its own id, so that nothing of one is taken for another's; an
// earlier life's word never replaces a later one's, from whomever it comes.
func TestLivesOfAnEndpoint(t *testing.T) {
	first, second := life(1000, 5).ID, life(2000, 7).ID
	tests := []struct {
		name   string
		events []directory.Event
		want   []string
	}{
		{"one life", []directory.Event{directory.Seen{Endpoint: life(1000, 5)}}, []string{first}},
		{"started anew", []directory.Event{directory.Seen{Endpoint: life(1000, 5)}, directory.Seen{Endpoint: life(2000, 7)}}, []string{second}},
		{
			"the earlier life's word is written later",
			[]directory.Event{directory.Seen{Endpoint: life(2000, 7)}, directory.Seen{Endpoint: life(1000, 9)}},
			[]string{second},
		},
		{
			"the same in a listing",
			[]directory.Event{
				directory.Seen{Endpoint: life(2000, 7)},
				directory.Listed{Endpoints: []directory.Endpoint{life(1000, 9)}, Revision: 9},
			},
			[]string{second},
		},
		{
			"a peer tells of the later life at a lower revision",
			[]directory.Event{
				directory.Seen{Endpoint: life(1000, 9)},
				directory.Relayed{Endpoints: []directory.Endpoint{life(2000, 7)}, Revision: 9},
			},
			[]string{second},
		},
		{
			"a peer tells of the earlier one",
			[]directory.Event{
				directory.Seen{Endpoint: life(2000, 7)},
				directory.Relayed{Endpoints: []directory.Endpoint{life(1000, 9)}, Revision: 9},
			},
			[]string{second},
		},
		{
			"removed, whatever its life",
			[]directory.Event{directory.Seen{Endpoint: life(2000, 7)}, directory.Removed{Entry: "e1", Revision: 8}},
			nil,
		},
		{
			"another endpoint has the earlier life's address",
			[]directory.Event{directory.Seen{Endpoint: life(2000, 7)}, directory.Denied{ID: first}},
			[]string{second},
		},
		{"without a start", []directory.Event{directory.Seen{Endpoint: life(0, 5)}, directory.Seen{Endpoint: life(0, 6)}}, []string{"e1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := directory.New()
			for n, e := range test.events {
				d.Apply(clock.Millis(n), e)
			}
			qt.Assert(t, lives(d), qt.DeepEquals, test.want)
		})
	}
}

// A new life is told as the end of the one before and a new endpoint.
func TestNewLifeIsTold(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	d.Apply(1, directory.Seen{Endpoint: life(1000, 5)})
	changes := d.Apply(2, directory.Seen{Endpoint: life(2000, 7)})
	c.Assert(changes, qt.HasLen, 2)
	c.Check(changes[0].What, qt.Equals, directory.EndpointGone)
	c.Check(changes[0].Endpoint.Born, qt.Equals, int64(1000))
	c.Check(changes[1].What, qt.Equals, directory.EndpointJoined)
	c.Check(changes[1].Endpoint.Born, qt.Equals, int64(2000))
}
