// Package checker checks what callers and endpoints observed against the promises:
//
//   - a request that must not be repeated runs at most once, and one of any kind that was
//     answered as not run did not run;
//   - answers are complete and belong to their request, streams have no missing and no
//     repeated event, also where the caller takes one up, and come from one software
//     version;
//   - requests arrive unchanged, run under their own workspace, within its limit, and stay
//     in its region;
//   - requests that were passed on or came on kept connections are answered or refused, and
//     answers that have begun are not broken off;
//   - work for callers that disconnected stops;
//   - leaving endpoints and evacuated zones get no new requests, cold endpoints few, and
//     endpoints that back off or name a limit no more than they accept;
//   - requests that crash endpoints stop being sent, whether all of one content or with one part in
//     their prompts, and no others;
//   - workspaces are served while another one sends more than a service can serve;
//   - instances that have lost their links to endpoints serve their callers;
//   - configurations come into force and are never reverted;
//   - answers without end are not read on, and calls get theirs from elsewhere;
//   - planned stops interrupt no answer;
//   - streams that broke as all instances were killed go on while endpoints of their version serve,
//     and are refused at once if none does;
//   - retries stay within their budget.
//
// Time bounds are checked only where no fault interfered.
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

// Bounds are the limits on times and amounts that the promises state.
type Bounds struct {
	CalmTime    time.Duration // without faults before a time bound applies
	ChangeDelay time.Duration // from a change of an endpoint or a zone until all instances act on it
	ConfigDelay time.Duration // from a configuration's acknowledgement until it is in force
	PeerDelay   time.Duration // added while the store fails some instances, which then learn of changes from peers
	CancelDelay time.Duration // from a caller's disconnect to the end of the work for it
	Slack       time.Duration // added to all other time bounds, for a busy machine
	ChangeSlack time.Duration // added to ChangeDelay and ConfigDelay
	RetryRatio  float64       // retries allowed per request
	RetrySlack  float64       // retries allowed in addition, per window
	RetryWindow time.Duration // over which retries are counted
	// The limit of one workspace over all instances, in requests that ran.
	LimitRate, LimitBurst, LimitSlack float64
	LimitWindow                       time.Duration

	ColdRate float64 // requests a second that a cold endpoint accepts

	Grace time.Duration // from SIGTERM to the end of a process at the latest

	Timed bool // whether time bounds are checked at all
}

// Violation is a promise that was not kept.
type Violation struct {
	Promise string
	ID      string // of the request, or whatever else the promise concerns
	What    string
	At      time.Time
}

// Run is one request as an endpoint received it.
type Run struct {
	standin.Arrival
	Endpoint string
	Service  string
	Zone     string
}

// Checker collects observations and checks them. It is safe for concurrent use.
type Checker struct {
	Bounds   Bounds
	Faults   *timeline.Timeline
	Arrivals func() []Run
	Engines  func() []Engine

	mu         sync.Mutex
	calls      map[string]caller.Call
	leaving    map[string]time.Time // by endpoint: when the store acknowledged that it leaves
	versions   map[int]time.Time    // by configuration version: when the store acknowledged it
	evacuated  []*storeChange       // of zones
	cold       []*storeChange       // of endpoints
	stops      map[incarnation]*stop
	violations map[string]Violation // by promise and ID
}

// New returns a checker without observations.
func New(b Bounds, faults *timeline.Timeline, arrivals func() []Run) *Checker {
	return &Checker{
		Bounds: b, Faults: faults, Arrivals: arrivals, Engines: func() []Engine { return nil },
		calls: map[string]caller.Call{}, leaving: map[string]time.Time{}, versions: map[int]time.Time{}, stops: map[incarnation]*stop{},
		violations: map[string]Violation{},
	}
}

// RecordCall records a call that has ended.
func (c *Checker) RecordCall(call caller.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[call.ID] = call
}

// EndpointLeaving records that the store has acknowledged an endpoint's announcement that
// it is leaving.
func (c *Checker) EndpointLeaving(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[endpoint] = time.Now()
}

// ConfigurationStored records that the store has acknowledged a configuration.
func (c *Checker) ConfigurationStored(version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[version] = time.Now()
}

// ProcessExited records that a process exited without a signal to do so, or failed after
// SIGTERM.
func (c *Checker) ProcessExited(instance string, number int, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated("lives on", fmt.Sprintf("%s incarnation %d", instance, number), time.Now(), "process exited unexpectedly: %v", cause)
}

