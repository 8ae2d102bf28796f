package quarantine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/quarantine"
)

// Guards against holding harmless requests during waves of crashes. In the load that this
// follows, 40% of 18 engines, each with about ten runs, end at once, and the next wave
// comes while the interrupted requests run elsewhere.
func TestMassEnds(t *testing.T) {
	tests := []struct {
		name string
		ends []quarantine.End
		want int
	}{
		{"one endpoint, one request", []quarantine.End{quarantine.NewEnd(work("x"), "a")}, 1},
		{"one endpoint, all that ran there", []quarantine.End{quarantine.NewEnd(work("x"), "a"), quarantine.NewEnd(work("y"), "a"), quarantine.NewEnd(work("z"), "a")}, 3},
		{"two endpoints, two requests", []quarantine.End{quarantine.NewEnd(work("x"), "a"), quarantine.NewEnd(work("y"), "b")}, 2},
		{"three endpoints at once", []quarantine.End{quarantine.NewEnd(work("x"), "a"), quarantine.NewEnd(work("y"), "b"), quarantine.NewEnd(work("z"), "c")}, 0},
		{"three endpoints at once, the same request at two", []quarantine.End{quarantine.NewEnd(work("x"), "a"), quarantine.NewEnd(work("y"), "b"), quarantine.NewEnd(work("x"), "c")}, 2},
		{"three concurrent attempts of one caller", []quarantine.End{quarantine.NewEnd(work("x"), "a"), quarantine.NewEnd(work("x"), "b"), quarantine.NewEnd(work("x"), "c"), quarantine.NewEnd(work("y"), "c")}, 3},
		{"the same end seen twice", []quarantine.End{quarantine.NewEnd(work("x"), "a"), quarantine.NewEnd(work("x"), "a"), quarantine.NewEnd(work("y"), "b")}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, quarantine.Attributable(test.ends), qt.HasLen, test.want)
		})
	}
}
