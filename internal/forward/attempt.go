package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/uplink"
)

// bufferedResponse is an endpoint's complete response, held in memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

const (
	// maxBufferedBytes is the size up to which a response is read completely before any of
	// it is passed on, so that a broken one can be replaced.
	maxBufferedBytes = 256 << 10
	// maxUnreservedBytes bounds the response that is buffered without reserving memory for
	// it.
	maxUnreservedBytes = 4 << 10
	// repeatableMaxIdle and onceMaxIdle bound the idle time of a reused connection. An
	// endpoint may close an idle connection at any moment, and a request that may run only
	// once is lost if it crosses the close.
	repeatableMaxIdle = 3 * time.Second
	onceMaxIdle       = 400 * time.Millisecond
)

// answer is an endpoint's response that has begun.
type answer struct {
	reservation *balance.Reservation
	exchange    *uplink.Exchange
	head        ResponseHead
	cancel      context.CancelFunc // ends the attempt
	stopHeld    func()             // see watchHeld

	// Of a stream:
	events  *bufio.Reader
	event   []byte // the first one
	eventID string
	err     error // of reading the first event

	body []byte // of another response, up to its end or its first part
	long bool   // there is more of it
}

// begin sends the request once and reads the response up to its first event or, if it is no stream, up to its
// end or the size that is buffered. If it returns true, the response is in p.answer.
func (p *proxyRequest) begin(parent context.Context, r *balance.Reservation) bool {
	ctx, cancel := context.WithCancel(parent)
	a := &answer{reservation: r, cancel: cancel, stopHeld: p.watchHeld(cancel)}
	if p.read(ctx, parent, a) {
		p.answer = a
		return true
	}
	p.endAttempt(a, false)
	return false
}

// endAttempt ends an attempt. Unless it has answered the caller, the request goes on by those that run beside it.
func (p *proxyRequest) endAttempt(a *answer, answered bool) {
	a.stopHeld()
	a.cancel()
	p.answer = nil
	if !answered {
		p.silence.end()
		p.hedge = p.silence
	} else {
		p.silence.stop()
	}
	p.silence = nil
}

// read sends the request and reads the response as begin does.
func (p *proxyRequest) read(ctx, parent context.Context, a *answer) bool {
	sent := p.Now()
	exchange, head, err := p.send(ctx, a.reservation, func() { p.silence = p.watchSilence(parent, a.cancel, a.reservation.Endpoint) })
	if err != nil {
		p.sendFailed(parent, a.reservation, err)
		return false
	}
	a.exchange, a.head = exchange, head
	p.heard(a.reservation)
	if head.HasLoad && !head.addressReused(a.reservation.Endpoint) {
		a.reservation.ReportLoad(p.Now(), head.Load)
		p.recordLoad(a.reservation.Endpoint, head)
		if p.place != nil && !head.NotRun {
			p.ReportDecodeStart(p.place, head.Load.Running)
		}
	}
	if !head.NotRun {
		p.attempt.Finish(attempts.Answered)
		p.countUnmarked(exchange.Response.StatusCode)
	}
	good := exchange.Response.StatusCode < http.StatusMultipleChoices
	if head.Signed && good {
		p.reportNoLimit(a.reservation.Endpoint, head, sent)
	}
	if head.NotRun {
		p.finishNotRun(attempts.Rejected)
		exchange.Discard()
		p.endpointRejected(a.reservation, head)
		return false
	}
	streams := head.Streamed && good
	if p.headSent.Load() && !streams || p.beside != nil && !head.Signed {
		exchange.Close(false)
		p.failure = "unfit_answer"
		p.endpointFailed(a.reservation, balance.Failed, nil)
		return false
	}
	if streams {
		return p.readFirstEvent(parent, a)
	}
	return p.readPlain(parent, a)
}

// countUnmarked counts statuses that promise a caller that its request did not run, of responses whose endpoints do not
// state that.
func (p *proxyRequest) countUnmarked(status int) {
	if attempts.PromisesNotRun(status) {
		p.Scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("unmarked_statuses").Inc(1)
	}
}

