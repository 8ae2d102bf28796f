// Package admission admits requests of one instance according to the latest update on
// their workspaces' limits, and reports requested and executed units. Decisions are
// pure: the caller passes the time.
package admission

import (
	"fmt"
	"time"

	"github.com/trailshed/trailshed/internal/allotment"
	"github.com/trailshed/trailshed/internal/jitter"
	"github.com/trailshed/trailshed/internal/quota"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// ledgerTimeout is how long a gate relies on the latest update of a ledger. Updates
	// come at least every 400 ms, and one may be lost.
	ledgerTimeout = 1000 * time.Millisecond
	// nearLimitTimeout is the same for a workspace near its limit, whose updates come
	// every 100 ms: one that sends many times its usual rate uses in a second what its
	// limit allows in several.
	nearLimitTimeout = 400 * time.Millisecond
	// startupGrace is how long a gate that has not received any update admits requests
	// of each workspace: the first one, and then up to startupShareFactor times the
	// instance's share of the limit. When all instances start at once, they find each
	// other within a second, and refusals during that time would add to the outage.
	// Without a bound, many instances that restart together would admit all requests of
	// a workspace that has used up its limit.
	startupGrace       = 1500 * time.Millisecond
	startupShareFactor = 1.5
	// maxSavingTime bounds how long an isolated instance accumulates its share.
	maxSavingTime = 4 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay of refused callers, before
	// jitter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// retrySpread is the range of the retry delay as a fraction of it, so that callers
	// refused together do not retry together.
	retrySpread = 0.5
)

// Decision is a gate's decision on a request.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // after which a refused caller may retry
	AdmitRatio float64       // fraction of requests to admit
	Used       float64       // units executed within a window by all instances, as of the latest update
	Limit      quota.Limit
	Age        time.Duration // of the latest update
	Isolated   bool          // no recent update: the instance enforces its own share of the limit
	Class      allotment.Class
	// CutOff is the class that is admitted in part, at CutOffRatio, while those before it
	// are admitted in full. It is valid if the latest update has ratios by class.
	CutOff      allotment.Class
	CutOffRatio float64
	Divided     bool // the latest update has ratios by class
}

// String lists the inputs of the decision, for the log.
func (d Decision) String() string {
	s := fmt.Sprintf("used %.0f, limit %.0f/s, burst %.0f, pass %.2f, isolated %t", d.Used, d.Limit.Rate, d.Limit.Burst, d.AdmitRatio, d.Isolated)
	if d.Divided {
		s += fmt.Sprintf(", priority %d, size %d, cut-off at priority %d, size %d, pass %.2f", d.Class.Priority, d.Class.Size, d.CutOff.Priority, d.CutOff.Size, d.CutOffRatio)
	}
	return s
}

// Gate admits requests of one instance. It is not safe for concurrent use.
type Gate struct {
	// Division bounds the classes that are distinguished.
	Division quota.Division
	// AdmitIsolated makes the gate admit all requests while it has no recent update,
	// instead of its share of the limit.
	AdmitIsolated bool

	startedAt  clock.Millis
	updatedAt  clock.Millis // time of the latest update of a ledger; 0: none
	workspaces map[string]*state
	refused    int // refused requests so far, from which the jitter is derived
}

// state holds a gate's data of one workspace.
type state struct {
	use        quota.Use // without classes
	reported   quota.Use
	admitRatio float64                     // fraction of requests to admit, from the latest update
	ratios     map[allotment.Class]float64 // the same of classes that have their own
	cutOff     quota.ClassRatio            // the highest of them below 1
	classes    []*classState
	used       float64
	nearLimit  bool
	credit     float64 // requests that may be admitted; each request adds admitRatio
	savedShare float64 // units accumulated while the instance is isolated
	savedAt    clock.Millis
}

// New returns the gate of an instance that started at a time.
func New(startedAt clock.Millis) *Gate {
	return &Gate{startedAt: startedAt, workspaces: map[string]*state{}}
}

func (g *Gate) state(workspace string) *state {
	s := g.workspaces[workspace]
	if s == nil {
		s = &state{
			use: quota.Use{Workspace: workspace}, admitRatio: 1, credit: jitter.Fraction(int(g.startedAt) + len(g.workspaces)),
		}
		g.workspaces[workspace] = s
	}
	return s
}

// Admit counts a request of a number of units, unless it is refused. instances is the
// number of instances among which the limit is divided while there are no updates.
func (g *Gate) Admit(now clock.Millis, workspace string, l quota.Limit, class allotment.Class, units float64, instances int) Decision {
	s := g.state(workspace)
	s.use.Requested += units
	c := g.class(now, s, class)
	if c != nil {
		c.add(now, units)
	}
	until := g.trustedUntil(s)
	ratio, credit := s.ratioOf(class, c)
	d := Decision{Limit: l, AdmitRatio: ratio, Used: s.used, Age: now.Sub(g.updatedAt), Isolated: now > until, Class: class}
	d.CutOff, d.CutOffRatio, d.Divided = s.cutOff.Class, s.cutOff.AdmitRatio, s.ratios != nil
	share := l.Rate / float64(max(instances, 1))
	switch {
	case g.AdmitIsolated && (d.Isolated || g.updatedAt == 0):
		d.Admitted = true
	case d.Isolated && g.Division.Policy != nil && c != nil && len(s.classes) > 1:
		d.AdmitRatio, d.Admitted, d.RetryAfter = s.admitClassByShare(g.Division, now, until, share, c, units)
	case d.Isolated:
		d.Admitted, d.RetryAfter = s.admitByShare(now, until, share, units)
	case g.updatedAt == 0:
		d.Admitted = s.use.Ran <= startupShareFactor*share*now.Sub(g.startedAt).Seconds()
	default:
		d.Admitted, d.RetryAfter = s.admitByRatio(ratio, credit)
	}
	if d.Admitted {
		s.use.Ran += units
		return d
	}
	g.refused++
	d.RetryAfter = jitter.Delay(min(max(d.RetryAfter, minRetryAfter), maxRetryAfter), retrySpread, g.refused)
	return d
}

