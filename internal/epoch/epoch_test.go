package epoch_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/epoch"
)

func Example() {
	before, restored := epoch.Join(0, 29), epoch.Join(1, 21)
	fmt.Println(before, before < restored, epoch.Of(restored), epoch.Revision(restored))
	// Output: 29 true 1 21
}

func TestPositions(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ epoch, revision int64 }{{0, 0}, {0, 7}, {1, 0}, {3, 1 << 39}, {8191, 1<<40 - 1}} {
		p := epoch.Join(test.epoch, test.revision)
		c.Check(epoch.Of(p), qt.Equals, test.epoch)
		c.Check(epoch.Revision(p), qt.Equals, test.revision)
		c.Check(p < 1<<53, qt.IsTrue)
	}
}
