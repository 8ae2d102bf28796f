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
	topicAnswer   = "entry.held"
	answerTimeout = 5 * time.Second // how long a repeated request waits for a running one
)

// answerStore keeps the answers of requests that may not be repeated. A caller that
// sends the same idempotency key again gets the stored answer instead of a second run.
type answerStore struct {
	mu         sync.Mutex
	limit      int
	all        map[string]*keptAnswer
	requestIDs []string // keys of all, oldest first
}

// keptAnswer is the answer of one request. It is complete once done is closed.
type keptAnswer struct {
	done   chan struct{}
	answer endpoint.Response
	ok     bool
}

// answerRequest asks another entry for the answer of a request that it ran.
type answerRequest struct {
	Request string `cbor:"1,keyasint"`
}

// answerResponse contains the answer if OK is set.
type answerResponse struct {
	OK     bool              `cbor:"1,keyasint"`
	Answer endpoint.Response `cbor:"2,keyasint"`
}

func newAnswerStore(limit int) *answerStore {
	return &answerStore{limit: limit, all: map[string]*keptAnswer{}}
}

// begin adds an answer to be completed and evicts the oldest ones beyond the limit.
func (s *answerStore) begin(request string) *keptAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &keptAnswer{done: make(chan struct{})}
	s.all[request] = a
	s.requestIDs = append(s.requestIDs, request)
	for len(s.requestIDs) > s.limit {
		delete(s.all, s.requestIDs[0])
		s.requestIDs = s.requestIDs[1:]
	}
	return a
}

func (a *keptAnswer) end(answer endpoint.Response, ok bool) {
	a.answer, a.ok = answer, ok
	close(a.done)
}

func (s *answerStore) find(request string) *keptAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[request]
}

// localKeptAnswer returns the answer of a request that this entry ran. It waits for
// up to answerTimeout while the request is running.
func (e *Entry) localKeptAnswer(ctx context.Context, _ peer.Sender, req answerRequest) answerResponse {
	a := e.answers.find(req.Request)
	if a == nil {
		return answerResponse{}
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	select {
	case <-a.done:
		return answerResponse{OK: a.ok, Answer: a.answer}
	case <-ctx.Done():
		return answerResponse{}
	}
}

// KeepAnswer prepares to keep the answer of a request if its kind may not be repeated.
// The caller must call end once, with the answer and whether there is one.
func (e *Entry) KeepAnswer(request, kind string) (end func(answer endpoint.Response, ok bool)) {
	if k, ok := e.options.Catalog().Kinds[kind]; !ok || k.Repeat == catalog.RepeatAllowed {
		return func(endpoint.Response, bool) {}
	}
	return e.answers.begin(request).end
}

// KeptAnswer returns the answer of the request that owns a claim, from the entry that
// ran it. An entry of an earlier build may have kept a service's rejection, which is none.
func (e *Entry) KeptAnswer(ctx context.Context, c claim.Claim) (endpoint.Response, bool) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	req := answerRequest{Request: c.Request}
	if c.Holder == e.options.Owner.Address {
		r := e.localKeptAnswer(ctx, peer.Sender{}, req)
		return r.Answer, r.OK && !r.Answer.Rejects()
	}
	r, err := peer.Call[answerRequest, answerResponse](ctx, e.transport, c.Holder, topicAnswer, req)
	if err != nil {
		return endpoint.Response{}, false
	}
	return r.Answer, r.OK && !r.Answer.Rejects()
}
