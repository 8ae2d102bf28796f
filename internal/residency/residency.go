// Package residency says in which availability zones a request may be served: those of
// the regions that its route and its workspace are bound to, unless they are evacuated.
package residency

import "slices"

// Area is the zones that may serve a request. The zero value allows all.
type Area struct {
	regions   map[string]string
	evacuated map[string]bool
	homes     [][]string
}

// New returns the area of a request. regions has the region of each zone, evacuated the
// zones that get nothing. Each of homes is the regions that one party binds the request
// to; an empty one binds to none in particular. New keeps what it is given.
func New(regions map[string]string, evacuated map[string]bool, homes ...[]string) Area {
	bound := slices.DeleteFunc(homes, func(h []string) bool { return len(h) == 0 })
	return Area{regions: regions, evacuated: evacuated, homes: bound}
}

// Allows says whether endpoints of a zone may serve the request.
func (a Area) Allows(zone string) bool { return !a.evacuated[zone] && a.Resident(zone) }

// Resident says whether a zone is in a region to which the request may go. One whose
// region is not known serves only requests that are bound to none.
func (a Area) Resident(zone string) bool {
	if len(a.homes) == 0 {
		return true
	}
	region, known := a.regions[zone]
	if !known || region == "" {
		return false
	}
	for _, home := range a.homes {
		if !slices.Contains(home, region) {
			return false
		}
	}
	return true
}
