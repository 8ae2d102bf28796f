// Package gateway assembles the parts of one process that routes requests on a platform:
// listeners, the feed from the store, forwarding and shutdown.
package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/archive"
	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/contention"
	"github.com/trailshed/trailshed/internal/counter"
	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/feed"
	"github.com/trailshed/trailshed/internal/forward"
	"github.com/trailshed/trailshed/internal/freshness"
	"github.com/trailshed/trailshed/internal/intake"
	"github.com/trailshed/trailshed/internal/keepalive"
	"github.com/trailshed/trailshed/internal/lateness"
	"github.com/trailshed/trailshed/internal/leadership"
	"github.com/trailshed/trailshed/internal/metering"
	"github.com/trailshed/trailshed/internal/notice"
	"github.com/trailshed/trailshed/internal/overload"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/relay"
	"github.com/trailshed/trailshed/internal/releases"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/rotation"
	"github.com/trailshed/trailshed/internal/staging"
	"github.com/trailshed/trailshed/internal/streams"
	"github.com/trailshed/trailshed/internal/suspects"
	"github.com/trailshed/trailshed/internal/throttle"
	"github.com/trailshed/trailshed/internal/tunnel"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("gateway")

// Platform adapts a gateway to the platform on which it runs.
type Platform struct {
	Codec    forward.Codec
	Source   feed.Source
	Registry roster.Registry
	// Duty selects the one instance that gives orders to engines. Order sends an order.
	Duty  leadership.Registry
	Order func(ctx context.Context, o staging.Order, holder string, fence int64, notify func(notice.Notice)) error
	// Load requests an engine's load with the given client. Load and Order both pass the
	// notices in the engine's response to notify.
	Load      func(ctx context.Context, client *http.Client, e directory.Endpoint, notify func(notice.Notice)) (placement.LoadReport, error)
	Suspects  suspects.Store
	Releases  releases.Store
	Archive   archive.Store
	ReadyPath string
	Clocks    clock.Source // of the machine
	// Dial opens a connection to an endpoint. If it is nil, the network's own is used.
	Dial func(ctx context.Context, endpoint netip.AddrPort) (net.Conn, error)
}

const (
	// peerQueueLength is the maximum number of messages queued for one peer: those of one
	// second at peak load, in a zone of twenty instances.
	peerQueueLength = 256
	// unknownCertFraction is the fraction of the freshness bound for which an unknown
	// certificate may wait for an announcement by the relay, which takes a few hundred
	// ms, before the store is read.
	unknownCertFraction = 0.5
	// startupCertDelay is used instead in a process that started less than startupPeriod
	// ago. After a start of the whole fleet the certificates that it knows belong to
	// former processes, so that no peer can announce the new ones to it.
	startupCertDelay = 300 * time.Millisecond
	startupPeriod    = 4 * time.Second
	// sweepInterval is the interval at which idle connections and expired state are
	// removed and gauges updated.
	sweepInterval = 250 * time.Millisecond
	// bodyMemoryFraction is the fraction of the memory limit that callers' bodies may use.
	bodyMemoryFraction = 0.25
	// heapFraction is the fraction of the memory limit below which the garbage collector
	// tries to keep the heap.
	heapFraction = 0.7
	// gcPercent is the heap growth in percent at which the garbage collector runs. Here
	// memory is more expensive than processor time.
	gcPercent = 60
	// maxHeaderBytes bounds the size of a request's header until a configuration is known.
	maxHeaderBytes = 64 << 10
	// headerTimeout likewise bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout likewise bounds the time for which a caller's connection is idle.
	idleTimeout = 75 * time.Second
)

