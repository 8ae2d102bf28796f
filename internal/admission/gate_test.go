package admission_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/admission"
	"github.com/trailshed/trailshed/internal/quota"
	"github.com/trailshed/trailshed/pkg/clock"
)

var limit = quota.Limit{Rate: 200_000, Burst: 200_000}

// request is an ordinary one, in tokens.
const request = 4000

// admitted counts how many of so many requests, a time apart, are let through.
func admitted(g *admission.Gate, from clock.Millis, requests int, apart time.Duration) int {
	n := 0
	for r := range requests {
		if g.Admit(from.Add(time.Duration(r)*apart), "w", limit, request, 80).Admitted {
			n++
		}
	}
	return n
}

// A gate goes by the last word while it is new, admits everything in a process that
// has just begun, and keeps to its part of the limit else: 2,500 tokens a second.
func TestWhatAGateGoesBy(t *testing.T) {
	word := func(pass float64, near bool) []quota.Word {
		return []quota.Word{{Workspace: "w", Pass: pass, Near: near}}
	}
	tests := []struct {
		name  string
		words []quota.Word // heard at 1 s; nil: none
		at    clock.Millis // of ten requests, 100 ms apart
		want  int
	}{
		{"just begun", nil, 100, 10},
		{"never heard", nil, 5000, 0},
		{"all may pass", word(1, false), 1000, 10},
		{"a half may pass", word(0.5, true), 1000, 5},
		{"nothing may pass", word(0, true), 1000, 0},
		{"heard long ago", word(1, false), 3000, 0},
		{"heard a while ago, near its limit", word(1, true), 1500, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := admission.New(0)
			if test.words != nil {
				g.Hear(1000, test.words, true)
			}
			apart := 100 * time.Millisecond
			if test.words != nil && test.want > 0 {
				apart = 10 * time.Millisecond // within the time for which a word is trusted
			}
			got := admitted(g, test.at, 10, apart)
			qt.Assert(t, got >= test.want-1 && got <= test.want+1 && (test.want == 5 || got == test.want), qt.IsTrue, qt.Commentf("%d", got))
		})
	}
}

// Alone, an instance saves its part up, for four seconds at the most.
func TestPartIsSavedUp(t *testing.T) {
	c := qt.New(t)
	g := admission.New(0)
	c.Assert(admitted(g, 10_000, 1, 0), qt.Equals, 0)
	c.Assert(admitted(g, 12_000, 5, 0), qt.Equals, 1)
	c.Assert(admitted(g, 60_000, 5, 0), qt.Equals, 2)
}

// Large requests are not refused more often than small ones.
func TestSizesFareAlike(t *testing.T) {
	c := qt.New(t)
	g := admission.New(1)
	g.Hear(1, []quota.Word{{Workspace: "w", Pass: 0.4}}, true)
	admitted := map[float64]int{}
	for n := range 3000 {
		units := 200.0
		if n%3 == 0 {
			units = 9000
		}
		if g.Admit(2, "w", limit, units, 78).Admitted {
			admitted[units]++
		}
	}
	c.Assert(float64(admitted[200])/2000 > 0.35 && float64(admitted[9000])/1000 > 0.35, qt.IsTrue, qt.Commentf("%v", admitted))
}

// What did not run does not count.
func TestCredit(t *testing.T) {
	c := qt.New(t)
	g := admission.New(1)
	c.Assert(g.Admit(2, "w", limit, 500, 8).Admitted, qt.IsTrue)
	g.Credit("w", 500)
	c.Assert(g.Report(false), qt.DeepEquals, []quota.Use{{Workspace: "w", Asked: 500}})
	c.Assert(g.Report(false), qt.HasLen, 0)
}

// Those who are refused together are told different times to come back.
func ExampleGate_Admit() {
	g := admission.New(0)
	g.Hear(1000, []quota.Word{{Workspace: "w", Pass: 0, Used: 1_900_000}}, true)
	for range 3 {
		v := g.Admit(1000, "w", limit, request, 80)
		fmt.Println(v.Admitted, v.After.Round(100*time.Millisecond))
	}
	// Output:
	// false 4.2s
	// false 3.5s
	// false 4.7s
}
