package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/permit"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/quarantine"
	"github.com/trailshed/trailshed/internal/uplink"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// maxPrefillSends bounds how often the prompt of one request is sent to prefill
	// engines; after that a decode engine computes the prefill.
	maxPrefillSends = 2
	// A prefill times out after prefillTimeoutFactor times its predicted duration plus twice
	// its predicted wait plus prefillTimeoutSlack. Factor and slack are generous, because an
	// aborted prefill is wasted work.
	prefillTimeoutFactor = 4
	prefillTimeoutSlack  = 800 * time.Millisecond
	// handleLifePercent is the percentage of a KV cache's lifetime after which it counts as
	// expired; the rest is left for the transfer to the decode engine.
	handleLifePercent = 70
	// maxHandleRejections is how many decode engines may reject a KV cache before a decode
	// engine is asked to compute the prefill itself.
	maxHandleRejections = 2
	// maxPlaceRequests bounds how often one request asks for a place.
	maxPlaceRequests = 5
	// freeTimeout bounds the call that frees a KV cache.
	freeTimeout = 500 * time.Millisecond
	// maxHandleBytes bounds the body that names a handle.
	maxHandleBytes = 4 << 10
)

// prefillState is the state of a prefill on a separate engine.
type prefillState struct {
	handle     *KVHandle // KV cache that waits for a decode engine
	finishedAt clock.Millis
	engine     string   // ID of the prefill engine
	sends      int      // of the prompt to prefill engines
	tried      []string // prefill engines that failed
	rejected   []string // decode engines that rejected the KV cache
	avoid      []string // decode engines that rejected a KV cache that was given up
	// uncertain is set when a decode engine that was sent the handle closed the
	// connection without a response: it may have fetched the KV cache.
	uncertain bool
}

// handleFresh reports whether there is a KV cache that has not expired.
func (p *prefillState) handleFresh(now clock.Millis, lifetime time.Duration) bool {
	return p.handle != nil && now.Sub(p.finishedAt) < lifetime*handleLifePercent/100
}

// engineStep gets a place at engines for the request, runs the prefill there and sends the
// request to the decode engine.
func (p *proxyRequest) engineStep(ctx context.Context) stepResult {
	p.view = p.Directory.View()
	if p.placeRequests >= p.placeLimit {
		return stepGiveUp
	}
	if !p.usesEngines() {
		p.failure = "service_gone" // a newer configuration has removed it, or made it a plain one
		return stepGiveUp
	}
	p.dropStaleHandle()
	p.placeRequests++
	place, refusal := p.findPlace(ctx)
	if place == nil {
		return p.placeRefused(ctx, refusal)
	}
	p.fullEngine, p.failedEngine, p.place, p.timing = "", "", place, responseTiming{}
	p.logPlace(place)
	result := p.usePlace(ctx, place)
	if result != stepBegun {
		p.leavePlace()
	}
	return result
}

// leavePlace gives the request's place back.
func (p *proxyRequest) leavePlace() {
	if p.place == nil {
		return
	}
	p.ReleasePlace(p.place, p.fullEngine, p.failedEngine, p.timing.observation())
	p.place = nil
}

// usePlace runs the prefill at a place and sends the request to its decode engine.
func (p *proxyRequest) usePlace(ctx context.Context, place *broker.Place) stepResult {
	if p.quarantined() {
		return stepGiveUp
	}
	decode := p.findDecoder(place.Decode)
	withPrefill := p.prefill.handle == nil && place.Prefill != ""
	if withPrefill && decode != nil && !p.fitTogether(place.Prefill, decode) {
		p.prefill.sends = maxPrefillSends // a planner of an earlier build does not know versions
		return stepRetry
	}
	if decode == nil || p.anyBackingOff(place) || !p.takePermits(ctx, place, withPrefill) {
		if decode == nil {
			p.tried = append(p.tried, place.Decode)
		}
		return stepRetry
	}
	if !p.mayBegin(ctx, decode) {
		p.returnPermits(place, withPrefill)
		return stepRetry
	}
	send := p.extraSends(false)
	if !p.takeBudget(p.extraSends(withPrefill)) {
		return p.prefillUnaffordable(place, withPrefill)
	}
	if withPrefill && (!p.runPrefill(ctx, place.Prefill) || p.quarantined()) {
		p.returnPermits(place, false)
		p.budget(p.service).Return(p.Now(), send)
		return stepRetry
	}
	r := p.reserveDecoder(place.Decode)
	if r == nil {
		p.returnPermits(place, false)
		p.budget(p.service).Return(p.Now(), send)
		return stepRetry
	}
	if p.begin(ctx, r) {
		return stepBegun
	}
	p.recordFailedEngine(place.Decode)
	return stepRetry
}

