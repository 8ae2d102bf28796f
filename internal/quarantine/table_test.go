package quarantine_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/quarantine"
	"github.com/trailshed/trailshed/pkg/clock"
)

const start clock.Millis = 1_000_000

func work(name string) quarantine.Work {
	return quarantine.Work{Method: "POST", Host: "a", Target: "/" + name, Body: []byte(name)}
}

func ExampleTable() {
	t := quarantine.NewTable()
	summary := work("summary")
	t.RecordEnd(start, summary, "engine-1")
	fmt.Println(t.Holds(summary))
	t.RecordEnd(start+200, summary, "engine-2")
	fmt.Println(t.Holds(summary), t.Holds(work("other")))
	// Output:
	// false
	// true false
}

// Each case is a sequence of events of one request, and whether it is held afterwards.
func TestHolds(t *testing.T) {
	type step struct {
		end      string // the endpoint that ends while it runs the request
		complete bool   // the request runs to completion
		pass     time.Duration
	}
	tests := []struct {
		name  string
		steps []step
		holds bool
	}{
		{"one end", []step{{end: "a"}}, false},
		{"two ends", []step{{end: "a"}, {end: "b"}}, true},
		{"the same end observed twice", []step{{end: "a"}, {end: "a"}}, false},
		{"it completes between two ends", []step{{end: "a"}, {complete: true}, {end: "b"}}, false},
		{"it completes elsewhere after two ends", []step{{end: "a"}, {end: "b"}, {complete: true}}, false},
		{"it completed just before, three ends", []step{{complete: true}, {end: "a"}, {end: "b"}, {end: "c"}}, false},
		{"it completed just before, four ends", []step{{complete: true}, {end: "a"}, {end: "b"}, {end: "c"}, {end: "d"}}, true},
		{"it completed long ago", []step{{complete: true, pass: 3 * time.Minute}, {end: "a"}, {end: "b"}}, true},
		{"two ends, some hours later", []step{{end: "a"}, {end: "b", pass: 20 * time.Hour}}, true},
		{"two ends, days later", []step{{end: "a"}, {end: "b", pass: 30 * time.Hour}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table, now := quarantine.NewTable(), start
			for _, s := range test.steps {
				if s.complete {
					table.RecordCompletion(now, work("w"))
				} else {
					table.RecordEnd(now, work("w"), s.end)
				}
				now = now.Add(s.pass + time.Millisecond)
			}
			table.Expire(now)
			qt.Assert(t, table.Holds(work("w")), qt.Equals, test.holds)
		})
	}
}

// Instances exchange records in any order, with duplicates and losses. Once every table
// has received every record, all tables agree.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		var tables [instances]*quarantine.Table
		for i := range tables {
			tables[i] = quarantine.NewTable()
		}
		now := start
		var announced []quarantine.Record
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass")) * time.Millisecond)
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			w := work(strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "work")))
			var r quarantine.Record
			var changed bool
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				r, changed = tables[i].RecordCompletion(now, w)
			case 1:
				if len(announced) > 0 {
					r, changed = tables[i].Merge(now, announced[rapid.IntRange(0, len(announced)-1).Draw(t, "which")])
				}
			default:
				r, changed = tables[i].RecordEnd(now, w, "e"+strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "endpoint")))
			}
			if changed {
				announced = append(announced, r)
			}
		}
		for i := range tables {
			for _, n := range rapid.Permutation(announced).Draw(t, "order") {
				tables[i].Merge(now, n)
			}
		}
		for name := range 3 {
			w := work(strconv.Itoa(name))
			for i := 1; i < instances; i++ {
				if tables[i].Holds(w) != tables[0].Holds(w) {
					t.Fatalf("instances differ on %d", name)
				}
			}
		}
		for i := 1; i < instances; i++ {
			if tables[i].Digest() != tables[0].Digest() {
				t.Fatalf("digests differ")
			}
		}
	})
}

// Which records are to be saved in the store, are missing there or are to be removed.
func TestStoredRecords(t *testing.T) {
	c := qt.New(t)
	const grace = time.Second
	own, other := quarantine.NewTable(), quarantine.NewTable()
	own.RecordEnd(start, work("w"), "a")
	c.Assert(own.Unsaved(start, true, grace), qt.HasLen, 0) // suspected only
	r, _ := own.RecordEnd(start+1, work("w"), "b")
	c.Assert(own.Unsaved(start+1, false, grace), qt.HasLen, 1)
	other.Merge(start+2, r)
	c.Assert(other.Unsaved(start+2, true, grace), qt.HasLen, 0)
	c.Assert(other.Unsaved(start+1100, false, grace), qt.HasLen, 0)
	c.Assert(other.Unsaved(start+1100, true, grace), qt.HasLen, 1) // the instance that observed the end has not saved it

	stored := quarantine.Stored{Record: r, Revision: 7}
	own.MergeStored(start+3, stored)
	other.MergeStored(start+3, stored)
	c.Assert(own.Unsaved(start+5000, true, grace), qt.HasLen, 0)
	c.Assert(own.Missing([]quarantine.Stored{stored}, 9), qt.HasLen, 0)
	c.Assert(own.Missing(nil, 6), qt.HasLen, 0) // an older listing
	c.Assert(own.Missing(nil, 9), qt.HasLen, 1)

	_, changed := own.RecordCompletion(start+10, work("w"))
	c.Assert(changed, qt.IsTrue)
	c.Assert(own.Obsolete(), qt.DeepEquals, []quarantine.Removal{{Work: r.Work, Revision: 7}})
	_, changed = other.ApplyRemoval(start+11, quarantine.Removal{Work: r.Work, Revision: 6})
	c.Assert(changed, qt.IsFalse) // of an earlier record
	_, changed = other.ApplyRemoval(start+11, quarantine.Removal{Work: r.Work, Revision: 8})
	c.Assert(changed, qt.IsTrue)
	c.Assert(other.Holds(work("w")), qt.IsFalse)
	// After that, ends count from zero.
	other.RecordEnd(start+20, work("w"), "c")
	c.Assert(other.Holds(work("w")), qt.IsFalse)
}

// The table is bounded, and drops suspected requests before held ones.
func TestTableIsBounded(t *testing.T) {
	table := quarantine.NewTable()
	table.RecordEnd(start, work("held"), "a")
	table.RecordEnd(start, work("held"), "b")
	for i := range 5000 {
		table.RecordEnd(start.Add(time.Duration(i)*time.Millisecond), work(strconv.Itoa(i)), "a")
	}
	held, suspected := table.Count()
	qt.Assert(t, held, qt.Equals, 1)
	qt.Assert(t, suspected, qt.Equals, 4095)
	qt.Assert(t, table.Settled(10), qt.HasLen, 1)
}

// Measures the cost of a request that is not suspected: a lookup, and recording its
// completion.
func BenchmarkCompleted(b *testing.B) {
	for _, size := range []int{0, 5_000, 200_000} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			table, w := quarantine.NewTable(), quarantine.Work{Method: "POST", Host: "a", Target: "/x", Body: make([]byte, size)}
			for b.Loop() {
				if !table.Holds(w) {
					table.RecordCompletion(start, w)
				}
			}
		})
	}
}