// send sends the request and reads the head of the response. It calls counted when the send has been counted.
func (p *proxyRequest) send(ctx context.Context, r *balance.Reservation, counted func()) (*uplink.Exchange, ResponseHead, error) {
	m := p.message
	m.Address, m.EndpointID, m.Request = r.Endpoint.Address, r.Endpoint.ID, p.call.ID
	m.MaxIdle, m.Again = onceMaxIdle, p.record.Reached(r.Endpoint.ID)
	if p.route.Kind == route.Idempotent {
		m.MaxIdle = repeatableMaxIdle
	}
	m.Header = p.Codec.EncodeHeader(p.call, Send{
		Endpoint: r.Endpoint, Wait: max(p.left(), 0), LastEventID: p.lastEventID, Priority: p.priority(), Workspace: p.workspaceName(),
		KVHandle: p.prefill.handle,
	})
	if !p.beginSend(r.Endpoint.ID) {
		p.returnUnsent(r.Endpoint.ID, p.sends)
		return nil, ResponseHead{}, Error.Wrap(errWithdrawn)
	}
	p.logResend()
	p.startTiming()
	p.sends++
	p.ownLinkLost = false
	p.events, p.wroteOn, p.sentAt = 0, false, p.Now()
	p.heardAt = p.sentAt
	n := p.endpointLine(eventlog.Sent, "", nil, r.Endpoint)
	n.Revision = p.view.Revision
	p.requestLog.Write(n)
	counted()
	var head ResponseHead
	exchange, err := p.Pool.Do(ctx, m, p.acceptInto(&head)) //nolint:bodyclose // Exchange.Close closes the connection, or reuses it once the body was read
	if errors.Is(err, uplink.ErrNotSent) {
		p.sends--
		p.finishNotRun(attempts.Unwritten)
		p.returnUnsent(r.Endpoint.ID, p.sends)
	}
	p.throughPeer = exchange != nil && exchange.Peer() != "" || errors.Is(err, uplink.ErrThroughPeer)
	p.logTunnel(exchange, r.Endpoint)
	p.updateHandle(head, err)
	return exchange, head, err
}

// errWithdrawn is the error of a send that is not made since the request has ended, or may not be sent any more, without
// this attempt beside it.
var errWithdrawn = errors.New("the send was withdrawn")

// acceptInto returns a function that accepts the response to the request and keeps its head. What the head of another
// response says belongs to another request.
func (p *proxyRequest) acceptInto(head *ResponseHead) func(*http.Response) bool {
	return func(r *http.Response) bool {
		h := p.Codec.ReadHead(r)
		if h.RequestID != p.call.ID {
			return false
		}
		*head = h
		return true
	}
}

// logTunnel logs that a send went through a peer.
func (p *proxyRequest) logTunnel(x *uplink.Exchange, e *directory.Endpoint) {
	if x == nil || x.Peer() == "" {
		return
	}
	n := p.logLine(eventlog.TunnelOpened, "", nil)
	n.Endpoint, n.Address, n.Peer, n.Wait = e.ID, e.Address.String(), x.Peer(), x.ConnectTime()
	p.requestLog.Write(n)
}

// logResend logs why a request is sent again, or after which event a stream resumes.
func (p *proxyRequest) logResend() {
	switch {
	case p.headSent.Load():
		n := p.logLine(eventlog.Resumed, p.failure, nil)
		n.Software, n.Detail = p.version.software, "after event "+p.lastEventID
		p.requestLog.Write(n)
		p.Scope.Counter("streams_resumed").Inc(1)
	case p.sends > 0:
		p.requestLog.Write(p.logLine(eventlog.Repeated, p.failure, nil))
		p.Scope.Tagged(map[string]string{"reason": p.failure}).Counter("sends_repeated").Inc(1)
	}
}

// sendFailed classifies a send that brought no complete, signed response and reports it to
// the balancer.
func (p *proxyRequest) sendFailed(parent context.Context, r *balance.Reservation, err error) {
	p.attempt.Finish(attempts.BrokenOff)
	if p.silence.superseded() {
		p.moved(r)
		return
	}
	result := balance.Failed
	p.failure = "no_answer"
	switch {
	case p.cancelledHeld.Load():
		result, p.failure = balance.Canceled, reasonCrashingPart
	case errors.Is(err, errWithdrawn), parent.Err() != nil && (p.beside != nil || !errors.Is(context.Cause(parent), context.DeadlineExceeded)):
		p.failure = reasonCanceled
		p.history.add(r.Endpoint.ID + ": " + p.failure)
		r.Done(p.Now(), balance.Canceled)
		return
	case parent.Err() != nil:
	case errors.Is(err, uplink.ErrOwnLinks):
		result, p.failure = balance.Canceled, reasonOwnLinks
	case errors.Is(err, uplink.ErrLate):
		result, p.failure = balance.Canceled, reasonLate
	case errors.Is(err, uplink.ErrUnconfirmed):
		result, p.ownLinkLost = balance.Unconfirmed, true
		p.failure = "unreachable"
	case errors.Is(err, uplink.ErrSilent):
		result, p.failure = balance.Silent, "unreachable"
	case errors.Is(err, uplink.ErrNotSent):
		result = balance.Unreachable
		p.failure = "unreachable"
	}
	if result == balance.Failed {
		p.checkProcessEnded(parent, r.Endpoint, p.suspectPrompt())
		p.ownLinkLost = !p.throughPeer && p.LinkLost(r.Endpoint.ID)
	}
	if result != balance.Unconfirmed && (p.ownLinkLost || p.failure == reasonOwnLinks) {
		p.ownLinkLost, p.failure = true, reasonOwnLinks
		result = balance.Canceled // says nothing about the endpoint
	}
	p.endpointFailed(r, result, err)
}

