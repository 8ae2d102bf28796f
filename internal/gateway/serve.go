package gateway

import (
	"context"
	"errors"
	stdlog "log"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-chi/chi/v5"
	"golang.org/x/sys/unix"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/keepalive"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// balancerDelay is how long after SIGTERM new connections may arrive: the balancer
	// checks every second, and removes an instance after two failed checks.
	balancerDelay = 3200 * time.Millisecond
	// removalTime is how long after SIGTERM callers that open a connection may be led to an instance. It is shorter
	// than balancerDelay: most callers learn of the removal sooner.
	removalTime = 2800 * time.Millisecond
	// removalPercent bounds the same time, as a percentage of the grace period, if that is short.
	removalPercent = 35
	// exitMargin is reserved for the exit of the process.
	exitMargin = 250 * time.Millisecond
	// lastAnswersTime is reserved for the answers to requests that are in progress then, beside the time for each of
	// them: lastAnswerLink on a slow link, and lastAnswerWork of a core of speed 1.
	lastAnswersTime = 100 * time.Millisecond
	lastAnswerLink  = time.Millisecond
	lastAnswerWork  = 150 * time.Microsecond
	// exitMarginPercent and lastAnswersPercent bound these times, as percentages of the grace period. Operators count on
	// requests being served until its last sixth.
	exitMarginPercent  = 5
	lastAnswersPercent = 9
	// stopIdleTime is how long nothing has arrived on a connection that is ended in a planned stop. Callers that
	// use theirs more often learn it from an answer.
	stopIdleTime = time.Second
	// stopPollInterval is how often a planned stop looks for such connections.
	stopPollInterval = 20 * time.Millisecond
)

// Run serves until stop is closed or a listener fails, and returns after the shutdown.
func (g *Gateway) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	router, err := g.newRouter()
	if err != nil {
		cancel()
		return err
	}
	var group sync.WaitGroup
	failed := make(chan error, len(g.servers)+1)
	for i, s := range g.servers {
		group.Go(func() { failed <- s.Serve(g.listeners[i]) })
	}
	group.Go(func() { failed <- router.Run(ctx) })
	for _, run := range []func(context.Context){g.feed.Run, g.member.Run, g.broker.Run, g.relay.Run, g.meter.Run, g.shares.Run, g.suspects.Run, g.throttle.Run, g.releases.Run, g.archive.Run, g.streams.Run, g.watchClock, g.sweep, g.duty.Run, g.staging.Run, g.dialer.Run, g.processorWait.Run} {
		group.Go(func() { run(ctx) })
	}
	set := g.settings.Load()
	g.log.Write(eventlog.Line{Event: eventlog.Started, Address: set.Callers.Listen, Zone: set.Instance.Zone, Detail: set.summary()})
	select {
	case <-stop:
		g.stop("told_to_stop", "")
	case err = <-failed:
		g.stop("listener_failed", err.Error())
	}
	g.connections.Abandon()
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.log.Write(eventlog.Line{Event: eventlog.Stopped, Count: g.forwarder.Running(), Detail: g.forwarder.StopOutcomes()})
	g.close = func() error {
		cancel()
		g.pool.Close()
		err := errors.Join(router.Close(), g.transport.Close(), g.counters.Close())
		group.Wait()
		return err
	}
	return Error.Wrap(err)
}

// Close releases the resources that Run leaves open. A process that exits need not call it.
func (g *Gateway) Close() error { return Error.Wrap(g.close()) }

// listen opens the TCP listeners for callers, readiness checks and metrics.
func (g *Gateway) listen() error {
	set := g.settings.Load()
	callers := &http.Server{
		Addr: set.Callers.Listen, Handler: g.forwarder, MaxHeaderBytes: maxHeaderBytes, ConnState: g.limitSendBuffer,
	}
	g.connections = &keepalive.Connections{Now: g.now, Last: g.lastAnswers, OnPanic: g.logPanic, OnUnanswered: keepalive.CountUnanswered(g.counters.Scope)}
	g.connections.Attach(callers)
	ready := &http.Server{Addr: set.Callers.Ready, Handler: g.readiness(), ReadHeaderTimeout: headerTimeout}
	admin := &http.Server{Addr: set.Admin.Listen, Handler: g.admin(), ReadHeaderTimeout: headerTimeout}
	g.servers = []*http.Server{callers, ready, admin}
	for _, s := range g.servers {
		s.ErrorLog = stdlog.New(serverErrors{g.log}, "", 0)
		open := listenTCP
		if s == callers {
			open = g.listenForCallers
		}
		l, err := open(s.Addr)
		if err != nil {
			return Error.Wrap(err)
		}
		g.listeners = append(g.listeners, l)
	}
	return nil
}

