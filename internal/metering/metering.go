// Package metering runs the limits of workspaces: it admits this instance's
// requests, reports to the ledgers of its zone and, if it keeps one of them,
// exchanges sums with other zones and tells the zone's instances what they may
// admit. Where the configuration has no limits it sends nothing.
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
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/quota"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// The topics between instances.
const (
	topicReport = "limits.report"
	topicSums   = "limits.sums"
	topicWords  = "limits.words"
)

// roleLedger is the role of keeping a zone's ledger.
const roleLedger = "ledger"

const (
	// tickEvery is how often an instance looks at what to send.
	tickEvery = 100 * time.Millisecond
	// idleEvery is the same while no workspace has a limit.
	idleEvery = 400 * time.Millisecond
	// reportEvery is how often it reports what has changed; while some workspace
	// is near its limit it does so at each tick. At 78 instances, 375 requests a second
	// are about five reports a second each.
	reportEvery = 200 * time.Millisecond
	// wholeEvery is how often instances report everything and ledgers tell words, also
	// if there is nothing new: silence means that the other is not reached.
	wholeEvery = 400 * time.Millisecond
	// sumsEvery is how often zones exchange sums; while some workspace is near its
	// limit they do so at each tick.
	sumsEvery = 200 * time.Millisecond
	// keepers is how many instances of a zone keep its ledger, so that there is
	// one that knows what was used when the other dies.
	keepers = 2
	// standIn is after how long without a word of the first ledger the second
	// one tells the zone.
	standIn = 600 * time.Millisecond
)

// words is what a ledger tells its zone's instances: of all workspaces that are near
// their limits.
type words struct {
	Words []quota.Word `cbor:"1,keyasint"`
}

// reporter is an instance that reports to this one.
type reporter struct {
	address netip.AddrPort
	life    uint64
	at      clock.Millis
}

// reporterExpiry is how long an instance is told words after its last report.
const reporterExpiry = 2 * time.Second

// Options are what a Meter works with.
type Options struct {
	Name, Zone string
	Transport  *peer.Transport
	Roster     *roster.Roster
	Directory  *directory.Directory
	Log        *eventlog.Log
	Scope      tally.Scope
	Now        func() clock.Millis
	// Window is the span of time over which limits are judged.
	Window time.Duration
}

// Meter is one instance's part. It is safe for concurrent use.
type Meter struct {
	Options
	life  uint64
	began clock.Millis
	// limited are the limits of table; both belong to tick.
	table   *route.Table
	limited map[string]quota.Limit

	mu       sync.Mutex
	keeps    bool // a ledger, by which it has judged
	gate     *admission.Gate
	ledger   *quota.Ledger
	reported clock.Millis
	told     clock.Millis // when words were last told
	summed   clock.Millis
	heardAt  clock.Millis // words of another ledger of the zone
	// reporters are told words: also those whose entry in the store has lapsed, as
	// where it turns them away, and who are in no roster then.
	reporters map[string]reporter
	held      map[string]float64 // workspaces that are held back, as far as a line told
}

// New returns a meter that does not run yet.
func New(o Options) *Meter {
	began, life := o.Now(), rand.Uint64()
	return &Meter{
		Options: o, life: life, began: began,
		gate: admission.New(began), ledger: quota.NewLedger(o.Zone, life, o.Window), reporters: map[string]reporter{}, held: map[string]float64{},
	}
}

// Register adds the handlers of other instances' messages.
func (m *Meter) Register(r *message.Router) {
	peer.Handle(r, m.Transport, topicReport, func(from peer.Sender, v quota.Report) {
		if w, first := m.reportedBy(from, v); first {
			m.send(from.Address, topicWords, w)
		}
	})
	peer.Handle(r, m.Transport, topicSums, func(_ peer.Sender, v quota.Sums) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.ledger.TakeSums(m.Now(), v)
	})
	peer.Handle(r, m.Transport, topicWords, func(_ peer.Sender, v words) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.heardAt = m.Now()
		m.hear(v)
	})
}

// reportedBy takes an instance's report. One that reports for the first time is told
// all words at once: it has begun a moment ago, and admits what comes until then.
func (m *Meter) reportedBy(from peer.Sender, r quota.Report) (w words, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	m.ledger.Take(now, r)
	before := m.reporters[r.Instance]
	m.reporters[r.Instance] = reporter{address: from.Address, life: r.Life, at: now}
	return words{Words: m.ledger.Words()}, m.keeps && before.life != r.Life
}

// Admit counts a request of so many units to a workspace, unless it is over the
// workspace's limit.
func (m *Meter) Admit(w *route.Workspace, units float64) admission.Verdict {
	instances := m.Roster.Most()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gate.Admit(m.Now(), w.Name, limitOf(w), units, instances)
}

// Credit takes back what Admit counted for a request that did not run.
func (m *Meter) Credit(w *route.Workspace, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gate.Credit(w.Name, units)
}

func limitOf(w *route.Workspace) quota.Limit {
	return quota.Limit{Rate: w.Limit.Rate, Burst: w.Limit.Burst}
}

