package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/internal/endpoint"
)

// Comparisons with the baselines are meaningful only if the baselines are as
// good as their policy allows: at equal loads the endpoints must be used evenly.
func TestBaselinesRotate(t *testing.T) {
	for _, policy := range []string{cell.PolicyRoundRobin, cell.PolicyLagged} {
		t.Run(policy, func(t *testing.T) {
			c := qt.New(t)
			cl := &benchCell{now: 1_000_000, owners: []cell.Owner{{Node: "n", Incarnation: 1}}}
			cl.cell = cell.New(name, cl.now, cell.Options{Policy: policy, OwnerExpiry: time.Minute})
			var members []catalog.Member
			for _, m := range []catalog.Member{
				{Name: "d1", Role: catalog.RoleDecode},
				{Name: "d2", Role: catalog.RoleDecode},
				{Name: "d3", Role: catalog.RoleDecode},
				{Name: "d4", Role: catalog.RoleDecode},
				{Name: "p1", Role: catalog.RolePrefill},
				{Name: "p2", Role: catalog.RolePrefill},
			} {
				m.Slots, m.LinkRate = 100, 1000
				members = append(members, m)
			}
			cl.cell.Apply(cl.now, cell.Configured{Catalog: catalog.New(), Members: members})
			for _, m := range members {
				cl.cell.Apply(cl.now, cell.Reported{Endpoint: m.Name, Report: endpoint.Report{}})
			}
			got := map[string]int{}
			for range 40 {
				for _, e := range cl.cell.Apply(cl.now, cl.nextRequest()) {
					got[e.(cell.SendGrant).Grant.Prefill]++
					got[e.(cell.SendGrant).Grant.Decode]++
				}
			}
			c.Assert(got, qt.DeepEquals, map[string]int{"d1": 10, "d2": 10, "d3": 10, "d4": 10, "p1": 20, "p2": 20})
		})
	}
}
