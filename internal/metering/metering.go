// Package metering enforces limits of accounts across all instances. The accounts are
// workspaces, or whatever else is limited by units a second. It admits this instance's
// requests and reports them to the ledgers of its zone. If it runs one of these
// ledgers, it also exchanges sums with other zones and sends the zone's instances the
// statuses by which they admit requests. Without limits it sends nothing.
//
// Each kind of account has a Meter of its own, with its own topics. Packages quota and
// admission call an account a workspace.
package metering

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/admission"
	"github.com/trailshed/trailshed/internal/allotment"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/quota"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Topics of messages between instances, after the meter's own prefix.
const (
	topicReport = ".report"
	topicSums   = ".sums"
	topicStatus = ".words"
)

const (
	// tickInterval is how often an instance checks what to send.
	tickInterval = 100 * time.Millisecond
	// idleInterval is the same while no account has a limit.
	idleInterval = 400 * time.Millisecond
	// reportInterval is how often an instance reports what has changed. While some
	// account is near its limit it reports at each tick. At 78 instances, 375
	// requests a second are about five reports a second each.
	reportInterval = 200 * time.Millisecond
	// fullReportInterval is how often instances report everything and ledgers send
	// statuses even if nothing has changed: a longer silence means that the sender is
	// unreachable.
	fullReportInterval = 400 * time.Millisecond
	// sumsInterval is how often zones exchange sums. While some account is near its
	// limit they do so at each tick.
	sumsInterval = 200 * time.Millisecond
	// ledgersPerZone is how many instances of a zone run a ledger. If one dies, the
	// other knows what was used.
	ledgersPerZone = 2
	// standbyTimeout is how long the second ledger waits after the last status from the
	// first before it sends statuses and sums itself.
	standbyTimeout = 600 * time.Millisecond
)

// statusMessage is what a ledger sends to its zone's instances: the status of each
// account near its limit.
type statusMessage struct {
	Statuses []quota.Status `cbor:"1,keyasint"`
}

// reporter is an instance that sends reports to this one.
type reporter struct {
	address     netip.AddrPort
	incarnation uint64
	reportedAt  clock.Millis
}

// reporterExpiry is how long after its last report an instance is sent statuses.
const reporterExpiry = 2 * time.Second

// Options configure a Meter.
type Options struct {
	Name, Zone string
	Transport  *peer.Transport
	Roster     *roster.Roster
	Scope      tally.Scope
	Now        func() clock.Millis
	// Topic is the prefix of this meter's topics, such as "limits".
	Topic string
	// Role is the role in the roster of running this meter's ledgers, such as "ledger".
	Role string
	// Limits returns the limits of all accounts that have one, by account. It is called at
	// each step, by one goroutine at a time. The result is not changed.
	Limits func() map[string]quota.Limit
	// Window is the time span over which limits are evaluated.
	Window time.Duration
	// Division says how a limit is divided among the classes of an account's requests.
	Division quota.Division
	// AdmitIsolated makes the meter admit all requests while it receives no statuses,
	// instead of this instance's share of the limit.
	AdmitIsolated bool
	// Changed is called on a ledger's instance when an account starts or stops being held
	// back, with the units it used within a window. It may be nil and must not call the
	// meter.
	Changed func(account string, heldBack bool, used float64)
}

// Meter enforces the limits on one instance. It is safe for concurrent use.
type Meter struct {
	Options
	incarnation      uint64
	startedAt        clock.Millis
	mu               sync.Mutex
	hasLedger        bool // this instance runs a ledger that has evaluated the limits
	gate             *admission.Gate
	ledger           *quota.Ledger
	reportedAt       clock.Millis
	statusSentAt     clock.Millis
	sumsSentAt       clock.Millis
	statusReceivedAt clock.Millis // from another ledger of the zone
	// reporters are sent statuses. They include instances whose entry in the store has
	// lapsed, for example because the store rejects them, and which are therefore in no
	// roster.
	reporters map[string]reporter
	throttled map[string]float64 // accounts that were held back at the last step
}