// Credit subtracts the units of an admitted request that was not executed.
func (g *Gate) Credit(workspace string, units float64) { g.state(workspace).use.Ran -= units }

// trustedUntil returns until when a workspace's latest update is used. After that, this
// instance must enforce its own share of the limit. An instance that has just started
// and has received no update assumes that all instances are starting.
func (g *Gate) trustedUntil(s *state) clock.Millis {
	switch {
	case g.updatedAt == 0:
		return g.startedAt.Add(startupGrace)
	case s.nearLimit:
		return g.updatedAt.Add(nearLimitTimeout)
	default:
		return g.updatedAt.Add(ledgerTimeout)
	}
}

// ratioOf returns the fraction of the requests of a class to admit, and the credit that
// counts them. Classes without a ratio of their own share one.
func (s *state) ratioOf(class allotment.Class, c *classState) (ratio float64, credit *float64) {
	if ratio, ok := s.ratios[class]; ok && c != nil {
		return ratio, &c.credit
	}
	return s.admitRatio, &s.credit
}

// admitByRatio admits the fraction of requests given by the latest update. It counts
// requests and not units, so that large ones of a class are not refused more often.
func (s *state) admitByRatio(ratio float64, credit *float64) (bool, time.Duration) {
	s.savedAt, s.savedShare = 0, 0
	*credit = min(*credit+ratio, 1+ratio)
	if ratio >= 1 || *credit >= 1 {
		*credit = max(*credit-1, 0)
		return true, 0
	}
	return false, retryAfter(ratio)
}

// retryAfter returns how long the requests refused in a second take to execute at the
// admitted rate.
func retryAfter(ratio float64) time.Duration {
	if ratio <= 0 {
		return maxRetryAfter
	}
	return time.Duration((1/ratio - 1) * float64(time.Second))
}

// admitByShare admits a request if the instance has accumulated enough of its share of
// the limit since it became isolated. It starts with nothing, because the other
// instances do not know what it used before.
func (s *state) admitByShare(now, since clock.Millis, perSecond, units float64) (bool, time.Duration) {
	s.save(now, since, perSecond, units)
	return s.spend(perSecond, units)
}

// save accumulates the instance's share, for a few seconds or up to a number of units.
func (s *state) save(now, since clock.Millis, perSecond, units float64) {
	if s.savedAt == 0 {
		s.savedAt = since
	}
	s.savedShare = min(s.savedShare+perSecond*now.Sub(s.savedAt).Seconds(), max(perSecond*maxSavingTime.Seconds(), units))
	s.savedAt = now
}

// spend takes units from what was saved, if it is enough.
func (s *state) spend(perSecond, units float64) (bool, time.Duration) {
	if s.savedShare >= units {
		s.savedShare -= units
		return true, 0
	}
	return false, time.Duration((units - s.savedShare) / max(perSecond, 1) * float64(time.Second))
}

// Report returns the use of the workspaces for which it has changed since the last
// report, or of all workspaces with any use if all is set.
func (g *Gate) Report(all bool) []quota.Use {
	var uses []quota.Use
	for _, s := range g.workspaces {
		anyUse := s.use.Requested != 0 || s.use.Ran != 0
		if all && anyUse || s.use.Requested != s.reported.Requested || s.use.Ran != s.reported.Ran {
			s.reported = s.use
			use := s.use
			use.Classes = s.classUses()
			uses = append(uses, use)
		}
	}
	return uses
}

// Retain forgets the classes of workspaces that have no limit any more. It keeps the two
// sums of their use, which must not decrease while the instance runs.
func (g *Gate) Retain(limits map[string]quota.Limit) {
	for name, s := range g.workspaces {
		if _, ok := limits[name]; !ok {
			s.classes, s.ratios = nil, nil
		}
	}
}

// Update applies an update of a ledger. Workspaces that it omits are not limited.
func (g *Gate) Update(now clock.Millis, statuses []quota.Status) {
	g.updatedAt = now
	for _, s := range g.workspaces {
		s.admitRatio, s.used, s.nearLimit, s.ratios, s.cutOff = 1, 0, false, nil, quota.ClassRatio{}
	}
	for _, status := range statuses {
		s := g.state(status.Workspace)
		s.admitRatio, s.used, s.nearLimit = status.AdmitRatio, status.Used, true
		if len(status.Classes) > 0 {
			s.ratios = make(map[allotment.Class]float64, len(status.Classes))
		}
		for _, c := range status.Classes {
			s.ratios[c.Class] = c.AdmitRatio
			if c.AdmitRatio < 1 && c.AdmitRatio >= s.cutOff.AdmitRatio {
				s.cutOff = c
			}
		}
	}
}

// NearLimit reports whether some workspace was near its limit in the latest update, so
// that reports should be frequent.
func (g *Gate) NearLimit() bool {
	for _, s := range g.workspaces {
		if s.nearLimit {
			return true
		}
	}
	return false
}