func listenTCP(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address) //nolint:wrapcheck // callers wrap it
}

// maxCallerConnections returns the share of this process's descriptors that callers' connections may
// take. The rest serves connections to endpoints, peers and the store.
func maxCallerConnections() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt64 // accept fails by itself when descriptors run out
	}
	return int64(min(limit.Cur, math.MaxInt32)) * callerDescriptorPercent / 100
}

// callerDescriptorPercent is the percentage of the descriptors for callers' connections. Each running
// request needs another descriptor or two.
const callerDescriptorPercent = 40

// Addresses returns the listening addresses for callers and for readiness checks.
func (g *Gateway) Addresses() (callers, ready netip.AddrPort) {
	at := func(i int) netip.AddrPort { return netip.MustParseAddrPort(g.listeners[i].Addr().String()) }
	return at(0), at(1)
}

// newRouter returns a router with the handlers for messages from other instances.
func (g *Gateway) newRouter() (*message.Router, error) {
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: time.Second}, watermill.NopLogger{})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	g.broker.Register(router)
	g.relay.Register(router)
	g.meter.Register(router)
	g.shares.Register(router)
	g.suspects.Register(router)
	g.throttle.Register(router)
	g.releases.Register(router)
	g.streams.Register(router)
	return router, nil
}

// stop continues to serve until the balancer has removed this instance, then waits for
// running requests to finish. Those that have not finished shortly before the end of the grace period are answered as
// far as that is possible.
func (g *Gateway) stop(reason, detail string) {
	started := g.now() // the grace period includes time in which the machine is suspended
	g.leaving.Store(true)
	g.forwarder.Drain(started.Add(g.removalTime()), g.endOfRequests(started))
	g.tunnels.Refuse()
	g.member.Change(g.currentEntry())
	g.log.Write(eventlog.Line{Event: eventlog.Stopping, Reason: reason, Detail: detail, Count: g.forwarder.Running()})
	requestsEnd := func() bool { return g.now() >= g.endOfRequests(started) }
	portEnds := func() bool { return g.now().Sub(started) >= min(balancerDelay, g.settings.Load().Stop.Grace/2) }
	for !portEnds() && !requestsEnd() {
		g.forwarder.Drain(started.Add(g.removalTime()), g.endOfRequests(started)) // the grace period may change
		time.Sleep(stopPollInterval)
	}
	finished := make(chan struct{})
	go func() {
		g.port.Finish()
		close(finished)
	}()
	g.drainConnections(finished, func() bool {
		g.forwarder.Drain(started.Add(g.removalTime()), g.endOfRequests(started))
		return requestsEnd()
	})
	g.broker.HandOver()
	g.forwarder.EndAll()
	exit := max(started.Add(g.settings.Load().Stop.Grace-g.exitMargin()), g.now().Add(g.lastAnswersTime(lastAnswersTime)))
	g.drainConnections(finished, func() bool { return g.now() >= exit })
	ctx, cancel := context.WithTimeout(context.Background(), exit.Sub(g.now()))
	defer cancel()
	g.tunnels.Drain(ctx)
}

// exitMargin returns the time that is reserved for the exit of the process.
func (g *Gateway) exitMargin() time.Duration {
	return min(exitMargin, g.settings.Load().Stop.Grace*exitMarginPercent/100)
}

// lastAnswersTime returns the time that is reserved for the last answers if they are expected to take a time.
func (g *Gateway) lastAnswersTime(expected time.Duration) time.Duration {
	return min(expected, g.settings.Load().Stop.Grace*lastAnswersPercent/100)
}

// removalTime returns how long after the begin of a stop callers may be led to the instance that stops.
func (g *Gateway) removalTime() time.Duration {
	return min(removalTime, g.settings.Load().Stop.Grace*removalPercent/100)
}

// returnShare estimates the share of the callers in this availability zone which, being refused now, are led to an
// instance that stops, this one included. Some of the instances that are known to stop are out of rotation by now;
// others have begun to stop and are not known yet.
func (g *Gateway) returnShare() float64 {
	own := g.settings.Load().Instance
	all, stopping := 1.0, 1.0
	for _, i := range g.roster.Ranked(own.Zone, "") {
		if i.Name == own.Name {
			continue
		}
		all++
		if i.Leaving {
			stopping++
		}
	}
	return stopping / all
}

// endOfRequests returns when requests in progress are to be ended in a stop that has begun at a time, so that all of
// their answers can be written.
func (g *Gateway) endOfRequests(started clock.Millis) clock.Millis {
	set := g.settings.Load()
	work := time.Duration(float64(lastAnswerWork) / set.Processor.Capacity())
	answers := lastAnswersTime + time.Duration(g.forwarder.Running())*(lastAnswerLink+work)
	return started.Add(set.Stop.Grace - g.exitMargin() - g.lastAnswersTime(answers))
}

