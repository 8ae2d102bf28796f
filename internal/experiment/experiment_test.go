package experiment_test

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/experiment"
)

func plan(t testing.TB, text string) *experiment.Plan {
	p, err := experiment.ParsePlan("plan.yaml", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	return p
}

const shortPlan = `
name: short
duration: 4s
seeds: [4, 5]
load: {rate: 30}
faults:
  - {kind: crash, role: decode, endpoints: 2, at: 1s, for: 2s}
  - {kind: slow, role: prefill, endpoints: 1, at: 1s, for: 2s, times: 5}
`

// A plan gives the same figures however many runs are made in parallel.
func TestRunsAreReproducible(t *testing.T) {
	c := qt.New(t)
	var texts []string
	for _, jobs := range []int{1, 4} {
		text, err := json.Marshal(plan(t, shortPlan).RunAll("v", jobs))
		c.Assert(err, qt.IsNil)
		texts = append(texts, string(text))
	}
	c.Assert(texts[0], qt.Equals, texts[1])
}

// Each request is counted exactly once, and no policy's decisions violate an invariant,
// whatever the load and the faults.
func TestEveryRequestIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := plan(t, shortPlan)
		p.Duration = time.Duration(rapid.IntRange(1, 2).Draw(rt, "seconds")) * time.Second
		p.Load.Rate = float64(rapid.IntRange(1, 60).Draw(rt, "rate"))
		p.Load.Attempts = rapid.IntRange(1, 3).Draw(rt, "attempts")
		p.Faults[0].Endpoints = rapid.IntRange(1, p.Fleet.Decode).Draw(rt, "crashed")
		p.Faults[1].Role = rapid.SampledFrom([]string{"prefill", "decode"}).Draw(rt, "slow")
		policy := rapid.SampledFrom([]string{"joint", "lagged", "round_robin"}).Draw(rt, "policy")
		o := p.Run(policy, rapid.Uint64().Draw(rt, "seed"))
		if sum := o.InTime + o.Late + o.Refused + o.Failed; sum != o.Requests || o.Unfinished != 0 {
			rt.Fatalf("%d of %d requests were counted, %d did not end", sum, o.Requests, o.Unfinished)
		}
		if len(o.Violations) > 0 {
			rt.Fatalf("invariants violated: %v", o.Violations)
		}
		if o.WastedTokens > o.PrefillTokens || o.WastedTokens < 0 {
			rt.Fatalf("%d of %d processed prompt tokens were wasted", o.WastedTokens, o.PrefillTokens)
		}
	})
}

// All policies get the same requests for a seed, and faults do not change the arrivals.
func TestPoliciesGetTheSameRequests(t *testing.T) {
	c := qt.New(t)
	with := plan(t, shortPlan)
	without := plan(t, shortPlan)
	without.Faults = nil
	first := with.Run("joint", 4)
	c.Assert(with.Run("lagged", 4).RequestsBySecond, qt.DeepEquals, first.RequestsBySecond)
	c.Assert(without.Run("joint", 4).RequestsBySecond, qt.DeepEquals, first.RequestsBySecond)
	c.Assert(with.Run("joint", 5).RequestsBySecond, qt.Not(qt.DeepEquals), first.RequestsBySecond)
}

func TestFaultsAndLoadAffectOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		expect func(*experiment.Outcome) bool
	}{
		{"calm", "load: {rate: 5}", func(o *experiment.Outcome) bool { return o.InTime == o.Requests }},
		{"overload", "load: {rate: 200}", func(o *experiment.Outcome) bool { return o.Refused > o.Requests/2 }},
		{"a burst", "load: {rate: 10, bursts: [{at: 2s, for: 1s, times: 20}]}", func(o *experiment.Outcome) bool {
			return o.Refused > 0 && o.RequestsBySecond[2] > 4*o.RequestsBySecond[0]
		}},
		{"no decode endpoint", "faults: [{kind: crash, role: decode, endpoints: 6, at: 1ms, for: 1h}]", func(o *experiment.Outcome) bool {
			return o.InTime == 0 && o.Refused > 0
		}},
		{"a crash in the middle of answers", "faults: [{kind: crash, role: decode, endpoints: 1, at: 2s, for: 1h}]", func(o *experiment.Outcome) bool {
			return o.Failed > 0 && o.WastedTokens > 0 && o.InTime > o.Requests/2
		}},
		{"slow prefills", "load: {rate: 30}\nfaults: [{kind: slow, role: prefill, endpoints: 3, at: 1ms, for: 1h, times: 20}]", func(o *experiment.Outcome) bool {
			return o.Refused+o.Late > o.Requests/2
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := plan(t, test.text)
			p.Duration = 4 * time.Second
			o := p.Run("joint", 1)
			qt.Assert(t, test.expect(o), qt.IsTrue, qt.Commentf("%+v", o))
		})
	}
}

