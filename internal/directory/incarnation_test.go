package directory_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// incarnation returns an endpoint's entry as one of its incarnations wrote it.
func incarnation(startedAt, revision int64) directory.Endpoint {
	return directory.Endpoint{Entry: "e1", Service: "web", Zone: "a", Slots: 8, Revision: revision}.WithStart(startedAt)
}

// currentIDs returns the IDs of a service's endpoints in the view.
func currentIDs(d *directory.Directory) []string {
	var list []string
	for e := range d.View().Service("web") {
		list = append(list, e.ID)
	}
	return list
}

// An incarnation has its own ID, so that nothing of one is attributed to another. An entry
// of an earlier incarnation never replaces that of a later one, whatever its source.
func TestIncarnations(t *testing.T) {
	first, second := incarnation(1000, 5).ID, incarnation(2000, 7).ID
	tests := []struct {
		name   string
		events []directory.Event
		want   []string
	}{
		{"one incarnation", []directory.Event{directory.Seen{Endpoint: incarnation(1000, 5)}}, []string{first}},
		{"started again", []directory.Event{directory.Seen{Endpoint: incarnation(1000, 5)}, directory.Seen{Endpoint: incarnation(2000, 7)}}, []string{second}},
		{
			"the earlier incarnation's entry is written later",
			[]directory.Event{directory.Seen{Endpoint: incarnation(2000, 7)}, directory.Seen{Endpoint: incarnation(1000, 9)}},
			[]string{second},
		},
		{
			"the same in a listing",
			[]directory.Event{
				directory.Seen{Endpoint: incarnation(2000, 7)},
				directory.Listed{Endpoints: []directory.Endpoint{incarnation(1000, 9)}, Revision: 9},
			},
			[]string{second},
		},
		{
			"a peer sends the later one at a lower revision",
			[]directory.Event{
				directory.Seen{Endpoint: incarnation(1000, 9)},
				directory.PeerUpdate{Endpoints: []directory.Endpoint{incarnation(2000, 7)}, Revision: 9},
			},
			[]string{second},
		},
		{
			"a peer sends the earlier one",
			[]directory.Event{
				directory.Seen{Endpoint: incarnation(2000, 7)},
				directory.PeerUpdate{Endpoints: []directory.Endpoint{incarnation(1000, 9)}, Revision: 9},
			},
			[]string{second},
		},
		{
			"removed, whatever its incarnation",
			[]directory.Event{directory.Seen{Endpoint: incarnation(2000, 7)}, directory.Removed{Entry: "e1", Revision: 8}},
			nil,
		},
		{
			"another endpoint has the earlier one's address",
			[]directory.Event{directory.Seen{Endpoint: incarnation(2000, 7)}, directory.Denied{ID: first}},
			[]string{second},
		},
		{"without a start", []directory.Event{directory.Seen{Endpoint: incarnation(0, 5)}, directory.Seen{Endpoint: incarnation(0, 6)}}, []string{"e1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := directory.New()
			for n, e := range test.events {
				d.Apply(clock.Millis(n), e)
			}
			qt.Assert(t, currentIDs(d), qt.DeepEquals, test.want)
		})
	}
}

// A new incarnation is reported as the end of the previous one and a new endpoint.
func TestNewIncarnationIsReported(t *testing.T) {
	c := qt.New(t)
	d := directory.New()
	d.Apply(1, directory.Seen{Endpoint: incarnation(1000, 5)})
	changes := d.Apply(2, directory.Seen{Endpoint: incarnation(2000, 7)})
	c.Assert(changes, qt.HasLen, 2)
	c.Check(changes[0].Kind, qt.Equals, directory.EndpointGone)
	c.Check(changes[0].Endpoint.StartedAt, qt.Equals, int64(1000))
	c.Check(changes[1].Kind, qt.Equals, directory.EndpointJoined)
	c.Check(changes[1].Endpoint.StartedAt, qt.Equals, int64(2000))
}

// A planner may name an endpoint that this instance does not know yet, but an outdated one
// is superseded by what is known here.
func TestRefutes(t *testing.T) {
	tests := []struct {
		name     string
		known    []directory.Event
		endpoint directory.Endpoint
		want     bool
	}{
		{"unknown here", nil, incarnation(1000, 5), false},
		{"known", []directory.Event{directory.Seen{Endpoint: incarnation(1000, 5)}}, incarnation(1000, 5), false},
		{"started again", []directory.Event{directory.Seen{Endpoint: incarnation(1000, 5)}}, incarnation(2000, 7), false},
		{"an earlier incarnation", []directory.Event{directory.Seen{Endpoint: incarnation(2000, 7)}}, incarnation(1000, 5), true},
		{"an earlier entry", []directory.Event{directory.Seen{Endpoint: incarnation(0, 7)}}, incarnation(0, 5), true},
		{"gone", []directory.Event{directory.Seen{Endpoint: incarnation(0, 5)}, directory.Removed{Entry: "e1", Revision: 6}}, incarnation(0, 5), true},
		{"gone and back", []directory.Event{directory.Removed{Entry: "e1", Revision: 6}}, incarnation(0, 7), false},
		{"denied", []directory.Event{directory.Seen{Endpoint: incarnation(0, 5)}, directory.Denied{ID: "e1"}}, incarnation(0, 5), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := directory.New()
			for n, e := range test.known {
				d.Apply(clock.Millis(n), e)
			}
			qt.Assert(t, d.Supersedes(test.endpoint), qt.Equals, test.want)
		})
	}
}

// Complete views go between instances whose links carry 10 Mbit/s; at 3,000 endpoints each
// byte of an endpoint takes 2.4 ms there.
func TestEncodedEndpointSize(t *testing.T) {
	c := qt.New(t)
	e := directory.Endpoint{
		Entry: "i-0cfe18b5aa", Service: "member-assist", Zone: "centurion-c", Slots: 16, Stage: directory.Decode,
		Address: netip.MustParseAddrPort("10.2.67.177:8568"), Revision: 123_456,
	}.WithStart(0)
	data, err := cbor.Marshal(e)
	c.Assert(err, qt.IsNil)
	c.Check(len(data) <= 100, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	var again directory.Endpoint
	c.Assert(cbor.Unmarshal(data, &again), qt.IsNil)
	c.Check(again == e, qt.IsTrue, qt.Commentf("%+v", again))
}
