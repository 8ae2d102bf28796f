package quarantine

import (
	"slices"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// HoldThreshold is the number of ended endpoints at which a request becomes held. One
	// endpoint may end by coincidence while any request runs; a second end with the same
	// request, without a completion in between, is not considered a coincidence. The
	// users' bound is three ended endpoints, and three sends after that; a threshold
	// below it leaves room for an end that no instance observed.
	HoldThreshold = 2
	// RecentHoldThreshold is the threshold for a request that ran to completion at some
	// instance within the last minutes, as requests do that many callers send
	// identically. A fault that ends all three endpoints of a service must not cause
	// such a request to be refused to all callers. The threshold leaves two of the
	// users' three sends.
	RecentHoldThreshold = 4
)

// maxEnds bounds the ends in a record. It is above the thresholds, since ends that a part of prompts
// explains do not count.
const maxEnds = 32

// Record holds what is known of one request, or of one part of prompts, that ran while endpoints ended. Merging the
// records of a request gives the same result in any order.
type Record struct {
	Work Fingerprint `cbor:"1,keyasint"`
	// Ended lists the IDs of the endpoint incarnations that ended, sorted, up to maxEnds of
	// them.
	Ended []string `cbor:"2,keyasint,omitempty"`
	// Cleared is when the request was last cleared, by running to completion or by the
	// removal of its stored record; 0 if never. Earlier ends do not count any more.
	Cleared clock.Millis `cbor:"3,keyasint,omitempty"`
	// Seen is when an endpoint that ran the request last ended, or when it was cleared.
	Seen clock.Millis `cbor:"4,keyasint"`
	// RecentlyCompleted is set if the request ran to completion shortly before an end or, in the
	// record of a part, if an answer was written on it.
	RecentlyCompleted bool `cbor:"5,keyasint,omitempty"`
	// Part is set in the record of a part of prompts, whose ends are in Ends and not in Ended.
	Part *PromptPart `cbor:"6,keyasint,omitempty"`
	Ends []PartEnd   `cbor:"7,keyasint,omitempty"`

	held   bool // as decided by the Table that returned the record
	lapsed bool // likewise
}

// Held reports whether the request, or requests with the part, must not be run any more,
// according to the Table that returned the record.
func (r Record) Held() bool { return r.held }

// Lapsed reports whether the hold of a part admits trials, according to the last TakeLapseChanges of
// that Table.
func (r Record) Lapsed() bool { return r.lapsed }

// EndCount returns the number of ended endpoints that count.
func (r Record) EndCount() int { return len(r.Ended) + len(r.Ends) }

// crashes reports whether the ends of a request's record, but for those that are explained
// otherwise, are enough to hold it.
func (r Record) crashes(explained map[string]bool) bool {
	threshold := HoldThreshold
	if r.RecentlyCompleted {
		threshold = RecentHoldThreshold
	}
	ends := 0
	for _, endpoint := range r.Ended {
		if !explained[endpoint] {
			ends++
		}
	}
	return ends >= threshold
}

// Equal reports whether r and o agree in all but the time of the last event.
func (r Record) Equal(o Record) bool {
	return r.Cleared == o.Cleared && r.RecentlyCompleted == o.RecentlyCompleted && slices.Equal(r.Ended, o.Ended) && slices.Equal(r.Ends, o.Ends)
}

// merge combines two records of the same request.
func merge(a, b Record) Record {
	if b.Part != nil {
		return mergeParts(a, b)
	}
	seen := max(a.Seen, b.Seen)
	switch {
	case a.Cleared > b.Cleared:
		a.Seen = seen
		return a
	case b.Cleared > a.Cleared:
		b.Seen = seen
		return b
	}
	ended := slices.Concat(a.Ended, b.Ended)
	slices.Sort(ended)
	ended = slices.Compact(ended)
	return Record{
		Work: a.Work, Cleared: a.Cleared, Seen: seen, RecentlyCompleted: a.RecentlyCompleted || b.RecentlyCompleted, Ended: ended[:min(len(ended), maxEnds)],
	}
}
