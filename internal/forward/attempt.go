package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/internal/uplink"
)

// spare is an endpoint's whole answer in memory.
type spare struct {
	status int
	header http.Header
	body   []byte
}

const (
	// wholeAnswer is the size up to which an answer is taken whole before any
	// of it is passed on, so that a broken one can be replaced.
	wholeAnswer = 256 << 10
	// smallAnswer bounds, in bytes, what is taken whole without memory set apart for it.
	smallAnswer = 4 << 10
	// restRepeatable and restOnce bound the idle time of kept connections: an
	// endpoint may close one at any moment, and a request that may run only
	// once is lost if that crosses it.
	restRepeatable = 3 * time.Second
	restOnce       = 400 * time.Millisecond
)

// attempt makes one send. It returns true when the request is answered.
func (p *passage) attempt(parent context.Context, r *balance.Reservation) (done bool) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	silence := p.watchSilence(parent, cancel, r.Endpoint.ID)
	defer func() {
		p.next = silence.stop()
		if done && p.next != nil {
			p.takeMove().drop()
		}
	}()
	sent := p.Now()
	exchange, answer, err := p.send(ctx, r)
	if err != nil {
		p.sendFailed(parent, r, err)
		return false
	}
	if answer.HasLoad {
		r.Told(p.Now(), answer.Load)
		if p.place != nil && !answer.NotRun {
			p.BeganAtPlace(p.place, answer.Load.Running)
		}
	}
	silence.heard()
	if answer.Signed && exchange.Response.StatusCode < http.StatusMultipleChoices {
		p.heardNoLimit(r.Endpoint, answer, sent)
	}
	if answer.NotRun {
		p.runs--
		exchange.Close(p.drainSmall(exchange))
		p.rejected(r, answer)
		return false
	}
	if answer.Streamed && exchange.Response.StatusCode < http.StatusMultipleChoices {
		return p.stream(parent, r, exchange, answer, silence)
	}
	return p.plain(parent, r, exchange, answer, silence)
}

func (p *passage) send(ctx context.Context, r *balance.Reservation) (*uplink.Exchange, Answer, error) {
	m := p.message
	m.To, m.Life = r.Endpoint.Address, r.Endpoint.ID
	m.Rest = restOnce
	if p.route.Kind == route.Idempotent {
		m.Rest = restRepeatable
	}
	m.Header = p.Dialect.Encode(p.call, Send{
		Endpoint: r.Endpoint, Wait: max(p.left(), 0), LastEvent: p.last, Priority: p.priority(), Workspace: p.workspaceName(),
		PrefillAt: p.prefill.handle,
	})
	p.noteAgain()
	p.beginSeen()
	p.sends++
	p.runs++
	n := p.line(eventlog.Sent, "", nil)
	n.Endpoint, n.Address, n.Revision = r.Endpoint.ID, r.Endpoint.Address.String(), p.view.Revision
	p.trail.Write(n)
	var answer Answer
	exchange, err := p.Pool.Do(ctx, m, func(resp *http.Response) bool {
		answer = p.Dialect.Read(resp)
		return answer.ID == p.call.ID
	})
	if errors.Is(err, uplink.ErrNotSent) {
		p.sends--
		p.runs--
	}
	p.noteHandle(answer, err)
	return exchange, answer, err
}

// noteAgain notes why a request is sent again, or from which event on.
func (p *passage) noteAgain() {
	switch {
	case p.headSent:
		n := p.line(eventlog.Resumed, p.failure, nil)
		n.Detail = "after event " + p.last
		p.trail.Write(n)
		p.Scope.Counter("streams_resumed").Inc(1)
	case p.sends > 0:
		p.trail.Write(p.line(eventlog.Repeated, p.failure, nil))
		p.Scope.Tagged(map[string]string{"reason": p.failure}).Counter("sends_repeated").Inc(1)
	}
}

// sendFailed judges a send that brought no answer.
func (p *passage) sendFailed(parent context.Context, r *balance.Reservation, err error) {
	result := balance.Failed
	p.failure = "no_answer"
	switch {
	case parent.Err() != nil:
		result = balance.Abandoned
		if errors.Is(context.Cause(parent), context.DeadlineExceeded) {
			result = balance.Failed
		}
	case errors.Is(err, uplink.ErrNotSent):
		result = balance.Unreachable
		p.failure = "unreachable"
	}
	p.endpointFailed(r, result, err)
	if result == balance.Failed {
		p.runCut(parent, r.Endpoint)
	}
}

