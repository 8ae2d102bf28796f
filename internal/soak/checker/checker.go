// Package checker judges what callers and endpoints saw against the promises:
// nothing runs twice, "not run" is true, answers are whole and their own,
// requests run in their own workspace's name and within its limit and stay in their
// region, streams have no gap and no double, work for callers that left stops, leaving
// endpoints and evacuated zones get nothing new, cold endpoints little, configuration
// comes into force and never goes back, planned stops cut nothing, and retries stay
// within their budget. Bounds on time are demanded only of what no fault touched.
package checker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

// Bounds are the times and amounts that the promises name.
type Bounds struct {
	Contact time.Duration // what must have been calm before a bound on time holds
	Drain   time.Duration // from an endpoint's announcement that it leaves
	Config  time.Duration // from a configuration's acknowledgement
	Outer   time.Duration // longer for instances that the store refuses
	Gone    time.Duration // from a caller's leaving to the end of its work
	Slack   time.Duration // of all bounds, for a busy machine
	Ratio   float64       // extra sends for each request
	Extra   float64       // extra sends besides
	Window  time.Duration
	// The limit of one workspace over all instances, in requests that ran.
	LimitRate, LimitBurst, LimitSlack float64
	LimitWindow                       time.Duration

	ColdRate float64 // requests a second that a cold endpoint takes

	Timed bool // whether bounds on time are checked at all
}

// Violation is one broken promise.
type Violation struct {
	Promise string
	ID      string // of the request
	What    string
	At      time.Time
}

// Run is what one endpoint saw of one request.
type Run struct {
	standin.Arrival
	Endpoint string
	Service  string
	Zone     string
}

// Checker collects and judges. It is safe for concurrent use.
type Checker struct {
	Bounds   Bounds
	Faults   *timeline.Timeline
	Arrivals func() []Run

	mu        sync.Mutex
	calls     map[string]caller.Call
	leaving   map[string]time.Time // endpoint: when its announcement was acknowledged
	versions  map[int]time.Time    // configuration: when it was acknowledged
	evacuated []*change            // zones
	cold      []*change            // endpoints
	violation map[string]Violation
}

// New returns a checker that knows of nothing.
func New(b Bounds, faults *timeline.Timeline, arrivals func() []Run) *Checker {
	return &Checker{
		Bounds: b, Faults: faults, Arrivals: arrivals,
		calls: map[string]caller.Call{}, leaving: map[string]time.Time{}, versions: map[int]time.Time{},
		violation: map[string]Violation{},
	}
}

// Called takes a call that has ended.
func (c *Checker) Called(call caller.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[call.ID] = call
}

// Leaves notes that the store has an endpoint's announcement that it leaves.
func (c *Checker) Leaves(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[endpoint] = time.Now()
}

// Configured notes that the store has a configuration.
func (c *Checker) Configured(version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[version] = time.Now()
}

// Ended takes that a process ended in another way than it was told to.
func (c *Checker) Ended(instance string, life int, how error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken("lives on", fmt.Sprintf("%s life %d", instance, life), time.Now(), "it ended: %v", how)
}

// Outlived takes that a process still runs long after it was told to stop. One
// that was struck meanwhile, as by a pause, may.
func (c *Checker) Outlived(instance string, life int, told time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.Bounds.Timed || !c.Faults.Calm(told, now, instance, timeline.Process) {
		return
	}
	c.broken("planned stop", fmt.Sprintf("%s life %d", instance, life), now, "it still runs %s after SIGTERM", now.Sub(told).Round(time.Millisecond))
}

// Served counts the calls that were answered well, and all but those that were over
// their workspace's limit.
func (c *Checker) Served() (good, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		if call.Reply.Status == http.StatusTooManyRequests && call.Kind.Workspace == caller.Limited {
			continue
		}
		all++
		if call.Reply.Err == nil && call.Reply.Status == http.StatusOK {
			good++
		}
	}
	return good, all
}

