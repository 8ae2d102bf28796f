package placement

import (
	"slices"

	"github.com/trailshed/trailshed/pkg/clock"
)

// trust is how far engines that failed requests may be used.
type trust int

const (
	sound    trust = iota // those that did not fail a moment ago
	doubtful              // also those that answer about every second request
)

const (
	// failureWeight is the weight of one result in an engine's failure rate: half
	// of it is forgotten in three results, and an engine that answers nothing is
	// known after four.
	failureWeight = 0.25
	// doubtfulMost is the failure rate up to which an engine that failed a moment
	// ago is used where others have no room. An engine that loses four answers in
	// ten stays below it; one that answers nothing costs each request the time of
	// a try. In a large burst with lost answers 0.94 of all requests are in time
	// with it, 0.84 without (the load test's engines).
	doubtfulMost = 0.6
	// onceMost is the failure rate above which an engine gets a request that may
	// not be sent again only if no other has room: one failure, five results ago.
	onceMost = 0.06
)

// trusted says whether an engine may be used for a request.
func (e *engine) trusted(now clock.Millis, a Ask, t trust) bool {
	if e.failed <= now && !slices.Contains(a.Avoid, e.ID) {
		return true
	}
	return t == doubtful && e.failures < doubtfulMost
}

// someFail says whether engines that a request could use are not sound.
func (p *Planner) someFail(now clock.Millis, a Ask) bool {
	for _, e := range p.engines {
		if e.serves(a) && !e.trusted(now, a, sound) {
			return true
		}
	}
	return false
}

// answeredWell and answeredBadly take one result of an engine.
func (e *engine) answeredWell() { e.failures *= 1 - failureWeight }

func (e *engine) answeredBadly(now clock.Millis) {
	e.failed = now.Add(failedFor)
	e.failures += (1 - e.failures) * failureWeight
}