// reasonLeft is the failure reason of a request whose endpoint began to leave before it was sent.
const reasonLeft = "endpoint_left"

// reserveDecoder reserves the decode engine of a place right before the send. It returns nil if the engine
// began to leave or to back off while the request waited; a KV cache is then offered to another engine.
func (p *proxyRequest) reserveDecoder(id string) *balance.Reservation {
	decode := p.findDecoder(id)
	if decode == nil {
		p.setDefaultFailure(reasonLeft)
		p.history.add(id + ": " + reasonLeft)
		p.Scope.Counter("places_left").Inc(1)
		p.tried = append(p.tried, id)
		return nil
	}
	r := p.Balancer.ReserveAt(p.Now(), decode)
	if r == nil {
		p.fullEngine = id
	}
	return r
}

// placeRefused ends a request for which the planners have no place. If only a permit is
// missing, a stream that has begun waits for it.
func (p *proxyRequest) placeRefused(ctx context.Context, refusal *placement.Refusal) stepResult {
	p.failure, p.sharePercent = refusal.Reason, refusal.SharePercent
	if refusal.Reason == placement.ReasonNoZone {
		p.failure = p.noEndpointReason()
	}
	p.history.add("no place: " + p.failure)
	if refusal.Reason == placement.ReasonLimited && p.waitToResume(ctx, refusal.RetryAfter) {
		return stepRetry
	}
	criteria := p.endpointCriteria()
	criteria.Withheld = p.Permits.Withheld(p.permitPriority())
	p.setRetryAfter(criteria, refusal.RetryAfter)
	return stepGiveUp
}

// prefillUnaffordable handles a place whose sends the retry budget does not cover: it
// leaves the prefill to a decode engine, or ends the request. Prefill and decode are paid
// for together before the first is sent, because a prefill without its decode is wasted.
func (p *proxyRequest) prefillUnaffordable(place *broker.Place, withPrefill bool) stepResult {
	p.returnPermits(place, withPrefill)
	if !withPrefill || p.prefill.sends == 0 {
		return p.budgetSpent()
	}
	p.prefill.sends = maxPrefillSends // the decode engine computes the prefill too, in one send
	return stepRetry
}

// updateHandle determines whether the KV cache still exists after its handle was sent. An
// engine that closes the connection without a response has usually not fetched the cache, so
// it is offered to the next decode engine first. Another prefill would wait behind those of
// other requests and waste the first.
func (p *proxyRequest) updateHandle(head ResponseHead, err error) {
	switch {
	case err == nil && !head.NotRun:
		p.prefill.handle = nil // fetched
	case errors.Is(err, uplink.ErrNoResponse):
		p.prefill.uncertain = true
	}
}

// handleRejected handles a response that says that a decode engine did not run the request.
// The reason may be that it could not fetch the KV cache, so the engine is not excluded for
// good. A cache that another engine may have fetched is given up.
func (p *proxyRequest) handleRejected(decode string) {
	p.tried = p.tried[:len(p.tried)-1]
	if p.prefill.uncertain {
		p.freeHandle()
		return
	}
	p.prefill.rejected = append(p.prefill.rejected, decode)
}

// dropStaleHandle frees a KV cache that is about to expire or that too many engines
// rejected.
func (p *proxyRequest) dropStaleHandle() {
	h := &p.prefill
	if h.handle == nil {
		return
	}
	lifetime := p.view.Table.Service(p.service).Engine.HandleLife
	if h.handleFresh(p.Now(), lifetime) && len(h.rejected) < maxHandleRejections {
		return
	}
	if !h.uncertain {
		h.sends = maxPrefillSends // leave the prefill to a decode engine
	}
	h.avoid = append(h.avoid, h.rejected...)
	h.rejected = nil
	p.freeHandle()
}

// recordFailedEngine notes which engine failed at this place, unless it was only full. If
// several decode engines rejected the KV cache, its prefill engine is considered to have
// failed.
func (p *proxyRequest) recordFailedEngine(decode string) {
	switch {
	case len(p.prefill.rejected) >= maxHandleRejections:
		p.fullEngine, p.failedEngine = "", p.prefill.engine
	case p.final, p.ownLinkLost, p.failure == reasonLate, p.failure == reasonSilent, p.failure == reasonCanceled: // says nothing about the engine
	case p.fullEngine == "":
		p.failedEngine = decode
	}
}

