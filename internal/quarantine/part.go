package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/prompt"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Prompt names the parts of a request's prompt that other requests may share. The zero Prompt
// has none.
type Prompt struct {
	Service   string
	Workspace string // empty if it is not known
	Parts     []prompt.Part
	// Sample is the request's random number in [0, 1), which decides whether it is a trial while a hold
	// is lapsed.
	Sample float64
}

// PromptPart identifies a part of prompts. The names of parts are their callers' word, so a part
// is one of a workspace: no caller can have the requests of another workspace refused.
type PromptPart struct {
	Service   string      `cbor:"1,keyasint"`
	Workspace string      `cbor:"2,keyasint,omitempty"`
	Part      prompt.Part `cbor:"3,keyasint"`
}

// Fingerprint returns the key of the part's record. It differs from that of any Work.
func (p PromptPart) Fingerprint() Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, text := range []string{"prompt part", p.Service, p.Workspace, string(p.Part)} {
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		h.Write(size[:])
		h.Write([]byte(text))
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// PartEnd is the end of an endpoint that had been sent a prompt with the part, and had not been
// seen to write on an answer to it.
type PartEnd struct {
	Endpoint string       `cbor:"1,keyasint"` // ID of the incarnation
	At       clock.Millis `cbor:"2,keyasint"`
}

// evidence is what it takes to hold a part.
type evidence struct {
	ends int // endpoints
	// span is the least time from the first end to the last. Ends closer together may have one
	// cause that is no request.
	span time.Duration
}

var (
	// newPartEvidence holds a part on which no answer is known to have been written. It is a
	// part of hardly more requests than those that crashed.
	newPartEvidence = evidence{ends: 3, span: 200 * time.Millisecond}
	// provenPartEvidence holds a part on which answers were written within the last minutes,
	// before the first of the ends. It may be in all prompts of a workspace, so that each fault of
	// the service seems to be its doing; the span leaves time for answers that clear it.
	provenPartEvidence = evidence{ends: 5, span: 2 * time.Second}
)

// sharedPartWorkspaces is the number of workspaces in which a part crashed endpoints from which on it
// is held in all those in which it has not been proven.
const sharedPartWorkspaces = 3

// suffices reports whether ends, in the order of their times, are enough evidence.
func (e evidence) suffices(ends []PartEnd) bool {
	return len(ends) >= e.ends && ends[len(ends)-1].At.Sub(ends[0].At) >= e.span
}

// pattern is a set of parts that crashes endpoints. It has several parts only if all of them
// were in each crash, and no request is known that had just some of them.
type pattern []PromptPart

// in reports whether a prompt has all parts of the pattern.
func (p pattern) in(parts []prompt.Part) bool {
	return !slices.ContainsFunc(p, func(part PromptPart) bool { return !slices.Contains(parts, part.Part) })
}

// findHolds returns the holds of the patterns that explain the ends in the records of one workspace's parts.
// No end counts for two of them.
//
// Among parts that were not proven, one that explains more ends goes before one that explains
// fewer: a rare part crashes with the many prompts it is in, and each of their other parts has just
// some of these ends. One whose ends others explain altogether is no cause, though, and held only
// together with these: it may be in all prompts. Among proven parts those with few ends go first, since
// one that is in all prompts has the ends of every other.
func findHolds(records []Record) []hold {
	var holds []hold
	explained := map[string]bool{}
	fresh, proven := splitProven(records)
	causes := slices.DeleteFunc(slices.Clone(fresh), func(r Record) bool { return coveredByOthers(r, fresh) })
	for {
		best := slices.MaxFunc(append(causes, Record{}), func(a, b Record) int { return compareEnds(a, b, explained) })
		ends := unexplained(best.Ends, explained)
		if !newPartEvidence.suffices(ends) {
			break
		}
		holds = append(holds, newHold(companions(fresh, ends, explained), ends, false))
		markExplained(ends, explained)
	}
	slices.SortFunc(proven, func(a, b Record) int { return compareEnds(a, b, nil) })
	for _, r := range proven {
		ends := unexplained(r.Ends, explained)
		if provenPartEvidence.suffices(ends) {
			holds = append(holds, newHold(companions(proven, ends, explained), ends, true))
			markExplained(ends, explained)
		}
	}
	return holds
}

func splitProven(records []Record) (fresh, proven []Record) {
	for _, r := range records {
		if r.RecentlyCompleted {
			proven = append(proven, r)
		} else {
			fresh = append(fresh, r)
		}
	}
	return fresh, proven
}

// coveredByOthers reports whether each end of r is one of a part that has only some of them, but as many
// as it takes to hold it.
func coveredByOthers(r Record, records []Record) bool {
	covered := map[string]bool{}
	for _, o := range records {
		within := !slices.ContainsFunc(o.Ends, func(e PartEnd) bool { return !hasEnd(r.Ends, e.Endpoint) })
		if len(o.Ends) < len(r.Ends) && within && len(o.Ends) >= newPartEvidence.ends {
			markExplained(o.Ends, covered)
		}
	}
	return len(covered) == len(r.Ends)
}

// compareEnds compares two records by the number of ends that are not explained, and so that all
// instances agree on the order of equals.
func compareEnds(a, b Record, explained map[string]bool) int {
	return cmp.Or(cmp.Compare(len(unexplained(a.Ends, explained)), len(unexplained(b.Ends, explained))), slices.Compare(a.Work[:], b.Work[:]))
}

func unexplained(ends []PartEnd, explained map[string]bool) []PartEnd {
	if len(explained) == 0 {
		return ends
	}
	return slices.DeleteFunc(slices.Clone(ends), func(e PartEnd) bool { return explained[e.Endpoint] })
}

func markExplained(ends []PartEnd, explained map[string]bool) {
	for _, e := range ends {
		explained[e.Endpoint] = true
	}
}

// companions returns all parts among records that have all of the given ends.
func companions(records []Record, ends []PartEnd, explained map[string]bool) pattern {
	var p pattern
	for _, r := range records {
		own := unexplained(r.Ends, explained)
		if !slices.ContainsFunc(ends, func(e PartEnd) bool { return !hasEnd(own, e.Endpoint) }) {
			p = append(p, *r.Part)
		}
	}
	return p
}

func hasEnd(ends []PartEnd, endpoint string) bool {
	return slices.ContainsFunc(ends, func(e PartEnd) bool { return e.Endpoint == endpoint })
}

// lastEnds is the number of the last ends that a full record keeps beside the first ones, so that it shows
// whether trials crashed endpoints.
const lastEnds = maxLapses

// mergeEnds returns the ends of both lists that came after cleared, each endpoint once, in the order of
// their times. Of more than maxEnds it leaves out those before the lastEnds last ones.
func mergeEnds(a, b []PartEnd, cleared clock.Millis) []PartEnd {
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y PartEnd) int { return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Endpoint, y.Endpoint)) })
	var ends []PartEnd
	for _, e := range all {
		if e.At > cleared && !hasEnd(ends, e.Endpoint) {
			ends = append(ends, e)
		}
	}
	if excess := len(ends) - maxEnds; excess > 0 {
		ends = slices.Delete(ends, maxEnds-lastEnds, maxEnds-lastEnds+excess)
	}
	return ends
}

// mergeParts combines two records of the same part. An answer that was begun on the part clears
// it of the ends before, not of those after.
func mergeParts(a, b Record) Record {
	cleared := max(a.Cleared, b.Cleared)
	return Record{
		Work: a.Work, Part: a.Part, Cleared: cleared, Seen: max(a.Seen, b.Seen),
		RecentlyCompleted: a.RecentlyCompleted || b.RecentlyCompleted, Ends: mergeEnds(a.Ends, b.Ends, cleared),
	}
}
