// Package entry runs the requests of the callers connected to this process. It
// asks the dispatcher of a cell for a grant, claims the idempotency keys of requests
// that may not be repeated, runs the attempt on the granted endpoints and retries if
// the repeat rule of the request's kind allows it.
package entry

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/internal/claim"
	"github.com/trailshed/trailshed/internal/dispatcher"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/internal/member"
	"github.com/trailshed/trailshed/internal/notice"
	"github.com/trailshed/trailshed/internal/ownpart"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/suspects"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Error is the class of all errors of this package.
var Error = errs.Class("entry")

// Options are the settings and dependencies of an entry.
type Options struct {
	Owner            cell.Owner
	Zone             string
	AnnounceInterval time.Duration
	OwnerExpiry      time.Duration
	MaxKeptAnswers   int
	Now              func() clock.Millis
	Catalog          func() *catalog.Catalog
	// Dispatcher returns the address of the process that dispatches a cell of the own zone.
	Dispatcher func(catalog.Cell) (netip.AddrPort, bool)
	// Cells lists the known cells with their free capacity.
	Cells func() []member.CellStatus
	// Status returns the status of one known cell.
	Status func(catalog.Cell) (member.CellStatus, bool)
	// Claim and Abandon take and release the claims of requests that may not be repeated.
	Claim   func(ctx context.Context, c claim.Claim, wait time.Duration) claim.Result
	Abandon func(c claim.Claim)
	// Suspects records which requests end the processes of endpoints that run them.
	Suspects *suspects.Suspects
	// Notices holds the endpoints that accept no requests from this process at
	// present, according to their answers.
	Notices *notice.Table[netip.AddrPort]
	// Limits keeps this process to its share of the request rates that endpoints
	// accept from all instances together.
	Limits *ownpart.Limiter
}

// Entry runs the requests that callers send to this process.
type Entry struct {
	options       Options
	transport     *peer.Transport
	client        *endpoint.Client
	scope         tally.Scope
	attempts      *attempts
	answers       *answerStore
	lastAnnounced atomic.Int64 // clock.Millis of the last announcement
	running       sync.Map     // number of running requests by workspace, as *atomic.Int64
}

// New returns an entry that has no requests yet.
func New(o Options, t *peer.Transport, c *endpoint.Client, scope tally.Scope) *Entry {
	e := &Entry{
		options: o, transport: t, client: c, scope: scope,
		attempts: newAttempts(), answers: newAnswerStore(o.MaxKeptAnswers),
	}
	e.lastAnnounced.Store(int64(o.Now()))
	return e
}

// AttemptCount returns how many attempts are queued or running.
func (e *Entry) AttemptCount() int { return e.attempts.count() }

// Register adds the handlers for messages from dispatchers and for requests of other
// entries for kept answers.
func (e *Entry) Register(r *message.Router) {
	peer.Handle(r, e.transport, dispatcher.TopicGrant, func(_ peer.Sender, g cell.Grant) {
		a := e.attempts.find(g.Attempt)
		if a == nil || !a.acceptGrant(g) || !a.deliver(g) {
			// The attempt has ended. Later announcements leave it out, so
			// the dispatcher frees its reservation.
			e.scope.Counter("late_grants").Inc(1)
		}
	})
	peer.Handle(r, e.transport, dispatcher.TopicRefusal, func(_ peer.Sender, f cell.Refusal) {
		if a := e.attempts.find(f.Attempt); a != nil {
			a.deliver(f)
		}
	})
	peer.Handle(r, e.transport, dispatcher.TopicUnknown, func(_ peer.Sender, u cell.UnknownAttempts) {
		for _, id := range u.Attempts {
			if a := e.attempts.find(id); a != nil {
				a.deliver(u)
			}
		}
	})
	peer.Handle(r, e.transport, dispatcher.TopicFenced, func(_ peer.Sender, f cell.Fenced) {
		if a := e.attempts.find(f.Attempt); a != nil {
			e.scope.Counter("fenced").Inc(1)
			a.cancel(errFenced)
		}
	})
	peer.HandleCall(r, e.transport, topicAnswer, e.localKeptAnswer)
}

// Run announces the attempts to their dispatchers at an interval until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	ticker.Every(ctx, e.options.AnnounceInterval, e.announce)
}

func (e *Entry) announce() {
	now := e.options.Now()
	for _, announcement := range e.attempts.announcements(now, e.options.Owner) {
		if to, ok := e.address(announcement.Cell); ok {
			e.send(to, dispatcher.TopicAnnounce, announcement)
		}
	}
	e.lastAnnounced.Store(int64(now))
}

// announcementOverdue reports whether this process, because it was paused or
// overloaded, has not announced its attempts for more than half of OwnerExpiry, so that
// dispatchers may have ended them and granted their slots to others.
func (e *Entry) announcementOverdue() bool {
	last := clock.Millis(e.lastAnnounced.Load())
	return e.options.Now().Sub(last) > e.options.OwnerExpiry/2
}

// address returns the address of the dispatcher of a cell.
func (e *Entry) address(name catalog.Cell) (netip.AddrPort, bool) {
	if name.Zone == e.options.Zone {
		return e.options.Dispatcher(name)
	}
	s, ok := e.options.Status(name)
	return s.Address, ok
}

func (e *Entry) send(to netip.AddrPort, topic string, v any) {
	if err := peer.Send(e.transport, to, topic, v); err != nil {
		e.scope.Counter("entry_send_failed").Inc(1)
	}
}

// reportProgress sets the phase of an attempt and reports it to the dispatcher.
func (e *Entry) reportProgress(a *attempt, p cell.Progress) {
	p.Cell, p.Attempt = a.request.Cell, a.request.Attempt
	a.setPhase(p.Phase)
	if to, ok := e.address(a.request.Cell); ok {
		e.send(to, dispatcher.TopicProgress, p)
	}
}

// startRequest counts a request against the workspace's limit of running requests; 0
// means no limit. If the limit is not exceeded, done must be called at the end of the
// request.
func (e *Entry) startRequest(workspace string, limit int) (done func(), ok bool) {
	value, _ := e.running.LoadOrStore(workspace, &atomic.Int64{})
	count, _ := value.(*atomic.Int64)
	if count.Add(1) > int64(limit) && limit > 0 {
		count.Add(-1)
		return nil, false
	}
	return func() { count.Add(-1) }, true
}