// Gateway is one gateway process.
type Gateway struct {
	settings atomic.Pointer[Settings] // never modified; Reload replaces them
	platform Platform
	log      *eventlog.Log
	counters *counter.Registry
	clock    *clock.Clock
	now      func() clock.Millis // of clock

	paces            *pace.Model
	directory        *directory.Directory
	balancer         *balance.Balancer
	pool             *uplink.Pool
	dialer           *dialer.Dialer
	tunnels          *tunnel.Tunnels
	forwarder        *forward.Forwarder
	feed             *feed.Feed
	roster           *roster.Roster
	member           *roster.Member
	self             roster.Instance
	transport        *peer.Transport
	broker           *broker.Broker
	relay            *relay.Relay
	meter            *metering.Meter
	shares           *contention.Runner
	releases         *releases.History
	archive          *archive.Archive
	streams          *streams.Registry
	suspects         *suspects.Suspects
	throttle         *throttle.Throttle
	processorWait    *lateness.Meter
	connectTime      *lateness.Meter // of connections to endpoints
	limit            intake.Limit
	rotation         rotation.Rotation
	idleLimit        idleLimit    // of callers' connections
	unread           atomic.Int64 // connections closed unread since the limit is in force
	duty             *leadership.Leadership
	staging          *staging.Runner
	port             *overload.Listener // for callers
	connections      *keepalive.Connections
	servers          []*http.Server
	listeners        []net.Listener // of the servers
	certCheckPending atomic.Bool    // a check of an unknown certificate is pending
	started          clock.Millis
	leaving          atomic.Bool
	close            func() error
}

// New creates a gateway and opens its listeners. Call Run to serve.
func New(s *Settings, counters *counter.Registry, p Platform, log *eventlog.Log) (*Gateway, error) {
	debug.SetMemoryLimit(int64(heapFraction * float64(s.Memory.LimitMB<<20)))
	debug.SetGCPercent(gcPercent)
	g := &Gateway{
		platform: p, log: log, clock: clock.Open(p.Clocks),
		counters: counters, paces: pace.New(pace.ConservativePrior()),
		directory: directory.New(), balancer: balance.New(s.Instance.Zone, s.Zones),
	}
	g.settings.Store(s)
	g.now = g.clock.Now
	g.started = g.now()
	g.processorWait, g.connectTime = &lateness.Meter{Now: g.now}, &lateness.Meter{Now: g.now}
	g.roster = roster.New(g.now)
	g.pool = uplink.NewPool(g.counters.Scope, g.now)
	g.pool.OnConnect = func(took time.Duration) { g.connectTime.Record(g.now(), took) }
	if p.Dial != nil {
		g.pool.Dial = p.Dial
	}
	g.pool.OnResponse = func(incarnation string, head *http.Response) {
		g.handleNotice(incarnation, g.platform.Codec.ReadNotice(head))
	}
	g.openFeed() // first, because a peer's certificate may arrive as soon as the transport listens
	if err := g.openPeers(); err != nil {
		return nil, err
	}
	g.member = roster.NewMember(g.platform.Registry, g.self, g.log, g.observeCall, g.relay.Watching)
	g.openDialer()
	g.openStaging()
	g.openSuspects()
	g.openForwarder()
	if err := g.listen(); err != nil {
		return nil, err
	}
	return g, nil
}

// openPeers opens the transport between instances and creates the parts that use it.
func (g *Gateway) openPeers() error {
	s, scope := g.settings.Load(), g.counters.Scope
	identity, err := peer.NewIdentity(s.Instance.Name)
	if err != nil {
		return Error.Wrap(err)
	}
	g.self = roster.Instance{
		Name: s.Instance.Name, Zone: s.Instance.Zone, Fingerprint: identity.Fingerprint,
		Capacity: s.Processor.Capacity(), Tunnels: true,
	}
	g.transport, err = peer.Listen(s.Instance.Name, netip.MustParseAddrPort(s.Peers.Listen), peer.PinnedTLS(identity, g.trusted), scope)
	if err != nil {
		return Error.Wrap(err)
	}
	g.transport.SetQueueLength(peerQueueLength)
	if s.Peers.Advertise != "" {
		g.transport.Advertise(netip.MustParseAddrPort(s.Peers.Advertise))
	}
	g.self.Address = g.transport.Address()
	g.throttle = throttle.New(throttle.Options{
		Name: s.Instance.Name, Zone: s.Instance.Zone, Transport: g.transport, Roster: g.roster,
		Log: g.log, Scope: scope, Now: g.now, ZoneOf: g.zoneOf,
		StoreUnreachable: func() bool { return g.relay.IsLost() },
	})
	g.broker = broker.New(broker.Options{
		Name: s.Instance.Name, Zone: s.Instance.Zone, Transport: g.transport, Roster: g.roster,
		Directory: g.directory, Log: g.log, Scope: scope, Now: g.now, FetchLoad: g.fetchLoad, Paces: g.paces, Regions: s.Zones, Exhausted: g.throttle.Exhausted, Leaving: g.leaving.Load,
		OnRequest: func(a placement.Request) {
			g.staging.AddRequest(a.Service, a.Prompt, g.paces.AnswerLength(a.Service, a.Route, a.ExpectedTokens, a.MaxTokens).Mean)
		},
	})
	g.meter = metering.New(metering.ForWorkspaces(metering.Options{
		Name: s.Instance.Name, Zone: s.Instance.Zone, Transport: g.transport, Roster: g.roster,
		Scope: scope, Now: g.now, Window: s.Limits.Window,
	}, g.directory, g.log))
	g.openShares()
	g.openStreams()
	g.relay = relay.New(relay.Options{
		Name: s.Instance.Name, Transport: g.transport, Roster: g.roster, Directory: g.directory,
		Zone: s.Instance.Zone, Now: g.now, Log: g.log, Scope: scope, Fresh: freshness.New(s.Freshness.Bound()), Bound: s.Freshness.Bound(),
		ApplyEvent: func(e directory.Event) { g.feed.Apply(e) },
		ApplyInstances: func(seen []roster.Instance, left []roster.Removal, whole bool, revision int64) {
			g.feed.ApplyUpdate(feed.Update{Instances: seen, RemovedInstances: left, AllInstances: whole, Revision: revision})
		},
		Capacity: s.Processor.Capacity(), ReadZone: func(ctx context.Context) error { return g.feed.ReadZone(ctx, s.Instance.Zone) },
		HeadRevision: g.platform.Source.HeadRevision, List: func() { g.feed.List() }, CatchUp: func() { g.feed.CatchUp() }, CatchingUp: func() bool { return g.feed.CatchingUp() }, Configure: func() { g.feed.Configure() },
	})
	return nil
}

