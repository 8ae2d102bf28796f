// Package gateway joins the parts of one process that routes requests on a
// platform: listeners, the feed from the store, forwarding, and stopping.
package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/counter"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/feed"
	"github.com/trailshed/trailshed/internal/forward"
	"github.com/trailshed/trailshed/internal/freshness"
	"github.com/trailshed/trailshed/internal/leadership"
	"github.com/trailshed/trailshed/internal/metering"
	"github.com/trailshed/trailshed/internal/notice"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/relay"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/staging"
	"github.com/trailshed/trailshed/internal/suspects"
	"github.com/trailshed/trailshed/internal/throttle"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("gateway")

// Platform is how a gateway meets the platform it runs on.
type Platform struct {
	Dialect  forward.Dialect
	Source   feed.Source
	Registry roster.Registry
	// Duty makes one instance give orders, which Order sends.
	Duty  leadership.Registry
	Order func(ctx context.Context, o staging.Order, holder string, fence int64, told func(notice.Notice)) error
	// Load asks an engine what it works on. Both tell what the engine says of itself.
	Load      func(ctx context.Context, e directory.Endpoint, told func(notice.Notice)) (placement.Loaded, error)
	Suspects  suspects.Store
	ReadyPath string
	Clocks    clock.Source // of the machine
}

const (
	// peerQueue is how many messages may wait for one peer: a second's at the
	// peak, in a zone of twenty instances.
	peerQueue = 256
	// strangerPart of the time within which changes must be in force is how long
	// an unknown certificate waits to be told of by the relay, which takes a few
	// hundred ms, before the store is asked.
	strangerPart = 0.5
	// strangerYoung is the same in a process that is younger than youngFor: where a
	// whole fleet has started, nobody that it knows has the certificate that it
	// knows, and so nobody can tell it of the new ones.
	strangerYoung = 300 * time.Millisecond
	youngFor      = 4 * time.Second
	// sweepInterval is how often idle connections and old beliefs are looked at.
	sweepInterval = 250 * time.Millisecond
	// bodyPart of the memory limit may hold callers' bodies.
	bodyPart = 0.25
	// heapPart of the memory limit is the heap that the collector aims below.
	heapPart = 0.7
	// collectAt is the growth in percent at which the collector runs: memory
	// costs more than the processor time here.
	collectAt = 60
	// headerBytes bounds a request's head before a configuration says so.
	headerBytes = 64 << 10
	// headerTimeout does the same for the time that a head may take.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may rest. Callers use one
	// again only after less than the operators' limit, which is far below.
	idleTimeout = 75 * time.Second
)

// Gateway is one process.
type Gateway struct {
	mu       sync.Mutex // guards what Reload changes in settings
	settings *Settings
	platform Platform
	log      *eventlog.Log
	counters *counter.Registry
	clock    *clock.Clock
	now      func() clock.Millis // of clock

	paces     *pace.Model
	directory *directory.Directory
	balancer  *balance.Balancer
	pool      *uplink.Pool
	forwarder *forward.Forwarder
	feed      *feed.Feed
	roster    *roster.Roster
	member    *roster.Member
	self      roster.Instance
	transport *peer.Transport
	broker    *broker.Broker
	relay     *relay.Relay
	meter     *metering.Meter
	suspects  *suspects.Suspects
	throttle  *throttle.Throttle
	duty      *leadership.Leadership
	staging   *staging.Runner
	servers   []*http.Server
	listeners []net.Listener // of the servers
	stranger  atomic.Bool    // an unknown certificate waits to be told of
	began     clock.Millis
	leaving   atomic.Bool
	close     func() error
}

