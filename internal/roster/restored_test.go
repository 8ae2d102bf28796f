package roster_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/pkg/clock"
)

// A restored store lacks the entries of instances until these write them again, and may have
// those of former processes: neither removes an instance that is there.
func TestEntriesOfACopy(t *testing.T) {
	c := qt.New(t)
	now := clock.Millis(1000)
	r := roster.New(func() clock.Millis { return now })
	instance := func(name, process string, position int64) roster.Instance {
		return roster.Instance{Name: name, Zone: "a", Fingerprint: process, Revision: position}
	}
	r.Update(instance("n1", "f1", 1))
	r.Update(instance("n2", "f2", 2))
	r.Update(instance("n3", "f3", 3))
	r.Update(instance("n2", "f2-later", 20))
	leaving := instance("n3", "f3", 21)
	leaving.Leaving = true
	r.Update(leaving)

	listed := []roster.Instance{instance("n2", "f2", epoch.Join(1, 2)), instance("n3", "f3", epoch.Join(1, 3))}
	c.Check(r.Missing(listed, epoch.Join(1, 15)), qt.HasLen, 0)
	for _, i := range listed {
		r.Update(i)
	}
	n2, _ := r.Find("n2")
	c.Check(n2.Fingerprint, qt.Equals, "f2-later")
	n3, _ := r.Find("n3")
	c.Check(n3.Leaving, qt.IsTrue)

	r.Update(instance("n1", "f1", epoch.Join(1, 16)))
	c.Check(r.DropUnconfirmed(), qt.HasLen, 0)
	now = now.Add(10 * time.Second)
	c.Check(r.DropUnconfirmed(), qt.DeepEquals, []string{"n2"})
	_, known := r.Find("n1")
	c.Check(known, qt.IsTrue)
}
