package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/permit"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// prefillSends bounds how often one request's prompt is sent to prefill
	// engines; after that a decode engine reads it.
	prefillSends = 2
	// prefillTimes is how often its predicted time a prefill may take, and
	// prefillSlack how much longer. To break one off has its prompt read for
	// nothing, so both are generous.
	prefillTimes = 4
	prefillSlack = 800 * time.Millisecond
	// handlePart of a KV cache's life, in percent, is used; the rest is the way
	// to the decode engine.
	handlePart = 70
	// handleRejections is how many decode engines may turn a KV cache away
	// before one is asked to read the prompt itself.
	handleRejections = 2
	// asksMost bounds how often places are asked for one request.
	asksMost = 5
	// freeWait bounds the call that frees a KV cache.
	freeWait = 500 * time.Millisecond
	// handleAnswer bounds the body that names a handle, in bytes.
	handleAnswer = 4 << 10
)

// prefill is where a request's prompt was read apart.
type prefill struct {
	handle   *Handle // the KV cache that waits for its decode engine
	readAt   clock.Millis
	readBy   string   // the prefill engine
	sends    int      // of the prompt to prefill engines
	tried    []string // prefill engines that failed
	rejected []string // decode engines that turned the KV cache away
	// uncertain says that a decode engine that was sent the handle ended the
	// connection without an answer: it may have taken the KV cache.
	uncertain bool
}

// fresh says whether the KV cache is still kept.
func (p *prefill) fresh(now clock.Millis, life time.Duration) bool {
	return p.handle != nil && now.Sub(p.readAt) < life*handlePart/100
}

// engineStep finds places for the request at engines, has the prompt read and
// lets it run.
func (p *passage) engineStep(ctx context.Context) progress {
	p.view = p.Directory.View()
	if p.asks >= asksMost {
		return hopeless
	}
	if !p.engine() {
		p.failure = "service_gone" // a new configuration dropped it meanwhile
		return hopeless
	}
	p.dropStaleHandle()
	place, paid, refusal := p.nextPlace(ctx)
	if place == nil {
		return p.withoutPlace(ctx, refusal)
	}
	p.full, p.failed, p.place, p.seen = "", "", place, seen{}
	p.logPlace(place)
	defer func() { p.ReleasePlace(place, p.full, p.failed, p.seen.told()) }()
	if p.held() {
		return hopeless
	}
	decode := p.endpoint(place.Decode)
	reads := p.prefill.handle == nil && place.Prefill != ""
	if decode == nil || p.rests(place) || !p.permitted(ctx, place, reads) {
		if decode == nil {
			p.tried = append(p.tried, place.Decode)
		}
		p.budget(p.service).Return(p.Now(), paid)
		return again
	}
	send := p.extraSends(false)
	if !p.afford(max(p.extraSends(reads)-paid, 0)) {
		return p.unaffordable(place, reads)
	}
	if reads && !p.readPrompt(ctx, place.Prefill) {
		p.unused(place, false)
		p.budget(p.service).Return(p.Now(), send)
		return again
	}
	r := p.Balancer.ReserveAt(p.Now(), decode)
	if r == nil { // it has asked for rest while the prompt was read
		p.full = decode.ID
		p.budget(p.service).Return(p.Now(), send)
		return again
	}
	if p.attempt(ctx, r) {
		return answered
	}
	p.blame(decode.ID)
	return again
}

// withoutPlace ends a request for which planners have no place, or has a stream that has
// begun wait for a permit.
func (p *passage) withoutPlace(ctx context.Context, refusal *placement.Refusal) progress {
	p.failure = refusal.Reason
	if refusal.Reason == placement.ReasonNoZone {
		p.failure = p.withoutEndpoint()
	}
	if refusal.Reason == placement.ReasonLimited && p.waitResumed(ctx, refusal.After) {
		return again
	}
	ask := p.runAsk()
	ask.Withheld = p.Permits.Withheld(p.urgency())
	p.comeBackAfter(ask, refusal.After)
	return hopeless
}

// unaffordable ends a request, or has a decode engine read its prompt, where the retry
// budget does not allow its sends. Both are paid for before the first: a prompt that is
// read and may not go on is read for nothing.
func (p *passage) unaffordable(place *broker.Place, reads bool) progress {
	p.unused(place, reads)
	if !reads || p.prefill.sends == 0 {
		return p.budgetSpent()
	}
	p.prefill.sends = prefillSends // a decode engine reads it, in one send
	return again
}

// noteHandle judges whether the KV cache is still kept after a send with its
// handle. An engine whose connection ends without an answer has mostly not taken
// it, so the next decode engine is offered it before the prompt is read again,
// which would wait behind all others' and leave the first reading without use.
func (p *passage) noteHandle(a Answer, err error) {
	switch {
	case err == nil && !a.NotRun:
		p.prefill.handle = nil // it was taken
	case errors.Is(err, uplink.ErrSevered):
		p.prefill.uncertain = true
	}
}

// handleRejected takes a decode engine's answer that it did not run the request,
// which may be because it could not have the KV cache: the engine is not excluded
// for good. A cache that another engine may have taken is gone then.
func (p *passage) handleRejected(decode string) {
	p.tried = p.tried[:len(p.tried)-1]
	if p.prefill.uncertain {
		p.freeHandle()
		return
	}
	p.prefill.rejected = append(p.prefill.rejected, decode)
}

// dropStaleHandle lets go of a KV cache that lapses or that nobody could take.
func (p *passage) dropStaleHandle() {
	h := &p.prefill
	if h.handle == nil {
		return
	}
	life := p.view.Table.Service(p.service).Engine.HandleLife
	if h.fresh(p.Now(), life) && len(h.rejected) < handleRejections {
		return
	}
	if !h.uncertain {
		h.sends = prefillSends // a decode engine reads the prompt
	}
	h.rejected = nil
	p.freeHandle()
}

