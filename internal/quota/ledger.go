// Package quota keeps workspaces within limits that apply to all instances together,
// without a coordinator and without a message per request.
//
// Each instance decides on requests at once (see internal/admission) and reports what
// was requested and what ran. Some instances of each zone run a Ledger, which sums the
// zone's reports, exchanges sums with the ledgers of other zones and determines which
// fraction of the requests may be admitted. Far below a limit that is all of them.
// Instances and zones without recent reports count as using their share in full, so
// that those that are cut off can continue with their share and the total stays within
// the limit.
//
// Decisions are pure: the caller passes the time.
package quota

import (
	"time"

	"github.com/trailshed/trailshed/internal/allotment"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// zoneTimeout is how long another zone's last sums are considered current. They
	// arrive every 200 ms.
	zoneTimeout = 600 * time.Millisecond
	// memberTimeout is how long an instance's last report is considered current.
	// Reports arrive at least every 400 ms.
	memberTimeout = 1000 * time.Millisecond
	// reservationTimeout is how long after its last message the share of an instance or
	// zone is reserved although it is in no roster any more. It uses that share if it
	// is cut off from its peers and from the store. If that lasts longer, a limit can
	// be exceeded by the shares that are cut off.
	reservationTimeout = 30 * time.Second
	// spreadFraction is the fraction of a window over which what a workspace has left
	// is spread. With a smaller one, a workspace that sends many times its usual load
	// gets its whole window's allowance at once, at the cost of all others; with a
	// larger one, an ordinary burst is refused although the window has room for it.
	spreadFraction = 0.2
	// classSpreadFraction replaces it, as demand exceeds the limit, for a workspace whose
	// classes are admitted at different ratios, which should be steady.
	classSpreadFraction = 0.5
	// nearLimitRatio is the fraction of its limit from which on a workspace counts as
	// near the limit and its status is sent often. Usual load uses about half.
	nearLimitRatio = 0.7
	// maxHeadroom is the fraction of a limit that is withheld from a workspace whose
	// demand far exceeds the limit. The fraction grows from 0 at minExcessDemand to
	// maxHeadroom at maxExcessDemand, both as multiples of the limit's rate. Demand may
	// double before the sums show it, for example if a burst begins while a third of
	// the fleet is cut off, and instances that have just started admit all requests for
	// half a second.
	maxHeadroom     = 0.13
	minExcessDemand = 1.8
	maxExcessDemand = 2.6
	// recoveryTime is the time over which use beyond a limit is compensated by
	// admitting less. While demand rises, sums lag by a few tenths of a second; because
	// of that a limit may be exceeded by a tenth and a fixed amount.
	recoveryTime = 500 * time.Millisecond
	// evenFraction is the fraction of a limit's rate that is added to each zone's
	// demand when the limit is divided, so that a zone without demand gets a share too.
	evenFraction = 0.05
)

// Ledger sums the reports of one zone. It is not safe for concurrent use.
type Ledger struct {
	// Division must not change after the first step.
	Division Division

	zone         string
	incarnation  uint64
	window       time.Duration
	workspaces   map[string]*workspaceState
	members      map[string]*member
	zones        map[string]*zoneState
	reportsSince clock.Millis // since when reports have arrived without a gap; 0 if none have
	lastReport   clock.Millis
	instances    int     // in all zones
	reserved     float64 // fraction of each limit that is reserved for silent instances of this zone
	lastStep     clock.Millis
}

// workspaceState is a ledger's state for one workspace.
type workspaceState struct {
	limit        Limit
	requested    demand  // in this zone
	ran          rate    // in this zone
	totalRan     float64 // units that ran in this zone
	used         window  // in all zones
	usedInWindow float64
	admitRatio   float64
	classes      map[allotment.Class]*classState // in this zone
	ratios       []ClassRatio                    // empty: all classes are admitted at admitRatio
}

// member is an instance that sends reports.
type member struct {
	incarnation uint64
	reportedAt  clock.Millis
	// unknownUntil is until when a workspace that is reported for the first time may have
	// been used before this ledger received reports, because reports list what has changed.
	unknownUntil clock.Millis
	uses         map[string]Use
}

// NewLedger returns an empty ledger of a zone. incarnation distinguishes it from the
// zone's other ledgers; window is the time span over which limits are evaluated.
func NewLedger(zone string, incarnation uint64, window time.Duration) *Ledger {
	return &Ledger{
		zone: zone, incarnation: incarnation, window: window,
		workspaces: map[string]*workspaceState{}, members: map[string]*member{}, zones: map[string]*zoneState{},
	}
}

