package timeline_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/soak/timeline"
)

// Bounds that exempt faults of a scope exempt those of its parts; a scope by itself leaves them out.
func TestPartsOfScopes(t *testing.T) {
	tests := []struct {
		fault, asked         timeline.Scope
		undisturbed, without bool
	}{
		{timeline.Endpoint, timeline.Endpoint, false, false},
		{timeline.Silence, timeline.Endpoint, false, true},
		{timeline.Silence, timeline.Silence, false, false},
		{timeline.Endpoint, timeline.Silence, true, true},
		{timeline.Kill, timeline.Process, false, true},
		{timeline.Frozen, timeline.Process, false, true},
		{timeline.Process, timeline.Kill, true, true},
		{timeline.Kill, timeline.Endpoint, true, true},
	}
	for _, test := range tests {
		t.Run(string(test.fault)+" "+string(test.asked), func(t *testing.T) {
			faults := &timeline.Timeline{}
			start := time.Now()
			faults.Begin(test.fault, "a", "trouble")()
			qt.Check(t, faults.Undisturbed(start, time.Now(), "a", test.asked), qt.Equals, test.undisturbed)
			qt.Check(t, faults.Without(start, time.Now(), "a", test.asked), qt.Equals, test.without)
			qt.Check(t, faults.Undisturbed(start, time.Now(), "b", test.asked), qt.IsTrue)
		})
	}
}
