package checker

import (
	"slices"
	"strings"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

const (
	// minTakenUp is how many streams must have been taken up for the share that goes on to
	// be compared with the share of new streams that begin; it is at least
	// minTakenUpShare of that.
	minTakenUp      = 12
	minTakenUpShare = 0.5
	// minVersionEngines is how many engines of a stream's version must serve.
	minVersionEngines = 2
)

// Engine is a decode engine with the software version that it ran, from when its entry was
// written to when it began to leave or ended; To is zero while it serves.
type Engine struct {
	ID, Version string
	From, To    time.Time
}

// checkSoftware checks that the events of a stream come from one software version, within an
// answer and over all calls of its caller.
func (c *Checker) checkSoftware() {
	for origin, list := range c.streams() {
		var versions []string
		for _, call := range list {
			for _, v := range call.Versions {
				if !slices.Contains(versions, v) {
					versions = append(versions, v)
				}
			}
			if len(versions) > 1 {
				c.violated("one version", origin, call.Ended, "%s sent events of %s, after those of earlier versions or calls", call.Gateway.Name, strings.Join(versions, " and "))
			}
		}
	}
}

// checkTakenUp compares the share of streams that go on when their callers take them up with
// that of new streams that begin, at instances that no fault affects and while engines of
// their version serve. A stream that its caller tries again counts once, by the last try.
func (c *Checker) checkTakenUp(byCall map[string][]Run, last bool) {
	var taken, begun share
	engines := c.Engines()
	for _, calls := range c.streams() {
		for n, call := range calls {
			if !call.Kind.Resumable || !c.comparable(call, byCall[call.ID]) || triedAgain(calls[n:], last) {
				continue
			}
			received := call.Reply.Status == 200 && call.Reply.Body != ""
			switch {
			case call.BeganAs == "":
				begun.add(received)
			case c.versionServes(engines, c.calls[call.BeganAs].Versions, call):
				taken.add(received)
			}
		}
	}
	if taken.all >= minTakenUp && float64(taken.served*begun.all) < minTakenUpShare*float64(begun.served*taken.all) {
		c.violated("streams go on", "all", time.Now(), "%d of %d streams taken up go on, %d of %d new ones begin", taken.served, taken.all, begun.served, begun.all)
	}
}

// triedAgain reports whether the first of a stream's calls was refused or not answered as its caller tried to go on with
// the stream, and the caller has tried again or, before the last check, may still do so.
func triedAgain(calls []caller.Call, last bool) bool {
	first := calls[0]
	if first.BeganAs == "" || first.Reply.Status == 200 {
		return false
	}
	again := calls[len(calls)-1].Sent.After(first.Sent)
	return again || !last && first.Reply.RetryAfter > 0
}

// versionServes reports whether enough engines of a stream's version serve throughout a call.
func (c *Checker) versionServes(engines []Engine, versions []string, call caller.Call) bool {
	if len(versions) != 1 {
		return false
	}
	from, serving := call.Sent.Add(-c.Bounds.CalmTime), 0
	for _, e := range engines {
		if e.Version == versions[0] && e.From.Before(from) && (e.To.IsZero() || e.To.After(call.Ended)) &&
			c.Faults.Undisturbed(from, call.Ended, e.ID, timeline.Endpoint, timeline.Load) {
			serving++
		}
	}
	return serving >= minVersionEngines
}
