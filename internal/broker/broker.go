// Package broker finds places for requests at model engines. It runs the planner of this
// instance's zone and serves requests for places from other instances with it, and it sends
// this instance's own requests for places to the planners of all zones. Every instance can
// be a planner. Normally the first instance of a zone in rendezvous order is the planner.
// If it does not respond, the next one is asked, and finally this instance's own planner,
// which then knows only its own requests.
package broker

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Topics of messages between instances.
const (
	topicRequest     = "place.ask"
	topicDecision    = "place.verdict"
	topicProgress    = "place.progress"
	topicRelease     = "place.release"
	topicStageChange = "place.closed"
	topicAnnounce    = "place.announce"
)

// rolePlanner is the role of assigning a zone's engines.
const rolePlanner = "planner"

const (
	// answerTimeout bounds a planner's first answer. A round trip between zones takes 3 ms;
	// a slow instance takes some tens of milliseconds.
	answerTimeout = 50 * time.Millisecond
	// firstContactTimeout replaces answerTimeout for a planner that has not yet answered
	// this process, during the startupPeriod of this process: the connection has to be
	// made, and when all instances start at once, all of them connect to the same few
	// planners. Planning without the planners wastes prefills. After the startup period, a
	// planner that never answered is most likely unreachable.
	firstContactTimeout = 300 * time.Millisecond
	startupPeriod       = 3 * time.Second
	// minBackoff is how long a planner that did not respond is not asked again. It doubles,
	// up to maxBackoff, while the planner does not respond.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// maxSilentPlanners is how many unresponsive planners of a zone one request tries: if
	// two do not respond, the zone is probably unreachable.
	maxSilentPlanners = 2
	// plannerCandidates is how many instances of a zone receive announcements, the planner
	// among them, so that its successor knows which places are taken.
	plannerCandidates = 2
	// announceInterval is how often this instance's places are announced; planners drop
	// places that have not been announced for 2.5 s.
	announceInterval = 400 * time.Millisecond
	// busyTickInterval and idleTickInterval are the intervals at which the local planner
	// advances its time.
	busyTickInterval = 10 * time.Millisecond
	idleTickInterval = 400 * time.Millisecond
	// zoneUseTimeout is how long after its last place a zone still receives announcements.
	zoneUseTimeout = 3 * time.Second
	// decisionGrace is how long a decision may take beyond the time in the planner's queue.
	decisionGrace = 50 * time.Millisecond
)

// Options configure a Broker.
type Options struct {
	Name, Zone string
	Transport  *peer.Transport
	Roster     *roster.Roster
	Directory  *directory.Directory
	Log        *eventlog.Log
	Scope      tally.Scope
	Now        func() clock.Millis
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// Paces is this instance's model of the engines' speed.
	Paces *pace.Model
	// FetchLoad requests the current load of an engine in this instance's zone.
	FetchLoad FetchLoadFunc
	// Exhausted returns the engines of this instance's zone that may get no more requests now,
	// and the time until the first of them may again.
	Exhausted func() (engines []string, next time.Duration)
	// Leaving reports whether this instance is stopping.
	Leaving func() bool
	// OnRequest is called with each request for a place that reaches this instance's planner.
	OnRequest func(req placement.Request)
}

// Broker finds places at engines. Lock order: plannerMu, then mu.
type Broker struct {
	Options
	ticker *ticker.Ticker

	plannerMu sync.Mutex
	planner   *placement.Planner
	view      *directory.View

	mu              sync.Mutex
	places          map[string]*Place
	pending         map[string]chan placement.Decision
	backoffs        map[string]backoff        // by certificate fingerprint
	usedAt          map[string]clock.Millis   // by zone
	responded       map[string]bool           // planners that have answered, by certificate fingerprint
	loadRequestedAt map[string]clock.Millis   // when an engine was asked for its load, by ID
	ownerAddresses  map[string]netip.AddrPort // where decisions are sent, by instance name
	startedAt       clock.Millis              // start of this process

	announceCount  int // used by announce only
	priorityCounts priorityCounts
}

