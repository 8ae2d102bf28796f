package checker

import (
	"slices"
	"strconv"
	"time"

	"github.com/trailshed/trailshed/internal/soak/timeline"
)

const (
	// An endpoint that names a limit may receive limitFactor times that limit within
	// limitWindow, and limitExtra requests in addition.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// limitDelay is the time after which an instance that relayed an answer with a limit
	// must respect the limit.
	limitDelay = 500 * time.Millisecond
)

// limitPeriod is a period during which all answers of an endpoint named a limit.
type limitPeriod struct {
	from, to time.Time
	rate     float64 // the highest limit, in requests a second
	runs     []Run
}

// checkEndpointLimits checks that all instances together respect the limits that endpoints
// name in their answers, also while the store is unavailable.
func (c *Checker) checkEndpointLimits(runs []Run) {
	byEndpoint := map[string][]Run{}
	for _, r := range runs {
		byEndpoint[r.Endpoint] = append(byEndpoint[r.Endpoint], r)
	}
	for endpoint, list := range byEndpoint {
		slices.SortFunc(list, func(a, b Run) int { return a.At.Compare(b.At) })
		for _, p := range limitPeriods(list) {
			c.checkLimitPeriod(endpoint, p)
		}
	}
}

// limitPeriods returns the periods during which an endpoint named limits. A change of the
// limit does not start a new period.
func limitPeriods(list []Run) []limitPeriod {
	var periods []limitPeriod
	inPeriod := false
	for _, r := range list {
		rate, err := strconv.ParseFloat(r.Limit, 64)
		if err != nil {
			inPeriod = false
			continue
		}
		if !inPeriod {
			periods = append(periods, limitPeriod{from: r.At})
		}
		inPeriod = true
		p := &periods[len(periods)-1]
		p.to, p.rate, p.runs = r.At, max(p.rate, rate), append(p.runs, r)
	}
	return periods
}

// checkLimitPeriod checks the requests of instances that knew the limit, in a sliding
// window.
func (c *Checker) checkLimitPeriod(endpoint string, p limitPeriod) {
	begin := p.from.Add(c.Bounds.CalmTime + c.Bounds.Slack)
	allowed := int(limitFactor*p.rate*limitWindow.Seconds() + limitExtra)
	informed := map[incarnation]time.Time{}
	var counted []Run
	for _, r := range p.runs {
		call, ended := c.calls[r.Request]
		if !ended {
			continue
		}
		inc := incarnationOf(call)
		if r.At.After(begin) && c.countsAgainstLimit(endpoint, inc, informed, r) {
			counted = append(counted, r)
		}
		if at, known := informed[inc]; c.relayed(r) && (!known || r.Ended.Before(at)) {
			informed[inc] = r.Ended
		}
	}
	if r, count := firstExceeding(counted, limitWindow, allowed); count > 0 {
		c.violated("limit", r.Request, r.At, "%s, which accepts %g requests a second, received %d within %s from instances that knew the limit; allowed %d",
			endpoint, p.rate, count, limitWindow, allowed)
	}
}

// firstExceeding returns the first run, of a list ordered by time, with which the number of
// runs within a window exceeds what is allowed, and that number; 0 if there is none.
func firstExceeding(list []Run, window time.Duration, allowed int) (Run, int) {
	first := 0
	for i, r := range list {
		for r.At.Sub(list[first].At) > window {
			first++
		}
		if count := i - first + 1; count > allowed {
			return r, count
		}
	}
	return Run{}, 0
}

// countsAgainstLimit reports whether a run counts against the limit: its instance had
// relayed an answer with a limit, and no fault affected the instance, the links between
// instances or the endpoint.
func (c *Checker) countsAgainstLimit(endpoint string, inc incarnation, informed map[incarnation]time.Time, r Run) bool {
	at, known := informed[inc]
	if !known || r.At.Sub(at) < limitDelay+c.Bounds.Slack {
		return false
	}
	from := r.At.Add(-limitWindow - c.Bounds.CalmTime)
	return c.Faults.Undisturbed(from, r.At, inc.name, timeline.Process, timeline.Planned, timeline.Peers) &&
		c.Faults.Undisturbed(from, r.At, endpoint, timeline.Endpoint)
}
