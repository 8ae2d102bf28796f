// Package residency decides in which availability zones a request may be served: those of
// the regions that its route and its workspace are bound to, unless they are evacuated.
package residency

import "slices"

// Area is the set of zones that may serve a request. The zero value allows all zones.
type Area struct {
	regions   map[string]string
	evacuated map[string]bool
	bindings  [][]string
}

// New returns the area of a request. regions has the region of each zone, evacuated the
// zones that get no requests. Each of bindings lists the regions that one party binds the
// request to; an empty list allows all. New retains its arguments and may modify bindings.
func New(regions map[string]string, evacuated map[string]bool, bindings ...[]string) Area {
	nonEmpty := slices.DeleteFunc(bindings, func(h []string) bool { return len(h) == 0 })
	return Area{regions: regions, evacuated: evacuated, bindings: nonEmpty}
}

// Allows reports whether endpoints of a zone may serve the request.
func (a Area) Allows(zone string) bool { return !a.evacuated[zone] && a.Resident(zone) }

// Resident reports whether a zone is in a region to which the request may go. A zone whose
// region is unknown serves only requests that are not bound to any region.
func (a Area) Resident(zone string) bool {
	if len(a.bindings) == 0 {
		return true
	}
	region, known := a.regions[zone]
	if !known || region == "" {
		return false
	}
	for _, allowed := range a.bindings {
		if !slices.Contains(allowed, region) {
			return false
		}
	}
	return true
}
