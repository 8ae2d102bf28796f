package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// The hold of a proven part lapses, since the part may be sound and nothing that runs could clear it
// otherwise. So does that of a new part that nearly all prompts of its workspace have: after a restart of
// all instances every part is new, and two endpoints that crash cost less than refusing all requests. A
// lapse admits few requests, as trials: the first one that is answered clears the part, the first one that
// crashes an endpoint renews the hold.
//
// The users' bound is three requests that reach endpoints from contactTime after the fifth crash on. A
// lapse begins contactTime after the last end at the earliest, so each trial counts. The admitted share
// of the requests doubles at each trialDoubling. At any rate of requests the first trial passes when few a
// second do, and the expected number of further ones until all instances know how it ended, half a second
// later, is a tenth in the first lapse and half of that in the second one. Two lapses thus take two of the
// three requests, and the third is left for a second trial in one of them. A new part is held after three
// crashes, so that its trials come before the fifth.
const (
	// contactTime is the time within which an end is known at all instances that are in contact. It
	// exceeds the differences between their clocks.
	contactTime = 3 * time.Second
	// maxLapses is the number of lapses, after which the hold lasts for heldRetention.
	maxLapses = 2
	// trialDoubling is the time in which the admitted share doubles in the first lapse.
	trialDoubling = 4 * time.Second
	// minTrialShare is the admitted share at the begin of a lapse. At 100 requests a second one in
	// five seconds passes.
	minTrialShare = 1.0 / 512
	// maxTrialShare bounds the admitted share, for requests that come again after a pause.
	maxTrialShare = 1.0 / 4
)

// hold is a pattern that is held.
type hold struct {
	pattern
	proven bool
	trials int // that crashed an endpoint
	demand *demand
	// lapse is the time from which on trials are admitted; 0 for never.
	lapse clock.Millis
}

// newHold returns the hold of a pattern by these ends. Each trial that crashed an endpoint doubles the time
// until it lapses.
func newHold(p pattern, ends []PartEnd, proven bool) hold {
	h, took := hold{pattern: p, proven: proven, demand: &demand{}}, newPartEvidence.ends
	if proven {
		took = provenPartEvidence.ends
	}
	known := ends[took-1].At.Add(contactTime)
	for _, e := range ends {
		if e.At > known {
			h.trials++
		}
	}
	if h.trials < maxLapses {
		h.lapse = ends[len(ends)-1].At.Add(contactTime << h.trials)
	}
	return h
}

// refuses reports whether the hold applies to a prompt now.
func (h hold) refuses(now clock.Millis, p Prompt) bool {
	return h.in(p.Parts) && (!h.lapsed(now) || p.Sample >= h.trialShare(now))
}

// lapsed reports whether trials are admitted.
func (h hold) lapsed(now clock.Millis) bool {
	return h.lapse != 0 && now >= h.lapse && (h.proven || h.demand.nearlyAllHave())
}

// trialShare returns the admitted share of the requests while the hold is lapsed.
func (h hold) trialShare(now clock.Millis) float64 {
	doublings := now.Sub(h.lapse).Seconds() / (trialDoubling << h.trials).Seconds()
	return min(minTrialShare*math.Exp2(doublings), maxTrialShare)
}

const (
	// nearlyAll is the share of the prompts from which on a part counts as one that nearly all have.
	nearlyAll = 0.9
	// minDemand is the number of prompts below which the share says nothing, and maxDemand the
	// number at which earlier ones count half.
	minDemand, maxDemand = 32, 512
)

// demand counts the prompts that came to this instance in the scope of a hold since it began, and how many of
// them have the parts.
type demand struct{ prompts, having int }

func (d *demand) add(has bool) {
	if d.prompts == maxDemand {
		d.prompts, d.having = d.prompts/2, d.having/2
	}
	d.prompts++
	if has {
		d.having++
	}
}

func (d *demand) nearlyAllHave() bool {
	return d.prompts >= minDemand && float64(d.having) >= nearlyAll*float64(d.prompts)
}

// TakeLapseChanges returns the records of held parts whose hold has lapsed or was renewed since the last
// call, and the number of held parts whose hold is lapsed.
func (t *Table) TakeLapseChanges(now clock.Millis) (changes []Record, lapsed int) {
	for s, holds := range t.parts.holds {
		for _, h := range holds {
			for _, part := range h.pattern {
				e := t.parts.byScope[s][part.Fingerprint()]
				isLapsed := !slices.ContainsFunc(holds, func(o hold) bool { return slices.Contains(o.pattern, part) && !o.lapsed(now) })
				if isLapsed {
					lapsed++
				}
				if e.lapsed != isLapsed {
					e.lapsed = isLapsed
					changes = append(changes, e.Record)
				}
			}
		}
	}
	return sorted(changes), lapsed
}

// Outdated returns the held records whose copy in the store lacks the last end, and which this instance
// should save: the hold would lapse too early after a restart of all instances. Which instances save is
// decided as by Unsaved.
func (t *Table) Outdated(now clock.Millis, watches bool, grace time.Duration) []Stored {
	var list []Stored
	for _, e := range t.records {
		if !e.held || len(e.Ends) == 0 || e.revision == 0 {
			continue
		}
		last := e.Ends[len(e.Ends)-1].At
		if last > e.storedEnd && (e.local || watches && now.Sub(last) >= grace) {
			list = append(list, Stored{Record: e.Record, Revision: e.revision})
		}
	}
	slices.SortFunc(list, func(a, b Stored) int { return slices.Compare(a.Work[:], b.Work[:]) })
	return list
}
