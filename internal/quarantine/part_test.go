package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/prompt"
	"github.com/trailshed/trailshed/internal/quarantine"
	"github.com/trailshed/trailshed/pkg/clock"
)

func promptOf(workspace string, parts ...prompt.Part) quarantine.Prompt {
	return quarantine.Prompt{Service: "llm", Workspace: workspace, Parts: parts}
}

func ExampleTable_HoldsPrompt() {
	t := quarantine.NewTable()
	for n, now := range []clock.Millis{1000, 1500, 2000} {
		t.RecordPartEnd(now, promptOf("", "common", "bad", prompt.Part("p"+strconv.Itoa(n))), "engine-"+strconv.Itoa(n))
	}
	t.RecordPartsBegun(2500, promptOf("", "common", "good"), 2100)
	fmt.Println(t.HoldsPrompt(3000, promptOf("", "common", "bad", "p9")))
	fmt.Println(t.HoldsPrompt(3000, promptOf("", "common", "good")))
	// Output:
	// bad true
	//  false
}

// partStep is an event in the life of parts: an end of an endpoint, an answer that goes on, or
// time that passes.
type partStep struct {
	ended string // ID of the endpoint that ended
	begun bool   // an answer goes on that was begun one ms ago
	parts []prompt.Part
	in    string // workspace
	pass  time.Duration
}

