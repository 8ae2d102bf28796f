// Package node assembles the parts of one trailshed process and runs them until it is
// stopped.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/message/router/middleware"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/caller"
	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/internal/changelog"
	"github.com/trailshed/trailshed/internal/counter"
	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/dispatcher"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/internal/entry"
	"github.com/trailshed/trailshed/internal/keepalive"
	"github.com/trailshed/trailshed/internal/ledger"
	"github.com/trailshed/trailshed/internal/member"
	"github.com/trailshed/trailshed/internal/notice"
	"github.com/trailshed/trailshed/internal/operator"
	"github.com/trailshed/trailshed/internal/ownpart"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/platform"
	"github.com/trailshed/trailshed/internal/settings"
	"github.com/trailshed/trailshed/internal/suspects"
	"github.com/trailshed/trailshed/internal/suspension"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Error marks every error of this package.
var Error = errs.Class("node")

const reconcileInterval = 100 * time.Millisecond

// leavingTimeout is how long an endpoint counts as leaving after its last response that
// said so. The endpoint ends within that time. The entry has to expire because a new
// process at the same address cannot be distinguished from the endpoint here.
const leavingTimeout = 30 * time.Second

// Node is one trailshed process. mu is the last in the lock order: no call that takes
// another part's lock is made while it is held.
type Node struct {
	settings *settings.Settings
	log      zerolog.Logger
	clock    *clock.Clock
	now      func() clock.Millis // of clock
	started  clock.Millis
	counters *counter.Registry

	store      *platform.Store
	transport  *peer.Transport
	callers    net.Listener
	admin      net.Listener
	router     *message.Router
	changes    *changelog.Log
	dispatcher *dispatcher.Dispatcher
	entry      *entry.Entry
	ledger     *ledger.Ledger
	suspects   *suspects.Suspects
	executor   *operator.Executor
	api        *caller.API

	connections *keepalive.Connections // of callers; set by Run

	mu      sync.Mutex // guards table
	table   *member.Table
	leaving atomic.Bool
	pulling atomic.Bool

	pool     *uplink.Pool
	dialer   *dialer.Dialer
	unlinked atomic.Pointer[func(netip.AddrPort) bool] // set by Unlink; may be nil
}

// New creates a node and opens its listeners. Call Run to serve.
func New(s *settings.Settings, log zerolog.Logger) (*Node, error) {
	n := &Node{settings: s, log: log, clock: clock.Open(clock.Machine())}
	n.now = n.clock.Now
	n.counters = counter.Open(map[string]string{"node": s.Node.ID, "zone": s.Node.Zone})
	certificates, err := peer.LoadTLS(s.Peers.CA, s.Peers.Certificate, s.Peers.Key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := n.listen(certificates); err != nil {
		return nil, Error.Wrap(err)
	}
	n.router, err = message.NewRouter(message.RouterConfig{CloseTimeout: time.Second}, watermill.NopLogger{})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n.router.AddMiddleware(middleware.Recoverer)
	n.build()
	return n, nil
}

// listen opens the listeners for peers, callers and operators.
func (n *Node) listen(certificates *tls.Config) (err error) {
	s := n.settings
	if n.transport, err = peer.Listen(s.Node.ID, s.Peers.Address(), certificates, n.counters.Scope); err != nil {
		return err
	}
	if n.callers, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Callers.Address())); err != nil {
		return errors.Join(err, n.transport.Close())
	}
	if n.admin, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Admin.Address())); err != nil {
		return errors.Join(err, n.callers.Close(), n.transport.Close())
	}
	return nil
}

// Addresses returns the addresses of the listeners, whose ports may have been chosen by the system.
func (n *Node) Addresses() (peers netip.AddrPort, callers, admin net.Addr) {
	return n.transport.Address(), n.callers.Addr(), n.admin.Addr()
}