// blame notes which engine failed, unless it only had no room. When several
// decode engines turned a KV cache away, its prefill engine is to blame.
func (p *passage) blame(decode string) {
	switch {
	case len(p.prefill.rejected) >= handleRejections:
		p.full, p.failed = "", p.prefill.readBy
	case p.full == "":
		p.failed = decode
	}
}

// readPrompt has a prefill engine read the prompt and keeps the handle.
func (p *passage) readPrompt(ctx context.Context, id string) bool {
	e := p.endpoint(id)
	if e == nil {
		p.prefill.tried = append(p.prefill.tried, id)
		return false
	}
	r := p.Balancer.ReserveAt(p.Now(), e)
	if r == nil {
		p.full = id
		return false
	}
	p.prefillAt(ctx, r)
	return p.prefill.handle != nil
}

// rests says whether an engine of a place wants no requests from this instance now,
// which its planner may not know. The planner is told as of one that is full.
func (p *passage) rests(place *broker.Place) bool {
	for _, id := range []string{place.Decode, place.Prefill} {
		if p.Balancer.Rests(p.Now(), id) {
			p.failure, p.full = "endpoints_rest", id
			return true
		}
	}
	return false
}

// prefillAt sends the prompt to one prefill engine and keeps the handle.
func (p *passage) prefillAt(parent context.Context, r *balance.Reservation) {
	ctx, cancel := context.WithTimeout(parent, prefillSlack+prefillTimes*p.place.Read+2*p.place.Wait)
	defer cancel()
	m := p.message
	m.To, m.Life, m.Rest = r.Endpoint.Address, r.Endpoint.ID, restOnce
	m.Header = p.Dialect.Encode(p.call, Send{
		Endpoint: r.Endpoint, Wait: max(p.left(), 0), Priority: p.priority(), Workspace: p.workspaceName(), Stage: directory.Prefill,
	})
	p.prefill.sends++
	sent := p.Now()
	id, answer, err := p.askHandle(ctx, m)
	if err == nil {
		p.heardNoLimit(r.Endpoint, answer, sent)
	}
	if errors.Is(err, uplink.ErrNotSent) {
		p.prefill.sends--
	}
	if answer.HasLoad {
		r.Told(p.Now(), answer.Load)
	}
	if err == nil {
		r.Done(p.Now(), balance.Good)
		p.prefill.handle = &Handle{At: r.Endpoint.Address, Life: r.Endpoint.ID, Zone: r.Endpoint.Zone, ID: id}
		p.prefill.readAt, p.prefill.uncertain = p.Now(), false
		p.prefill.readBy = r.Endpoint.ID
		p.ReadAtPlace(p.place, answer.Load.Running, p.prefill.readAt.Sub(sent))
		return
	}
	p.prefill.tried = append(p.prefill.tried, r.Endpoint.ID)
	if p.prefill.sends == 1 {
		// It may have arrived without being taken up, and counts as the first
		// arrival then. Later prefills were paid for when they were sent.
		p.sends++
	}
	result := balance.Failed
	p.failed = r.Endpoint.ID
	switch {
	case answer.Other:
		p.Gone(r.Endpoint.ID)
		result = balance.Rejected
	case answer.NotRun:
		p.full, p.failed = r.Endpoint.ID, ""
		result = balance.Rejected
	case parent.Err() != nil:
		result = balance.Abandoned
	case errors.Is(err, uplink.ErrNotSent):
		result = balance.Unreachable
	}
	r.Done(p.Now(), result)
	n := p.line(eventlog.PrefillFailed, "", err)
	n.Endpoint, n.Address = r.Endpoint.ID, r.Endpoint.Address.String()
	p.trail.Write(n)
	if result == balance.Failed {
		p.runCut(parent, r.Endpoint)
	}
}

func (p *passage) askHandle(ctx context.Context, m uplink.Message) (string, Answer, error) {
	var answer Answer
	x, err := p.Pool.Do(ctx, m, func(resp *http.Response) bool {
		answer = p.Dialect.Read(resp)
		return answer.ID == p.call.ID || answer.ID == ""
	})
	if err != nil {
		return "", answer, err
	}
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, handleAnswer))
	if err != nil {
		x.Close(false)
		return "", answer, Error.Wrap(err)
	}
	x.Close(true)
	if x.Response.StatusCode != http.StatusOK || answer.NotRun {
		return "", answer, Error.New("prefill answered %s", x.Response.Status)
	}
	id, err := p.Dialect.Handle(body)
	return id, answer, err
}

// freeHandle gives back a KV cache that will not be used. It lapses by itself
// if the call fails, so the call's outcome is only counted, and it is left to lapse at
// an engine that wants to be left alone, whose zone is evacuated or whose limit has no
// room.
func (p *passage) freeHandle() {
	h := p.prefill.handle
	if h == nil {
		return
	}
	p.prefill.handle, p.prefill.uncertain = nil, false
	if p.Balancer.Rests(p.Now(), h.Life) || p.Directory.View().Evacuated[h.Zone] {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeWait)
		defer cancel()
		if p.Permits.Take(ctx, h.Life, permit.Background) > 0 {
			return
		}
		method, target := p.Dialect.Free(*h)
		x, err := p.Pool.Do(ctx, uplink.Message{
			To: h.At, Life: h.Life, Method: method, Target: target, Host: h.At.String(), Rest: restRepeatable,
		}, func(*http.Response) bool { return true })
		if err != nil {
			p.Scope.Counter("handle_free_failed").Inc(1)
			return
		}
		_, err = io.Copy(io.Discard, x.Response.Body)
		x.Close(err == nil)
	}()
}
