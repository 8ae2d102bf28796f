package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// What one request was refused tells of others only if they are as large, want the
// same and may use the same engines.
func TestFailuresCover(t *testing.T) {
	refused := waiting{need: 5000, ask: Ask{Service: "llm", Prompt: 4000, Budget: 900 * time.Millisecond}}
	with := func(change func(*waiting)) waiting {
		w := refused
		change(&w)
		return w
	}
	tests := []struct {
		name    string
		reason  string
		refused waiting
		other   waiting
		covered bool
	}{
		{"the same, no memory", ReasonFull, refused, refused, true},
		{"larger", ReasonFull, refused, with(func(w *waiting) { w.need = 6000 }), true},
		{"smaller", ReasonFull, refused, with(func(w *waiting) { w.need = 4999 }), false},
		{"late", ReasonFull, refused, with(func(w *waiting) { w.ask.Late = true }), false},
		{"may not be sent again", ReasonFull, refused, with(func(w *waiting) { w.ask.Once = true }), false},
		{"another service", ReasonFull, refused, with(func(w *waiting) { w.ask.Service = "web" }), false},
		{"excludes an engine", ReasonFull, refused, with(func(w *waiting) { w.ask.Exclude = []string{"d1"} }), false},
		{"the refused one excludes an engine", ReasonFull, with(func(w *waiting) { w.ask.Exclude = []string{"d1"} }), refused, false},
		{"the same, no prefill engine in time", ReasonBusy, refused, refused, true},
		{"more time, no prefill engine", ReasonBusy, refused, with(func(w *waiting) { w.ask.Budget = time.Second }), false},
		{"shorter prompt, no prefill engine", ReasonBusy, refused, with(func(w *waiting) { w.ask.Prompt = 100 }), false},
		{"no engines of its own kind", ReasonNoEndpoint, refused, refused, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := failures{}
			f.note(test.refused, test.reason)
			qt.Assert(t, f.cover(test.other), qt.Equals, test.covered)
		})
	}
}
