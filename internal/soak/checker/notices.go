package checker

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/soak/timeline"
)

const (
	// backoffDelay is how long requests of an instance may still reach an endpoint that
	// rejected a request of that instance and asked it to back off; maxBackoffRequests is
	// how many may reach it during the remaining backoff.
	backoffDelay       = 500 * time.Millisecond
	maxBackoffRequests = 2
)

// senderPair is one process of an instance and an endpoint to which it sends.
type senderPair struct {
	incarnation
	endpoint string
}

// checkNotices checks that each instance respects the notices that endpoints gave it in
// their answers, also while the store is unavailable.
func (c *Checker) checkNotices(runs []Run) {
	byPair := map[senderPair][]Run{}
	for _, r := range runs {
		if call, ended := c.calls[r.Request]; ended {
			pair := senderPair{incarnationOf(call), r.Endpoint}
			byPair[pair] = append(byPair[pair], r)
		}
	}
	for pair, list := range byPair {
		slices.SortFunc(list, func(a, b Run) int { return a.At.Compare(b.At) })
		c.checkLeavingNotices(pair, list)
		c.checkBackoff(pair, list)
	}
}

// checkLeavingNotices checks for requests that callers sent long after the endpoint had
// announced in an answer to the same instance that it is leaving.
func (c *Checker) checkLeavingNotices(pair senderPair, list []Run) {
	for _, notice := range list {
		if !notice.Leaving || !c.relayed(notice) {
			continue
		}
		for _, r := range list {
			call := c.calls[r.Request]
			after := call.Sent.Sub(notice.Ended)
			if after > c.Bounds.ChangeDelay+c.Bounds.Slack && c.mustHeed(pair, notice, r.At) {
				c.violated("announced leave", call.ID, r.At, "%s sent it to %s %s after an answer announced that it is leaving",
					pair.name, pair.endpoint, after.Round(time.Millisecond))
			}
		}
		return // later notices add nothing to the first
	}
}

// checkBackoff checks how many requests of an instance reached an endpoint that had asked it
// to back off.
func (c *Checker) checkBackoff(pair senderPair, list []Run) {
	for _, rejected := range list {
		if rejected.Backoff == 0 || !c.relayed(rejected) {
			continue
		}
		late := 0
		for _, r := range list {
			at := r.At.Sub(rejected.At)
			if at > backoffDelay+c.Bounds.Slack && at < rejected.Backoff && c.mustHeed(pair, rejected, r.At) {
				late++
			}
		}
		if late > maxBackoffRequests {
			c.violated("rest", rejected.Request, rejected.At, "%s sent %d requests to %s during a backoff of %s",
				pair.name, late, pair.endpoint, rejected.Backoff)
		}
	}
}

// relayed reports whether an instance relayed an endpoint's answer completely: neither
// the caller nor the instance dropped it before its end.
func (c *Checker) relayed(r Run) bool {
	return !r.Ended.IsZero() && !r.Cancelled && !c.calls[r.Request].Disconnected
}

// mustHeed reports whether an instance that received a notice must act on it until a later
// moment: no fault made it lose the notice or kept it from acting on it.
func (c *Checker) mustHeed(pair senderPair, notice Run, until time.Time) bool {
	return c.Faults.Undisturbed(notice.At, until, pair.name, timeline.Process) &&
		c.Faults.Undisturbed(notice.At.Add(-c.Bounds.Slack), until, pair.endpoint, timeline.Endpoint)
}
