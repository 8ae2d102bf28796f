package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/placement"
)

// After the loss of everything, instances plan for themselves until they have found
// their zone's planner, for up to half a second. What had been running is asked for
// again at that moment: two requests an instance, before 16 prefill and 31 decode
// engines of which nobody knows anything. Where all chose the same of equal engines,
// each prompt waited for 26 others, 1.3 s in place of 0.5.
func TestPlannersThatAreAloneSpread(t *testing.T) {
	c := qt.New(t)
	const instances, prefills, decodes = 26, 16, 31
	v := viewOf(t, prefills, decodes)
	reads, decoded := map[string]int{}, map[string]int{}
	for n := range instances {
		p := placement.New("a", fmt.Sprint("n", n), paces())
		p.Apply(0, placement.Known{View: v})
		for r := range 2 {
			for _, a := range p.Apply(1, ask(fmt.Sprint(n, "/", r))) {
				if g := a.Verdict.Grant; g != nil {
					reads[g.Prefill]++
					decoded[g.Decode]++
				}
			}
		}
	}
	for name, counts := range map[string]map[string]int{"prefill": reads, "decode": decoded} {
		most := 0
		for _, n := range counts {
			most = max(most, n)
		}
		c.Check(most <= 9, qt.IsTrue, qt.Commentf("%s: %d of %d at one engine", name, most, 2*instances))
	}
}
