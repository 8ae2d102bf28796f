package quarantine

import "slices"

// massEndThreshold is the number of endpoints from which simultaneous ends are attributed
// to a common cause rather than to the requests that ran there.
const massEndThreshold = 3

// End records that an endpoint ended while it ran a request.
type End struct {
	work        Work
	fingerprint Fingerprint // of work, computed once because many requests may end together
	endpoint    string
}

// NewEnd returns the end of an endpoint, identified by the ID of its incarnation, that ran a
// request.
func NewEnd(w Work, endpoint string) End {
	return End{work: w, fingerprint: w.Fingerprint(), endpoint: endpoint}
}

// EndedElsewhere reports whether the request of last also ran at another endpoint among
// ends.
func EndedElsewhere(ends []End, last End) bool {
	return slices.ContainsFunc(ends, func(e End) bool { return e.fingerprint == last.fingerprint && e.endpoint != last.endpoint })
}

// Attributable returns those of the collected ends that count against their requests: all
// of them, unless massEndThreshold endpoints or more ended together. Such ends have a
// common cause other than a request, so only those of requests that ran at two of the
// endpoints are returned. This protects harmless requests that two successive waves of
// crashes interrupt.
func Attributable(ends []End) []End {
	endpoints := map[string]bool{}
	for _, e := range ends {
		endpoints[e.endpoint] = true
	}
	if len(endpoints) < massEndThreshold {
		return ends
	}
	var attributable []End
	for _, e := range ends {
		if EndedElsewhere(ends, e) {
			attributable = append(attributable, e)
		}
	}
	return attributable
}
