package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/pkg/clock"
)

// release is a view of prefill and decode engines, given as the software version of each.
func release(t *testing.T, prefills, decodes []string) *directory.View {
	t.Helper()
	base := viewOf(t, 1, 1)
	var engines []*directory.Endpoint
	add := func(stage directory.Stage, id, software string) {
		engines = append(engines, &directory.Endpoint{ID: id, Service: "llm", Zone: "a", Stage: stage, Software: software})
	}
	for n, v := range prefills {
		add(directory.Prefill, fmt.Sprint("p", n+1), v)
	}
	for n, v := range decodes {
		add(directory.Decode, fmt.Sprint("d", n+1), v)
	}
	return directory.NewView(base.Table, engines...)
}

// A release leaves each version some of the engines. A place joins prefill and decode engines
// of one version, a stream that goes on gets its own version or nothing, and new streams use
// the version whose prefill engines are free.
func TestPlacesDuringRelease(t *testing.T) {
	v1, v2 := "v1", "v2"
	tests := []struct {
		name              string
		prefills, decodes []string
		software          string // that the request needs
		part              placement.Part
		granted           string // version of the decode engine; empty: refused
		prefill           bool   // a prefill engine is granted
		reason            string
	}{
		{"both versions whole", []string{v1, v2}, []string{v1, v2}, v2, placement.Both, v2, true, ""},
		{"new stream where prefill exists", []string{v2}, []string{v1, v1, v1, v2}, "", placement.Both, v2, true, ""},
		{"version without prefill engine", []string{v2}, []string{v1, v2}, v1, placement.Both, "", false, placement.ReasonNoPrefill},
		{"version without prefill engine, read where decoded", []string{v2}, []string{v1, v2}, v1, placement.Whole, v1, false, ""},
		{"version without decode engine", []string{v1, v2}, []string{v2}, v1, placement.Both, "", false, placement.ReasonNoEndpoint},
		{"a cache of the other version", []string{v1, v2}, []string{v2, v1}, v1, placement.DecodeOnly, v1, false, ""},
		{"prefill engine for another zone's decode engine", []string{v2, v1}, []string{v2}, v1, placement.PrefillOnly, "", true, ""},
		{"prefill engine of the version missing", []string{v2}, []string{v2}, v1, placement.PrefillOnly, "", false, placement.ReasonNoPrefill},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			v := release(t, test.prefills, test.decodes)
			p := placement.New("a", "n", paces())
			p.Apply(0, placement.ViewUpdate{View: v})
			req := request("r1")
			req.Software, req.Part = test.software, test.part
			d := decision(p.Apply(1, req), "r1")
			if test.reason != "" {
				c.Assert(d.Refusal, qt.IsNotNil)
				c.Check(d.Refusal.Reason, qt.Equals, test.reason)
				return
			}
			c.Assert(d.Grant, qt.IsNotNil)
			c.Check(d.Grant.Software, qt.Equals, test.granted)
			c.Check(d.Grant.Prefill != "", qt.Equals, test.prefill)
			if test.prefill && test.granted != "" {
				c.Check(v.Find(d.Grant.Prefill).Software, qt.Equals, test.granted)
			}
		})
	}
}

// In a burst while one version drains away, its last decode engine must not be filled with new
// streams before those that have to go on there: they are not put behind requests that can
// still be in time.
func TestBegunStreamPassesQueue(t *testing.T) {
	c := qt.New(t)
	v := release(t, []string{"v1", "v2"}, []string{"v1", "v2"})
	p := placement.New("a", "n", paces())
	p.Apply(0, placement.ViewUpdate{View: v})
	now := clock.Millis(1)
	granted := map[string]string{} // engine by request
	apply := func(e placement.Event) {
		for _, a := range p.Apply(now, e) {
			if a.Decision.Grant != nil {
				granted[a.ID] = a.Decision.Grant.Decode
			}
		}
	}
	for n := range 60 { // more than both engines hold
		req := request(fmt.Sprint("new", n))
		req.MayQueue, req.Budget, req.QueueTime = true, 10*time.Second, 10*time.Second
		apply(req)
	}
	c.Assert(p.Queued() > 0, qt.IsTrue)
	onOld := ""
	for id, engine := range granted {
		if engine == "d1" {
			onOld = id
		}
	}
	begun := request("begun")
	begun.Software, begun.Begun, begun.Late, begun.MayQueue = "v1", true, true, true
	begun.Part, begun.QueueTime = placement.Whole, time.Second
	apply(begun)
	now = now.Add(100 * time.Millisecond)
	apply(placement.Release{ID: onOld, Owner: request(onOld).Owner})
	c.Check(granted["begun"], qt.Equals, "d1")
}
