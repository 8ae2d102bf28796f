package balance_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/pkg/clock"
)

// An endpoint is heard by all requests there, and by none elsewhere.
func TestHeardSince(t *testing.T) {
	c := qt.New(t)
	b := balance.New("a", nil)
	one, other, elsewhere := b.ReserveAt(1000, &directory.Endpoint{ID: "e1"}), b.ReserveAt(1000, &directory.Endpoint{ID: "e1"}), b.ReserveAt(1000, &directory.Endpoint{ID: "e2"})
	c.Check(one.HeardSince(1000), qt.IsFalse)
	other.Heard(clock.Millis(1500))
	c.Check(one.HeardSince(1500), qt.IsTrue)
	c.Check(one.HeardSince(1501), qt.IsFalse)
	c.Check(elsewhere.HeardSince(1000), qt.IsFalse)
}

// An endpoint that was silent is used again as soon as it sends something, and after a second at the latest.
func TestSilenceEndsWhenHeard(t *testing.T) {
	c := qt.New(t)
	b := balance.New("a", nil)
	e := &directory.Endpoint{ID: "e1"}
	running, silent := b.ReserveAt(1000, e), b.ReserveAt(1000, e)
	running.Heard(2000)
	silent.Done(2000, balance.Silent)
	c.Check(b.Ejected(2001), qt.DeepEquals, []string{"e1"})
	c.Check(b.Ejected(3000), qt.HasLen, 0)
	running.Heard(2001)
	c.Check(b.Ejected(2001), qt.HasLen, 0)
}