// New returns a gateway that does not serve yet.
func New(s *Settings, counters *counter.Registry, p Platform, log *eventlog.Log) (*Gateway, error) {
	debug.SetMemoryLimit(int64(heapPart * float64(s.Memory.LimitMB<<20)))
	debug.SetGCPercent(collectAt)
	g := &Gateway{
		settings: s, platform: p, log: log, clock: clock.Open(p.Clocks),
		counters: counters, paces: pace.New(pace.Cautious()),
		directory: directory.New(), balancer: balance.New(s.Instance.Zone, s.Zones),
	}
	g.now = g.clock.Now
	g.began = g.now()
	g.roster = roster.New(g.now)
	g.pool = uplink.NewPool(g.counters.Scope, g.now)
	g.pool.Heard = func(life string, head *http.Response) { g.noticed(life, g.platform.Dialect.Notice(head)) }
	g.openFeed() // first, since a peer's certificate may come as soon as the transport listens
	if err := g.openPeers(); err != nil {
		return nil, err
	}
	g.member = roster.NewMember(g.platform.Registry, g.self, g.log, g.feed.Heard, g.relay.Watching)
	g.openStaging()
	g.openSuspects()
	g.openForwarder()
	if err := g.listen(); err != nil {
		return nil, err
	}
	return g, nil
}

// openPeers opens the transport between instances and what runs over it.
func (g *Gateway) openPeers() error {
	s, scope := g.settings, g.counters.Scope
	identity, err := peer.NewIdentity(s.Instance.Name)
	if err != nil {
		return Error.Wrap(err)
	}
	g.self = roster.Instance{
		Name: s.Instance.Name, Zone: s.Instance.Zone, Fingerprint: identity.Fingerprint,
		Capacity: s.Processor.Capacity(),
	}
	g.transport, err = peer.Listen(s.Instance.Name, netip.MustParseAddrPort(s.Peers.Listen), peer.Pinned(identity, g.trusted), scope)
	if err != nil {
		return Error.Wrap(err)
	}
	g.transport.Queue(peerQueue)
	if s.Peers.Advertise != "" {
		g.transport.Advertise(netip.MustParseAddrPort(s.Peers.Advertise))
	}
	g.self.Address = g.transport.Address()
	g.throttle = throttle.New(throttle.Options{
		Name: s.Instance.Name, Zone: s.Instance.Zone, Transport: g.transport, Roster: g.roster,
		Log: g.log, Scope: scope, Now: g.now, ZoneOf: g.zoneOf,
		StoreAway: func() bool { return g.relay.IsLost() },
	})
	g.broker = broker.New(broker.Options{
		Name: s.Instance.Name, Zone: s.Instance.Zone, Transport: g.transport, Roster: g.roster,
		Directory: g.directory, Log: g.log, Scope: scope, Now: g.now, Load: g.load, Paces: g.paces, Regions: s.Zones, Spent: g.throttle.Spent,
		Saw: func(a placement.Ask) {
			g.staging.Saw(a.Service, a.Prompt, g.paces.Length(a.Service, a.Route, a.Output, a.Most).Mean)
		},
	})
	g.meter = metering.New(metering.Options{
		Name: s.Instance.Name, Zone: s.Instance.Zone, Transport: g.transport, Roster: g.roster,
		Directory: g.directory, Log: g.log, Scope: scope, Now: g.now, Window: s.Limits.Window,
	})
	g.relay = relay.New(relay.Options{
		Name: s.Instance.Name, Transport: g.transport, Roster: g.roster, Directory: g.directory,
		Zone: s.Instance.Zone, Now: g.now, Log: g.log, Scope: scope, Fresh: freshness.New(s.Freshness.Bound()), Bound: s.Freshness.Bound(),
		Tell: func(e directory.Event) { g.feed.Tell(e) },
		Instances: func(seen []roster.Instance, left []roster.Departure, whole bool, revision int64) {
			g.feed.Take(feed.News{Instances: seen, GoneInstances: left, Complete: whole, Revision: revision})
		},
		Capacity: s.Processor.Capacity(), Roll: func(ctx context.Context) error { return g.feed.Roll(ctx, s.Instance.Zone) },
		Head: g.platform.Source.Head, List: func() { g.feed.List() }, CatchUp: func() { g.feed.CatchUp() }, CatchingUp: func() bool { return g.feed.CatchingUp() }, Configure: func() { g.feed.Configure() },
	})
	return nil
}

