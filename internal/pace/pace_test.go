package pace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/pkg/clock"
)

// learnPrefills observes n prompts of 500 to 6,000 tokens that take setup ms plus
// perToken ms per token, within 5%.
func learnPrefills(m *pace.Model, r *rand.Rand, engine string, n int, setup, perToken float64) {
	for i := range n {
		size := 500 + 5500*r.Float64()
		m.Learn(clock.Millis(i*100), pace.Observation{
			Service: "llm", Engine: engine, Quantity: pace.PrefillTime,
			Size: size, Outcome: (setup + perToken*size) * (0.95 + 0.1*r.Float64()),
		})
	}
}

// assertNear asserts that got is within a fraction of want.
func assertNear(c *qt.C, got, want, fraction float64) {
	c.Helper()
	c.Assert(math.Abs(got-want) <= fraction*want, qt.IsTrue, qt.Commentf("got %.3f, want %.3f", got, want))
}

func TestLearnEngines(t *testing.T) {
	tests := []struct {
		name            string
		setup, perToken float64
	}{
		{"33 tokens a ms", 5, 0.03},
		{"55 tokens a ms", 10, 0.018},
		{"three a ms", 40, 0.3},
		{"no set-up", 0, 0.05},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m, r := pace.New(pace.ConservativePrior()), rand.New(rand.NewPCG(1, 2))
			for i := range 3 {
				learnPrefills(m, r, fmt.Sprint("e", i), 8, test.setup, test.perToken)
			}
			for _, prompt := range []int{1000, 3000, 5000} {
				assertNear(c, clock.InMillis(m.Span(pace.PrefillTime, "llm", "e1", prompt).Median), test.setup+test.perToken*float64(prompt), 0.12)
				assertNear(c, clock.InMillis(m.Span(pace.PrefillTime, "llm", "unseen", prompt).Median), test.setup+test.perToken*float64(prompt), 0.12)
			}
			c.Assert(m.Span(pace.PrefillTime, "other", "e1", 3000), qt.Equals, pace.New(pace.ConservativePrior()).Span(pace.PrefillTime, "other", "e1", 3000))
		})
	}
}

// An engine that is slow or reports wrong times affects only its own prediction,
// regardless of how many requests it serves.
func TestOutlierEngineIsIsolated(t *testing.T) {
	tests := []struct {
		name   string
		factor float64
		itself float64 // its own prediction as a factor of the others' time
	}{
		{"five times slower", 5, 5},
		{"a hundred times slower", 100, 100},
		{"claims to take no time", 0.01, 0.01},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m, r := pace.New(pace.ConservativePrior()), rand.New(rand.NewPCG(3, 4))
			learnPrefills(m, r, "e1", 8, 10, 0.03)
			learnPrefills(m, r, "e2", 8, 10, 0.03)
			learnPrefills(m, r, "odd", 400, 10*test.factor, 0.03*test.factor)
			assertNear(c, clock.InMillis(m.Span(pace.PrefillTime, "llm", "e1", 3000).Median), 100, 0.15)
			assertNear(c, clock.InMillis(m.Span(pace.PrefillTime, "llm", "unseen", 3000).Median), 100, 0.15)
			assertNear(c, clock.InMillis(m.Span(pace.PrefillTime, "llm", "odd", 3000).Median), 100*test.itself, 0.15)
		})
	}
}

// If a service has two types of engine, each engine gets its own prediction.
func TestTwoKindsOfEngine(t *testing.T) {
	c := qt.New(t)
	m, r := pace.New(pace.ConservativePrior()), rand.New(rand.NewPCG(5, 6))
	for i := range 4 {
		learnPrefills(m, r, fmt.Sprint("old", i), 12, 20, 0.06)
		learnPrefills(m, r, fmt.Sprint("new", i), 12, 5, 0.015)
	}
	for i := range 4 {
		assertNear(c, clock.InMillis(m.Span(pace.PrefillTime, "llm", fmt.Sprint("old", i), 3000).Median), 200, 0.15)
		assertNear(c, clock.InMillis(m.Span(pace.PrefillTime, "llm", fmt.Sprint("new", i), 3000).Median), 50, 0.15)
	}
}

// An engine that was slow is predicted like the others after maxSampleAge; otherwise it
// would get no requests that show a recovery.
func TestSlownessExpires(t *testing.T) {
	c := qt.New(t)
	m := pace.New(pace.ConservativePrior())
	step := func(at clock.Millis, engine string, ms float64) {
		m.Learn(at, pace.Observation{Service: "llm", Engine: engine, Quantity: pace.TokenTime, Size: 8, Outcome: ms})
	}
	for i := range 8 {
		step(clock.Millis(i), "e1", 5)
		step(clock.Millis(i), "e2", 5)
		step(clock.Millis(i), "slow", 50)
	}
	assertNear(c, clock.InMillis(m.TokenTime("llm", "slow", 8)), 50, 0.01)
	step(30_000, "e1", 5)
	assertNear(c, clock.InMillis(m.TokenTime("llm", "slow", 8)), 5, 0.01)
}

