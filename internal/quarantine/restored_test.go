package quarantine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/internal/quarantine"
)

// A held request whose record a restored store lacks has not been released: it stays held, and
// its record is saved again. One that is missing later, in the same epoch, was released.
func TestRecordLostByARestore(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	work := quarantine.Fingerprint{1}
	record := quarantine.Record{Work: work, Ended: []string{"e1", "e2", "e3"}, Seen: 10}
	table.MergeStored(10, quarantine.Stored{Record: record, Revision: 20})
	c.Assert(table.Unsaved(10, true, 0), qt.HasLen, 0)
	c.Check(table.Missing(nil, epoch.Join(1, 15)), qt.HasLen, 0)
	held, _ := table.Count()
	c.Check(held, qt.Equals, 1)
	c.Check(table.Unsaved(10, true, 0), qt.HasLen, 1)
	table.MergeStored(10, quarantine.Stored{Record: record, Revision: epoch.Join(1, 18)})
	c.Check(table.Missing(nil, epoch.Join(1, 30)), qt.HasLen, 1)
}
