package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

func view(endpoints ...directory.Endpoint) *directory.View {
	var list []*directory.Endpoint
	for _, e := range endpoints {
		e.Service = "web"
		list = append(list, &e)
	}
	return directory.NewView(nil, list...)
}

func TestReserve(t *testing.T) {
	near := directory.Endpoint{ID: "near", Zone: "a", Slots: 2}
	far := directory.Endpoint{ID: "far", Zone: "b", Slots: 2}
	leaving := directory.Endpoint{ID: "leaving", Zone: "a", Slots: 2, State: directory.Draining}
	prefill := directory.Endpoint{ID: "reader", Zone: "a", Slots: 2, Stage: directory.Prefill}
	tests := []struct {
		name    string
		view    *directory.View
		exclude []string
		before  int // existing reservations
		want    string
	}{
		{"own zone first", view(far, near), nil, 0, "near"},
		{"other zone when excluded", view(far, near), []string{"near"}, 0, "far"},
		{"other zone when the own is full", view(far, near), nil, 4, "far"},
		{"no draining endpoint", view(leaving, far), nil, 0, "far"},
		{"no prefill engine", view(prefill, far), nil, 0, "far"},
		{"no endpoint at all", view(leaving, prefill), nil, 0, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := balance.New("a", nil)
			req := balance.Request{Service: "web", Stage: directory.Decode, Exclude: test.exclude}
			for range test.before {
				b.Reserve(1000, test.view, req)
			}
			got := ""
			if r := b.Reserve(1000, test.view, req); r != nil {
				got = r.Endpoint.ID
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// An endpoint that fails is ejected for a time, and used if there is no other.
func TestEjection(t *testing.T) {
	tests := []struct {
		name    string
		results []balance.Result
		ejected bool
	}{
		{"unreachable once", []balance.Result{balance.Unreachable}, true},
		{"failed once", []balance.Result{balance.Failed}, false},
		{"failed repeatedly", repeat(balance.Failed, 5), true},
		{"rejected repeatedly", repeat(balance.Rejected, 9), false},
		{"always fails one in seven", append(repeat(balance.Succeeded, 6), balance.Failed, balance.Succeeded, balance.Failed), false},
		{"canceled by callers", repeat(balance.Canceled, 9), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := balance.New("a", nil)
			only := view(directory.Endpoint{ID: "e1", Zone: "a", Slots: 2})
			both := view(directory.Endpoint{ID: "e1", Zone: "a", Slots: 2}, directory.Endpoint{ID: "e2", Zone: "b", Slots: 2})
			req := balance.Request{Service: "web", Stage: directory.Decode}
			now := clock.Millis(1000)
			for _, result := range test.results {
				r := b.Reserve(now, only, req)
				c.Assert(r, qt.IsNotNil)
				r.Done(now, result)
			}
			r := b.Reserve(now, both, req)
			c.Assert(r.Endpoint.ID == "e2", qt.Equals, test.ejected)
			r.Done(now, balance.Canceled)
			later := b.Reserve(now.Add(20_000_000_000), both, req)
			c.Assert(later.Endpoint.ID, qt.Equals, "e1")
		})
	}
}

// If no endpoint is reachable, one request at a time probes; the others are refused at
// once instead of waiting for a dial timeout.
func TestUnreachableEndpointsAreProbed(t *testing.T) {
	c := qt.New(t)
	b := balance.New("a", nil)
	only := view(directory.Endpoint{ID: "e1", Zone: "a", Slots: 2})
	req := balance.Request{Service: "web", Stage: directory.Decode}
	b.Reserve(1000, only, req).Done(1250, balance.Unreachable)
	c.Assert(b.Reserve(1300, only, req), qt.IsNil)
	probe := b.Reserve(1450, only, req)
	c.Assert(probe, qt.IsNotNil)
	c.Assert(b.Reserve(1451, only, req), qt.IsNil)
	probe.Done(1460, balance.Succeeded)
	c.Assert(b.Reserve(1461, only, req), qt.IsNotNil)
}

func repeat(r balance.Result, n int) []balance.Result {
	var list []balance.Result
	for range n {
		list = append(list, r)
	}
	return list
}

// An endpoint that wants no requests gets none until its backoff ends, even if there is
// no other endpoint, and even if it leaves the view and returns meanwhile.
func TestBackoff(t *testing.T) {
	c := qt.New(t)
	near := directory.Endpoint{ID: "near", Zone: "a", Slots: 2, Service: "web"}
	far := directory.Endpoint{ID: "far", Zone: "b", Slots: 2}
	b := balance.New("a", nil)
	req := balance.Request{Service: "web", Stage: directory.Decode}
	c.Assert(b.BackOff(1000, "near", 3*time.Second), qt.IsTrue)
	c.Assert(b.BackOff(1500, "near", time.Second), qt.IsFalse) // ends before the known backoff
	c.Assert(b.Reserve(1501, view(near, far), req).Endpoint.ID, qt.Equals, "far")
	c.Assert(b.Reserve(1501, view(near), req), qt.IsNil)
	c.Assert(b.ReserveAt(1501, &near), qt.IsNil)
	c.Assert(b.BackedOff(1501), qt.DeepEquals, []string{"near"})
	for _, test := range []struct {
		view     *directory.View
		withheld map[string]time.Duration
		backoff  time.Duration
		limited  bool
	}{
		{view(near), nil, 2500 * time.Millisecond, false},
		{view(near, far), nil, 0, false},
		{view(near, far), map[string]time.Duration{"far": time.Second}, time.Second, true},
		{view(near, far), map[string]time.Duration{"far": time.Minute}, 2500 * time.Millisecond, false},
	} {
		withheld := req
		withheld.Withheld = test.withheld
		backoff, limited := b.BackoffLeft(1500, test.view, withheld)
		c.Check(backoff, qt.Equals, test.backoff)
		c.Check(limited, qt.Equals, test.limited)
	}
	b.Forget(view(far))
	c.Assert(b.InBackoff(3999, "near"), qt.IsTrue)
	c.Assert(b.InBackoff(4000, "near"), qt.IsFalse)
	c.Assert(b.ReserveAt(4000, &near), qt.IsNotNil)
	c.Assert(b.BackOff(4000, "near", time.Second), qt.IsTrue)
}

// A request goes to its own zone, then to another zone of its region, and leaves the
// region when the wait in both exceeds the penalty of the distance.
func TestOwnRegionFirst(t *testing.T) {
	regions := map[string]string{"a": "north", "b": "north", "c": "south"}
	endpoints := []directory.Endpoint{{ID: "e-a", Zone: "a", Slots: 1}, {ID: "e-b", Zone: "b", Slots: 1}, {ID: "e-c", Zone: "c", Slots: 1}}
	b := balance.New("a", regions)
	var order []string
	for range 4 {
		order = append(order, b.Reserve(0, view(endpoints...), balance.Request{Service: "web", Stage: directory.Decode}).Endpoint.ID)
	}
	qt.Assert(t, order, qt.DeepEquals, []string{"e-a", "e-b", "e-a", "e-c"})
}

// An endpoint that was ejected as unreachable is used again at once when it turns out that this
// instance's own links were at fault; one that failed requests stays ejected.
func TestAbsolve(t *testing.T) {
	c := qt.New(t)
	view := directory.NewView(nil, &directory.Endpoint{ID: "a", Service: "web", State: directory.Ready}, &directory.Endpoint{ID: "b", Service: "web", State: directory.Ready})
	b := balance.New("z", nil)
	for e := range view.Service("web") {
		result := balance.Unreachable
		if e.ID == "b" {
			result = balance.Failed
		}
		for range 6 {
			b.ReserveAt(1000, e).Done(1000, result)
		}
	}
	c.Assert(b.Ejected(1001), qt.HasLen, 2)
	c.Assert(b.Unreachable(), qt.Equals, 1)
	b.Absolve("a")
	b.Absolve("b")
	b.Absolve("unknown")
	c.Assert(b.Ejected(1001), qt.DeepEquals, []string{"b"})
	c.Assert(b.Unreachable(), qt.Equals, 0)
}

// Failures of which nobody knows whose fault they are eject for the shortest time only, however
// often they come: the links may be back at any moment.
func TestUnconfirmedFailures(t *testing.T) {
	c := qt.New(t)
	view := directory.NewView(nil, &directory.Endpoint{ID: "a", Service: "web", State: directory.Ready})
	b := balance.New("z", nil)
	now := clock.Millis(1000)
	for range 5 {
		length := b.ReserveAt(now, view.Find("a")).Done(now, balance.Unconfirmed)
		c.Assert(length, qt.Equals, time.Second)
		now = now.Add(length)
	}
}
