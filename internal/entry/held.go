package entry

import (
	"context"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/claim"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/internal/peer"
)

const (
	topicHeld = "entry.held"
	heldWait  = 5 * time.Second // how long a repeated request joins a running one
)

// held keeps the answers of requests that may not be repeated, so that a caller
// that asks again with its key gets the answer and not a second run.
type held struct {
	mu    sync.Mutex
	limit int
	all   map[string]*heldAnswer
	order []string // oldest first
}

// heldAnswer is one request's answer, running until done is closed.
type heldAnswer struct {
	done   chan struct{}
	answer endpoint.Answer
	ok     bool
}

// heldQuestion asks the entry that ran a request for its answer.
type heldQuestion struct {
	Request string `cbor:"1,keyasint"`
}

// heldReply holds the answer when OK.
type heldReply struct {
	OK     bool            `cbor:"1,keyasint"`
	Answer endpoint.Answer `cbor:"2,keyasint"`
}

func newHeld(limit int) *held { return &held{limit: limit, all: map[string]*heldAnswer{}} }

func (h *held) begin(request string) *heldAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := &heldAnswer{done: make(chan struct{})}
	h.all[request] = a
	h.order = append(h.order, request)
	for len(h.order) > h.limit {
		delete(h.all, h.order[0])
		h.order = h.order[1:]
	}
	return a
}

func (a *heldAnswer) end(answer endpoint.Answer, ok bool) {
	a.answer, a.ok = answer, ok
	close(a.done)
}

func (h *held) find(request string) *heldAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.all[request]
}

func (e *Entry) heldHere(ctx context.Context, _ peer.Sender, q heldQuestion) heldReply {
	a := e.held.find(q.Request)
	if a == nil {
		return heldReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, heldWait)
	defer cancel()
	select {
	case <-a.done:
		return heldReply{OK: a.ok, Answer: a.answer}
	case <-ctx.Done():
		return heldReply{}
	}
}

// Hold begins to keep the answer of a request whose kind may not be repeated;
// end must be called once.
func (e *Entry) Hold(request, kind string) (end func(answer endpoint.Answer, ok bool)) {
	if k, ok := e.options.Catalog().Kinds[kind]; !ok || k.Repeat == catalog.RepeatAllowed {
		return func(endpoint.Answer, bool) {}
	}
	return e.held.begin(request).end
}

// Held fetches the answer of the request that has a key.
func (e *Entry) Held(ctx context.Context, c claim.Claim) (endpoint.Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, heldWait)
	defer cancel()
	q := heldQuestion{Request: c.Request}
	if c.Holder == e.options.Owner.Address {
		r := e.heldHere(ctx, peer.Sender{}, q)
		return r.Answer, r.OK
	}
	r, err := peer.Ask[heldQuestion, heldReply](ctx, e.transport, c.Holder, topicHeld, q)
	if err != nil {
		return endpoint.Answer{}, false
	}
	return r.Answer, r.OK
}
