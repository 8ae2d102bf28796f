// Package sharing divides what a plain service can serve among workspaces, without a
// coordinator and without a message per request.
//
// Each instance reports the arrivals of each workspace and what answers state about the
// endpoints. Some instances of each zone run a Ledger, which sums the zone's reports,
// exchanges sums with the ledgers of other zones and divides the capacity: more urgent
// requests first, then max-min by the workspaces' weights. A workspace that asks for no
// more than its share is admitted in full, and what it leaves is the others'.
//
// Unlike limits (package quota), shares protect callers from each other and bind no one
// while a service has room: nothing is reserved for instances that are silent, and an
// instance without a recent status admits all requests.
//
// Decisions are pure: the caller passes the time.
package sharing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/allotment"
	"github.com/trailshed/trailshed/internal/capacity"
	"github.com/trailshed/trailshed/internal/demand"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// contendedRatio is the fraction of its capacity from which on a service counts as
	// contended, and reports and statuses are sent often.
	contendedRatio = 2.0 / 3
	// unsureRatio is how many times the estimated capacity a demand must exceed before
	// refusals begin while endpoints have no queue, as the estimate may be too low.
	unsureRatio = 1.25
	// pressedRatio is the fraction of its estimated capacity from which on a service can
	// show that it serves more.
	pressedRatio = 0.8
	// zoneTimeout is how long another zone's sums are used.
	zoneTimeout = 1500 * time.Millisecond
	// memberTimeout is how long after its last report an instance is remembered.
	memberTimeout = 10 * time.Second
	// idleInterval and busyInterval are how often a ledger sends its sums, and its statuses
	// while a service is contended.
	idleInterval = 500 * time.Millisecond
	busyInterval = 200 * time.Millisecond
	// maxGap is the longest time between two reports whose arrivals count in full.
	// Arrivals of a longer time did not happen at once.
	maxGap = time.Second
	// maxRates bounds the classes of a service in a message.
	maxRates = 64
	// minRate is the rate in requests a second below which a class is forgotten.
	minRate = 0.01
)

// Service is what a ledger has to know about a service.
type Service struct {
	Slots  int           // of its ready endpoints
	Target time.Duration // time in which callers expect an answer
}

// Ledger sums the reports of one zone. It is not safe for concurrent use.
type Ledger struct {
	zone        string
	incarnation uint64
	members     map[string]*member
	zones       map[string]*zoneSums
	services    map[string]*service
	sentAt      clock.Millis
	sentUrgency int // when it last sent
}

// member is an instance that sends reports.
type member struct {
	incarnation uint64
	reportedAt  clock.Millis
	arrivals    map[string]map[Class]float64 // by service
	answers     map[string]capacity.Answers  // by service
}

// zoneSums are the last sums of another zone.
type zoneSums struct {
	incarnation uint64
	receivedAt  clock.Millis
	sums        map[string]Sum // by service
}

// service is a ledger's state of one service.
type service struct {
	demand    map[Class]*demand.Demand // in this zone
	answers   capacity.Answers         // in this zone
	estimator *capacity.Estimator
	capacity  float64 // 0: unknown
	total     float64 // demand of all zones
	contended bool
	rising    bool // demand of this zone rises fast
	cuts      []Cut
}

// NewLedger returns an empty ledger of a zone. incarnation distinguishes it from the zone's
// other ledgers.
func NewLedger(zone string, incarnation uint64) *Ledger {
	return &Ledger{
		zone: zone, incarnation: incarnation,
		members: map[string]*member{}, zones: map[string]*zoneSums{}, services: map[string]*service{},
	}
}

func (l *Ledger) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{demand: map[Class]*demand.Demand{}, estimator: capacity.New()}
		l.services[name] = s
	}
	return s
}