// archiveWriteFraction is the fraction of the store's write rate that the archive of streams may
// take while versions mix.
const archiveWriteFraction = 0.1

// openStreams creates the parts that remember which version began each stream.
func (g *Gateway) openStreams() {
	s, scope := g.settings.Load(), g.counters.Scope
	g.releases = releases.New(releases.Options{
		Name: s.Instance.Name, Zone: s.Instance.Zone, Transport: g.transport, Roster: g.roster, Directory: g.directory,
		Store: g.platform.Releases, StoreLost: func() bool { return g.relay.IsLost() }, Log: g.log, Scope: scope, Now: g.now,
	})
	g.archive = archive.New(archive.Options{
		Store: g.platform.Archive, WriteRate: archiveWriteFraction * s.Store.WritesPerSecond,
		Writers: func() int { return g.streams.Writers() }, Scope: scope, Now: g.now,
	})
	g.streams = streams.New(streams.Options{
		Name: s.Instance.Name, Zone: s.Instance.Zone, Transport: g.transport, Roster: g.roster, Directory: g.directory, Scope: scope, Now: g.now,
		Leaving: g.leaving.Load, Confirm: g.releases.Confirm, Versions: g.releases.Versions, Known: g.releases.Known,
		Archive: g.archive.Add, FindArchived: g.archive.Find,
	})
}

// trusted returns the name of the peer with a certificate. An unknown peer may have just
// started: if the relay does not announce it soon, the peers' entries are read from the
// store.
func (g *Gateway) trusted(fingerprint string) (string, bool) {
	name, ok := g.roster.Trusted(fingerprint)
	if !ok && g.certCheckPending.CompareAndSwap(false, true) {
		time.AfterFunc(g.unknownCertDelay(), func() {
			g.certCheckPending.Store(false)
			if _, known := g.roster.Trusted(fingerprint); !known {
				g.feed.CatchUp()
			}
		})
	}
	return name, ok
}

// unknownCertDelay returns how long to wait for the announcement of an unknown
// certificate.
func (g *Gateway) unknownCertDelay() time.Duration {
	if g.now().Sub(g.started) < startupPeriod {
		return startupCertDelay
	}
	return time.Duration(unknownCertFraction * float64(g.settings.Load().Freshness.Bound()))
}

// observeCall takes the outcome of a call that keeps this instance's entry in the store.
func (g *Gateway) observeCall(err error) {
	g.feed.ObserveCall(err)
	if err != nil {
		g.relay.CallFailed()
	}
}

