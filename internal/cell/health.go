package cell

import (
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	maxFailures  = 3
	ejectionTime = 5 * time.Second // before a request is let through as a probe
	slowFactor   = 3               // how many times slower than the median of the others counts as a failure
)

// health is the outlier ejection of one endpoint. Failed requests, and prefills
// or steps far slower than the median of the other endpoints, count as failures;
// enough of them in a row eject the endpoint. After ejectionTime one request is
// let through as a probe; its outcome readmits the endpoint or extends the
// ejection.
type health struct {
	failures int
	ejected  bool
	until    clock.Millis // when ejected: time of the next probe
	probing  bool
}

func (h *health) available(now clock.Millis) bool {
	return !h.ejected || (now >= h.until && !h.probing)
}

// recordSuccess clears the failures, unless the endpoint is ejected and not
// being probed. It reports whether a successful probe readmitted the endpoint.
func (h *health) recordSuccess() (readmitted bool) {
	readmitted = h.ejected && h.probing
	if h.ejected && !readmitted {
		return false
	}
	*h = health{}
	return readmitted
}

// recordFailure counts a failure and reports whether it ejected the endpoint. It
// never does if mayEject is false, as too few endpoints would stay available. A
// failed probe extends the ejection.
func (h *health) recordFailure(now clock.Millis, mayEject bool) (ejected bool) {
	h.failures++
	switch {
	case h.ejected && h.probing:
		h.probing, h.until = false, now.Add(ejectionTime)
		return false
	case h.ejected || h.failures < maxFailures || !mayEject:
		return false
	}
	h.ejected, h.probing, h.until = true, false, now.Add(ejectionTime)
	return true
}

// recordGrant records that a request was granted on the endpoint. If that is
// ejected, the request is its probe.
func (h *health) recordGrant() {
	if h.ejected {
		h.probing = true
	}
}