// New returns a meter that is not running yet.
func New(o Options) *Meter {
	startedAt, incarnation := o.Now(), rand.Uint64()
	m := &Meter{
		Options: o, incarnation: incarnation, startedAt: startedAt,
		gate: admission.New(startedAt), ledger: quota.NewLedger(o.Zone, incarnation, o.Window), reporters: map[string]reporter{}, throttled: map[string]float64{},
	}
	m.gate.Division, m.gate.AdmitIsolated = o.Division, o.AdmitIsolated
	m.ledger.Division = o.Division
	return m
}

// Register adds the handlers for messages from other instances.
func (m *Meter) Register(r *message.Router) {
	peer.Handle(r, m.Transport, m.Topic+topicReport, func(from peer.Sender, v quota.Report) {
		if status, first := m.addReport(from, v); first {
			m.send(from.Address, m.Topic+topicStatus, status)
		}
	})
	peer.Handle(r, m.Transport, m.Topic+topicSums, func(_ peer.Sender, v quota.Sums) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.ledger.AddSums(m.Now(), v)
	})
	peer.Handle(r, m.Transport, m.Topic+topicStatus, func(_ peer.Sender, v statusMessage) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.statusReceivedAt = m.Now()
		m.applyStatus(v)
	})
}

// addReport adds an instance's report. For the first report of an instance it returns
// the statuses to send at once: the instance has just started, and admits all requests
// until it receives them.
func (m *Meter) addReport(from peer.Sender, r quota.Report) (status statusMessage, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	m.ledger.AddReport(now, r)
	before := m.reporters[r.Instance]
	m.reporters[r.Instance] = reporter{address: from.Address, incarnation: r.Incarnation, reportedAt: now}
	return statusMessage{Statuses: m.ledger.Statuses()}, m.hasLedger && before.incarnation != r.Incarnation
}

// Admit counts a request of so many units to an account, unless it exceeds the limit.
// Requests of a class are admitted alike.
func (m *Meter) Admit(account string, l quota.Limit, c allotment.Class, units float64) admission.Decision {
	instances := m.Roster.MaxSize()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gate.Admit(m.Now(), account, l, c, units, instances)
}

// Credit reverts what Admit counted for a request that did not run.
func (m *Meter) Credit(account string, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gate.Credit(account, units)
}

// Run enforces the limits until ctx ends.
func (m *Meter) Run(ctx context.Context) { ticker.New(tickInterval, idleInterval).Run(ctx, m.tick) }

// tick returns true while there are limits.
func (m *Meter) tick() (busy bool) {
	limits := m.Limits()
	m.retain(limits)
	if len(limits) > 0 {
		m.step(limits)
	}
	return len(limits) > 0
}

// retain forgets what belongs to accounts without a limit.
func (m *Meter) retain(limits map[string]quota.Limit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gate.Retain(limits)
}

func (m *Meter) step(limits map[string]quota.Limit) {
	ranked := m.Roster.Ranked(m.Zone, m.Role)
	rank := slices.IndexFunc(ranked, func(i roster.Instance) bool { return i.Name == m.Name })
	now := m.Now()
	m.report(now, ranked[:min(len(ranked), ledgersPerZone)])
	if rank >= 0 && rank < ledgersPerZone { // an instance in no roster runs no ledger
		m.runLedger(now, limits, ranked, rank)
		return
	}
	m.mu.Lock()
	m.hasLedger = false
	m.mu.Unlock()
}

