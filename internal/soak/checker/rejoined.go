package checker

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

const (
	// minRejoined is how many streams must have been taken up after kills of all instances for their share that goes
	// on to be checked; it is at least minRejoinedShare.
	minRejoined      = 12
	minRejoinedShare = 0.9
	// recordTime is how long before such a kill a stream must have begun to count.
	recordTime = 500 * time.Millisecond
	// goneDelay is the time within which a stream is refused that no endpoint can go on with.
	goneDelay = time.Second
)

// takingUp is a call whose stream broke, and the later calls that tried to go on with it; the last of them may have
// done so.
type takingUp struct {
	origin, broken caller.Call
	tries          []caller.Call
}

// last returns the last try.
func (t takingUp) last() caller.Call { return t.tries[len(t.tries)-1] }

// streams returns the calls of each stream, in the order of their times, by the call that brought the first event.
func (c *Checker) streams() map[string][]caller.Call {
	calls := map[string][]caller.Call{}
	for _, call := range c.calls {
		calls[call.Origin()] = append(calls[call.Origin()], call)
	}
	for _, list := range calls {
		slices.SortFunc(list, func(a, b caller.Call) int { return a.Sent.Compare(b.Sent) })
	}
	return calls
}

// takenUp returns the streams that callers took up whose events came from one software version so far.
func (c *Checker) takenUp() (list []takingUp) {
	for _, calls := range c.streams() {
		for n, broken := range calls {
			if !broken.MayTakeUp() || len(calls[0].Versions) != 1 {
				continue
			}
			t := takingUp{origin: calls[0], broken: broken}
			for _, try := range calls[n+1:] {
				t.tries = append(t.tries, try)
				if try.Reply.Status == http.StatusOK {
					break
				}
			}
			if len(t.tries) > 0 {
				list = append(list, t)
			}
		}
	}
	return list
}

// checkRejoined checks that streams go on that broke as all instances were killed at once, while endpoints of their
// version serve, and that those are refused at once whose version is gone.
func (c *Checker) checkRejoined() {
	took := c.takenUp()
	if s := c.rejoined(took); s.all >= minRejoined && float64(s.served) < minRejoinedShare*float64(s.all) {
		c.violated("streams go on after a kill of all", "all", time.Now(), "%d of %d go on", s.served, s.all)
	}
	engines := c.Engines()
	for _, t := range took {
		c.checkGone(engines, t)
	}
}

// Rejoined returns how many streams were taken up after a kill of all instances while nothing else was disturbed and
// endpoints of their version served, and how many of them went on.
func (c *Checker) Rejoined() (wentOn, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.rejoined(c.takenUp())
	return s.served, s.all
}

// rejoined counts the streams that checkRejoined judges.
func (c *Checker) rejoined(took []takingUp) (s share) {
	kills, engines := c.killsOfAll(), c.Engines()
	for _, t := range took {
		if c.countsAsRejoined(kills, t) && c.versionServes(engines, t.origin.Versions, span(t)) {
			s.add(t.last().Reply.Status == http.StatusOK)
		}
	}
	return s
}

// span returns a call that lasts from the first to the last try of a stream.
func span(t takingUp) caller.Call {
	return caller.Call{Sent: t.tries[0].Sent, Ended: t.last().Ended}
}

// countsAsRejoined reports whether a stream broke in a kill of all instances, long enough after it had begun, and
// nothing but that kill prevented it from going on.
func (c *Checker) countsAsRejoined(kills []timeline.Fault, t takingUp) bool {
	last := t.last()
	killed := slices.ContainsFunc(kills, func(f timeline.Fault) bool {
		return !t.broken.Ended.Before(f.From.Add(-recordTime)) && !t.broken.Ended.After(f.To) && !last.Ended.Before(f.From) &&
			f.From.Sub(t.origin.Sent) >= recordTime
	})
	// A caller that left, or met no instance, does not show whether its stream may go on.
	return killed && last.Reply.Status != 0 &&
		c.Faults.Undisturbed(t.origin.Sent, last.Ended, "", timeline.Store, timeline.InstanceStore, timeline.Peers, timeline.Links) &&
		c.Faults.Undisturbed(t.tries[0].Sent, last.Ended, last.Gateway.Name, timeline.Frozen, timeline.Planned)
}

// killsOfAll returns the times in which all instances are killed and have not recovered.
func (c *Checker) killsOfAll() (list []timeline.Fault) {
	instances := map[string]bool{}
	for _, call := range c.calls {
		instances[call.Gateway.Name] = true
	}
	windows := c.Faults.Windows(timeline.Kill)
	for _, w := range windows {
		// All are down from the moment at which the last one is killed to the first return of one of them.
		down, to := map[string]bool{}, w.To
		for _, other := range windows {
			if !other.From.After(w.From) && other.To.After(w.From) {
				down[other.Target] = true
				if other.To.Before(to) {
					to = other.To
				}
			}
		}
		if len(down) == len(instances) {
			list = append(list, timeline.Fault{From: w.From, To: to})
		}
	}
	return list
}

// checkGone checks that a stream is refused, without a time to come back, soon after its caller took it up while no
// endpoint of its version was left.
func (c *Checker) checkGone(engines []Engine, t takingUp) {
	var since time.Time // the first try from which on nothing else was disturbed
	for _, try := range t.tries {
		if !c.gone(engines, t.origin.Versions[0], try) ||
			!c.Faults.Undisturbed(cmp.Or(since, try.Sent), try.Ended, "", timeline.Process, timeline.Planned, timeline.Peers, timeline.Store, timeline.InstanceStore) {
			since = time.Time{}
			continue
		}
		since = cmp.Or(since, try.Sent)
		waited := try.Ended.Sub(since)
		if refused := try.Reply.Status != 0 && try.Reply.RetryAfter == 0; waited <= goneDelay+c.Bounds.Slack || refused && try.Ended.Sub(try.Sent) <= goneDelay+c.Bounds.Slack {
			continue
		}
		if !try.Disconnected {
			c.violated("streams of a version that is gone are refused", try.ID, try.Ended, "%s leaves it waiting %s after it was taken up: status %d, to come back after %s",
				try.Gateway.Name, waited.Round(time.Millisecond), try.Reply.Status, try.Reply.RetryAfter)
		}
	}
}

// gone reports whether all engines of a version had left so long before a try that instances know it.
func (c *Checker) gone(engines []Engine, version string, try caller.Call) bool {
	known := try.Sent.Add(-c.Bounds.ChangeDelay - c.Bounds.ChangeSlack)
	return !slices.ContainsFunc(engines, func(e Engine) bool {
		return e.Version == version && (e.To.IsZero() || e.To.After(known)) && !e.From.After(try.Ended)
	})
}
