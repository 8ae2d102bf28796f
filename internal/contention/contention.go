// Package contention makes workspaces share plain services that have too little room for
// all. It admits this instance's requests and reports them to the ledgers of its zone. If it
// runs one of these ledgers, it also exchanges sums with other zones and sends statuses to
// the zone's instances. With fewer than two workspaces it does nothing.
package contention

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/sharegate"
	"github.com/trailshed/trailshed/internal/sharing"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Topics of messages between instances.
const (
	topicReport = "shares.report"
	topicSums   = "shares.sums"
	topicStatus = "shares.status"
)

// roleLedger is the role of running a zone's ledger of shares.
const roleLedger = "shares"

const (
	// tickInterval is how often an instance checks what to send.
	tickInterval = 100 * time.Millisecond
	// idleInterval is the same while nothing is shared.
	idleInterval = 400 * time.Millisecond
	// ledgersPerZone is how many instances of a zone run a ledger. If one dies, the other
	// knows what was demanded.
	ledgersPerZone = 2
	// standbyTimeout is how long the second ledger waits after the last status from the
	// first, which is sent every 500 ms, before it sends statuses and sums itself.
	standbyTimeout = 1200 * time.Millisecond
	// reporterExpiry is how long after its last report an instance is sent statuses.
	reporterExpiry = 2 * time.Second
)

// statusMessage is what a ledger sends to its zone's instances: the status of each contended
// service.
type statusMessage struct {
	Statuses []sharing.Status `cbor:"1,keyasint,omitempty"`
}

// reporter is an instance that sends reports to this one.
type reporter struct {
	address    netip.AddrPort
	reportedAt clock.Millis
}

// Options configure a Runner.
type Options struct {
	Name, Zone string
	Transport  *peer.Transport
	Roster     *roster.Roster
	Directory  *directory.Directory
	Log        *eventlog.Log
	Scope      tally.Scope
	Now        func() clock.Millis
}

// Runner shares services on one instance. It is safe for concurrent use.
type Runner struct {
	Options
	incarnation uint64

	mu               sync.Mutex
	plan             *plan // of the latest configuration
	gate             *sharegate.Gate
	ledger           *sharing.Ledger
	reportedTo       string // names of the ledgers that received the last report
	statusReceivedAt clock.Millis
	reporters        map[string]reporter
	shared           map[string]bool // services from which requests were held back at the last step
}

// New returns a runner that is not running yet.
func New(o Options) *Runner {
	incarnation := rand.Uint64()
	return &Runner{
		Options: o, incarnation: incarnation, plan: newPlan(nil), gate: sharegate.New(),
		ledger: sharing.NewLedger(o.Zone, incarnation), reporters: map[string]reporter{}, shared: map[string]bool{},
	}
}

// Register adds the handlers for messages from other instances.
func (r *Runner) Register(router *message.Router) {
	peer.Handle(router, r.Transport, topicReport, func(from peer.Sender, v sharing.Report) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ledger.AddReport(r.Now(), v)
		r.reporters[v.Instance] = reporter{address: from.Address, reportedAt: r.Now()}
	})
	peer.Handle(router, r.Transport, topicSums, func(_ peer.Sender, v sharing.Sums) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ledger.AddSums(r.Now(), v)
	})
	peer.Handle(router, r.Transport, topicStatus, func(_ peer.Sender, v statusMessage) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.statusReceivedAt = r.Now()
		r.gate.Update(r.Now(), v.Statuses)
	})
}

// Admit counts the arrival of a request and decides whether it may go to the service.
// Requests to services that are not shared are always admitted.
func (r *Runner) Admit(service, workspace string, priority int) sharegate.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.plan.shares(service) {
		return sharegate.Decision{Admitted: true, AdmitRatio: 1}
	}
	return r.gate.Admit(r.Now(), service, sharing.Class{Priority: priority, Workspace: workspace})
}

// Queued returns the endpoints of a service that requests of a workspace beyond its share
// must not use for now.
func (r *Runner) Queued(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.plan.shares(service) {
		return nil
	}
	return r.gate.Queued(r.Now(), service)
}

// RecordAnswer counts an answer of a service's endpoint that stated its load.
func (r *Runner) RecordAnswer(service, endpoint string, l balance.Load, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plan.shares(service) {
		r.gate.RecordAnswer(r.Now(), service, endpoint, l, took, r.plan.targets[service])
	}
}

// Run shares services until ctx ends.
func (r *Runner) Run(ctx context.Context) { ticker.New(tickInterval, idleInterval).Run(ctx, r.tick) }