// AddReport adds an instance's report.
func (l *Ledger) AddReport(now clock.Millis, r Report) {
	if l.reportsSince == 0 || now.Sub(l.lastReport) > memberTimeout {
		l.reportsSince = now
	}
	l.lastReport = now
	m := l.members[r.Instance]
	if m == nil || m.incarnation != r.Incarnation {
		m = &member{incarnation: r.Incarnation, uses: map[string]Use{}}
		l.members[r.Instance] = m
		if r.Age > now.Sub(l.reportsSince) {
			m.unknownUntil = now.Add(memberTimeout) // by then it has reported everything
		}
	}
	gap := now.Sub(m.reportedAt)
	if m.reportedAt == 0 {
		gap = 0
	}
	m.reportedAt = now
	for _, u := range r.Uses {
		before, known := m.uses[u.Workspace]
		if !known && now <= m.unknownUntil {
			// Other ledgers counted what it used before this one received reports.
			m.uses[u.Workspace] = u
			continue
		}
		if u.Requested < before.Requested {
			continue // overtaken by a later report
		}
		w := l.workspace(u.Workspace)
		w.addUse(now, gap, l.instances, u.Requested-before.Requested, u.Ran-before.Ran)
		w.addClasses(now, gap, before, u)
		m.uses[u.Workspace] = u
	}
}

// addUse adds what was requested from an instance and what of it ran since its previous
// report. After a gap the use is spread over the gap, less the share that was reserved
// for the instance meanwhile. instances is how many divide the limits.
func (w *workspaceState) addUse(now clock.Millis, gap time.Duration, instances int, requested, ran float64) {
	w.totalRan += ran
	if gap <= memberTimeout {
		w.requested.add(now, requested)
		w.ran.add(now, ran)
		w.used.add(now, ran)
		return
	}
	recent := min(smoothingTime.Seconds()/gap.Seconds(), 1)
	w.requested.add(now, requested*recent)
	w.ran.add(now, ran*recent)
	reserved := w.limit.Rate * (gap - memberTimeout).Seconds() / float64(max(instances, 1))
	w.used.addOver(now, gap, max(ran-reserved, 0))
}

// workspace returns the state of a workspace and creates it if needed.
func (l *Ledger) workspace(name string) *workspaceState {
	w := l.workspaces[name]
	if w == nil {
		w = &workspaceState{admitRatio: 1, requested: newDemand(), ran: rate{period: fastSmoothingTime}, used: window{length: l.window}, classes: map[allotment.Class]*classState{}}
		l.workspaces[name] = w
	}
	return w
}

// minRate, in units a second, is the minimum that is added to each zone's demand when a
// limit is divided. It keeps the shares defined for a rate of 0.
const minRate = 0.01

// Membership lists the zones and instances according to the roster.
type Membership struct {
	Zones     map[string]bool
	Instances map[string]bool // of this zone
	Total     int             // in all zones; the largest number seen at once
}

// Step advances the time and evaluates each workspace against its limit.
func (l *Ledger) Step(now clock.Millis, limits map[string]Limit, p Membership) {
	elapsed := min(now.Sub(l.lastStep), l.window)
	if l.lastStep == 0 {
		elapsed = 0
	}
	l.lastStep, l.instances = now, p.Total
	l.trackZones(now, limits, p)
	l.reserved = float64(l.silentMembers(now, p)) / float64(max(p.Total, 1))
	for name := range l.workspaces {
		if _, ok := limits[name]; !ok {
			l.forget(name)
		}
	}
	for name, limit := range limits {
		w := l.workspace(name)
		// A ledger that has received reports for less than a window does not know what
		// ran before, and assumes that the limit was used up.
		if w.limit.Rate == 0 && (l.reportsSince == 0 || now.Sub(l.reportsSince) < l.window) {
			w.assumeUsed(now, limit.allowance(l.window)/l.window.Seconds(), l.window)
		}
		w.limit = limit
		l.evaluate(now, elapsed, name, w)
	}
}

// forget drops the state of a workspace without a limit, except for the sums of its use
// that members report, which go on if it gets a limit again.
func (l *Ledger) forget(name string) {
	delete(l.workspaces, name)
	for _, m := range l.members {
		if u, ok := m.uses[name]; ok {
			u.Classes = nil
			m.uses[name] = u
		}
	}
}

// assumeUsed fills the window as if the time before had been used at a constant rate.
func (w *workspaceState) assumeUsed(now clock.Millis, perSecond float64, length time.Duration) {
	ran := w.used.sum(now)
	w.used = newWindow(now, length, perSecond)
	w.used.add(now, ran)
}

