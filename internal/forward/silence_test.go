package forward

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A stream whose caller does not read stays where it is: the endpoint is not what is
// silent, and to go on elsewhere would have the prompt read again for nobody.
func TestUnreadStreamStaysWhereItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newGuarded(t)
		s := g.watchSilence(t.Context(), func() {}, "d2")
		s.heard()
		s.hold()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		c.Check(g.asked, qt.HasLen, 0)
		s.heard() // he reads again; now the endpoint is silent
		time.Sleep(10 * time.Second)
		synctest.Wait()
		c.Check(len(g.asked) > 0, qt.IsTrue)
		s.stop()
	})
}
