package attempts_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/attempts"
)

func ExampleRecord() {
	var r attempts.Record
	r.Begin("d1").Finish(attempts.Rejected)
	r.Begin("d2")
	fmt.Println(r.MayHaveRun(), "of:", r.String())
	// Output: 1 of: d1 rejected; d2 open
}

func TestFinish(t *testing.T) {
	tests := []struct {
		name string
		ends []attempts.End
		runs int
		text string
	}{
		{"in progress", nil, 1, "d1 open"},
		{"unwritten", []attempts.End{attempts.Unwritten}, 0, "d1 unwritten"},
		{"rejected", []attempts.End{attempts.Rejected}, 0, "d1 rejected"},
		{"answered", []attempts.End{attempts.Answered}, 1, "d1 answered"},
		{"broken off", []attempts.End{attempts.BrokenOff}, 1, "d1 broken_off"},
		{"broken off inside the response", []attempts.End{attempts.Answered, attempts.BrokenOff}, 1, "d1 broken_off"},
		{"rejected, then broken off", []attempts.End{attempts.Rejected, attempts.BrokenOff}, 0, "d1 rejected"},
		{"rejected after a response", []attempts.End{attempts.Answered, attempts.Rejected}, 1, "d1 answered"},
		{"unwritten after a break", []attempts.End{attempts.BrokenOff, attempts.Unwritten}, 1, "d1 broken_off"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var r attempts.Record
			s := r.Begin("d1")
			for _, end := range test.ends {
				s.Finish(end)
			}
			c.Assert(r.MayHaveRun(), qt.Equals, test.runs)
			c.Assert(r.String(), qt.Equals, test.text)
		})
	}
}

func TestKindsOfSends(t *testing.T) {
	c := qt.New(t)
	var r attempts.Record
	c.Assert(r.Evidence(), qt.Equals, "no_send")
	r.BeginPrompt("p1").Finish(attempts.Answered)
	c.Assert(r.MayHaveRun(), qt.Equals, 0) // a prompt that is read is no run
	c.Assert(r.Evidence(), qt.Equals, "no_send")
	planned := r.Plan(1)
	c.Assert(r.MayHaveRun(), qt.Equals, 1)
	c.Assert(planned.Planned(), qt.IsTrue)
	c.Assert(r.String(), qt.Equals, "prompt at p1 answered")
	c.Assert(r.Plan(1), qt.IsNil)
	c.Assert(planned.At("d1"), qt.IsTrue)
	c.Assert(planned.Planned(), qt.IsFalse)
	planned.Finish(attempts.Unwritten)
	c.Assert(r.MayHaveRun(), qt.Equals, 0)
	c.Assert(r.Evidence(), qt.Equals, "unwritten")
	c.Assert(r.Reached("d1"), qt.IsFalse)
	c.Assert(r.Reached("p1"), qt.IsTrue)
	r.Begin("d1").Finish(attempts.Rejected)
	c.Assert(r.Reached("d1"), qt.IsTrue)
	c.Assert(r.Evidence(), qt.Equals, "rejected")
}

// Guards against more runs than a route allows: an attempt whose send did not run keeps its place for the next one.
func TestReplan(t *testing.T) {
	c := qt.New(t)
	var r attempts.Record
	r.Begin("d1")
	s := r.Plan(2)
	c.Assert(s.At("d2"), qt.IsTrue)
	next := s.Replan(attempts.Rejected)
	c.Assert(next.Planned(), qt.IsTrue)
	c.Assert(r.Plan(2), qt.IsNil)
	c.Assert(next.At("d3"), qt.IsTrue)
	c.Assert(next.Replan(attempts.Answered), qt.Equals, next) // it may have run
	next.Finish(attempts.BrokenOff)
	c.Assert(next.Replan(attempts.Unwritten), qt.Equals, next)
	c.Assert(r.String(), qt.Equals, "d1 open; d2 rejected; d3 broken_off")
}

func TestClose(t *testing.T) {
	c := qt.New(t)
	var r attempts.Record
	running, planned := r.Plan(3), r.Plan(3)
	c.Assert(running.At("d1"), qt.IsTrue)
	r.Close()
	c.Assert(planned.At("d2"), qt.IsFalse)
	c.Assert(r.MayHaveRun(), qt.Equals, 1)
	next := running.Replan(attempts.Unwritten)
	c.Assert(next.At("d3"), qt.IsFalse)
	c.Assert(r.MayHaveRun(), qt.Equals, 0)
	c.Assert(r.String(), qt.Equals, "d1 unwritten")
}

func TestLongRecord(t *testing.T) {
	c := qt.New(t)
	var r attempts.Record
	for range 15 {
		r.Begin("d1")
	}
	c.Assert(r.String(), qt.Matches, "(d1 open; ){12}and 3 more")
}

// Guards against a send that has run and is counted as one that has not: whatever order its ends are reported in, a
// send is proven not to have run only if that was the first thing known of it.
func TestProofIsTheFirstThingKnown(t *testing.T) {
	ends := []attempts.End{attempts.Unwritten, attempts.Rejected, attempts.Answered, attempts.BrokenOff}
	rapid.Check(t, func(t *rapid.T) {
		var r attempts.Record
		first := map[*attempts.Send]attempts.End{}
		var sends []*attempts.Send
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(*rapid.T) { sends = append(sends, r.Begin("d")) },
			"finish": func(t *rapid.T) {
				if len(sends) == 0 {
					t.Skip()
				}
				s, end := rapid.SampledFrom(sends).Draw(t, "send"), rapid.SampledFrom(ends).Draw(t, "end")
				if _, known := first[s]; !known {
					first[s] = end
				}
				s.Finish(end)
			},
			"": func(t *rapid.T) {
				runs := len(sends)
				for _, end := range first {
					if end == attempts.Unwritten || end == attempts.Rejected {
						runs--
					}
				}
				if got := r.MayHaveRun(); got != runs {
					t.Fatalf("%d sends may have run, want %d", got, runs)
				}
			},
		})
	})
}