// drainConnections waits until the port is closed and all callers' connections have ended, after an answer or idle, or
// the time is over.
func (g *Gateway) drainConnections(portClosed <-chan struct{}, over func() bool) {
	ended := func() bool {
		select {
		case <-portClosed:
			return g.connections.Open() == 0
		default:
			return false
		}
	}
	for !ended() && !over() {
		g.connections.EndIdle(stopIdleTime)
		time.Sleep(stopPollInterval)
	}
}

func (g *Gateway) sweep(ctx context.Context) {
	ticker.Every(ctx, sweepInterval, func() {
		g.pool.CloseExpired()
		g.feed.Apply(directory.Tick{})
		g.balancer.Forget(g.directory.View())
		g.feed.DropUnconfirmed()
		g.updateLimit()
		g.updateGauges()
		g.connections.Expire(g.callerTimeouts())
	})
}

// callerTimeouts returns how long callers' connections may be idle, and how long the header of a request may take.
// It is called by one goroutine.
func (g *Gateway) callerTimeouts() (idle, header time.Duration) {
	idle, header = idleTimeout, headerTimeout
	table := g.directory.View().Table
	if table != nil && table.Limits.IdleTimeout > 0 {
		idle = table.Limits.IdleTimeout
	}
	if table != nil && table.Limits.HeaderTimeout > 0 {
		header = table.Limits.HeaderTimeout
	}
	return g.idleLimit.follow(g.now(), idle), header
}

// updateGauges samples the values that are not counted as they change.
func (g *Gateway) updateGauges() {
	scope, v := g.counters.Scope, g.directory.View()
	scope.Gauge("requests_running").Update(float64(g.forwarder.Running()))
	scope.Gauge("requests_limit").Update(float64(g.limit.Value()))
	scope.Gauge("processor_wait_ms").Update(clock.InMillis(g.processorWait.Standing(g.now())))
	scope.Gauge("connect_time_ms").Update(clock.InMillis(g.connectTime.Standing(g.now())))
	scope.Gauge("log_lines_dropped").Update(float64(g.log.Dropped()))
	scope.Gauge("log_lines_sampled").Update(float64(g.log.Sampled()))
	scope.Gauge("instances_known").Update(float64(g.roster.Size()))
	scope.Gauge("store_revision").Update(float64(epoch.Revision(v.Revision)))
	scope.Gauge("store_epoch").Update(float64(epoch.Of(v.Revision)))
	if v.Table != nil {
		scope.Gauge("configuration_version").Update(float64(v.Table.Version))
	}
	scope.Gauge("endpoints_ready").Update(float64(v.Ready))
	scope.Gauge("endpoints_leaving").Update(float64(v.Size() - v.Ready))
	scope.Gauge("zones_evacuated").Update(float64(len(v.Evacuated)))
	scope.Gauge("endpoints_ejected").Update(float64(len(g.balancer.Ejected(g.now()))))
	scope.Gauge("endpoints_slow").Update(float64(g.balancer.Slow(g.now())))
	scope.Gauge("endpoints_unreachable").Update(float64(g.balancer.Unreachable()))
	for service, left := range g.forwarder.RetryBudgetLeft() {
		scope.Tagged(map[string]string{"service": service}).Gauge("budget_left").Update(left)
	}
}

// callerSendBuffer is the size in bytes of the kernel's send buffer of a caller's
// connection. Auto-tuning would let it grow to megabytes, and a blocked write resumes
// only once a third of it is free, so that a slow reader would look like a stalled one.
const callerSendBuffer = 64 << 10

// limitSendBuffer sets the size of a new connection's send buffer.
func (g *Gateway) limitSendBuffer(c net.Conn, state http.ConnState) {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok || state != http.StateNew {
		return
	}
	if err := tcp.SetWriteBuffer(callerSendBuffer); err != nil {
		g.counters.Scope.Counter("connections_unbounded").Inc(1)
	}
}

// ready reports whether new connections should be routed to this instance.
func (g *Gateway) ready() bool {
	return !g.leaving.Load() && g.directory.View().Table != nil && !g.isolated() && g.rotation.In(g.now())
}

// isolated reports whether no changes can reach this instance: the store does not respond,
// and peers do not respond to an instance that was never registered there.
func (g *Gateway) isolated() bool {
	return !g.member.Registered() && g.relay.LostFor() > g.settings.Load().Freshness.Bound()
}

func (g *Gateway) readiness() http.Handler {
	r := chi.NewRouter()
	r.Get(g.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

func (g *Gateway) admin() http.Handler {
	r := chi.NewRouter()
	r.Handle("/metrics", g.counters.Handler)
	return r
}