// Place is a request's place at engines, held until Release.
type Place struct {
	placement.Grant
	Zone         string
	prefillPlace *Place // place of the prefill, if another zone's planner assigned it
	request      placement.Request
	planner      roster.Instance
	grantedAt    clock.Millis
}

// New returns a Broker.
func New(o Options) *Broker {
	return &Broker{
		Options: o, ticker: ticker.New(busyTickInterval, idleTickInterval), planner: placement.New(o.Zone, o.Name, o.Paces), view: directory.NewView(nil),
		places: map[string]*Place{}, pending: map[string]chan placement.Decision{},
		backoffs: map[string]backoff{}, usedAt: map[string]clock.Millis{}, responded: map[string]bool{},
		loadRequestedAt: map[string]clock.Millis{}, ownerAddresses: map[string]netip.AddrPort{}, startedAt: o.Now(),
		priorityCounts: newPriorityCounts(o.Scope),
	}
}

// Register adds the handlers of messages from other instances.
func (b *Broker) Register(r *message.Router) {
	peer.HandleCall(r, b.Transport, topicRequest, func(_ context.Context, s peer.Sender, req placement.Request) placement.Decision {
		b.rememberOwner(req.Owner, s.Address)
		return b.decide(req)
	})
	peer.Handle(r, b.Transport, topicDecision, func(_ peer.Sender, d placement.Decision) { b.deliver(d) })
	peer.Handle(r, b.Transport, topicProgress, func(_ peer.Sender, m placement.Progress) { b.handleEvent(m) })
	peer.Handle(r, b.Transport, topicRelease, func(_ peer.Sender, m placement.Release) { b.handleRelease(m) })
	peer.Handle(r, b.Transport, topicStageChange, func(_ peer.Sender, m placement.StageChange) { b.handleEvent(m) })
	peer.Handle(r, b.Transport, topicAnnounce, func(_ peer.Sender, m placement.Announcement) { b.handleAnnounce(m) })
}

// Run announces places and drives the local planner until ctx ends.
func (b *Broker) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { ticker.Every(ctx, announceInterval, b.announce) })
	group.Go(func() { b.ticker.Run(ctx, b.tick) })
	group.Go(func() { b.fetchInitialLoads(ctx) })
	group.Wait()
}

