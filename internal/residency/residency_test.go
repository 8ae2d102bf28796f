package residency_test

import (
	"fmt"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/residency"
	"github.com/trailshed/trailshed/internal/standin/seed"
)

func TestMain(m *testing.M) { os.Exit(seed.Main(m)) }

var regions = map[string]string{"a1": "north", "a2": "north", "b1": "south", "c1": ""}

func TestAllows(t *testing.T) {
	tests := []struct {
		name      string
		bindings  [][]string
		evacuated []string
		want      []string
	}{
		{"bound to nothing", nil, nil, []string{"a1", "a2", "b1", "c1", "unknown"}},
		{"an empty list binds to nothing", [][]string{{}}, nil, []string{"a1", "a2", "b1", "c1", "unknown"}},
		{"a region", [][]string{{"north"}}, nil, []string{"a1", "a2"}},
		{"several regions", [][]string{{"north", "south"}}, nil, []string{"a1", "a2", "b1"}},
		{"both bind", [][]string{{"north", "south"}, {"south"}}, nil, []string{"b1"}},
		{"both bind, to different regions", [][]string{{"north"}, {"south"}}, nil, nil},
		{"a region that does not exist", [][]string{{"west"}}, nil, nil},
		{"the empty name is no region", [][]string{{""}}, nil, nil},
		{"an evacuated zone", nil, []string{"a1"}, []string{"a2", "b1", "c1", "unknown"}},
		{"an evacuated zone of the region", [][]string{{"north"}}, []string{"a1"}, []string{"a2"}},
		{"all zones of the region", [][]string{{"south"}}, []string{"b1"}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			evacuated := map[string]bool{}
			for _, zone := range test.evacuated {
				evacuated[zone] = true
			}
			area := residency.New(regions, evacuated, test.bindings...)
			var got []string
			for _, zone := range []string{"a1", "a2", "b1", "c1", "unknown"} {
				if area.Allows(zone) {
					got = append(got, zone)
				}
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// For any zones, routes and workspaces, an allowed zone is in a region of each party that
// binds the request, and is not evacuated.
func TestAllowedZonesSatisfyBindings(t *testing.T) {
	names := []string{"r0", "r1", "r2", "r3"}
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.SampledFrom(append(names, ""))).Draw(t, "zones")
		evacuated := rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "c", "x"}), rapid.Just(true)).Draw(t, "evacuated")
		bindings := rapid.SliceOfN(rapid.SliceOf(rapid.SampledFrom(names)), 0, 3).Draw(t, "homes")
		given := slices.Clone(bindings)
		area := residency.New(zones, evacuated, given...)
		for _, zone := range []string{"a", "b", "c", "d", "e", "x"} {
			if !area.Allows(zone) {
				continue
			}
			if evacuated[zone] {
				t.Fatalf("%q is evacuated", zone)
			}
			for _, allowed := range bindings {
				if len(allowed) > 0 && !slices.Contains(allowed, zones[zone]) {
					t.Fatalf("%q is in %q, which is none of %q", zone, zones[zone], allowed)
				}
			}
		}
	})
}

func ExampleArea() {
	area := residency.New(map[string]string{"a": "north", "b": "south"}, nil, []string{"north"}, nil)
	fmt.Println(area.Allows("a"), area.Allows("b"))
	// Output: true false
}