// runPrefill runs the prefill on the engine with the given ID. It reports whether there is
// a handle now.
func (p *proxyRequest) runPrefill(ctx context.Context, id string) bool {
	e := p.findEngine(id)
	if e == nil {
		p.Permits.Return(id)
		p.prefill.tried = append(p.prefill.tried, id)
		return false
	}
	r := p.Balancer.ReserveAt(p.Now(), e)
	if r == nil {
		p.Permits.Return(id)
		p.fullEngine = id
		return false
	}
	p.prefillAt(ctx, r)
	return p.prefill.handle != nil
}

// anyBackingOff reports whether an engine of a place accepts no requests from this instance
// for now, which the planner may not know. Such an engine is reported to the planner as
// full.
func (p *proxyRequest) anyBackingOff(place *broker.Place) bool {
	for _, id := range []string{place.Decode, place.Prefill} {
		if p.Balancer.InBackoff(p.Now(), id) {
			p.failure, p.fullEngine = "endpoints_rest", id
			return true
		}
	}
	return false
}

// prefillAt sends the prompt to one prefill engine and keeps the handle.
func (p *proxyRequest) prefillAt(parent context.Context, r *balance.Reservation) {
	ctx, cancel := context.WithTimeout(parent, prefillTimeoutSlack+prefillTimeoutFactor*p.place.PrefillTime+2*p.place.PrefillWait)
	defer cancel()
	m := p.message
	m.Address, m.EndpointID, m.MaxIdle, m.Request = r.Endpoint.Address, r.Endpoint.ID, onceMaxIdle, p.call.ID
	m.Again = p.record.Reached(r.Endpoint.ID)
	m.Header = p.Codec.EncodeHeader(p.call, Send{
		Endpoint: r.Endpoint, Wait: max(p.left(), 0), Priority: p.priority(), Workspace: p.workspaceName(), Stage: directory.Prefill,
	})
	p.prefill.sends++
	sent := p.Now()
	attempt := p.record.BeginPrompt(r.Endpoint.ID)
	id, head, err := p.requestPrefill(ctx, m, r.Endpoint)
	attempt.Finish(promptEnd(head, err))
	if err == nil {
		r.Heard(p.Now())
		p.reportNoLimit(r.Endpoint, head, sent)
	}
	unsent := errors.Is(err, uplink.ErrNotSent)
	if unsent {
		p.prefill.sends--
		p.returnUnsent(r.Endpoint.ID, p.prefill.sends)
	}
	if head.HasLoad && !head.addressReused(r.Endpoint) {
		r.ReportLoad(p.Now(), head.Load)
	}
	if err == nil {
		r.Done(p.Now(), balance.Succeeded)
		p.prefill.handle = &KVHandle{Address: r.Endpoint.Address, EndpointID: r.Endpoint.ID, Zone: r.Endpoint.Zone, Software: r.Endpoint.Software, ID: id}
		p.prefill.finishedAt, p.prefill.uncertain = p.Now(), false
		p.prefill.engine = r.Endpoint.ID
		p.ReportPrefillDone(p.place, head.Load.Running, p.prefill.finishedAt.Sub(sent))
		return
	}
	if p.prefill.sends == 1 && !unsent {
		// The request may have reached the engine without being run, so this
		// counts as its first send. Later prefills were paid for when sent.
		p.sends++
	}
	p.prefillFailed(parent, r, head, err, p.timedOutReason(ctx, parent, r, sent))
}

// promptEnd returns how the send of a prompt ended.
func promptEnd(head ResponseHead, err error) attempts.End {
	switch {
	case err == nil:
		return attempts.Answered
	case errors.Is(err, uplink.ErrNotSent):
		return attempts.Unwritten
	case head.NotRun:
		return attempts.Rejected
	default:
		return attempts.BrokenOff
	}
}

// timedOutReason returns why this instance ended a prefill that was sent at a time, or "" if the prefill failed.
func (p *proxyRequest) timedOutReason(ctx, parent context.Context, r *balance.Reservation, sent clock.Millis) string {
	switch {
	case parent.Err() != nil || !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ""
	case p.answersOthers(r, sent):
		return reasonHangs
	default:
		return reasonSilent
	}
}