func TestInvalidPlans(t *testing.T) {
	tests := []struct{ text, want string }{
		{"fleet: {slots: 0}", `plan.yaml: fleet.slots: "0" breaks the rule min 1`},
		{"policies: [joint, best]", `plan.yaml: policies[1]: "best" breaks the rule oneof joint lagged round_robin`},
		{"load: {rate: -1}", `plan.yaml: load.rate: "-1" breaks the rule gt 0`},
		{"laod: {}", `unknown field "laod"`},
		{"faults: [{kind: crash, role: prefill, endpoints: 4, for: 1s}]", `faults[0].endpoints: "4" is more than there are of prefill`},
		{"faults: [{kind: slow, role: prefill, endpoints: 1, for: 1s}]", `faults[0].times: "0" makes nothing slower`},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			_, err := experiment.ParsePlan("plan.yaml", []byte(test.text))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, err.Error(), qt.Contains, test.want)
		})
	}
}

// The plans in demo/experiments are valid and named after their files.
func TestShippedPlans(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "demo", "experiments", "*.yaml"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		p, err := experiment.LoadPlan(file)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, p.Name+".yaml", qt.Equals, filepath.Base(file))
	}
}

func runs(inTime ...int) map[uint64]*experiment.Outcome {
	m := map[uint64]*experiment.Outcome{}
	for i, n := range inTime {
		m[uint64(i)] = &experiment.Outcome{Requests: 100, InTime: n}
	}
	return m
}

func TestPair(t *testing.T) {
	tests := []struct {
		name string
		a, b map[uint64]*experiment.Outcome
		want string
	}{
		{"always two more", runs(50, 70, 60), runs(52, 72, 62), "+2.00 ± 0.00"},
		{"mean 2, deviation 2", runs(50, 70, 60), runs(50, 72, 64), "+2.00 ± 4.97"}, // 4.303 * 2 / sqrt(3)
		{"one pair", runs(50), runs(49), "-1.00"},
		{"seeds that only one has", runs(50, 60), runs(51), "+1.00"},
		{"none", runs(), runs(50), "no pairs"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, experiment.Pair(test.a, test.b).String(), qt.Equals, test.want)
		})
	}
	qt.Assert(t, math.IsNaN(experiment.Pair(runs(1), runs(2)).HalfWidth), qt.IsTrue)
}

// A result that was written to a file and read back does not differ from itself.
func TestResultFilesCompare(t *testing.T) {
	c := qt.New(t)
	r := plan(t, shortPlan).RunAll("v1", 2)
	file := filepath.Join(t.TempDir(), "result.json")
	c.Assert(r.Write(file), qt.IsNil)
	earlier, err := experiment.ReadResult(file)
	c.Assert(err, qt.IsNil)
	earlier.Version = "v0"
	var out strings.Builder
	c.Assert(r.Print(&out, earlier), qt.IsNil)
	c.Assert(strings.Count(out.String(), "+0.00 ± 0.00"), qt.Equals, len(r.Policies), qt.Commentf("%s", out.String()))
	_, err = experiment.ReadResult(filepath.Join(t.TempDir(), "none.json"))
	c.Assert(err, qt.IsNotNil)
}

func TestPlots(t *testing.T) {
	for _, format := range []string{"svg", "png"} {
		t.Run(format, func(t *testing.T) {
			c := qt.New(t)
			dir := t.TempDir()
			c.Assert(plan(t, shortPlan).RunAll("v", 2).Plot(dir, format), qt.IsNil)
			for _, name := range []string{"short_in_time", "short_first_token"} {
				info, err := os.Stat(filepath.Join(dir, name+"."+format))
				c.Assert(err, qt.IsNil)
				c.Assert(info.Size() > 1000, qt.IsTrue)
			}
		})
	}
}

func ExamplePlan_Run() {
	p, err := experiment.ParsePlan("plan.yaml", []byte("name: example\nduration: 5s\nload: {rate: 4}"))
	if err != nil {
		fmt.Println(err)
		return
	}
	o := p.Run("joint", 1)
	fmt.Println(o.Requests, "asked,", o.InTime, "in time,", len(o.Violations), "violations")
	// Output: 20 asked, 20 in time, 0 violations
}
