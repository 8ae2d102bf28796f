package releases

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
)

// topicAsk is the topic of messages to registrars.
const topicAsk = "release.ask"

const (
	// roleRegistrar is the role of instances that read and write the history for their zone.
	roleRegistrar = "release registrar"
	// registrarsPerZone is how many instances of a zone have the role: one may be gone.
	registrarsPerZone = 2
	// askTimeout bounds the time in which a registrar answers.
	askTimeout = 150 * time.Millisecond
	// attemptDelay is how long an attempt runs alone before the next one begins beside it.
	attemptDelay = 50 * time.Millisecond
	// serveTimeout bounds the work on a call from a peer, which has stopped waiting by then.
	serveTimeout = 2 * askTimeout
	// ownTimeout bounds the work on a call of this instance's own.
	ownTimeout = 3 * time.Second
)

// request asks a registrar to confirm versions or for the versions of services.
type request struct {
	Confirm  []release `cbor:"1,keyasint,omitempty"`
	Services []string  `cbor:"2,keyasint,omitempty"`
}

// fromMemory answers a request to confirm versions that this instance has confirmed: where it may
// send streams, others may. That also holds while the store is away.
func (h *History) fromMemory(q request) (a reply, ok bool) {
	if len(q.Confirm) == 0 || len(q.Services) > 0 {
		return reply{}, false
	}
	h.mu.Lock()
	present := h.epoch // before the check, as a later one may begin during it
	h.mu.Unlock()
	for _, r := range q.Confirm {
		if !h.isConfirmed(r) {
			return reply{}, false
		}
	}
	h.noteAsked(q.Confirm)
	a = reply{Answered: true, Confirmed: true, Versions: map[string][]string{}, Complete: true, Remembered: true}
	for _, service := range q.services() {
		known := h.Known(service)
		a.Versions[service] = known.List
		a.Complete = a.Complete && known.Complete
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Epoch, a.HeardAgo = present, h.Now().Sub(h.heardAt)
	return a, true
}

// services returns all services that a request names.
func (q request) services() []string {
	list := slices.Clone(q.Services)
	for _, r := range q.Confirm {
		list = append(list, r.Service)
	}
	return list
}

// reply answers a request.
type reply struct {
	Answered  bool                `cbor:"1,keyasint"`           // by the store; nothing else counts if it is not set
	Confirmed bool                `cbor:"2,keyasint"`           // the history holds all versions to be confirmed
	Versions  map[string][]string `cbor:"3,keyasint,omitempty"` // of the services that the request names
	Complete  bool                `cbor:"4,keyasint"`
	Epoch     int64               `cbor:"5,keyasint"` // of the store
	// Remembered says that the registrar has not asked the store for it.
	Remembered bool `cbor:"6,keyasint,omitempty"`
	// HeardAgo is how long ago the registrar was last in contact, if it has not asked the store:
	// instances that are cut off together are no contact for each other.
	HeardAgo time.Duration `cbor:"7,keyasint,omitempty"`
}

// errUnreachable is the error of a call if neither a registrar nor this instance reaches the store.
var errUnreachable = errors.New("the history of versions can't be reached")

// errNotHeld is the error of a confirmation after which the history does not hold the version.
var errNotHeld = errors.New("the history does not hold the version")

// registrars returns the registrars of this zone, this instance first if it is one.
func (h *History) registrars() []roster.Instance {
	ranked := h.Roster.Ranked(h.Zone, roleRegistrar)
	list := slices.Clone(ranked[:min(len(ranked), registrarsPerZone)])
	if own := slices.IndexFunc(list, h.isSelf); own > 0 {
		list[0], list[own] = list[own], list[0]
	}
	return list
}

func (h *History) isSelf(i roster.Instance) bool { return i.Name == h.Name }

// isRegistrar reports whether this instance is a registrar of its zone.
func (h *History) isRegistrar() bool { return slices.ContainsFunc(h.registrars(), h.isSelf) }

// attempt is a way to have a request answered.
type attempt func(q request) (reply, error)

// ask has a request answered by the registrars, this instance first if it is one. If they do not
// answer in time, it uses its own access to the store beside them: a stream that is taken up waits
// for the answer. While the store is lost, it does so only if no registrar answers.
func (h *History) ask(q request) (reply, error) {
	var attempts []attempt
	for _, i := range h.registrars() {
		if h.isSelf(i) {
			attempts = append(attempts, h.serveOwn)
		} else {
			attempts = append(attempts, h.callTo(i))
		}
	}
	if h.StoreLost() {
		attempts = append(attempts, h.elsewhere()...)
	}
	last := len(attempts) // of the own access, if this instance is no registrar
	if !h.isRegistrar() {
		attempts = append(attempts, h.serveOwn)
	}
	type result struct {
		reply reply
		err   error
	}
	results := make(chan result, len(attempts))
	started, ended, refused := 0, 0, false
	for {
		if started < len(attempts) && (started != last || !refused || !h.StoreLost()) {
			next := attempts[started]
			go func() {
				a, err := next(q)
				results <- result{a, err}
			}()
			started++
		}
		if ended == started {
			return reply{}, errUnreachable
		}
		select {
		case r := <-results:
			if r.err == nil {
				h.heard(r.reply.HeardAgo)
				return r.reply, nil
			}
			ended++
			refused = refused || errors.Is(r.err, errUnreachable)
		case <-h.nextAttempt(started == last):
		}
	}
}

// elsewhere returns the attempts to have registrars of other zones answer: they may reach the store.
func (h *History) elsewhere() (attempts []attempt) {
	for _, zone := range h.Roster.Zones() {
		if ranked := h.Roster.Ranked(zone, roleRegistrar); zone != h.Zone && len(ranked) > 0 {
			attempts = append(attempts, h.callTo(ranked[0]))
		}
	}
	return attempts
}

// heard notes an answer of the store, or of a peer that was last in contact a time ago.
func (h *History) heard(ago time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heardAt = max(h.heardAt, h.Now().Add(-ago))
}

// nextAttempt returns a channel that says when the next attempt begins beside those under way.
func (h *History) nextAttempt(ownAccess bool) <-chan time.Time {
	if ownAccess && h.StoreLost() {
		return nil
	}
	return time.After(attemptDelay)
}

// callTo returns the attempt to have a registrar answer.
func (h *History) callTo(i roster.Instance) attempt {
	return func(q request) (reply, error) {
		ctx, cancel := context.WithTimeout(context.Background(), h.askTimeout)
		defer cancel()
		a, err := peer.Call[request, reply](ctx, h.Transport, i.Address, topicAsk, q)
		switch {
		case err != nil:
			h.Scope.Counter("release_calls_unanswered").Inc(1)
			return reply{}, fmt.Errorf("asking the registrar %s: %w", i.Name, err)
		case !a.Answered || a.Confirmed != (len(q.Confirm) > 0):
			return reply{}, errUnreachable
		default:
			return a, nil
		}
	}
}

// serveOwn answers a request of this instance by its own access to the store.
func (h *History) serveOwn(q request) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ownTimeout)
	defer cancel()
	return h.serve(ctx, q)
}

// serve answers a request by this instance's access to the store.
func (h *History) serve(ctx context.Context, q request) (reply, error) {
	var s Stored
	var err error
	if len(q.Confirm) > 0 {
		h.noteAsked(q.Confirm)
		s, err = h.writes.do(ctx, adding(q.Confirm))
	} else {
		s, err = h.reads.do(ctx, struct{}{})
	}
	if err != nil {
		h.Scope.Counter("release_failures").Inc(1)
		return reply{}, err
	}
	if slices.ContainsFunc(q.Confirm, func(r release) bool { return !s.holds(r) }) {
		h.Scope.Counter("release_failures").Inc(1)
		return reply{}, errNotHeld
	}
	a := reply{Answered: true, Confirmed: len(q.Confirm) > 0, Versions: map[string][]string{}, Complete: s.complete(), Epoch: s.StoreEpoch}
	for _, service := range q.services() {
		a.Versions[service] = s.Versions[service]
	}
	return a, nil
}