// Check judges everything known and returns all violations so far, the oldest
// first. The last check also finds requests that nobody sent.
func (c *Checker) Check(last bool) []Violation {
	runs := c.Arrivals()
	c.mu.Lock()
	defer c.mu.Unlock()
	byCall := map[string][]Run{}
	for _, r := range runs {
		byCall[r.Request] = append(byCall[r.Request], r)
	}
	for id, call := range c.calls {
		c.checkCall(call, byCall[id])
	}
	for id, list := range byCall {
		if _, sent := c.calls[id]; last && !sent {
			c.broken("unasked", id, list[0].At, "%s saw a request that nobody sent", list[0].Endpoint)
		}
	}
	c.checkVersions()
	c.checkLimit(byCall)
	if c.Bounds.Timed {
		c.checkPoison(runs)
		c.checkWords(runs)
		c.checkLimits(runs)
		c.checkCold(runs)
		c.checkBudget(runs, last)
	}
	var list []Violation
	for _, v := range c.violation {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b Violation) int { return a.At.Compare(b.At) })
	return list
}

func (c *Checker) broken(promise, id string, at time.Time, format string, args ...any) {
	key := promise + " " + id
	if _, known := c.violation[key]; !known {
		c.violation[key] = Violation{Promise: promise, ID: id, What: fmt.Sprintf(format, args...), At: at}
	}
}

func (c *Checker) checkCall(call caller.Call, runs []Run) {
	c.checkRuns(call, runs)
	if !call.Left {
		c.checkReply(call)
	}
	if !c.Bounds.Timed {
		return
	}
	c.checkStop(call, runs)
	for _, r := range runs {
		c.checkLeaving(call, r)
		c.checkEvacuated(call, r)
		if call.Left {
			c.checkGone(call, r)
		}
	}
	// Whatever endpoints do, an instance must answer once the time is over.
	if call.Hung() && c.Faults.Calm(call.Sent, call.Ended, call.Gateway.Name, timeline.Process, timeline.Planned) {
		c.broken("answered", call.ID, call.Ended, "no answer from %s long after the time was over", call.Gateway.Name)
	}
}

// checkRuns judges what endpoints saw of a call.
func (c *Checker) checkRuns(call caller.Call, runs []Run) {
	ran := 0
	for _, r := range runs {
		if r.Method != call.Kind.Method || r.Target != call.Kind.Path || r.Body != call.Body {
			c.broken("unchanged", call.ID, r.At, "%s saw %s %s with a body of %d bytes", r.Endpoint, r.Method, r.Target, len(r.Body))
		}
		if r.Workspace != call.Kind.Workspace || r.Key {
			c.broken("own workspace", call.ID, r.At, "%s saw it in the name of %q, with a key: %t", r.Endpoint, r.Workspace, r.Key)
		}
		if r.Service != call.Kind.Service && r.Ran {
			c.broken("own service", call.ID, r.At, "ran at %s of %s", r.Endpoint, r.Service)
		}
		if home := call.Kind.Home; home != "" && r.Zone != home && r.Service == call.Kind.Service {
			c.broken("home region", call.ID, r.At, "%s in %s saw it", r.Endpoint, r.Zone)
		}
		if r.Ran && !r.Prefill {
			ran++
		}
	}
	if !call.Kind.Once {
		return
	}
	if ran > 1 {
		c.broken("at most once", call.ID, call.Sent, "ran %d times", ran)
	}
	if ran > 0 && notRun(call.Reply.Status) {
		c.broken("true refusal", call.ID, call.Ended, "%s answered %d, yet it ran", call.Gateway.Name, call.Reply.Status)
	}
}

// checkLimit judges what ran for the workspace that sends more than it may.
func (c *Checker) checkLimit(byCall map[string][]Run) {
	var times []time.Time
	for id, runs := range byCall {
		if c.calls[id].Kind.Workspace != caller.Limited {
			continue
		}
		for _, r := range runs {
			if r.Ran {
				times = append(times, r.At)
				break // its runs again are not requests of the workspace
			}
		}
	}
	allowed := c.Bounds.LimitRate*c.Bounds.LimitWindow.Seconds() + c.Bounds.LimitBurst + c.Bounds.LimitSlack
	for _, t := range times {
		if n := within(times, t.Add(-c.Bounds.LimitWindow), t); float64(n) > allowed {
			c.broken("limit of a workspace", caller.Limited, t, "%d requests ran in %s, allowed %.0f", n, c.Bounds.LimitWindow, allowed)
		}
	}
}