// build creates the parts and connects them by function fields.
func (n *Node) build() {
	s, scope := n.settings, n.counters.Scope
	n.started = n.now()
	incarnation := int64(n.started)
	self := member.Member{ID: s.Node.ID, Zone: s.Node.Zone, Address: n.transport.Address(), Incarnation: incarnation, Tunnels: true}
	n.table = member.NewTable(self, s.Peers.GoneAfter, uint64(incarnation))
	n.store = platform.Connect(s.Platform.AddrPort(), s.Platform.Timeout, scope)
	n.changes = changelog.New(n.store, scope, n.log)
	n.changes.OnChange = n.configurationChanged
	client := endpoint.NewClient()
	n.openDialer(client)
	notices := notice.NewTable[netip.AddrPort](leavingTimeout)
	limits := ownpart.New(n.processes)
	client.OnNotice = func(at netip.AddrPort, given notice.Notice, good bool, sent time.Time) {
		limits.Observe(n.now(), at.String(), given.Limit, good, n.now().Add(-time.Since(sent)))
		if notices.Record(n.now(), at, given) {
			n.log.Info().Stringer("address", at).Bool("leaving", given.Leaving).Dur("rest", given.Backoff).Msg("endpoint accepts no requests for now")
		}
	}
	n.dispatcher = dispatcher.New(dispatcher.Options{
		Node: s.Node.ID, Zone: s.Node.Zone, ReportInterval: s.Dispatch.Listing, Now: n.now, IsDispatcher: n.isDispatcher,
		Cell: cell.Options{
			Policy: s.Dispatch.Policy, OwnerExpiry: s.Dispatch.OwnerExpiry, RetryRatio: s.Dispatch.RetryShare,
			OnViolation: n.invariantViolated,
			OnDecision:  func(what string) { scope.Tagged(map[string]string{"what": what}).Counter("decisions").Inc(1) },
		},
	}, n.transport, client, scope, n.log)
	n.ledger = ledger.New(ledger.Options{
		Shards: s.Claims.Shards, Interval: s.Claims.Interval, Now: n.now, Owner: n.claimOwner,
	}, n.store, n.transport, scope)
	n.openSuspects()
	n.entry = entry.New(entry.Options{
		Owner: cell.Owner{Node: s.Node.ID, Incarnation: incarnation, Address: n.transport.Address()},
		Zone:  s.Node.Zone, AnnounceInterval: s.Dispatch.Announce, OwnerExpiry: s.Dispatch.OwnerExpiry,
		MaxKeptAnswers: s.Callers.HeldAnswers, Now: n.now, Catalog: n.changes.Current,
		Dispatcher: n.dispatcherOf, Cells: n.cells, Status: n.status, Claim: n.ledger.Claim, Abandon: n.ledger.Abandon,
		Suspects: n.suspects, Notices: notices, Limits: limits,
	}, n.transport, client, scope)
	n.executor = operator.New(operator.Options{
		Zone: s.Node.Zone, Now: n.now, Members: n.members, Cells: n.cells,
	}, n.changes, n.dispatcher, n.transport)
	n.api = caller.New(s.Callers, n.entry, n.changes.Current, n.now, n.changes.Loaded, scope)
	n.register()
}

func (n *Node) register() {
	n.dispatcher.Register(n.router)
	n.entry.Register(n.router)
	n.ledger.Register(n.router)
	n.suspects.Register(n.router)
	n.executor.Register(n.router)
	peer.Handle(n.router, n.transport, topicHeartbeat, n.handleHeartbeat)
	peer.HandleCall(n.router, n.transport, topicPull, func(_ context.Context, _ peer.Sender, p changelog.Pull) changelog.Delta {
		return n.changes.Delta(p)
	})
}

// Partition drops every message to an address for which lost returns true, to simulate a
// network partition in tests.
func (n *Node) Partition(lost func(netip.AddrPort) bool) { n.transport.Partition(lost) }