// Guards against parts that are held too late, and against sound parts that are held with them.
func TestHeldParts(t *testing.T) {
	end := func(id string, parts ...prompt.Part) partStep {
		return partStep{ended: id, parts: parts, pass: 300 * time.Millisecond}
	}
	begun := func(parts ...prompt.Part) partStep { return partStep{begun: true, parts: parts, pass: time.Second} }
	at := func(s partStep, workspace string, pass time.Duration) partStep {
		s.in, s.pass = workspace, pass
		return s
	}
	tests := []struct {
		name  string
		steps []partStep
		held  [][]prompt.Part // prompts of workspace "" that are held
		free  [][]prompt.Part // prompts that are not
	}{
		{"two ends", []partStep{end("a", "q", "x"), end("b", "q", "x")}, nil, [][]prompt.Part{{"q", "x"}}},
		{
			"three ends, the other parts differ",
			[]partStep{begun("q"), end("a", "q", "x", "s1"), end("b", "q", "x", "s2"), end("c", "q", "x", "s3")},
			[][]prompt.Part{{"q", "x"}, {"x"}},
			[][]prompt.Part{{"q"}, {"q", "s1"}},
		},
		{
			"the same end seen by three runs",
			[]partStep{end("a", "x"), end("a", "x"), end("a", "x")},
			nil,
			[][]prompt.Part{{"x"}},
		},
		{
			"three ends at one moment",
			[]partStep{at(end("a", "x"), "", 0), at(end("b", "x"), "", 0), at(end("c", "x"), "", 0)},
			nil,
			[][]prompt.Part{{"x"}},
		},
		{
			"no part is proven: they are held together, until one of them is",
			[]partStep{end("a", "q", "x"), end("b", "q", "x"), end("c", "q", "x")},
			[][]prompt.Part{{"q", "x"}},
			[][]prompt.Part{{"q"}, {"x"}, {"q", "s"}},
		},
		{
			"of two parts held together one is proven",
			[]partStep{end("a", "q", "x"), end("b", "q", "x"), end("c", "q", "x"), begun("q", "s")},
			[][]prompt.Part{{"q", "x"}, {"x"}},
			[][]prompt.Part{{"q"}},
		},
		{
			"of two parts held together one crashes without the other",
			[]partStep{end("a", "q", "x"), end("b", "q", "x"), end("c", "q", "x"), end("d", "x")},
			[][]prompt.Part{{"q", "x"}, {"x"}},
			[][]prompt.Part{{"q"}},
		},
		{
			"an answer between the ends",
			[]partStep{end("a", "x"), end("b", "x"), begun("x"), end("c", "x")},
			nil,
			[][]prompt.Part{{"x"}},
		},
		{
			"a proven part in four ends",
			[]partStep{begun("q"), end("a", "q"), end("b", "q"), end("c", "q"), end("d", "q")},
			nil,
			[][]prompt.Part{{"q"}},
		},
		{
			// Answers that began in between prove the part only later.
			"a proven part in five ends within a second",
			[]partStep{
				begun("q"), at(end("a", "q"), "", 400*time.Millisecond), at(end("b", "q"), "", 200*time.Millisecond),
				at(end("c", "q"), "", 200*time.Millisecond), at(end("d", "q"), "", 100*time.Millisecond), end("e", "q"),
			},
			nil,
			[][]prompt.Part{{"q"}},
		},
		{
			"a proven part in five ends",
			[]partStep{begun("q"), end("a", "q"), end("b", "q"), end("c", "q"), at(end("d", "q"), "", 1200*time.Millisecond), end("e", "q")},
			[][]prompt.Part{{"q"}},
			nil,
		},
		{
			"two parts at once, a proven part in all ends",
			[]partStep{
				begun("q"), end("a", "q", "x"), end("b", "q", "y"), end("c", "q", "x"), end("d", "q", "y"),
				end("e", "q", "x"), end("f", "q", "y"),
			},
			[][]prompt.Part{{"q", "x"}, {"q", "y"}},
			[][]prompt.Part{{"q"}, {"q", "z"}},
		},
		{
			"two parts at once, no part is proven",
			[]partStep{
				end("a", "q", "x"), end("b", "q", "y"), end("c", "q", "x"), end("d", "q", "y"), end("e", "q", "x"), end("f", "q", "y"),
			},
			[][]prompt.Part{{"q", "x"}, {"q", "y"}},
			[][]prompt.Part{{"q"}, {"q", "z"}},
		},
		{
			"the common part, two others cover its ends, until it crashes with a third",
			[]partStep{
				end("a", "q", "x"), end("b", "q", "y"), end("c", "q", "x"), end("d", "q", "y"), end("e", "q", "x"), end("f", "q", "y"),
				end("g", "q", "z"),
			},
			[][]prompt.Part{{"q", "x"}, {"q", "y"}, {"q", "z"}, {"q"}},
			nil,
		},
		{
			"the same names in two workspaces",
			[]partStep{at(end("a", "x"), "w", time.Second), at(end("b", "x"), "w", time.Second), at(end("c", "x"), "w", time.Second)},
			nil,
			[][]prompt.Part{{"x"}},
		},
		{
			"ends in three workspaces",
			[]partStep{at(end("a", "x"), "u", time.Second), at(end("b", "x"), "v", time.Second), at(end("c", "x"), "w", time.Second)},
			[][]prompt.Part{{"x"}},
			nil,
		},
		{
			"ends in three workspaces, proven in the own",
			[]partStep{
				begun("x"), at(end("a", "x"), "u", time.Second), at(end("b", "x"), "v", time.Second), at(end("c", "x"), "w", time.Second),
			},
			nil,
			[][]prompt.Part{{"x"}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table, now := quarantine.NewTable(), start
			for _, s := range test.steps {
				if s.begun {
					table.RecordPartsBegun(now, promptOf(s.in, s.parts...), now-1)
				} else {
					table.RecordPartEnd(now, promptOf(s.in, s.parts...), s.ended)
				}
				now = now.Add(s.pass + time.Millisecond)
			}
			for _, parts := range test.held {
				_, held := table.HoldsPrompt(now, promptOf("", parts...))
				qt.Check(t, held, qt.IsTrue, qt.Commentf("%v", parts))
			}
			for _, parts := range test.free {
				_, held := table.HoldsPrompt(now, promptOf("", parts...))
				qt.Check(t, held, qt.IsFalse, qt.Commentf("%v", parts))
			}
		})
	}
}