// notRun says whether a status promises that a request has not run.
func notRun(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// checkReply judges the bytes that a caller got.
func (c *Checker) checkReply(call caller.Call) {
	r := call.Reply
	switch {
	case r.Status == 200:
		want := standin.Whole(call.ID)
		if call.Kind.Stream {
			want = standin.Stream(call.ID, standin.Events)
		}
		switch {
		case !r.Signed:
			c.broken("own answer", call.ID, call.Ended, "a success without an endpoint's signature")
		case r.Err == nil && r.Body != want:
			c.broken("whole answer", call.ID, call.Ended, "got %q", r.Body)
		case !strings.HasPrefix(want, r.Body):
			c.broken("unmixed answer", call.ID, call.Ended, "got %q before it broke off", r.Body)
		}
	case r.Status == 401 || r.Status == 403 || r.Status == 404 && call.Kind.Version == 0:
		c.broken("allowed", call.ID, call.Ended, "%s answered %d to what every configuration allows", call.Gateway.Name, r.Status)
	}
}

// calm says whether nothing disturbed a call's instance and the endpoints.
func (c *Checker) calm(call caller.Call, from, to time.Time) bool {
	return c.Faults.Calm(from, to, call.Gateway.Name, timeline.Process) &&
		c.Faults.Calm(from, to, "", timeline.Endpoint)
}

// checkStop judges an answer that broke off while its instance stopped in order.
func (c *Checker) checkStop(call caller.Call, runs []Run) {
	cut := call.Reply.Err != nil && !call.Left && !call.Hung() && (len(runs) > 0 || call.Reply.Status != 0)
	if !cut || !c.calm(call, call.Sent, call.Ended) || c.Faults.Calm(call.Sent, call.Ended, call.Gateway.Name, timeline.Planned) {
		return
	}
	c.broken("planned stop", call.ID, call.Ended, "%s cut it: %v", call.Gateway.Name, call.Reply.Err)
}

// checkLeaving judges a request at an endpoint that leaves.
func (c *Checker) checkLeaving(call caller.Call, r Run) {
	acknowledged, leaves := c.leaving[r.Endpoint]
	if leaves && c.mustKnow(call, r, acknowledged) {
		c.broken("leaving endpoint", call.ID, r.At, "%s sent it to %s %s after that said it leaves",
			call.Gateway.Name, r.Endpoint, r.At.Sub(acknowledged).Round(time.Millisecond))
	}
}

// informed says whether an instance could know of a change by now. One that
// only the store refuses hears of it from its peers, within a longer bound.
func (c *Checker) informed(call caller.Call, changed, now time.Time, bound *time.Duration) bool {
	from := changed.Add(-c.Bounds.Contact)
	if !c.Faults.Calm(from, now, call.Gateway.Name, timeline.Process, timeline.Planned, timeline.Peers) ||
		!c.Faults.Calm(from, now, "", timeline.Store) {
		return false
	}
	if !c.Faults.Calm(from, now, "", timeline.Door) {
		*bound += c.Bounds.Outer
	}
	return true
}

// checkGone judges work for a caller that left.
func (c *Checker) checkGone(call caller.Call, r Run) {
	over := call.Ended.Add(c.Bounds.Gone + c.Bounds.Slack)
	ended := r.Ended
	if ended.IsZero() {
		ended = time.Now()
	}
	if ended.After(over) && c.undisturbed(call, r, ended) {
		c.broken("caller gone", call.ID, over, "%s still works on it %s after its caller left", r.Endpoint, ended.Sub(call.Ended).Round(time.Millisecond))
	}
}

func (c *Checker) undisturbed(call caller.Call, r Run, to time.Time) bool {
	from := call.Sent.Add(-c.Bounds.Contact)
	return c.Faults.Calm(from, to, call.Gateway.Name, timeline.Process, timeline.Planned) &&
		c.Faults.Calm(from, to, r.Endpoint, timeline.Endpoint)
}

// life is one process of an instance.
type life struct {
	name string
	n    int
}

func lifeOf(call caller.Call) life { return life{call.Gateway.Name, call.Gateway.Life} }

// checkVersions judges in which order instances followed configurations.
func (c *Checker) checkVersions() {
	seen := map[life]map[int]time.Time{} // version: when an answer first showed it
	for _, call := range c.calls {
		if call.Kind.Version == 0 || call.Reply.Err != nil || call.Reply.Status != 200 {
			continue
		}
		l := lifeOf(call)
		if seen[l] == nil {
			seen[l] = map[int]time.Time{}
		}
		if at, ok := seen[l][call.Kind.Version]; !ok || call.Ended.Before(at) {
			seen[l][call.Kind.Version] = call.Ended
		}
	}
	for _, call := range c.calls {
		if call.Kind.Version == 0 || call.Reply.Err != nil || call.Reply.Status != 404 {
			continue
		}
		for version, at := range seen[lifeOf(call)] {
			if version >= call.Kind.Version && call.Sent.After(at) {
				c.broken("never back", call.ID, call.Ended, "%s knew version %d and not version %d later", call.Gateway.Name, version, call.Kind.Version)
			}
		}
		c.checkInForce(call)
	}
}

// checkInForce judges an instance that did not know a version.
func (c *Checker) checkInForce(call caller.Call) {
	acknowledged, ok := c.versions[call.Kind.Version]
	bound := c.Bounds.Config + c.Bounds.Slack
	if !ok || !c.Bounds.Timed || !c.informed(call, acknowledged, call.Ended, &bound) {
		return
	}
	if late := call.Sent.Sub(acknowledged); late > bound {
		c.broken("configuration", call.ID, call.Ended, "%s does not know version %d after %s", call.Gateway.Name, call.Kind.Version, late.Round(time.Millisecond))
	}
}

// callMost is longer than any call lasts.
const callMost = 6 * time.Second

// checkBudget judges the arrivals beyond the first of each request. Before the
// last check it leaves the newest out: requests are known only once they have
// ended, and those under way earn their part as well.
func (c *Checker) checkBudget(runs []Run, last bool) {
	if !last {
		known := time.Now().Add(-callMost)
		runs = slices.DeleteFunc(runs, func(r Run) bool { return r.At.After(known) })
	}
	extra, asked := map[string][]Run{}, map[string][]time.Time{}
	for _, call := range c.calls {
		asked[call.Kind.Service] = append(asked[call.Kind.Service], call.Sent)
	}
	slices.SortFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	first, read := map[string]bool{}, map[string]bool{}
	for _, r := range runs {
		_, known := c.calls[r.Request]
		switch {
		case !known:
		case r.Prefill && r.Read && !read[r.Request]:
			read[r.Request] = true // the first reading of a prompt is not extra
		case first[r.Request]: // a prefill that was turned away counts like a send
			extra[r.Service] = append(extra[r.Service], r)
		default:
			first[r.Request] = true
		}
	}
	for service, list := range extra {
		for i, newest := range list {
			from := newest.At.Add(-c.Bounds.Window)
			var which []string
			for _, r := range list[:i+1] {
				if r.At.After(from) {
					which = append(which, r.Request+" at "+r.Endpoint)
				}
			}
			requests := max(within(asked[service], from, newest.At), within(asked[service], from.Add(-c.Bounds.Window), from))
			if allowed := c.Bounds.Ratio*float64(requests) + c.Bounds.Extra; float64(len(which)) > allowed {
				c.broken("retry budget", service, newest.At, "%d extra sends in %s, allowed %.1f: %s",
					len(which), c.Bounds.Window, allowed, strings.Join(which, ", "))
			}
		}
	}
}

func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}
