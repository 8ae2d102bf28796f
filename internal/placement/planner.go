// Package placement allocates the KV memory of one zone's decode engines and the time
// of its prefill engines. A single planner covers the whole zone, so that memory is not
// allocated twice and no prompt is prefilled before there is memory to decode it: a
// wasted prefill costs as much as an answer is worth. Decisions are pure: Apply takes
// the time and an event and returns the resulting answers.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/fairshare"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// usableMemoryFraction is the fraction of an engine's KV memory that is allocated.
	// The rest is reserved for rounding up to blocks of 16 tokens and for answers
	// longer than expected.
	usableMemoryFraction = 0.97
	// initialAnswerFraction is the fraction of an expected answer that counts as memory
	// from the start: the requests at an engine are at different points of their
	// answers.
	initialAnswerFraction = 0.5
	// grantGrace is how long an announcement may still omit a new grant.
	grantGrace = 500 * time.Millisecond
	// waitUncertainty is the factor by which an actual wait for capacity may be shorter
	// than predicted. Requests smaller than those queued before them also pass them.
	waitUncertainty = 2
	// ownerExpiry is how long allocations are kept without a message from their owner.
	ownerExpiry = 2500 * time.Millisecond
	// fullBackoff is how long an engine that turned a request away as full gets no
	// others. Its memory is fuller than estimated, and answers end several times a
	// second.
	fullBackoff = 250 * time.Millisecond
	// maxRejectionDoublings bounds the block of an engine that turns requests away without
	// being full: 2 s, about the time in which an engine ends what it runs.
	maxRejectionDoublings = 3
	// stageChangeSlack is added to the duration of a stage change, during which an
	// engine gets no requests unless its new stage shows earlier. The requests that it
	// runs end first.
	stageChangeSlack = 2 * time.Second
	// failureBackoff is how long an engine that failed a request gets others only if no
	// other engine has capacity.
	failureBackoff = time.Second
	// externalLoadAnswerFraction of the time of a typical answer is how long a decode
	// engine's load report is used: by then about that fraction of the reported load
	// has ended.
	externalLoadAnswerFraction = 0.5
	// externalLoadPrompts is the same for prefill engines, in typical prompts.
	externalLoadPrompts = 3
	// unknownPromptDivisor divides an engine's memory to get the assumed prompt length
	// before any was observed: engines are sized to run about ten requests at a time.
	unknownPromptDivisor = 8
	// newEngineInterval is how long grants include the address of a new engine. Changes
	// take up to three seconds to reach all gateways. Empty engines get the most
	// requests, and when thirty were added at once, a hundred requests were passed from
	// grant to grant with engines that their gateways did not know, and a third of them
	// were refused.
	newEngineInterval = 4 * time.Second
	// endedAttemptRetention is how long an ended attempt is remembered, so that a
	// delayed message does not allocate it again.
	endedAttemptRetention = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay in refusals.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Event is an input of a planner: [Request], [Progress], [LoadReport], [Release],
// [StageChange], [Announcement], [ViewUpdate], [HandOver] or [Tick].
type Event interface{ event() }

// ViewUpdate carries the current endpoints of the zone.
type ViewUpdate struct{ View *directory.View }

// Tick lets the planner expire allocations and queued requests.
type Tick struct{}

// HandOver makes the planner refuse all queued requests, so that the next planner is asked.
type HandOver struct{}

func (Request) event()      {}
func (Progress) event()     {}
func (LoadReport) event()   {}
func (Release) event()      {}
func (StageChange) event()  {}
func (Announcement) event() {}
func (ViewUpdate) event()   {}
func (HandOver) event()     {}
func (Tick) event()         {}

// Answer is an effect of Apply: a decision to send to one gateway.
type Answer struct {
	ID       string
	Owner    string
	Priority int  // of the request
	Final    bool // a refusal ends the wait for a place in this zone
	Decision Decision
}

// Planner plans one zone. It is not safe for concurrent use.
type Planner struct {
	zone        string
	instance    string // instance that it runs on
	model       *pace.Model
	engines     map[string]*engine
	viewCount   int // views processed so far
	allocations map[string]*allocation
	ownerSeenAt map[string]clock.Millis // when each owner last sent a message
	ended       map[string]clock.Millis // when each attempt ended
	queue       []queuedRequest
	answers     []Answer
	table       *route.Table                 // configuration of the latest view
	kinds       map[string]*kinds            // by service
	middle      map[string]level             // by service: of requests without a priority
	shares      map[string]*fairshare.Shares // by service: tokens that workspaces hold at decode engines
	weights     map[string]float64           // by workspace
	slownessAt  clock.Millis                 // when the engines' speeds were last read
}

