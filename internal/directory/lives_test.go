package directory_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

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
	for e := range d.View().Service("web") {
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

// A planner's word on an endpoint that this instance has not heard of is taken, and
// no older one.
func TestRefutes(t *testing.T) {
	tests := []struct {
		name   string
		known  []directory.Event
		told   directory.Endpoint
		refute bool
	}{
		{"never heard of", nil, life(1000, 5), false},
		{"known", []directory.Event{directory.Seen{Endpoint: life(1000, 5)}}, life(1000, 5), false},
		{"started anew", []directory.Event{directory.Seen{Endpoint: life(1000, 5)}}, life(2000, 7), false},
		{"an earlier life", []directory.Event{directory.Seen{Endpoint: life(2000, 7)}}, life(1000, 5), true},
		{"an earlier entry", []directory.Event{directory.Seen{Endpoint: life(0, 7)}}, life(0, 5), true},
		{"gone", []directory.Event{directory.Seen{Endpoint: life(0, 5)}, directory.Removed{Entry: "e1", Revision: 6}}, life(0, 5), true},
		{"gone and back", []directory.Event{directory.Removed{Entry: "e1", Revision: 6}}, life(0, 7), false},
		{"denied", []directory.Event{directory.Seen{Endpoint: life(0, 5)}, directory.Denied{ID: "e1"}}, life(0, 5), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := directory.New()
			for n, e := range test.known {
				d.Apply(clock.Millis(n), e)
			}
			qt.Assert(t, d.Refutes(test.told), qt.Equals, test.refute)
		})
	}
}

// Whole views of all endpoints go between instances whose links carry 10 Mbit/s; at
// 3,000 endpoints each byte of one is 2.4 ms there.
func TestEndpointIsSmallOnTheWire(t *testing.T) {
	c := qt.New(t)
	e := directory.Endpoint{
		Entry: "i-0cfe18b5aa", Service: "member-assist", Zone: "centurion-c", Slots: 16, Stage: directory.Decode,
		Address: netip.MustParseAddrPort("10.2.67.177:8568"), Revision: 123_456,
	}.Live(0)
	data, err := cbor.Marshal(e)
	c.Assert(err, qt.IsNil)
	c.Check(len(data) <= 100, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	var again directory.Endpoint
	c.Assert(cbor.Unmarshal(data, &again), qt.IsNil)
	c.Check(again == e, qt.IsTrue, qt.Commentf("%+v", again))
}
