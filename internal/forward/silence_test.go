package forward

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/directory"
)

// A stream whose caller does not read is not moved: the silence is not the endpoint's, and
// moving would repeat the prefill for nothing.
func TestUnreadStreamIsNotMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newEngineRequest(t)
		s := g.watchSilence(t.Context(), func() {}, &directory.Endpoint{ID: "d2"})
		s.reset()
		s.speak()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		c.Check(g.requested, qt.HasLen, 0)
		s.reset() // the caller reads again; now the endpoint is silent
		time.Sleep(10 * time.Second)
		synctest.Wait()
		c.Check(len(g.requested) > 0, qt.IsTrue)
		s.stop()
	})
}