// AddReport adds an instance's report. The first one of an instance only sets the values
// from which later ones are counted.
func (l *Ledger) AddReport(now clock.Millis, r Report) {
	m := l.members[r.Instance]
	if m == nil || m.incarnation != r.Incarnation {
		if r.Full {
			l.members[r.Instance] = newMember(now, r)
		}
		return
	}
	fraction := 1.0
	if gap := now.Sub(m.reportedAt); gap > maxGap {
		fraction = maxGap.Seconds() / gap.Seconds()
	}
	m.reportedAt = now
	for _, u := range r.Uses {
		s, before := l.service(u.Service), m.service(u.Service)
		for _, a := range u.Arrivals {
			if a.Count <= before[a.Class] {
				continue // overtaken by a later report
			}
			if s.demand[a.Class] == nil {
				s.demand[a.Class] = newDemand()
			}
			s.demand[a.Class].Add(now, (a.Count-before[a.Class])*fraction)
			before[a.Class] = a.Count
		}
		added := u.Answers.Minus(m.answers[u.Service])
		if added.Count > 0 {
			m.answers[u.Service] = u.Answers
			s.answers = s.answers.Plus(added)
			s.estimator.Add(now, added)
		}
	}
}

func newMember(now clock.Millis, r Report) *member {
	m := &member{incarnation: r.Incarnation, reportedAt: now, arrivals: map[string]map[Class]float64{}, answers: map[string]capacity.Answers{}}
	for _, u := range r.Uses {
		m.answers[u.Service] = u.Answers
		for _, a := range u.Arrivals {
			m.service(u.Service)[a.Class] = a.Count
		}
	}
	return m
}

func (m *member) service(name string) map[Class]float64 {
	if m.arrivals[name] == nil {
		m.arrivals[name] = map[Class]float64{}
	}
	return m.arrivals[name]
}

// AddSums adds another zone's sums.
func (l *Ledger) AddSums(now clock.Millis, s Sums) {
	z := &zoneSums{incarnation: s.Incarnation, receivedAt: now, sums: make(map[string]Sum, len(s.Sums))}
	before := l.zones[s.Zone]
	for _, sum := range s.Sums {
		z.sums[sum.Service] = sum
		if before != nil && before.incarnation == s.Incarnation {
			l.service(sum.Service).estimator.Add(now, sum.Answers.Minus(before.sums[sum.Service].Answers))
		}
	}
	l.zones[s.Zone] = z
}

// Sums returns this zone's sums for the ledgers of other zones.
func (l *Ledger) Sums(now clock.Millis) Sums {
	s := Sums{Zone: l.zone, Incarnation: l.incarnation}
	for name, v := range l.services {
		sum := Sum{Service: name, Answers: v.answers}
		for c, d := range v.demand {
			sum.Rates = append(sum.Rates, Rate{c, d.Now(now)})
		}
		slices.SortFunc(sum.Rates, func(a, b Rate) int { return cmp.Compare(b.PerSecond, a.PerSecond) })
		for _, r := range sum.Rates[min(len(sum.Rates), maxRates):] {
			sum.Rest += r.PerSecond
		}
		sum.Rates = sum.Rates[:min(len(sum.Rates), maxRates)]
		s.Sums = append(s.Sums, sum)
	}
	return s
}

// Step advances the time and divides the capacity of each service. All services that are
// not listed are forgotten. weight returns the weight of a workspace.
func (l *Ledger) Step(now clock.Millis, services map[string]Service, weight func(workspace string) float64) {
	maps.DeleteFunc(l.members, func(_ string, m *member) bool { return now.Sub(m.reportedAt) > memberTimeout })
	maps.DeleteFunc(l.zones, func(_ string, z *zoneSums) bool { return now.Sub(z.receivedAt) > zoneTimeout })
	maps.DeleteFunc(l.services, func(name string, _ *service) bool { return services[name] == Service{} })
	for name, s := range l.services {
		l.divide(now, name, s, services[name], weight)
	}
}

func (l *Ledger) divide(now clock.Millis, name string, s *service, have Service, weight func(string) float64) {
	s.capacity = s.estimator.Step(now, have.Slots, have.Target, s.total > pressedRatio*s.capacity)
	rates, rest := l.rates(now, name, s)
	s.total, s.rising = rest, s.isRising(now)
	for _, r := range rates {
		s.total += r.PerSecond
	}
	s.contended = s.capacity > 0 && s.total > contendedRatio*s.capacity
	before := s.cuts
	s.cuts = nil
	enough := s.capacity
	if len(before) == 0 && s.estimator.HasRoom(have.Target) {
		enough *= unsureRatio
	}
	if !s.contended || s.total <= enough {
		return
	}
	s.cuts = cuts(max(s.capacity-rest, 0), rates, before, weight)
}