// tick returns true while services are shared.
func (r *Runner) tick() (busy bool) {
	view := r.Directory.View()
	if !r.adopt(view.Table) {
		return false
	}
	ranked := r.Roster.Ranked(r.Zone, roleLedger)
	ranked = ranked[:min(len(ranked), ledgersPerZone)]
	r.report(ranked)
	rank := slices.IndexFunc(ranked, func(i roster.Instance) bool { return i.Name == r.Name })
	if rank >= 0 {
		r.runLedger(view, ranked, rank)
	}
	return true
}

// adopt makes a configuration the current one, drops the state of services and workspaces
// that it does not have, and returns whether any service is shared.
func (r *Runner) adopt(t *route.Table) (shared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plan.table != t {
		r.plan = newPlan(t)
		r.gate.Keep(r.plan.shares, r.plan.hasWorkspace)
		r.ledger.Keep(r.plan.hasWorkspace)
	}
	return len(r.plan.targets) > 0
}

// report sends the zone's ledgers what arrived here and what answers stated.
func (r *Runner) report(to []roster.Instance) {
	names := make([]string, len(to))
	for n, i := range to {
		names[n] = i.Name
	}
	recipients := strings.Join(names, " ")
	r.mu.Lock()
	now := r.Now()
	uses, full, due := r.gate.Report(now, recipients != r.reportedTo)
	if !due {
		r.mu.Unlock()
		return
	}
	r.reportedTo = recipients
	report := sharing.Report{Instance: r.Name, Incarnation: r.incarnation, Full: full, Uses: uses}
	if slices.Contains(names, r.Name) {
		r.ledger.AddReport(now, report)
	}
	r.mu.Unlock()
	for _, i := range to {
		if i.Name != r.Name {
			r.send(i.Address, topicReport, report)
		}
	}
}

// runLedger divides the services and sends the results. The second ledger sends them only
// while the first is silent.
func (r *Runner) runLedger(view *directory.View, ledgers []roster.Instance, rank int) {
	r.mu.Lock()
	now := r.Now()
	r.ledger.Step(now, r.plan.services(view), r.plan.weight)
	r.observe()
	active := rank == 0 || now.Sub(r.statusReceivedAt) > standbyTimeout
	if !active || !r.ledger.SendDue(now) {
		r.mu.Unlock()
		return
	}
	status, sums := statusMessage{Statuses: r.ledger.Statuses()}, r.ledger.Sums(now)
	r.gate.Update(now, status.Statuses)
	recipients := r.statusRecipients(now, ledgers, len(status.Statuses) > 0)
	r.mu.Unlock()
	for _, to := range recipients {
		r.send(to, topicStatus, status)
	}
	for _, i := range r.Roster.FirstOfOtherZones(r.Zone, roleLedger, ledgersPerZone) {
		r.send(i.Address, topicSums, sums)
	}
}

// statusRecipients returns the instances that reported recently. While nothing is contended,
// only the other ledger needs to hear that this one is alive.
func (r *Runner) statusRecipients(now clock.Millis, ledgers []roster.Instance, contended bool) []netip.AddrPort {
	var list []netip.AddrPort
	for name, k := range r.reporters {
		if now.Sub(k.reportedAt) > reporterExpiry {
			delete(r.reporters, name)
			continue
		}
		if contended || slices.ContainsFunc(ledgers, func(i roster.Instance) bool { return i.Name == name }) {
			list = append(list, k.address)
		}
	}
	return list
}

// observe updates the gauges, and logs when requests to a service start or stop being held
// back.
func (r *Runner) observe() {
	for name, s := range r.ledger.Totals() {
		scope := r.Scope.Tagged(map[string]string{"service": name})
		scope.Gauge("service_capacity").Update(s.Capacity)
		scope.Gauge("service_demand").Update(s.Demand)
		if shared := len(s.Cuts) > 0; shared != r.shared[name] {
			r.shared[name] = shared
			line := eventlog.Line{Event: eventlog.Believed, Outcome: "service_let_through", Service: name, Count: int64(s.Capacity)}
			if shared {
				line.Outcome, line.Detail = "service_shared", s.String()
			}
			r.Log.Write(line)
		}
	}
}

func (r *Runner) send(to netip.AddrPort, topic string, v any) {
	if err := peer.Send(r.Transport, to, topic, v); err != nil {
		r.Scope.Counter("shares_send_failed").Inc(1)
	}
}
