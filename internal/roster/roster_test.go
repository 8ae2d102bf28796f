package roster_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/roster"
)

func instance(name string, revision int64) roster.Instance {
	return roster.Instance{Name: name, Zone: "a", Fingerprint: "f-" + name, Revision: revision}
}

// A role never goes to an instance that has just started or is about to leave,
// while another is left; among the others it stays where it is.
func TestRanked(t *testing.T) {
	r := roster.New()
	for i := range 5 {
		r.See(instance(fmt.Sprint("n", i), 1))
	}
	first := r.Ranked("a", "planner")[0]
	tests := []struct {
		name   string
		change func(*roster.Instance)
		moves  bool
	}{
		{"leaving", func(i *roster.Instance) { i.Leaving = true }, true},
		{"joining", func(i *roster.Instance) { i.Joining = true }, true},
		{"as before", func(*roster.Instance) {}, false},
	}
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			changed := first
			test.change(&changed)
			changed.Revision = int64(n + 2)
			r.See(changed)
			now := r.Ranked("a", "planner")
			c.Assert(now[0].Name != first.Name, qt.Equals, test.moves)
			c.Assert(now, qt.HasLen, 5)
		})
	}
	qt.Assert(t, r.Ranked("b", "planner"), qt.HasLen, 0)
}

func TestOldWordChangesNothing(t *testing.T) {
	c := qt.New(t)
	r := roster.New()
	c.Assert(r.See(instance("n1", 5)), qt.IsTrue)
	c.Assert(r.See(instance("n1", 5)), qt.IsFalse)
	c.Assert(r.See(instance("n1", 4)), qt.IsFalse)
	c.Assert(r.Remove("n1", 4), qt.IsFalse)
	c.Assert(r.Missing(nil), qt.DeepEquals, []string{"n1"})
	c.Assert(r.Remove("n1", 6), qt.IsTrue)
	c.Assert(r.All(), qt.HasLen, 0)
	// It may have lost its lease only, so it is still recognised.
	name, ok := r.Trusted("f-n1")
	c.Assert(name, qt.Equals, "n1")
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Most(), qt.Equals, 1)
}