// StopOverdue records that a process still runs long after SIGTERM. That is no violation if
// a fault, such as a pause, affected the process in the meantime.
func (c *Checker) StopOverdue(instance string, number int, signalled time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.Bounds.Timed || !c.Faults.Undisturbed(signalled, now, instance, timeline.Process) {
		return
	}
	c.violated("planned stop", fmt.Sprintf("%s incarnation %d", instance, number), now, "process still running %s after SIGTERM", now.Sub(signalled).Round(time.Millisecond))
}

// Served returns how many calls succeeded, and how many there were except those of a flood and those
// rejected because their workspace was over its limit.
func (c *Checker) Served() (good, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		if call.Kind.Workspace == caller.Flooding {
			continue
		}
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

// Check checks all observations and returns all violations so far, the oldest first. Only
// the last check finds requests that no caller sent, since before that a caller may still
// be waiting for the answer.
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
		if _, known := c.calls[id]; last && !known {
			c.violated("unasked", id, list[0].At, "%s received a request that no caller sent", list[0].Endpoint)
		}
	}
	c.checkVersions()
	c.checkSoftware()
	c.checkWorkspaceLimit(byCall)
	c.checkHeld(runs)
	if c.Bounds.Timed {
		c.checkCutInstances(byCall)
		c.checkTakenUp(byCall, last)
		if last { // before that, callers may still come back
			c.checkRejoined()
		}
		c.checkFlood(byCall)
		c.checkEndless(byCall)
		c.checkPoison(runs)
		c.checkParts(byCall)
		c.checkNotices(runs)
		c.checkEndpointLimits(runs)
		c.checkCold(runs)
		c.checkBudget(runs, last)
	}
	var list []Violation
	for _, v := range c.violations {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b Violation) int { return a.At.Compare(b.At) })
	return list
}

// violated records a violation; only the first of each promise and ID counts.
func (c *Checker) violated(promise, id string, at time.Time, format string, args ...any) {
	key := promise + " " + id
	if _, known := c.violations[key]; !known {
		c.violations[key] = Violation{Promise: promise, ID: id, What: fmt.Sprintf(format, args...), At: at}
	}
}

// checkCall checks one call and what endpoints received of it.
func (c *Checker) checkCall(call caller.Call, runs []Run) {
	c.checkRuns(call, runs)
	if !call.Disconnected {
		c.checkReply(call)
	}
	c.checkEnd(call, runs)
	if !c.Bounds.Timed {
		return
	}
	c.checkPlannedStop(call, runs)
	for _, r := range runs {
		c.checkLeaving(call, r)
		c.checkEvacuated(call, r)
		if call.Disconnected {
			c.checkAbandoned(call, r)
		}
	}
	// Whatever endpoints do, an instance must answer once the request's deadline has passed.
	if call.TimedOut() && c.Faults.Undisturbed(call.Sent, call.Ended, call.Gateway.Name, timeline.Process, timeline.Planned) {
		c.violated("answered", call.ID, call.Ended, "no answer from %s long after the deadline", call.Gateway.Name)
	}
}

// checkRuns checks what endpoints received of a call.
func (c *Checker) checkRuns(call caller.Call, runs []Run) {
	ran := 0
	for _, r := range runs {
		if r.Method != call.Kind.Method || r.Target != call.Kind.Path || r.Body != call.Body {
			c.violated("unchanged", call.ID, r.At, "%s received %s %s with a body of %d bytes", r.Endpoint, r.Method, r.Target, len(r.Body))
		}
		if r.Workspace != call.Kind.Workspace || r.HasKey {
			c.violated("own workspace", call.ID, r.At, "%s received it for workspace %q, with a key: %t", r.Endpoint, r.Workspace, r.HasKey)
		}
		if r.Service != call.Kind.Service && r.Ran {
			c.violated("own service", call.ID, r.At, "ran at %s of service %s", r.Endpoint, r.Service)
		}
		if home := call.Kind.HomeZone; home != "" && r.Zone != home && r.Service == call.Kind.Service {
			c.violated("home region", call.ID, r.At, "%s in zone %s received it", r.Endpoint, r.Zone)
		}
		if r.Ran && !r.Prefill {
			ran++
		}
	}
	if call.Kind.AtMostOnce && ran > 1 {
		c.violated("at most once", call.ID, call.Sent, "ran %d times", ran)
	}
	if ran > 0 && promisesNotRun(call.Reply.Status) {
		c.violated("true refusal", call.ID, call.Ended, "%s answered %d to %s, but it ran %d times", call.Gateway.Name, call.Reply.Status, call.Kind.Path, ran)
	}
}