// prefillFailed records a prefill that brought no KV cache.
func (p *proxyRequest) prefillFailed(parent context.Context, r *balance.Reservation, head ResponseHead, err error, timedOut string) {
	r.Done(p.Now(), p.classifyPrefill(parent, r.Endpoint, head, err, timedOut))
	if parent.Err() != nil {
		return
	}
	p.prefill.tried = append(p.prefill.tried, r.Endpoint.ID)
	p.history.add("prefill at " + r.Endpoint.ID + " failed")
	n := p.logLine(eventlog.PrefillFailed, timedOut, err)
	n.Endpoint, n.Address = r.Endpoint.ID, r.Endpoint.Address.String()
	p.requestLog.Write(n)
}

// classifyPrefill returns the result of a prefill that failed, and notes the engine for the
// planner if it is at fault or full. timedOut is the reason if this instance ended the prefill itself.
func (p *proxyRequest) classifyPrefill(parent context.Context, e *directory.Endpoint, head ResponseHead, err error, timedOut string) balance.Result {
	p.failedEngine = e.ID
	switch {
	case head.addressReused(e):
		p.ReportGone(e.ID)
		return balance.Rejected
	case head.NotRun:
		p.fullEngine, p.failedEngine = e.ID, ""
		return balance.Rejected
	case parent.Err() != nil:
		p.failedEngine = ""
		return balance.Canceled
	case errors.Is(err, uplink.ErrOwnLinks), errors.Is(err, uplink.ErrLate):
		p.failedEngine = ""
		return balance.Canceled
	case errors.Is(err, uplink.ErrUnconfirmed):
		p.failedEngine = ""
		return balance.Unconfirmed
	case errors.Is(err, uplink.ErrSilent):
		return balance.Silent
	case errors.Is(err, uplink.ErrNotSent):
		return balance.Unreachable
	case timedOut == reasonHangs:
		return balance.Failed
	case timedOut != "":
		p.failedEngine = ""
		return balance.Silent
	}
	p.checkProcessEnded(parent, e, quarantine.Prompt{}) // a prompt that is only read has no answer
	if !errors.Is(err, uplink.ErrThroughPeer) && p.LinkLost(e.ID) {
		p.failedEngine = ""
		return balance.Canceled
	}
	return balance.Failed
}

func (p *proxyRequest) requestPrefill(ctx context.Context, m uplink.Message, e *directory.Endpoint) (string, ResponseHead, error) {
	var head ResponseHead
	x, err := p.Pool.Do(ctx, m, p.acceptInto(&head)) //nolint:bodyclose // Exchange.Close closes the connection, or reuses it once the body was read
	if err != nil {
		return "", head, err
	}
	p.logTunnel(x, e)
	if x.Response.StatusCode != http.StatusOK || head.NotRun {
		x.Discard()
		return "", head, Error.New("the prefill engine responded %s", x.Response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, maxHandleBytes+1))
	if err == nil && len(body) > maxHandleBytes {
		err = Error.New("the answer to a prefill exceeds %d bytes", maxHandleBytes)
	}
	if err != nil {
		x.Close(false)
		if x.Peer() != "" {
			err = errors.Join(err, uplink.ErrThroughPeer)
		}
		return "", head, Error.Wrap(err)
	}
	x.Close(true)
	id, err := p.Codec.ReadHandle(body)
	return id, head, err
}

// freeHandle frees a KV cache that will not be used. The cache expires by itself if the
// call fails, so a failure is only counted. No call is made to an engine that backs off,
// whose zone is evacuated or that has no permit left. The call and its response have no ID:
// an engine takes one with an ID for a request to run. So the call has a connection of its
// own, on which no other response can come first and none is left for another request.
func (p *proxyRequest) freeHandle() {
	h := p.prefill.handle
	if h == nil {
		return
	}
	p.prefill.handle, p.prefill.uncertain = nil, false
	if p.Balancer.InBackoff(p.Now(), h.EndpointID) || p.Directory.View().Evacuated[h.Zone] {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if p.Permits.Take(ctx, h.EndpointID, permit.BackgroundPriority) > 0 {
			return
		}
		method, target := p.Codec.FreeRequest(*h)
		x, err := p.Pool.Do(ctx, uplink.Message{
			Address: h.Address, EndpointID: h.EndpointID, Method: method, Target: target, Host: h.Address.String(),
		}, func(*http.Response) bool { return true })
		if err != nil {
			p.Scope.Counter("handle_free_failed").Inc(1)
			return
		}
		x.Close(false)
	}()
}