func TestSpan(t *testing.T) {
	c := qt.New(t)
	m, r := pace.New(pace.ConservativePrior()), rand.New(rand.NewPCG(7, 8))
	for i := range 200 {
		m.Learn(clock.Millis(i), pace.Observation{Service: "llm", Engine: "e", Quantity: pace.FirstEventTime, Size: 3000, Outcome: 100 * math.Exp(0.5*r.NormFloat64())})
	}
	s := m.Span(pace.FirstEventTime, "llm", "e", 3000)
	assertNear(c, clock.InMillis(s.Median), 100, 0.3)
	assertNear(c, float64(s.P90)/float64(s.Median), 1.9, 0.4) // exp(0.5 * 1.28)
}

// Expected lengths are about right at the median and often far off, so an unusual
// expectation is corrected towards the typical length.
func TestLength(t *testing.T) {
	c := qt.New(t)
	m, r := pace.New(pace.ConservativePrior()), rand.New(rand.NewPCG(9, 10))
	c.Assert(m.AnswerLength("llm", "r", 300, 1000).Median, qt.Equals, 300)
	c.Assert(m.AnswerLength("llm", "r", 0, 1000).Median, qt.Equals, 420)
	for i := range 400 {
		length := math.Exp(6 + 0.7*r.NormFloat64())
		hint := length * math.Exp(0.7*r.NormFloat64())
		m.Learn(clock.Millis(i), pace.Observation{Service: "llm", Engine: fmt.Sprint("r", i%16), Quantity: pace.AnswerLength, Size: hint, Outcome: length})
	}
	usual := m.AnswerLength("llm", "r", 403, 0)
	assertNear(c, float64(usual.Median), 403, 0.25)
	c.Assert(usual.Mean > usual.Median, qt.IsTrue)
	long := m.AnswerLength("llm", "r", 4030, 0).Median
	c.Assert(long > 2*usual.Median && long < 3000, qt.IsTrue, qt.Commentf("%d", long))
	c.Assert(m.AnswerLength("llm", "r", 4030, 500).Median, qt.Equals, 500)
}

// A process that has just started predicts by the figures of peers until it has enough
// observations.
func TestPeerFigures(t *testing.T) {
	c := qt.New(t)
	old, r := pace.New(pace.ConservativePrior()), rand.New(rand.NewPCG(11, 12))
	learnPrefills(old, r, "e1", 16, 5, 0.1)
	m := pace.New(pace.ConservativePrior())
	m.SetFigures("n1", old.Figures())
	assertNear(c, clock.InMillis(m.Span(pace.PrefillTime, "llm", "e9", 3000).Median), 305, 0.1)
	c.Assert(m.Figures(), qt.HasLen, 0) // figures of peers are not passed on
	m.SetFigures("n1", []pace.Figure{{Service: "llm", Quantity: 99}})
	for i := range 4 {
		learnPrefills(m, r, fmt.Sprint("e", i), 16, 5, 0.02)
	}
	assertNear(c, clock.InMillis(m.Span(pace.PrefillTime, "llm", "e1", 3000).Median), 65, 0.15)
	m.Forget(func(engine string) bool { return engine == "e1" })
	assertNear(c, clock.InMillis(m.Span(pace.PrefillTime, "llm", "e1", 3000).Median), 65, 0.15)
}

// Predictions for any observations are finite and not negative, and grow with the
// prompt.
func TestRandomObservations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := pace.New(pace.ConservativePrior())
		for i := range rapid.IntRange(0, 60).Draw(rt, "observations") {
			m.Learn(clock.Millis(i), pace.Observation{
				Service: "llm", Engine: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "engine"),
				Quantity: pace.Quantity(rapid.IntRange(0, 4).Draw(rt, "act")),
				Size:     rapid.Float64Range(-10, 1e5).Draw(rt, "size"),
				Outcome:  rapid.OneOf(rapid.Float64Range(-10, 1e5), rapid.Just(math.NaN()), rapid.Just(math.Inf(1))).Draw(rt, "outcome"),
			})
		}
		for _, quantity := range []pace.Quantity{pace.PrefillTime, pace.FirstEventTime, pace.LocalPrefillTime} {
			for _, engine := range []string{"a", "unseen"} {
				small, large := m.Span(quantity, "llm", engine, 100), m.Span(quantity, "llm", engine, 10_000)
				if small.Median < 0 || small.P90 < small.Median || large.Median < small.Median {
					rt.Fatalf("%v: %v for 100 tokens, %v for 10,000", quantity, small, large)
				}
			}
		}
		if length := m.AnswerLength("llm", "a", 300, 1000); length.Median < 0 || length.Median > 1000 || length.Mean > 1000 {
			rt.Fatalf("length %v", length)
		}
	})
}

func TestUsualSizes(t *testing.T) {
	c := qt.New(t)
	m := pace.New(pace.ConservativePrior())
	_, known := m.Typical(pace.PromptTokens, "llm")
	c.Assert(known, qt.IsFalse)
	for i := range 9 {
		m.Learn(clock.Millis(i), pace.Observation{Service: "llm", Engine: "r", Quantity: pace.PromptTokens, Outcome: float64(1000 * (i + 1))})
	}
	tokens, known := m.Typical(pace.PromptTokens, "llm")
	c.Assert(known, qt.IsTrue)
	c.Assert(tokens, qt.Equals, 5000)
}