// reasonOwnLinks is the failure reason of a send for which neither this instance nor a peer had a
// link to the endpoint.
const reasonOwnLinks = "links_lost"

// reasonSilent is the failure reason of a send that this instance cancelled after another endpoint had spoken first.
const reasonSilent = "silent"

// reasonCanceled is the failure reason of a send that is not needed any more.
const reasonCanceled = "canceled"

// reasonLate is the failure reason of a send for which no connection came up while this instance was late
// itself.
const reasonLate = "instance_late"

func (p *proxyRequest) endpointFailed(r *balance.Reservation, result balance.Result, err error) {
	p.tried = append(p.tried, r.Endpoint.ID)
	if result == balance.Failed {
		p.broke = append(p.broke, r.Endpoint.ID)
	}
	p.history.add(r.Endpoint.ID + ": " + p.failure)
	ejected := r.Done(p.Now(), result)
	p.requestLog.Write(p.endpointLine(eventlog.EndpointFailed, p.failure, err, r.Endpoint))
	if ejected > 0 {
		p.Scope.Counter("endpoints_ejected").Inc(1)
		p.requestLog.Write(eventlog.Line{Event: eventlog.EndpointEjected, Endpoint: r.Endpoint.ID, Service: p.service, Reason: p.failure, Took: ejected})
	}
}

// endpointRejected handles a response that says that the endpoint did not run the request.
func (p *proxyRequest) endpointRejected(r *balance.Reservation, head ResponseHead) {
	p.failure = "endpoints_full"
	p.fullEngine = r.Endpoint.ID
	if head.addressReused(r.Endpoint) {
		p.failure = "address_reused"
		p.ReportGone(r.Endpoint.ID)
	}
	p.endpointFailed(r, balance.Rejected, nil)
	if p.prefill.handle != nil {
		p.handleRejected(r.Endpoint.ID)
	}
}

// readPlain reads a response that is not a stream.
func (p *proxyRequest) readPlain(parent context.Context, a *answer) bool {
	resp := a.exchange.Response
	good := resp.StatusCode < http.StatusMultipleChoices
	var err error
	if good && (!a.head.Signed || a.head.Reencoded) {
		err = Error.New("the response is unsigned or was re-encoded on the way")
	} else {
		a.body, a.long, err = p.readBeginning(resp.Body)
	}
	if err == nil && len(a.body) > maxBufferedBytes && !a.head.Signed {
		err = Error.New("an unsigned response exceeds %d bytes", maxBufferedBytes)
	}
	if err != nil {
		a.exchange.Close(false)
		p.sendFailed(parent, a.reservation, err)
		return false
	}
	switch {
	case attempts.PromisesNotRun(resp.StatusCode):
		p.unmarkedStatus(a)
		return false
	case resp.StatusCode >= http.StatusInternalServerError:
		a.exchange.Close(!a.long)
		p.failure = reasonEndpointStatus
		if !a.long {
			p.fallback = &bufferedResponse{status: resp.StatusCode, header: p.Codec.CallerHeader(resp.Header), body: a.body}
		}
		p.endpointFailed(a.reservation, balance.Failed, nil)
		return false
	}
	return true
}

// reasonEndpointStatus is the failure reason of a send that the endpoint answered with a failure of its own.
const reasonEndpointStatus = "endpoint_status"

// unmarkedStatus ends an attempt whose endpoint answered with a status that promises a caller that its request did not
// run, and did not state that. Such a response is never passed on: the endpoint may have run the request.
func (p *proxyRequest) unmarkedStatus(a *answer) {
	a.exchange.Close(!a.long)
	p.failure = reasonEndpointStatus
	result := balance.Failed
	if a.exchange.Response.StatusCode < http.StatusInternalServerError {
		// An application answers so to some of its callers, which says nothing of its endpoint or of others.
		result, p.final = balance.Succeeded, true
	}
	p.endpointFailed(a.reservation, result, Error.New("%s, without stating that the request did not run", a.exchange.Response.Status))
}