func (g *Gateway) openFeed() {
	g.feed = feed.New(feed.Options{
		Source: g.platform.Source, Directory: g.directory, Roster: g.roster, Log: g.log,
		Scope: g.counters.Scope, Now: g.now, Bound: g.settings.Load().Freshness.Bound(),
		RosterChanged: g.rosterChanged,
		Watching:      func() bool { return g.relay.Watching() }, Updated: func() { g.relay.Announce() },
		Lost: func() { g.relay.Lost() }, Regained: func() { g.relay.Regained() },
		Suspects:     func(n suspects.StoreUpdate) { g.suspects.ApplyStored(n) },
		History:      func(s releases.Stored) { g.releases.Observe(s) },
		EndpointCold: g.endpointCold,
		ZoneSize:     func() int { return g.relay.ZoneSize() },
		Progress:     func(entries int) { g.relay.AddProgress(entries) },
		Seed:         func(ctx context.Context) bool { return g.relay.Seed(ctx) },
	})
}

// openStaging creates the parts for giving orders to engines.
func (g *Gateway) openStaging() {
	g.duty = &leadership.Leadership{
		Name: g.settings.Load().Instance.Name, Registry: g.platform.Duty, MinGap: g.settings.Load().Orders.Gap,
		Log: g.log, Now: g.now,
		Candidate: func() bool {
			return g.broker.IsPlanner() && !g.dialer.LinksLost() && !g.leaving.Load() && g.now().Sub(g.started) >= roster.JoinDelay
		},
	}
	g.staging = &staging.Runner{
		Directory: g.directory, Leadership: g.duty, Send: g.sendOrder,
		Avoid:         g.avoids,
		StageChanging: func(o staging.Order) { g.broker.ReportStageChange(o.Endpoint.Zone, o.Endpoint.ID) },
		Log:           g.log, Scope: g.counters.Scope, Now: g.now, Paces: g.paces,
	}
}

func (g *Gateway) openForwarder() {
	s := g.settings.Load()
	g.forwarder = forward.New(forward.Options{
		Codec: g.platform.Codec, Directory: g.directory, Balancer: g.balancer, Pool: g.pool,
		Log: g.log, Scope: g.counters.Scope, Now: g.now,
		Retry:      s.Retry.Rule(),
		BodyMemory: int64(bodyMemoryFraction * float64(s.Memory.LimitMB<<20)), WriteTimeout: s.Callers.Stall,
		Limits:    g.workspaceLimiter(),
		Permits:   forward.Permits{Take: g.throttle.Take, Return: g.throttle.Return, Withheld: g.throttle.Denied, ReportNoLimit: g.throttle.ObserveNoLimit},
		Shares:    forward.Shares{Admit: g.shares.Admit, Queued: g.shares.Queued, RecordAnswer: g.shares.RecordAnswer},
		Streams:   forward.Streams{Begin: g.streams.Begin, Confirm: g.streams.ConfirmVersion, Confirmed: g.releases.Confirmed, Find: g.streams.Find},
		FindPlace: g.broker.Find, ReleasePlace: g.broker.Release, ReportDecodeStart: g.broker.ReportDecodeStart,
		ReportPrefillDone: g.broker.ReportPrefillDone,
		ReturnShare:       g.returnShare,
		CheckProcess:      g.checkProcess, LinkLost: g.dialer.Bypassed, Overloaded: g.overloaded,
		Suspects: g.suspects, Regions: s.Zones, Isolated: g.isolated,
		ReportGone: func(id string) { g.feed.Apply(directory.Denied{ID: id}) },
	})
	g.forwarder.SetInstances(minShares)
}

// minShares is the minimum number of shares into which the retry allowance is divided,
// while few instances are known.
const minShares = 8

// rosterChanged divides the retry allowance by the largest number of instances seen at
// once. It writes this instance's entry again if it was in the roster and has disappeared
// or been replaced.
func (g *Gateway) rosterChanged() {
	g.forwarder.SetInstances(max(g.roster.MaxSize(), minShares))
	if i, known := g.roster.Find(g.self.Name); known && i.Fingerprint == g.self.Fingerprint {
		return
	}
	if _, was := g.roster.Trusted(g.self.Fingerprint); was {
		g.member.Change(g.currentEntry())
	}
}

// currentEntry returns this instance's roster entry with its current state.
func (g *Gateway) currentEntry() roster.Instance {
	self := g.self
	self.Leaving = g.leaving.Load()
	return self
}
