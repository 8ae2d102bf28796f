package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// What is concluded from each result of a request: for how long five of them in a row eject the endpoint, each sent
// when the ejection by the one before has ended, and whether a connection that comes up ends an ejection.
func TestConclusions(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name    string
		result  balance.Result
		lengths []time.Duration
		ended   bool
	}{
		{"connection timed out", balance.Silent, []time.Duration{s, s, s, s, s}, true},
		{"connection refused or reset", balance.Unreachable, []time.Duration{s, 2 * s, 4 * s, 8 * s, 8 * s}, false},
		{"connection failed, no peer can tell why", balance.Unconfirmed, []time.Duration{s, s, s, s, s}, true},
		{"answer reset in the middle", balance.Failed, []time.Duration{0, 0, 0, s, 0}, false},
		{"request not run", balance.Rejected, []time.Duration{0, 0, 0, 0, 0}, false},
		{"canceled on this side", balance.Canceled, []time.Duration{0, 0, 0, 0, 0}, false},
		{"answered", balance.Succeeded, []time.Duration{0, 0, 0, 0, 0}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b, v := balance.New("a", nil), view(directory.Endpoint{ID: "e1", Zone: "a", Slots: 2})
			now := clock.Millis(1000)
			for n, length := range test.lengths {
				c.Assert(b.ReserveAt(now, v.Find("e1")).Done(now, test.result), qt.Equals, length, qt.Commentf("result %d", n))
				if length > 0 {
					c.Assert(b.Ejected(now.Add(length-time.Millisecond)), qt.HasLen, 1)
					now = now.Add(length)
				}
				c.Assert(b.Ejected(now), qt.HasLen, 0)
			}
			ejected := 0
			for range 4 { // the fewest that eject for each result that does so
				if b.ReserveAt(now, v.Find("e1")).Done(now, test.result) > 0 {
					ejected = 1
				}
			}
			b.RecordConnection("e1")
			if test.ended {
				ejected = 0
			}
			c.Assert(b.Ejected(now), qt.HasLen, ejected)
		})
	}
}

// Guards against endpoints that are silent for a moment and are left alone for many seconds afterwards, and against
// requests that wait for connections to endpoints that are known to be silent still.
func TestSilenceEndsWithAConnection(t *testing.T) {
	type step struct {
		after time.Duration
		do    string // "timeout", "refused", "reset" of a request; "probe silent", "probe connects"
		want  bool   // the endpoint is used
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"silent once", []step{{0, "timeout", false}, {999 * time.Millisecond, "", false}, {time.Millisecond, "", true}}},
		{"answers again", []step{{0, "timeout", false}, {200 * time.Millisecond, "probe connects", true}}},
		{"silent for 1.5 s", []step{
			{0, "timeout", false},
			{750 * time.Millisecond, "probe silent", false},
			{700 * time.Millisecond, "probe silent", false},
			{100 * time.Millisecond, "probe connects", true},
		}},
		{"silent again and again", []step{
			{0, "timeout", false},
			{time.Second, "timeout", false},
			{time.Second, "timeout", false},
			{time.Second, "timeout", false},
			{100 * time.Millisecond, "probe connects", true},
		}},
		{"probes have stopped", []step{{0, "timeout", false}, {500 * time.Millisecond, "probe silent", false}, {time.Second, "", true}}},
		{"refused after a silence", []step{{0, "timeout", false}, {100 * time.Millisecond, "refused", false}, {500 * time.Millisecond, "probe connects", false}}},
		{"refused before a silence", []step{{0, "refused", false}, {100 * time.Millisecond, "timeout", false}, {500 * time.Millisecond, "probe connects", false}, {400 * time.Millisecond, "", true}}},
		{"silent after failures", []step{
			{0, "reset", true},
			{0, "reset", true},
			{0, "reset", true},
			{0, "reset", false},
			{100 * time.Millisecond, "timeout", false},
			{100 * time.Millisecond, "probe connects", false},
		}},
		{"silence is no failure", []step{
			{0, "reset", true},
			{0, "reset", true},
			{0, "reset", true},
			{0, "timeout", false},
			{100 * time.Millisecond, "probe connects", true},
			{0, "reset", false},
		}},
		{"never used", []step{{0, "probe silent", true}, {0, "probe connects", true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := balance.New("a", nil)
			v := view(directory.Endpoint{ID: "near", Zone: "a", Slots: 9}, directory.Endpoint{ID: "far", Zone: "b", Slots: 9})
			req, now := balance.Request{Service: "web", Stage: directory.Decode}, clock.Millis(1000)
			for n, s := range test.steps {
				now = now.Add(s.after)
				switch s.do {
				case "timeout":
					b.ReserveAt(now, v.Find("near")).Done(now, balance.Silent)
				case "refused":
					b.ReserveAt(now, v.Find("near")).Done(now, balance.Unreachable)
				case "reset":
					b.ReserveAt(now, v.Find("near")).Done(now, balance.Failed)
				case "probe silent":
					b.RecordSilence(now, "near")
				case "probe connects":
					b.RecordConnection("near")
				}
				r := b.Reserve(now, v, req)
				c.Assert(r.Endpoint.ID == "near", qt.Equals, s.want, qt.Commentf("step %d", n))
				r.Done(now, balance.Canceled)
			}
		})
	}
}

// If all endpoints of a service are silent, a single request at a time goes to each of them, and the first connection
// that comes up lets all others follow.
func TestAllEndpointsSilent(t *testing.T) {
	c := qt.New(t)
	b := balance.New("a", nil)
	v := view(directory.Endpoint{ID: "e1", Zone: "a", Slots: 2}, directory.Endpoint{ID: "e2", Zone: "a", Slots: 2})
	req := balance.Request{Service: "web", Stage: directory.Decode}
	for _, id := range []string{"e1", "e2"} {
		b.ReserveAt(1000, v.Find(id)).Done(1100, balance.Silent)
	}
	c.Assert(b.Unreachable(), qt.Equals, 2)
	c.Assert(b.Reserve(1200, v, req), qt.IsNil)
	c.Assert(b.Reserve(1400, v, req), qt.IsNotNil)
	c.Assert(b.Reserve(1400, v, req), qt.IsNotNil)
	c.Assert(b.Reserve(1400, v, req), qt.IsNil)
	b.RecordConnection("e2")
	c.Assert(b.Unreachable(), qt.Equals, 1)
	for range 3 {
		c.Assert(b.Reserve(1400, v, req).Endpoint.ID, qt.Equals, "e2")
	}
}

// A refusal outweighs an earlier silence: an older connection that comes up late does not let all requests try the
// endpoint again at once.
func TestRefusalEndsSilence(t *testing.T) {
	c := qt.New(t)
	b, v := balance.New("a", nil), view(directory.Endpoint{ID: "e1", Zone: "a", Slots: 2})
	b.ReserveAt(1000, v.Find("e1")).Done(1100, balance.Silent)
	b.ReserveAt(1200, v.Find("e1")).Done(1201, balance.Unreachable)
	b.RecordConnection("e1")
	c.Assert(b.Unreachable(), qt.Equals, 1)
	c.Assert(b.Reserve(1300, v, balance.Request{Service: "web", Stage: directory.Decode}), qt.IsNil)
}