// Ends that a held part explains do not count against the requests that ran beside it.
func TestExplainedEndsHoldNoRequest(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	for n, endpoint := range []string{"a", "b", "c"} {
		now := start.Add(time.Duration(n) * time.Second)
		table.RecordEnd(now, work("victim"), endpoint)
		c.Check(table.Holds(work("victim")), qt.Equals, n >= 1)
		table.RecordPartEnd(now, promptOf("", "x"), endpoint)
	}
	c.Assert(table.Holds(work("victim")), qt.IsFalse)
	changes := table.TakeHeldChanges()
	released := slices.ContainsFunc(changes, func(r quarantine.Record) bool { return r.Work == work("victim").Fingerprint() && !r.Held() })
	c.Assert(released, qt.IsTrue)
	table.RecordEnd(start.Add(time.Minute), work("victim"), "d")
	table.RecordEnd(start.Add(time.Minute), work("victim"), "e")
	c.Assert(table.Holds(work("victim")), qt.IsTrue, qt.Commentf("ends of its own count"))
}

// Instances exchange records of parts in any order, with duplicates. Once every table has received
// all of them, all hold the same prompts.
func TestTablesAgreeOnParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		var tables [instances]*quarantine.Table
		for i := range tables {
			tables[i] = quarantine.NewTable()
		}
		names := []prompt.Part{"q", "x", "y", "z"}
		part := rapid.SampledFrom(names)
		var records []quarantine.Record
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pass")) * time.Millisecond)
			own := tables[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			p := promptOf("", rapid.SliceOfNDistinct(part, 1, 3, rapid.ID).Draw(t, "parts")...)
			if rapid.IntRange(0, 4).Draw(t, "event") == 0 {
				records = append(records, own.RecordPartsBegun(now, p, now-1)...)
			} else {
				records = append(records, own.RecordPartEnd(now, p, "e"+strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "endpoint")))...)
			}
		}
		var objections []quarantine.Record // of instances that have seen answers on a part
		for i, table := range tables {
			shuffled := slices.Clone(records)
			rand.New(rand.NewPCG(uint64(i), uint64(len(records)))).Shuffle(len(shuffled), func(a, b int) {
				shuffled[a], shuffled[b] = shuffled[b], shuffled[a]
			})
			for range 2 { // a record of a part that is not suspected yet is dropped
				for _, r := range shuffled {
					merged, changed := table.Merge(now, r)
					if changed && merged.RecentlyCompleted && !r.RecentlyCompleted {
						objections = append(objections, merged)
					}
				}
			}
		}
		for _, table := range tables {
			for _, r := range objections {
				table.Merge(now, r)
			}
		}
		for _, table := range tables[1:] {
			if table.PartsDigest() != tables[0].PartsDigest() {
				t.Fatal("two tables hold other parts")
			}
			for _, a := range names {
				for _, b := range names {
					_, first := tables[0].HoldsPrompt(now, promptOf("", a, b))
					_, other := table.HoldsPrompt(now, promptOf("", a, b))
					if other != first {
						t.Fatalf("two tables disagree on a prompt with parts %s and %s", a, b)
					}
				}
			}
		}
	})
}

// What callers name cannot make the table grow without bound.
func TestPartRecordsAreBounded(t *testing.T) {
	table := quarantine.NewTable()
	for n := range 4096 + 200 {
		table.RecordPartEnd(start+clock.Millis(n), promptOf("", prompt.Part("p"+strconv.Itoa(n))), "e"+strconv.Itoa(n))
	}
	held, suspected := table.CountParts()
	qt.Assert(t, held, qt.Equals, 0)
	qt.Assert(t, suspected <= 4096, qt.IsTrue)
}

func BenchmarkHoldsPrompt(b *testing.B) {
	table := quarantine.NewTable()
	for n := range 4 {
		table.RecordPartEnd(start.Add(time.Duration(n)*time.Second), promptOf("", "bad"), "e"+strconv.Itoa(n))
	}
	p := promptOf("", "common", "sound", "own")
	b.ReportAllocs()
	for b.Loop() {
		table.HoldsPrompt(start, p)
	}
}

func BenchmarkRecordPartsBegun(b *testing.B) {
	table := quarantine.NewTable()
	p := promptOf("", "common", "sound", "own")
	b.ReportAllocs()
	for b.Loop() {
		table.RecordPartsBegun(start, p, start)
	}
}
