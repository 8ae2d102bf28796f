package quarantine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/quarantine"
)

// The load: waves of crashes end two fifths of 18 engines at once, with some ten runs
// on each, and come again while those that were cut run elsewhere.
func TestBlamed(t *testing.T) {
	type end = quarantine.End
	tests := []struct {
		name   string
		ends   []end
		blamed int
	}{
		{"one endpoint, one request", []end{{work("x"), "a"}}, 1},
		{"one endpoint, all that ran there", []end{{work("x"), "a"}, {work("y"), "a"}, {work("z"), "a"}}, 3},
		{"two endpoints, two requests", []end{{work("x"), "a"}, {work("y"), "b"}}, 2},
		{"three endpoints at once", []end{{work("x"), "a"}, {work("y"), "b"}, {work("z"), "c"}}, 0},
		{"three endpoints at once, the same request at two", []end{{work("x"), "a"}, {work("y"), "b"}, {work("x"), "c"}}, 2},
		{"a caller that comes three times at once", []end{{work("x"), "a"}, {work("x"), "b"}, {work("x"), "c"}, {work("y"), "c"}}, 3},
		{"the same end seen twice", []end{{work("x"), "a"}, {work("x"), "a"}, {work("y"), "b"}}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, quarantine.Blamed(test.ends), qt.HasLen, test.blamed)
		})
	}
}