func (p *passage) endpointFailed(r *balance.Reservation, result balance.Result, err error) {
	p.tried = append(p.tried, r.Endpoint.ID)
	ejected := r.Done(p.Now(), result)
	n := p.line(eventlog.EndpointFailed, p.failure, err)
	n.Endpoint, n.Address = r.Endpoint.ID, r.Endpoint.Address.String()
	p.trail.Write(n)
	if ejected > 0 {
		p.Scope.Counter("endpoints_ejected").Inc(1)
		p.trail.Write(eventlog.Line{Event: eventlog.EndpointEjected, Endpoint: r.Endpoint.ID, Service: p.service, Reason: p.failure, Took: ejected})
	}
}

// rejected takes an endpoint's answer that it did not run the request.
func (p *passage) rejected(r *balance.Reservation, a Answer) {
	p.failure = "endpoints_full"
	p.full = r.Endpoint.ID
	if a.Other {
		p.failure = "address_reused"
		p.Gone(r.Endpoint.ID)
	}
	p.endpointFailed(r, balance.Rejected, nil)
	if p.prefill.handle != nil {
		p.handleRejected(r.Endpoint.ID)
	}
}

// plain takes an answer that is no stream.
func (p *passage) plain(parent context.Context, r *balance.Reservation, x *uplink.Exchange, a Answer, s *silence) bool {
	resp := x.Response
	header := p.Dialect.Passed(resp.Header)
	good := resp.StatusCode < http.StatusMultipleChoices
	most := wholeAnswer
	if good && resp.ContentLength > smallAnswer && !p.hold(min(resp.ContentLength, wholeAnswer)) {
		most = smallAnswer // passed on as it comes, for lack of memory
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(most)+1))
	if err == nil && good && (!a.Signed || a.Encoded) {
		err = Error.New("the answer is not the endpoint's own")
	}
	if err == nil && len(body) > most {
		s.hold() // it has begun, so it cannot move
		return p.passLong(parent, r, x, header, body)
	}
	if err != nil {
		x.Close(false)
		p.sendFailed(parent, r, err)
		return false
	}
	x.Close(true)
	p.Suspects.Completed(p.work())
	answer := &spare{status: resp.StatusCode, header: header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		p.failure = "endpoint_status"
		p.spare = answer
		p.endpointFailed(r, balance.Failed, nil)
		return false
	}
	r.Done(p.Now(), balance.Good)
	p.pass(answer)
	return true
}

// pass gives the caller a whole answer.
func (p *passage) pass(s *spare) {
	if p.headSent {
		p.failure = "answer_after_events"
		p.spare = nil
		p.giveUp()
		return
	}
	copyHeader(p.w.Header(), s.header)
	p.w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	p.w.WriteHeader(s.status)
	_, err := p.w.Write(s.body)
	p.answered(s.status, err)
}

// passLong passes on an answer that is too long to take whole first.
func (p *passage) passLong(parent context.Context, r *balance.Reservation, x *uplink.Exchange, header http.Header, begin []byte) bool {
	copyHeader(p.w.Header(), header)
	if x.Response.ContentLength >= 0 {
		p.w.Header().Set("Content-Length", strconv.FormatInt(x.Response.ContentLength, 10))
	}
	p.w.WriteHeader(x.Response.StatusCode)
	p.headSent = true
	_, err := io.Copy(p.w, io.MultiReader(bytes.NewReader(begin), x.Response.Body))
	x.Close(err == nil)
	if err != nil {
		r.Done(p.Now(), balance.Failed)
		p.failure = "answer_cut"
		p.runCut(parent, r.Endpoint)
		p.giveUp()
	}
	p.Suspects.Completed(p.work())
	r.Done(p.Now(), balance.Good)
	p.answered(x.Response.StatusCode, nil)
	return true
}

// answered notes an answer that was passed on whole, unless err says that the
// caller did not take it.
func (p *passage) answered(status int, err error) {
	took := p.Now().Sub(p.arrived)
	if p.firstEvent > 0 {
		took = p.firstEvent
	}
	p.inTime = err == nil && status < http.StatusMultipleChoices && took <= p.route.Target
	n := p.line(eventlog.Answered, "", err)
	n.Status = status
	n.First, n.Predicted = p.firstEvent, p.predicted
	n.Outcome = "late"
	if p.inTime {
		n.Outcome = "in_time"
	}
	p.trail.Write(n)
	p.Scope.Counter("requests_answered").Inc(1)
	p.Scope.Tagged(map[string]string{"outcome": n.Outcome}).Counter("answers").Inc(1)
	p.Scope.Histogram("answer_seconds", latencyBuckets).RecordDuration(p.Now().Sub(p.arrived))
}

// latencyBuckets cover answers from 5 ms to 20 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// drainSmall reads a short body to its end, so that the connection can be kept.
func (p *passage) drainSmall(x *uplink.Exchange) bool {
	_, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, wholeAnswer))
	return err == nil
}

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