// evaluate determines which fraction of a workspace's requests may be admitted.
func (l *Ledger) evaluate(now clock.Millis, elapsed time.Duration, name string, w *workspaceState) {
	requested, reserved := w.requested.now(now), l.reserved
	for _, z := range l.zones {
		if z.frozenShares != nil {
			reserved += z.frozenShares[name]
			continue
		}
		requested += z.rates[name].Requested
		reserved += z.reserved
	}
	reserved = min(reserved, 1)
	w.used.add(now, reserved*w.limit.Rate*elapsed.Seconds())
	w.usedInWindow = w.used.sum(now)
	demands := l.classDemands(now, name, w)
	allowed := w.allowedRate(l.window, requested, reserved)
	if len(demands) > 1 {
		allowed = w.allowedClassRate(now, l.window, requested, reserved)
	}
	w.admitRatio = 1
	switch {
	case w.limit.Rate <= 0:
		w.admitRatio = 0
	case requested > 0:
		w.admitRatio = min(max(allowed/requested, 0), 1)
	}
	w.divide(l.Division.Policy, demands, allowed, requested)
}

// allowedRate returns the units a second that may be admitted of a workspace. That is the
// limit's rate plus what the window has left, spread over a part of the window. Silent
// instances and zones keep their shares of both; use beyond the limit is compensated by
// the others.
func (w *workspaceState) allowedRate(window time.Duration, requested, reserved float64) float64 {
	left := (1-maxHeadroom*excessOf(requested/w.limit.Rate))*w.limit.allowance(window) - w.usedInWindow
	allowed := (1 - reserved) * w.limit.Rate
	switch {
	case left <= 0:
		return allowed + left/recoveryTime.Seconds()
	case reserved > 0: // silent instances and zones may have used some of it already
		return allowed + (1-reserved)*left/window.Seconds()
	default:
		return allowed + left/(spreadFraction*window.Seconds())
	}
}

// allowedClassRate does the same for a workspace of several classes. As demand exceeds the
// limit, it plans further ahead and counts what will leave the window meanwhile, so that
// the rate does not follow the use of a window ago and the lag of the sums.
func (w *workspaceState) allowedClassRate(now clock.Millis, window time.Duration, requested, reserved float64) float64 {
	excess := excessOf(requested / w.limit.Rate)
	allowance := w.limit.allowance(window)
	left := (1-maxHeadroom*excess)*allowance - w.usedInWindow
	ahead := time.Duration((spreadFraction + (classSpreadFraction-spreadFraction)*excess) * float64(window))
	rate := (1-excess)*w.limit.Rate + excess*w.used.expiring(now, ahead)/ahead.Seconds()
	over := min(allowance-w.usedInWindow, 0) / recoveryTime.Seconds()
	if reserved > 0 && left > 0 {
		return (1-reserved)*(rate+left/window.Seconds()) + over
	}
	return (1-reserved)*rate + left/ahead.Seconds() + over
}

// excessOf returns, from 0 to 1, by how much demand exceeds a limit of which it is
// demandRatio times the rate.
func excessOf(demandRatio float64) float64 {
	return min(max((demandRatio-minExcessDemand)/(maxExcessDemand-minExcessDemand), 0), 1)
}

// silentMembers returns how many of this zone's instances have stopped reporting and
// may be using their share of the limits on their own.
func (l *Ledger) silentMembers(now clock.Millis, p Membership) int {
	n := 0
	for name, m := range l.members {
		switch silence := now.Sub(m.reportedAt); {
		case silence > reservationTimeout && !p.Instances[name]:
			delete(l.members, name)
		case silence > memberTimeout:
			n++
		}
	}
	return n
}

// Statuses returns the statuses of the workspaces near their limits, for admission. All
// other workspaces are admitted in full.
func (l *Ledger) Statuses() []Status {
	var list []Status
	for name, w := range l.workspaces {
		if l.isNearLimit(w) {
			list = append(list, Status{Workspace: name, AdmitRatio: w.admitRatio, Used: w.usedInWindow, Classes: w.ratios})
		}
	}
	return list
}

func (l *Ledger) isNearLimit(w *workspaceState) bool {
	return w.admitRatio < 1 || w.usedInWindow > nearLimitRatio*w.limit.allowance(l.window)
}

// NearLimit reports whether some workspace is near its limit.
func (l *Ledger) NearLimit() bool {
	for _, w := range l.workspaces {
		if l.isNearLimit(w) {
			return true
		}
	}
	return false
}

// Throttled returns the workspaces that are not admitted in full, with what they used
// in a window.
func (l *Ledger) Throttled() map[string]float64 {
	used := map[string]float64{}
	for name, w := range l.workspaces {
		if w.admitRatio < 1 {
			used[name] = w.usedInWindow
		}
	}
	return used
}
