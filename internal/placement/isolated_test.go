package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/placement"
)

// After all instances restart, each plans for itself for up to half a second until it
// has found its zone's planner. Requests are retried at that moment, two per instance,
// for 16 prefill and 31 decode engines of unknown load. If all planners chose the same
// of equal engines, each prompt would wait for 26 others, 1.3 s instead of 0.5 s.
func TestIsolatedPlannersSpread(t *testing.T) {
	c := qt.New(t)
	const instances, prefills, decodes = 26, 16, 31
	v := viewOf(t, prefills, decodes)
	prefilled, decoded := map[string]int{}, map[string]int{}
	for n := range instances {
		p := placement.New("a", fmt.Sprint("n", n), paces())
		p.Apply(0, placement.ViewUpdate{View: v})
		for r := range 2 {
			for _, a := range p.Apply(1, request(fmt.Sprint(n, "/", r))) {
				if g := a.Decision.Grant; g != nil {
					prefilled[g.Prefill]++
					decoded[g.Decode]++
				}
			}
		}
	}
	for name, counts := range map[string]map[string]int{"prefill": prefilled, "decode": decoded} {
		highest := 0
		for _, n := range counts {
			highest = max(highest, n)
		}
		c.Check(highest <= 9, qt.IsTrue, qt.Commentf("%s: %d of %d at one engine", name, highest, 2*instances))
	}
}