// trusted names the peer that has a certificate. One that is not known may
// have started a moment ago; if the relay does not tell of it soon, the entries
// of peers are read.
func (g *Gateway) trusted(fingerprint string) (string, bool) {
	name, ok := g.roster.Trusted(fingerprint)
	if !ok && g.stranger.CompareAndSwap(false, true) {
		time.AfterFunc(g.strangerPause(), func() {
			g.stranger.Store(false)
			if _, known := g.roster.Trusted(fingerprint); !known {
				g.feed.CatchUp()
			}
		})
	}
	return name, ok
}

// strangerPause is how long an unknown certificate waits to be told of.
func (g *Gateway) strangerPause() time.Duration {
	if g.now().Sub(g.began) < youngFor {
		return strangerYoung
	}
	return time.Duration(strangerPart * float64(g.settings.Freshness.Bound()))
}

func (g *Gateway) openFeed() {
	g.feed = feed.New(feed.Options{
		Source: g.platform.Source, Directory: g.directory, Roster: g.roster, Log: g.log,
		Scope: g.counters.Scope, Now: g.now, Bound: g.settings.Freshness.Bound(),
		Changed:  g.rosterChanged,
		Watching: func() bool { return g.relay.Watching() }, Told: func() { g.relay.Told() },
		Lost: func() { g.relay.Lost() }, Regained: func() { g.relay.Regained() },
		Suspects:   func(n suspects.News) { g.suspects.TakeStored(n) },
		Warming:    g.warming,
		ZoneSize:   func() int { return g.relay.ZoneSize() },
		Progressed: func(entries int) { g.relay.Progressed(entries) },
		Seed:       func(ctx context.Context) bool { return g.relay.Seed(ctx) },
	})
}

// openStaging prepares the duty of giving orders to engines.
func (g *Gateway) openStaging() {
	g.duty = &leadership.Leadership{
		Name: g.settings.Instance.Name, Registry: g.platform.Duty, Gap: g.settings.Orders.Gap,
		Log: g.log, Now: g.now,
		Candidate: func() bool {
			return g.broker.Plans() && !g.leaving.Load() && g.now().Sub(g.began) >= roster.JoinTime
		},
	}
	g.staging = &staging.Runner{
		Directory: g.directory, Leadership: g.duty, Send: g.order,
		Spared: g.spares,
		Closed: func(o staging.Order) { g.broker.Close(o.Endpoint.Zone, o.Endpoint.ID) },
		Log:    g.log, Scope: g.counters.Scope, Now: g.now, Paces: g.paces,
	}
}

func (g *Gateway) openForwarder() {
	s := g.settings
	g.forwarder = forward.New(forward.Options{
		Dialect: g.platform.Dialect, Directory: g.directory, Balancer: g.balancer, Pool: g.pool,
		Log: g.log, Scope: g.counters.Scope, Now: g.now,
		Retry:      s.Retry.Rule(),
		BodyMemory: int64(bodyPart * float64(s.Memory.LimitMB<<20)), Stall: s.Callers.Stall,
		Limits:    forward.Limiter{Admit: g.meter.Admit, Credit: g.meter.Credit},
		Permits:   forward.Permits{Take: g.throttle.Take, Return: g.throttle.Return, Withheld: g.throttle.Withheld, Unnamed: g.throttle.Unnamed},
		FindPlace: g.broker.Find, ReleasePlace: g.broker.Release, BeganAtPlace: g.broker.Began,
		ReadAtPlace: g.broker.Read,
		Suspects:    g.suspects, Regions: s.Zones, Isolated: g.isolated,
		Gone: func(id string) { g.feed.Tell(directory.Denied{ID: id}) },
	})
	g.forwarder.Share(leastShares)
}

// leastShares divides the retry allowance while few instances are known.
const leastShares = 8

// rosterChanged divides the retry allowance anew, and writes the own entry
// again if it was there and is there no more.
func (g *Gateway) rosterChanged() {
	g.forwarder.Share(max(g.roster.Most(), leastShares))
	if i, known := g.roster.Find(g.self.Name); known && i.Fingerprint == g.self.Fingerprint {
		return
	}
	if _, was := g.roster.Trusted(g.self.Fingerprint); was {
		g.member.Change(g.present())
	}
}

// present is this instance's entry as it should be now.
func (g *Gateway) present() roster.Instance {
	self := g.self
	self.Leaving = g.leaving.Load()
	return self
}
