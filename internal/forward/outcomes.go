package forward

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/eventlog"
)

// outcomeEvents are the events that end a request: its last line names one of them.
var outcomeEvents = [...]eventlog.Event{
	eventlog.Answered, eventlog.Refused, eventlog.GaveUp, eventlog.Broken, eventlog.Cancelled, eventlog.Panicked,
}

// outcomes counts requests by the event that ended them. It is safe for concurrent use.
type outcomes [len(outcomeEvents)]atomic.Int64

func (o *outcomes) add(e eventlog.Event) {
	for i := range outcomeEvents {
		if outcomeEvents[i] == e {
			o[i].Add(1)
		}
	}
}

// appendTo appends the counts that are not 0.
func (o *outcomes) appendTo(counts []string) []string {
	for i, e := range outcomeEvents {
		if n := o[i].Load(); n > 0 {
			counts = append(counts, fmt.Sprintf("%s %d", e, n))
		}
	}
	return counts
}

// stopOutcomes counts the requests that ended while an instance was stopping.
type stopOutcomes struct {
	before outcomes // of those that had arrived before the stop began
	after  outcomes
	taken  atomic.Int64 // of those that arrived later: not refused at once
}

// count counts a request that has ended.
func (s *stopOutcomes) count(scope tally.Scope, after bool, e eventlog.Event) {
	counts, arrived := &s.before, "before"
	if after {
		counts, arrived = &s.after, "after"
	}
	counts.add(e)
	scope.Tagged(map[string]string{"arrived": arrived, "outcome": string(e)}).Counter("requests_at_stop").Inc(1)
}

// String returns the counts, such as "before: answered 3; after: taken 1, answered 1, refused 2".
func (s *stopOutcomes) String() string {
	before, after := s.before.appendTo(nil), []string(nil)
	if n := s.taken.Load(); n > 0 {
		after = append(after, fmt.Sprintf("taken %d", n))
	}
	after = s.after.appendTo(after)
	var parts []string
	if len(before) > 0 {
		parts = append(parts, "before: "+strings.Join(before, ", "))
	}
	if len(after) > 0 {
		parts = append(parts, "after: "+strings.Join(after, ", "))
	}
	return strings.Join(parts, "; ")
}