// isRising reports whether the demand of this zone rises fast.
func (s *service) isRising(now clock.Millis) bool {
	fast, slow := 0.0, 0.0
	for _, d := range s.demand {
		f, s := d.Averages(now)
		fast, slow = fast+f, slow+s
	}
	return fast > demand.RiseRatio*slow
}

// rates returns the demand of all zones by class, the most urgent first, and the total
// demand whose class is unknown.
func (l *Ledger) rates(now clock.Millis, name string, s *service) (rates []Rate, rest float64) {
	sum := map[Class]float64{}
	for c, d := range s.demand {
		v := d.Now(now)
		if v < minRate {
			delete(s.demand, c)
			continue
		}
		sum[c] = v
	}
	for _, z := range l.zones {
		rest += z.sums[name].Rest
		for _, r := range z.sums[name].Rates {
			sum[r.Class] += r.PerSecond
		}
	}
	for c, v := range sum {
		rates = append(rates, Rate{c, v})
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Workspace, b.Workspace))
	})
	return rates, rest
}

// cuts divides the allowed rate among classes in order of priority, and within a priority
// by weight. An excess that may be due to random arrivals does not begin a cut.
func cuts(allowed float64, rates []Rate, before []Cut, weight func(string) float64) []Cut {
	var list []Cut
	for len(rates) > 0 {
		n := 1
		for n < len(rates) && rates[n].Priority == rates[0].Priority {
			n++
		}
		demands := make([]allotment.Demand, n)
		for i, r := range rates[:n] {
			demands[i] = allotment.Demand{Rate: r.PerSecond, Weight: weight(r.Workspace)}
		}
		left := allowed
		for i, ratio := range allotment.MaxMin(allowed, demands) {
			r := rates[i]
			share := ratio * r.PerSecond
			left -= share
			if ratio < 1 && (r.PerSecond > share+noise(share) || isCut(before, r.Class)) {
				list = append(list, Cut{Class: r.Class, AdmitRatio: ratio, Share: share})
			}
		}
		allowed, rates = max(left, 0), rates[n:]
	}
	return list
}

func isCut(cuts []Cut, c Class) bool {
	return slices.ContainsFunc(cuts, func(k Cut) bool { return k.Class == c })
}

// SendDue reports whether sums and statuses are due, and assumes that they are then sent.
// They are due at once when demand begins to rise and when requests are first held back.
func (l *Ledger) SendDue(now clock.Millis) bool {
	interval, urgency := idleInterval, 0
	for _, s := range l.services {
		switch {
		case len(s.cuts) > 0:
			urgency = max(urgency, urgentCuts)
		case s.rising:
			urgency = max(urgency, urgentRise)
		}
		if s.contended || s.rising {
			interval = busyInterval
		}
	}
	if now.Sub(l.sentAt) < interval && urgency <= l.sentUrgency {
		return false
	}
	l.sentAt, l.sentUrgency = now, urgency
	return true
}

// Reasons to send at once, the higher ones in addition to the lower ones.
const (
	urgentRise = iota + 1
	urgentCuts
)

// Keep drops what is known of workspaces for which exists returns false. Requests without a
// workspace are always kept.
func (l *Ledger) Keep(exists func(workspace string) bool) {
	removed := func(c Class) bool { return c.Workspace != "" && !exists(c.Workspace) }
	for _, s := range l.services {
		maps.DeleteFunc(s.demand, func(c Class, _ *demand.Demand) bool { return removed(c) })
	}
	for _, m := range l.members {
		for _, arrivals := range m.arrivals {
			maps.DeleteFunc(arrivals, func(c Class, _ float64) bool { return removed(c) })
		}
	}
}

// Statuses returns the statuses of all contended services.
func (l *Ledger) Statuses() []Status {
	var list []Status
	for name, s := range l.services {
		if s.contended {
			list = append(list, Status{Service: name, Capacity: s.capacity, Demand: s.total, Cuts: s.cuts})
		}
	}
	return list
}

// Totals returns the state of each service, contended or not. A capacity that is unknown
// is 0.
func (l *Ledger) Totals() map[string]Status {
	totals := make(map[string]Status, len(l.services))
	for name, s := range l.services {
		totals[name] = Status{Service: name, Capacity: s.capacity, Demand: s.total, Cuts: s.cuts}
	}
	return totals
}