// checkWorkspaceLimit checks how many requests ran for the workspace that sends more than
// its limit allows.
func (c *Checker) checkWorkspaceLimit(byCall map[string][]Run) {
	var times []time.Time
	for id, runs := range byCall {
		if c.calls[id].Kind.Workspace != caller.Limited {
			continue
		}
		for _, r := range runs {
			if r.Ran {
				times = append(times, r.At)
				break // retries do not count against the limit
			}
		}
	}
	allowed := c.Bounds.LimitRate*c.Bounds.LimitWindow.Seconds() + c.Bounds.LimitBurst + c.Bounds.LimitSlack
	for _, t := range times {
		if n := countWithin(times, t.Add(-c.Bounds.LimitWindow), t); float64(n) > allowed {
			c.violated("limit of a workspace", caller.Limited, t, "%d requests ran within %s, allowed %.0f", n, c.Bounds.LimitWindow, allowed)
		}
	}
}

// promisesNotRun reports whether a status promises that the request did not run.
func promisesNotRun(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// checkReply checks the status and the body that a caller received.
func (c *Checker) checkReply(call caller.Call) {
	r := call.Reply
	switch {
	case r.Status == 200:
		want := standin.AnswerBody(call.ID)
		if call.Kind.Stream {
			want = standin.StreamBody(call.ID, standin.Events)[len(standin.StreamBody(call.ID, call.After)):]
		}
		switch {
		case !r.Signed:
			c.violated("own answer", call.ID, call.Ended, "success status without an endpoint's signature")
		case r.Err == nil && r.Body != want:
			c.violated("whole answer", call.ID, call.Ended, "received %q", r.Body)
		case !strings.HasPrefix(want, r.Body):
			c.violated("unmixed answer", call.ID, call.Ended, "received %q before the connection broke", r.Body)
		}
	case r.Status == 401 || r.Status == 403 || r.Status == 404 && call.Kind.Version == 0:
		c.violated("allowed", call.ID, call.Ended, "%s answered %d to a request that every configuration allows", call.Gateway.Name, r.Status)
	}
}

// callUndisturbed reports whether no fault affected a call's instance or any endpoint.
func (c *Checker) callUndisturbed(call caller.Call, from, to time.Time) bool {
	return c.Faults.Undisturbed(from, to, call.Gateway.Name, timeline.Process, timeline.Links) &&
		c.Faults.Undisturbed(from, to, "", timeline.Endpoint)
}

// checkPlannedStop checks for an answer that was interrupted during a planned stop of its
// instance, with no other fault that explains it.
func (c *Checker) checkPlannedStop(call caller.Call, runs []Run) {
	interrupted := call.Reply.Err != nil && !call.LeftOrLate() && (len(runs) > 0 || call.Reply.Status != 0)
	if !interrupted || c.cutByStop(call) || !c.callUndisturbed(call, call.Sent, call.Ended) || c.Faults.Undisturbed(call.Sent, call.Ended, call.Gateway.Name, timeline.Planned) {
		return
	}
	c.violated("planned stop", call.ID, call.Ended, "%s interrupted it: %v", call.Gateway.Name, call.Reply.Err)
}

// checkLeaving checks for a request at an endpoint that had announced in the store that it
// is leaving.
func (c *Checker) checkLeaving(call caller.Call, r Run) {
	acknowledged, leaving := c.leaving[r.Endpoint]
	if leaving && (c.mustKnow(call, r, acknowledged) || c.knewBefore(call, r, acknowledged)) {
		c.violated("leaving endpoint", call.ID, r.At, "%s sent it to %s %s after that announced that it is leaving",
			call.Gateway.Name, r.Endpoint, r.At.Sub(acknowledged).Round(time.Millisecond))
	}
}

// canKnow reports whether faults allowed an instance to learn of a change by now. If the
// store failed some instances, the change may have had to come from peers, which extends
// bound.
func (c *Checker) canKnow(call caller.Call, changed, now time.Time, bound *time.Duration) bool {
	from := changed.Add(-c.Bounds.CalmTime)
	if !c.Faults.Undisturbed(from, now, call.Gateway.Name, timeline.Process, timeline.Planned, timeline.Peers) ||
		!c.Faults.Undisturbed(from, now, "", timeline.Store) {
		return false
	}
	if !c.Faults.Undisturbed(from, now, "", timeline.InstanceStore) {
		*bound += c.Bounds.PeerDelay
	}
	return true
}

// checkAbandoned checks for work that continued after its caller had disconnected.
func (c *Checker) checkAbandoned(call caller.Call, r Run) {
	deadline := call.Ended.Add(c.Bounds.CancelDelay + c.Bounds.Slack)
	ended := r.Ended
	if ended.IsZero() {
		ended = time.Now()
	}
	if ended.After(deadline) && c.runUndisturbed(call, r, ended) {
		c.violated("caller gone", call.ID, deadline, "%s still worked on it %s after its caller disconnected", r.Endpoint, ended.Sub(call.Ended).Round(time.Millisecond))
	}
}

// runUndisturbed reports whether no fault affected the instance or the endpoint of a run.
func (c *Checker) runUndisturbed(call caller.Call, r Run, to time.Time) bool {
	from := call.Sent.Add(-c.Bounds.CalmTime)
	return c.Faults.Undisturbed(from, to, call.Gateway.Name, timeline.Process, timeline.Planned, timeline.Links) &&
		c.Faults.Undisturbed(from, to, r.Endpoint, timeline.Endpoint)
}

// incarnation is one process of an instance, from its start to its exit.
type incarnation struct {
	name string
	n    int
}

func incarnationOf(call caller.Call) incarnation {
	return incarnation{call.Gateway.Name, call.Gateway.Incarnation}
}

// checkVersions checks that no process of an instance returns to an earlier configuration.
func (c *Checker) checkVersions() {
	seen := map[incarnation]map[int]time.Time{} // by version: the end of the first call answered with it
	for _, call := range c.calls {
		if call.Kind.Version == 0 || call.Reply.Err != nil || call.Reply.Status != 200 {
			continue
		}
		inc := incarnationOf(call)
		if seen[inc] == nil {
			seen[inc] = map[int]time.Time{}
		}
		if at, ok := seen[inc][call.Kind.Version]; !ok || call.Ended.Before(at) {
			seen[inc][call.Kind.Version] = call.Ended
		}
	}
	for _, call := range c.calls {
		if call.Kind.Version == 0 || call.Reply.Err != nil || call.Reply.Status != 404 {
			continue
		}
		for version, at := range seen[incarnationOf(call)] {
			if version >= call.Kind.Version && call.Sent.After(at) {
				c.violated("never back", call.ID, call.Ended, "%s served version %d, and later did not know version %d", call.Gateway.Name, version, call.Kind.Version)
			}
		}
		c.checkInForce(call)
	}
}

// checkInForce checks whether an instance that did not know a version should have.
func (c *Checker) checkInForce(call caller.Call) {
	acknowledged, ok := c.versions[call.Kind.Version]
	bound := c.Bounds.ConfigDelay + c.Bounds.ChangeSlack
	if !ok || !c.Bounds.Timed || !c.canKnow(call, acknowledged, call.Ended, &bound) {
		return
	}
	if late := call.Sent.Sub(acknowledged); late > bound {
		c.violated("configuration", call.ID, call.Ended, "%s does not know version %d after %s", call.Gateway.Name, call.Kind.Version, late.Round(time.Millisecond))
	}
}

// maxCallTime is longer than any call lasts.
const maxCallTime = 6 * time.Second

// checkBudget checks the number of retries: the arrivals beyond the first of each request.
// Before the last check it excludes the newest arrivals, because calls are known only once
// they have ended, and those in progress count towards the budget as well.
func (c *Checker) checkBudget(runs []Run, last bool) {
	if !last {
		known := time.Now().Add(-maxCallTime)
		runs = slices.DeleteFunc(runs, func(r Run) bool { return r.At.After(known) })
	}
	retries, sent := map[string][]Run{}, map[string][]time.Time{}
	for _, call := range c.calls {
		sent[call.Kind.Service] = append(sent[call.Kind.Service], call.Sent)
	}
	slices.SortFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	first, prefilled := map[string]bool{}, map[string]bool{}
	for _, r := range runs {
		_, known := c.calls[r.Request]
		switch {
		case !known:
		case r.Prefill && r.PrefillStarted && !prefilled[r.Request]:
			prefilled[r.Request] = true // the first prefill that accepts the prompt is no retry
		case first[r.Request]: // a rejected prefill counts as a send
			retries[r.Service] = append(retries[r.Service], r)
		default:
			first[r.Request] = true
		}
	}
	for service, list := range retries {
		for i, newest := range list {
			from := newest.At.Add(-c.Bounds.RetryWindow)
			var counted []string
			for _, r := range list[:i+1] {
				if r.At.After(from) {
					counted = append(counted, r.Request+" at "+r.Endpoint)
				}
			}
			requests := max(countWithin(sent[service], from, newest.At), countWithin(sent[service], from.Add(-c.Bounds.RetryWindow), from))
			if allowed := c.Bounds.RetryRatio*float64(requests) + c.Bounds.RetrySlack; float64(len(counted)) > allowed {
				c.violated("retry budget", service, newest.At, "%d retries within %s, allowed %.1f: %s",
					len(counted), c.Bounds.RetryWindow, allowed, strings.Join(counted, ", "))
			}
		}
	}
}

// countWithin counts the times after from, up to and including to.
func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}