// Run serves until ctx ends. Then it stops, after waiting for running requests until the
// drain timeout.
func (n *Node) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { _ = n.router.Run(serving) })
	<-n.router.Running()
	group.Go(func() { n.dispatcher.Run(serving) })
	group.Go(func() { n.entry.Run(serving) })
	group.Go(func() { n.ledger.Run(serving) })
	group.Go(func() { n.suspects.Run(serving) })
	group.Go(func() { n.dialer.Run(serving) })
	group.Go(func() { n.sweepPool(serving) })
	group.Go(func() { suspension.Watch(serving, n.clock, n.resume) })
	group.Go(func() { n.pollHeld(serving) })
	group.Go(func() { n.heartbeatLoop(serving) })
	group.Go(func() { n.reconcileLoop(serving) })
	group.Go(func() { n.loadConfiguration(serving) })
	group.Go(func() { n.changes.Watch(serving, n.settings.Platform.Watch, n.isWatcher) })

	requests, endRequests := context.WithCancelCause(context.Background())
	defer endRequests(nil)
	callerServer := n.openCallers(requests)
	adminServer := &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: 5 * time.Second}
	group.Go(func() { serve(callerServer, n.connections.Listener(n.callers), n.log) })
	group.Go(func() { n.sweepCallers(serving) })
	group.Go(func() { serve(adminServer, n.admin, n.log) })
	n.log.Info().Stringer("callers", n.callers.Addr()).Stringer("peers", n.transport.Address()).Msg("serving")

	<-ctx.Done()
	n.leave(callerServer, endRequests)
	_ = adminServer.Close()
	stop()
	_ = n.transport.Close()
	group.Wait()
	n.log.Info().Msg("stopped")
	return Error.Wrap(n.counters.Close())
}

// resume replaces connections if the machine was suspended for suspension.Long or more.
// Dispatchers may have ended this process's attempts meanwhile and given their places to
// others; the entry detects that by the clock and ends the attempts.
func (n *Node) resume(slept time.Duration) {
	n.log.Info().Dur("slept", slept).Msg("machine was suspended")
	if slept >= suspension.Long {
		n.transport.Reconnect()
	}
}

// leave announces that this process leaves, which hands over its roles, and waits for
// running requests until the drain timeout. Those that are still running shortly before it are
// ended with endRequests.
func (n *Node) leave(callers *http.Server, endRequests func(error)) {
	n.log.Info().Msg("leaving")
	n.leaving.Store(true)
	n.dialer.Tunnels.Refuse()
	n.mu.Lock()
	n.table.Leave()
	n.mu.Unlock()
	n.sendHeartbeats()
	n.dispatcher.Reconcile()
	time.Sleep(n.settings.Callers.LeaveDelay)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Callers.DrainTimeout)
	defer cancel()
	n.drainCallers(ctx, callers, endRequests)
	n.dialer.Tunnels.Drain(ctx)
}

func serve(s *http.Server, l net.Listener, log zerolog.Logger) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error().Err(err).Msg("listener failed")
	}
}

// loadConfiguration waits at the start until the configuration is loaded, from the
// platform or, if that is unavailable, from the first peer that sends a heartbeat.
func (n *Node) loadConfiguration(ctx context.Context) {
	for ctx.Err() == nil && !n.changes.Loaded() {
		if err := n.changes.CatchUp(ctx); err == nil {
			n.log.Info().Int64("revision", n.changes.Current().Revision).Msg("configuration loaded")
			return
		}
		ticker.Sleep(ctx, time.Second)
	}
}

func (n *Node) configurationChanged(c *catalog.Catalog) {
	n.dispatcher.Configure(c)
	go n.sendHeartbeats() // announces the revision to peers at once
}

func (n *Node) invariantViolated(what string) {
	n.counters.Scope.Counter("invariants_violated").Inc(1)
	n.log.Error().Str("what", what).Msg("invariant violated")
}