// readBeginning reads a body to its end, or more than maxBufferedBytes of it, or as much as there is memory for. It
// reports whether there may be more.
func (p *proxyRequest) readBeginning(r io.Reader) (body []byte, more bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r, maxUnreservedBytes))
	if err != nil || len(body) < maxUnreservedBytes {
		return body, false, err
	}
	rest, err := io.ReadAll(memoryReader{io.LimitReader(r, maxBufferedBytes-maxUnreservedBytes+1), p})
	body = append(body, rest...)
	if errors.Is(err, errMemoryFull) {
		return body, true, nil
	}
	return body, len(body) > maxBufferedBytes, err
}

// deliver passes the response in p.answer on to the caller. It returns true if the caller has been answered or
// has disconnected, and false if the request is to be sent again.
func (p *proxyRequest) deliver(ctx context.Context) (done bool) {
	a := p.answer
	defer func() {
		if !done {
			p.recordFailedEngine(a.reservation.Endpoint.ID)
		}
		p.endAttempt(a, done)
		p.leavePlace()
	}()
	switch {
	case a.events != nil:
		return p.forwardStream(ctx, a)
	case !p.silence.speak():
		p.supersede(a)
		return false
	case a.long:
		return p.copyResponse(ctx, a)
	}
	a.exchange.Close(true)
	p.Suspects.RecordCompletion(p.work())
	if a.exchange.Response.StatusCode < http.StatusMultipleChoices {
		p.recordBegun(p.sentAt)
	}
	a.reservation.Done(p.Now(), balance.Succeeded)
	p.writeBuffered(&bufferedResponse{status: a.exchange.Response.StatusCode, header: p.Codec.CallerHeader(a.exchange.Response.Header), body: a.body})
	return true
}

// writeBuffered sends a buffered response to the caller.
func (p *proxyRequest) writeBuffered(b *bufferedResponse) {
	if p.headSent.Load() {
		p.failure = "answer_after_events"
		p.fallback = nil
		p.giveUp()
		return
	}
	copyHeader(p.w.Header(), b.header)
	p.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	p.w.WriteHeader(b.status)
	if _, err := p.w.Write(b.body); err != nil {
		p.canceled(err)
		return
	}
	p.recordAnswer(b.status)
}

// copyResponse passes on a response that is too long to buffer, starting with the bytes
// already read.
func (p *proxyRequest) copyResponse(ctx context.Context, a *answer) bool {
	resp := a.exchange.Response
	copyHeader(p.w.Header(), p.Codec.CallerHeader(resp.Header))
	if resp.ContentLength >= 0 {
		p.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	p.w.WriteHeader(resp.StatusCode)
	p.beginAnswer()
	_, err := io.Copy(p.w, io.MultiReader(bytes.NewReader(a.body), resp.Body))
	a.exchange.Close(err == nil)
	if err != nil && ctx.Err() != nil {
		a.reservation.Done(p.Now(), balance.Canceled)
		p.contextEnded(ctx)
		return true
	}
	if err != nil {
		a.reservation.Done(p.Now(), balance.Failed)
		p.failure = "answer_cut"
		p.checkProcessEnded(ctx, a.reservation.Endpoint, p.suspectPrompt())
		p.giveUp()
	}
	if resp.StatusCode < http.StatusInternalServerError {
		p.Suspects.RecordCompletion(p.work())
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		p.recordBegun(p.sentAt)
	}
	a.reservation.Done(p.Now(), balance.Succeeded)
	p.recordAnswer(resp.StatusCode)
	return true
}

// beginAnswer notes that the head of the answer has been sent to the caller.
func (p *proxyRequest) beginAnswer() {
	if !p.headSent.Swap(true) {
		p.begun.Add(1)
	}
}

// recordAnswer logs and counts a response that was passed on completely.
func (p *proxyRequest) recordAnswer(status int) {
	took := p.Now().Sub(p.arrived)
	if p.firstEvent > 0 {
		took = p.firstEvent
	}
	p.inTime = status < http.StatusMultipleChoices && took <= p.route.Target
	n := p.logLine(eventlog.Answered, "", nil)
	n.Status = status
	n.TimeToFirst, n.Predicted = p.firstEvent, p.predicted
	n.Outcome = "late"
	if p.inTime {
		n.Outcome = "in_time"
	}
	p.writeLast(n)
	p.Scope.Counter("requests_answered").Inc(1)
	p.Scope.Tagged(map[string]string{"outcome": n.Outcome}).Counter("answers").Inc(1)
	p.recordTime()
	p.Scope.Histogram("answer_seconds", latencyBuckets).RecordDuration(p.Now().Sub(p.arrived))
}

// latencyBuckets cover latencies from 5 ms to 20 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := from[name]; !ok {
			to[name] = nil // keep the server from adding its own
		}
	}
}