// report sends the zone's ledgers what was requested here and what ran.
func (m *Meter) report(now clock.Millis, to []roster.Instance) {
	m.mu.Lock()
	elapsed := now.Sub(m.reportedAt)
	if elapsed < reportInterval && !m.gate.NearLimit() {
		m.mu.Unlock()
		return
	}
	full := elapsed >= fullReportInterval
	r := quota.Report{Instance: m.Name, Incarnation: m.incarnation, Age: now.Sub(m.startedAt), Uses: m.gate.Report(full)}
	if len(r.Uses) == 0 && !full {
		m.mu.Unlock()
		return
	}
	m.reportedAt = now
	m.mu.Unlock()
	for _, i := range to {
		if i.Name != m.Name {
			m.send(i.Address, m.Topic+topicReport, r)
			continue
		}
		m.mu.Lock()
		m.ledger.AddReport(now, r)
		m.mu.Unlock()
	}
}

// runLedger evaluates the accounts and sends the results. The second ledger sends
// them only while the first is silent.
func (m *Meter) runLedger(now clock.Millis, limits map[string]quota.Limit, zone []roster.Instance, rank int) {
	all := m.Roster.All()
	m.mu.Lock()
	m.ledger.Step(now, limits, m.membership(all, zone))
	m.hasLedger = true
	m.reportChanges()
	active := rank == 0 || now.Sub(m.statusReceivedAt) > standbyTimeout
	status, statusDue := m.nextStatus(now)
	sumsDue := active && (m.ledger.NearLimit() || now.Sub(m.sumsSentAt) >= sumsInterval)
	var sums quota.Sums
	if sumsDue {
		m.sumsSentAt = now
		sums = m.ledger.Sums(now)
	}
	var recipients []netip.AddrPort
	if active && statusDue {
		m.applyStatus(status)
		recipients = m.statusRecipients(now)
	}
	m.mu.Unlock()
	for _, to := range recipients {
		m.send(to, m.Topic+topicStatus, status)
	}
	if sumsDue {
		for _, i := range m.Roster.FirstOfOtherZones(m.Zone, m.Role, ledgersPerZone) {
			m.send(i.Address, m.Topic+topicSums, sums)
		}
	}
}

// statusRecipients returns the instances that reported recently.
func (m *Meter) statusRecipients(now clock.Millis) []netip.AddrPort {
	var list []netip.AddrPort
	for name, r := range m.reporters {
		if now.Sub(r.reportedAt) > reporterExpiry {
			delete(m.reporters, name)
			continue
		}
		list = append(list, r.address)
	}
	return list
}

// nextStatus returns the statuses to send now, if they are due.
func (m *Meter) nextStatus(now clock.Millis) (status statusMessage, due bool) {
	near := m.ledger.NearLimit()
	if !near && now.Sub(m.statusSentAt) < fullReportInterval {
		return statusMessage{}, false
	}
	m.statusSentAt = now
	return statusMessage{Statuses: m.ledger.Statuses()}, true
}

func (m *Meter) membership(all, zone []roster.Instance) quota.Membership {
	p := quota.Membership{Zones: map[string]bool{}, Instances: map[string]bool{}, Total: m.Roster.MaxSize()}
	for _, i := range all {
		p.Zones[i.Zone] = true
	}
	for _, i := range zone {
		p.Instances[i.Name] = true
	}
	return p
}

// applyStatus passes statuses to the gate.
func (m *Meter) applyStatus(status statusMessage) { m.gate.Update(m.Now(), status.Statuses) }

// reportChanges reports the accounts that start or stop being held back.
func (m *Meter) reportChanges() {
	throttled := m.ledger.Throttled()
	if m.Changed != nil {
		for name, used := range throttled {
			if _, was := m.throttled[name]; !was {
				m.Changed(name, true, used)
			}
		}
		for name := range m.throttled {
			if _, is := throttled[name]; !is {
				m.Changed(name, false, 0)
			}
		}
	}
	m.throttled = throttled
}

func (m *Meter) send(to netip.AddrPort, topic string, v any) {
	if err := peer.Send(m.Transport, to, topic, v); err != nil {
		m.Scope.Counter("metering_send_failed").Inc(1)
	}
}
