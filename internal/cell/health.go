package cell

import (
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	strikesToEject = 3
	ejection       = 5 * time.Second // until one probe is let through
	grayFactor     = 3               // times slower than the cell's median
)

// health decides whether an endpoint takes part. Failures and steps far slower
// than the cell's median are strikes; enough of them in a row eject it. After a
// while one request probes it, and its outcome readmits or ejects again.
type health struct {
	strikes int
	ejected bool
	until   clock.Millis // when ejected: time of the next probe
	probing bool
}

func (h *health) open(now clock.Millis) bool {
	return !h.ejected || (now >= h.until && !h.probing)
}

// good clears the strikes; a good probe readmits. It says whether it did.
func (h *health) good() (readmitted bool) {
	readmitted = h.ejected && h.probing
	if h.ejected && !readmitted {
		return false
	}
	*h = health{}
	return readmitted
}

// bad adds a strike and says whether the endpoint was ejected by it. With
// spare false the pool is at its floor and nothing is ejected.
func (h *health) bad(now clock.Millis, spare bool) (ejected bool) {
	h.strikes++
	switch {
	case h.ejected && h.probing:
		h.probing, h.until = false, now.Add(ejection)
		return false
	case h.ejected || h.strikes < strikesToEject || !spare:
		return false
	}
	h.ejected, h.probing, h.until = true, false, now.Add(ejection)
	return true
}

// granted notes that a request went to the endpoint.
func (h *health) granted() {
	if h.ejected {
		h.probing = true
	}
}