// zones returns this instance's zone, then the other known zones, those of the same region
// first.
func (b *Broker) zones() []string {
	list := []string{b.Zone}
	for _, zone := range b.Roster.Zones() {
		if zone != b.Zone {
			list = append(list, zone)
		}
	}
	regionRank := func(zone string) int {
		if b.Regions[zone] == b.Regions[b.Zone] {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list[1:], func(x, y string) int { return cmp.Compare(regionRank(x), regionRank(y)) })
	return list
}

// findInZone asks the planner of a zone, and the next one if it does not respond.
func (b *Broker) findInZone(ctx context.Context, zone string, req placement.Request) (*Place, *placement.Refusal) {
	silent, last := 0, &placement.Refusal{Reason: placement.ReasonNoEndpoint, RetryAfter: minBackoff}
	for _, i := range b.Roster.Ranked(zone, rolePlanner) {
		if b.isBackingOff(i) || silent == maxSilentPlanners && i.Name != b.Name {
			continue
		}
		asked := b.Now()
		d, answered := b.ask(ctx, i, req)
		if answered {
			if req.MayQueue && handedOver(d) && shorten(&req, b.Now().Sub(asked)) {
				last = d.Refusal
				continue
			}
			return b.placeOrRefusal(i, zone, req, d)
		}
		if ctx.Err() != nil {
			return nil, &placement.Refusal{Reason: placement.ReasonMoved, RetryAfter: minBackoff}
		}
		silent++
		b.markSilent(i)
		b.send(i.Address, topicRelease, placement.Release{ID: req.ID, Owner: b.Name})
	}
	if zone == b.Zone {
		b.handleEvent(b.newAnnouncement(zone))
		return b.findLocal(ctx, req)
	}
	return nil, last
}

func (b *Broker) findLocal(ctx context.Context, req placement.Request) (*Place, *placement.Refusal) {
	return b.placeOrRefusal(roster.Instance{Name: b.Name}, b.Zone, req, b.askLocal(ctx, req))
}

// ask asks a planner, which may be that of this instance. It returns false if the planner did not answer in time.
func (b *Broker) ask(ctx context.Context, i roster.Instance, req placement.Request) (placement.Decision, bool) {
	if i.Name == b.Name {
		return b.askLocal(ctx, req), true
	}
	d, answered := b.askPlanner(ctx, i, req)
	if answered {
		b.markAlive(i)
	}
	return d, answered
}

func (b *Broker) askLocal(ctx context.Context, req placement.Request) placement.Decision {
	waiting := b.addWaiter(req.ID)
	defer b.removeWaiter(req.ID)
	d := b.decide(req)
	if d.Queued {
		d = b.awaitDecision(ctx, waiting, req)
	}
	return d
}

// askPlanner asks the planner of another instance. It returns false if the planner did not answer in time.
func (b *Broker) askPlanner(ctx context.Context, i roster.Instance, req placement.Request) (placement.Decision, bool) {
	waiting := b.addWaiter(req.ID)
	defer b.removeWaiter(req.ID)
	first, cancel := context.WithTimeout(ctx, b.timeoutFor(i))
	defer cancel()
	d, err := peer.Call[placement.Request, placement.Decision](first, b.Transport, i.Address, topicRequest, req)
	if err != nil {
		return placement.Decision{}, false
	}
	if d.Queued {
		d = b.awaitDecision(ctx, waiting, req)
	}
	return d, true
}

// Release frees a place. full names an engine that rejected the request, failed one that
// failed; both may be empty. observed is the timing of the response, nil if it did not
// begin.
func (b *Broker) Release(p *Place, full, failed string, observed *placement.Observation) {
	if p.prefillPlace != nil {
		b.Release(p.prefillPlace, full, failed, nil)
	}
	b.mu.Lock()
	delete(b.places, p.ID)
	b.mu.Unlock()
	if observed != nil && p.planner.Name != b.Name {
		placement.Learn(b.Paces, b.Now(), p.request, p.Grant, 0, *observed)
	}
	b.sendRelease(p.planner, placement.Release{ID: p.ID, Owner: b.Name, FullEngine: full, FailedEngine: failed, Observed: observed})
}

// ReportDecodeStart reports the load that a decode engine stated when it began to answer.
func (b *Broker) ReportDecodeStart(p *Place, running int) {
	b.sendProgress(p, placement.Progress{ID: p.ID, Running: running})
}

// ReportPrefillDone reports that the prefill engine has finished the prefill, the load it
// stated, and how long the prefill took.
func (b *Broker) ReportPrefillDone(p *Place, running int, took time.Duration) {
	if p.prefillPlace != nil {
		p = p.prefillPlace
	}
	if p.PrefillWait == 0 && p.planner.Name != b.Name {
		b.Paces.Learn(b.Now(), pace.Observation{
			Service: p.request.Service, Engine: p.Prefill, Quantity: pace.PrefillTime,
			Size: float64(p.request.Prompt), Outcome: clock.InMillis(took),
		})
	}
	b.sendProgress(p, placement.Progress{ID: p.ID, Running: running, Prefilled: true, Took: took})
}

func (b *Broker) sendProgress(p *Place, m placement.Progress) {
	if p.planner.Name == b.Name {
		b.handleEvent(m)
		return
	}
	b.send(p.planner.Address, topicProgress, m)
}

func (b *Broker) sendRelease(i roster.Instance, r placement.Release) {
	if i.Name == b.Name {
		b.handleRelease(r)
		return
	}
	b.send(i.Address, topicRelease, r)
}

func (b *Broker) send(to netip.AddrPort, topic string, v any) {
	if err := peer.Send(b.Transport, to, topic, v); err != nil {
		b.Scope.Counter("broker_send_failed").Inc(1)
	}
}