// Run keeps the limits until ctx ends.
func (m *Meter) Run(ctx context.Context) { ticker.New(tickEvery, idleEvery).Run(ctx, m.tick) }

// tick is busy while there are limits.
func (m *Meter) tick() (busy bool) {
	limits := m.limits()
	if len(limits) > 0 {
		m.step(limits)
	}
	return len(limits) > 0
}

func (m *Meter) step(limits map[string]quota.Limit) {
	ranked := m.Roster.Ranked(m.Zone, roleLedger)
	rank := slices.IndexFunc(ranked, func(i roster.Instance) bool { return i.Name == m.Name })
	now := m.Now()
	m.report(now, ranked[:min(len(ranked), keepers)])
	if rank >= 0 && rank < keepers { // who is in no roster keeps none
		m.keep(now, limits, ranked, rank)
		return
	}
	m.mu.Lock()
	m.keeps = false
	m.mu.Unlock()
}

// limits are those of all workspaces that have one, by name. Only tick calls it.
func (m *Meter) limits() map[string]quota.Limit {
	t := m.Directory.View().Table
	if t == m.table {
		return m.limited
	}
	m.table, m.limited = t, map[string]quota.Limit{}
	for _, w := range t.Workspaces() {
		if w.Limit.Bound() {
			m.limited[w.Name] = limitOf(&w)
		}
	}
	return m.limited
}

// report tells the zone's ledgers what was asked here and what ran.
func (m *Meter) report(now clock.Millis, to []roster.Instance) {
	m.mu.Lock()
	past := now.Sub(m.reported)
	if past < reportEvery && !m.gate.Near() {
		m.mu.Unlock()
		return
	}
	whole := past >= wholeEvery
	r := quota.Report{Instance: m.Name, Life: m.life, Age: now.Sub(m.began), Uses: m.gate.Report(whole)}
	if len(r.Uses) == 0 && !whole {
		m.mu.Unlock()
		return
	}
	m.reported = now
	m.mu.Unlock()
	for _, i := range to {
		if i.Name != m.Name {
			m.send(i.Address, topicReport, r)
			continue
		}
		m.mu.Lock()
		m.ledger.Take(now, r)
		m.mu.Unlock()
	}
}

// keep judges the workspaces and tells others. The second keeper speaks only
// while the first is silent.
func (m *Meter) keep(now clock.Millis, limits map[string]quota.Limit, zone []roster.Instance, rank int) {
	all := m.Roster.All()
	m.mu.Lock()
	m.ledger.Step(now, limits, m.present(all, zone))
	m.keeps = true
	m.note()
	speaks := rank == 0 || now.Sub(m.heardAt) > standIn
	w, tells := m.words(now)
	sends := speaks && (m.ledger.Near() || now.Sub(m.summed) >= sumsEvery)
	var s quota.Sums
	if sends {
		m.summed = now
		s = m.ledger.Sums(now)
	}
	var hearers []netip.AddrPort
	if speaks && tells {
		m.hear(w)
		hearers = m.hearers(now)
	}
	m.mu.Unlock()
	for _, to := range hearers {
		m.send(to, topicWords, w)
	}
	if sends {
		for _, i := range m.Roster.FirstOfOthers(m.Zone, roleLedger, keepers) {
			m.send(i.Address, topicSums, s)
		}
	}
}

// hearers are those who reported lately.
func (m *Meter) hearers(now clock.Millis) []netip.AddrPort {
	var list []netip.AddrPort
	for name, r := range m.reporters {
		if now.Sub(r.at) > reporterExpiry {
			delete(m.reporters, name)
			continue
		}
		list = append(list, r.address)
	}
	return list
}

// words are what is to be told now, if anything.
func (m *Meter) words(now clock.Millis) (w words, tells bool) {
	near := m.ledger.Near()
	if !near && now.Sub(m.told) < wholeEvery {
		return words{}, false
	}
	m.told = now
	return words{Words: m.ledger.Words()}, true
}

func (m *Meter) present(all, zone []roster.Instance) quota.Present {
	p := quota.Present{Zones: map[string]bool{}, Instances: map[string]bool{}, Total: m.Roster.Most()}
	for _, i := range all {
		p.Zones[i.Zone] = true
	}
	for _, i := range zone {
		p.Instances[i.Name] = true
	}
	return p
}

// hear gives words to the gate.
func (m *Meter) hear(w words) { m.gate.Hear(m.Now(), w.Words) }

// note writes a line when a workspace begins or ends to be held back.
func (m *Meter) note() {
	held := m.ledger.Held()
	for name, used := range held {
		if _, was := m.held[name]; !was {
			m.Log.Write(eventlog.Line{Event: eventlog.Believed, Outcome: "workspace_held_back", Workspace: name, Count: int64(used)})
		}
	}
	for name := range m.held {
		if _, is := held[name]; !is {
			m.Log.Write(eventlog.Line{Event: eventlog.Believed, Outcome: "workspace_let_through", Workspace: name})
		}
	}
	m.held = held
}

func (m *Meter) send(to netip.AddrPort, topic string, v any) {
	if err := peer.Send(m.Transport, to, topic, v); err != nil {
		m.Scope.Counter("metering_send_failed").Inc(1)
	}
}