// allocation is what one attempt holds.
type allocation struct {
	req          Request // of an allocation adopted from a previous planner only what it announces is set
	grant        Grant
	grantedAt    clock.Millis
	firstEventAt clock.Millis  // predicted
	tokenTime    time.Duration // predicted time per token
}

// New returns the planner of a zone that runs on an instance. It predicts engine
// timings with the model, which it also updates.
func New(zone, instance string, model *pace.Model) *Planner {
	return &Planner{
		zone: zone, instance: instance, model: model, engines: map[string]*engine{}, allocations: map[string]*allocation{},
		ownerSeenAt: map[string]clock.Millis{}, ended: map[string]clock.Millis{},
		kinds: map[string]*kinds{}, shares: map[string]*fairshare.Shares{},
	}
}

// Apply processes one event and returns the resulting answers.
func (p *Planner) Apply(now clock.Millis, e Event) []Answer {
	p.answers = nil
	switch e := e.(type) {
	case Request:
		p.handleRequest(now, e)
	case Progress:
		p.handleProgress(now, e)
	case LoadReport:
		p.handleLoadReport(now, e)
	case Release:
		p.handleRelease(now, e)
	case StageChange:
		if engine := p.engines[e.Engine]; engine != nil {
			engine.blockedUntil = now.Add(engine.longestRemaining(now) + engine.switchTime + stageChangeSlack)
		}
	case Announcement:
		p.handleAnnouncement(now, e)
	case ViewUpdate:
		p.updateEngines(now, e.View)
	case HandOver:
		p.handOver()
	case Tick:
		p.expire(now)
		p.refreshSlowness(now)
	}
	if mayFreeCapacity(e) {
		p.serveQueue(now)
	}
	return p.answers
}

// mayFreeCapacity reports whether the queue has to be checked after an event. Requests
// and first events only take capacity. They are half of all events, and checking 100
// queued requests takes as long as handling 50 new ones.
func mayFreeCapacity(e Event) bool {
	switch e := e.(type) {
	case Request:
		return false
	case Progress:
		return e.Prefilled
	default:
		return true
	}
}

func (p *Planner) updateEngines(now clock.Millis, v *directory.View) {
	if v.Table == nil {
		return
	}
	p.viewCount++
	p.updateTable(v.Table)
	regroup := false // whether engines are compared with others than before
	for e, data := range v.Engines(p.zone) {
		known := p.engines[e.ID]
		if known == nil {
			known = &engine{addedAt: now, tieBreak: xxhash.Sum64String(p.instance + "\x00" + e.ID)}
			p.engines[e.ID] = known
			regroup = true
		}
		if known.Stage != e.Stage {
			known.blockedUntil = 0 // the stage change is complete
			regroup = true
		}
		known.Endpoint, known.lastView = *e, p.viewCount
		known.capacity = int(usableMemoryFraction * float64(data.KVTokens))
		known.slots = data.Slots
		known.switchTime = data.StageChangeTime()
	}
	for id, e := range p.engines {
		if e.lastView != p.viewCount {
			delete(p.engines, id)
		}
	}
	// The model also holds engines of other zones, learned from gateways.
	p.model.Forget(func(engine string) bool { return v.Find(engine) != nil })
	if regroup {
		p.readSlowness(now)
	}
}

// remaining predicts how much longer the answer takes. One that has exceeded its
// predicted length is probably a long one, and is assumed to continue for
// overrunFraction of the time it took so far.
func (a *allocation) remaining(now clock.Millis) time.Duration {
	left := a.firstEventAt.Add(time.Duration(a.grant.ExpectedTokens) * a.tokenTime).Sub(now)
	return max(left, time.Duration(overrunFraction*float64(now.Sub(a.firstEventAt))))
}

// overrunFraction fits lengths that vary about as much as an exponential distribution,
// truncated at a few times its mean.
const overrunFraction = 0.3

// tokens is the estimated KV memory of the request from its start.
func (a *allocation) tokens() int { return a.req.Prompt + initialTokens(a.grant.ExpectedTokens) }
