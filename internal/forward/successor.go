package forward

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"strconv"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/pkg/clock"
)

// successor is an attempt that runs beside one whose endpoint is silent (a hedged request). It sends the request until a
// response has begun, and writes nothing to the caller.
type successor struct {
	request  *proxyRequest
	ctx      context.Context //nolint:containedctx // the attempt's
	cancel   context.CancelFunc
	from     spending // what had been spent when it was started
	canceled bool     // guarded by the watch's lock
}

// spending is what attempts beside another one have done.
type spending struct {
	sends, prefills, placeRequests int
	tried                          []string // IDs of endpoints that failed
	broke                          []string // IDs of endpoints that broke off a run
	steps                          []string // of the history
	fallback                       *bufferedResponse
}

func (s *spending) add(t spending) {
	s.sends, s.prefills, s.placeRequests = s.sends+t.sends, s.prefills+t.prefills, s.placeRequests+t.placeRequests
	s.tried, s.broke, s.steps = slices.Concat(s.tried, t.tried), slices.Concat(s.broke, t.broke), slices.Concat(s.steps, t.steps)
	if t.fallback != nil {
		s.fallback = t.fallback
	}
}

// spending returns what the successor has done since its start.
func (x *successor) spending() spending {
	q := x.request
	return spending{
		sends: q.sends - x.from.sends, prefills: q.prefill.sends - x.from.prefills, placeRequests: q.placeRequests,
		tried: q.tried[len(x.from.tried):], broke: q.broke, steps: q.history.steps, fallback: q.fallback,
	}
}

// seek sends the request until a response has begun. A panic, which would end the process in this goroutine, ends the
// attempt.
func (x *successor) seek() (begun bool) {
	defer func() {
		if v := recover(); v != nil {
			n := x.request.logLine(eventlog.Panicked, "", nil)
			n.Detail = fmt.Sprintf("%v\n%s", v, debug.Stack())
			x.request.requestLog.Write(n)
			x.request.Scope.Counter("requests_panicked").Inc(1)
		}
	}()
	return x.request.seek(x.ctx) == stepBegun
}

// successorStarter returns a function that starts a successor of an attempt at an endpoint. The function may run in
// another goroutine than the attempt, so what it needs is captured here, and the rest is in the watch.
func (p *proxyRequest) successorStarter(parent context.Context, current *directory.Endpoint) func(s *silenceWatch) *successor {
	base := progress{
		view: p.view, engines: p.engines, sends: p.sends, tried: append(slices.Clone(p.tried), current.ID),
		prefill: prefillState{sends: p.prefill.sends, tried: slices.Clone(p.prefill.tried)},
	}
	prefix, minLeft := "s"+strconv.Itoa(p.placeRequests), minTimeLeft
	if p.usesEngines() {
		minLeft = minAnswerTime
	}
	return func(s *silenceWatch) *successor {
		if p.left() <= minLeft {
			return nil
		}
		planned := p.record.Plan(p.route.Attempts)
		if planned == nil {
			return nil
		}
		x := &successor{}
		x.ctx, x.cancel = context.WithCancel(parent)
		q := &proxyRequest{
			Forwarder: p.Forwarder, arrived: p.arrived, requestLog: p.requestLog, call: p.call, route: p.route, workspace: p.workspace,
			share: p.share, service: p.service, routes: p.routes, deadline: p.deadline, message: p.message, sample: p.sample, beside: x, record: p.record, planned: planned, progress: base,
		}
		others := len(s.successors) // count as having been sent
		q.sends, q.prefill.sends = q.sends+s.spent.sends+others, q.prefill.sends+s.spent.prefills
		q.tried = slices.Concat(base.tried, s.spent.tried)
		q.placePrefix, q.placeLimit = prefix+"-"+strconv.Itoa(s.starts)+"-", maxPlaceRequests
		q.headSent.Store(s.at.begun)
		q.lastEventID, q.version = s.at.lastEventID, s.at.version
		if !q.version.began {
			q.version.software = current.Software // whose KV cache and events fit, whichever of the two begins
		}
		x.request, x.from = q, spending{sends: q.sends, prefills: q.prefill.sends, tried: q.tried}
		q.requestLog.Write(q.endpointLine(eventlog.Silent, "", nil, current))
		q.countSilence("started")
		return x
	}
}

// awaitSuccessor waits for the attempts that ran beside the last one. It returns true if a response of one has begun,
// which is left in p.answer.
func (p *proxyRequest) awaitSuccessor(ctx context.Context) bool {
	select {
	case <-p.hedge.settled:
	case <-ctx.Done():
		return false
	}
	winner, spent := p.hedge.result()
	p.hedge = nil
	p.spend(spent)
	if winner == nil {
		return false
	}
	p.adopt(ctx, winner)
	return true
}

// spend adds what attempts beside the last one have done.
func (p *proxyRequest) spend(s spending) {
	p.sends, p.prefill.sends, p.placeRequests = p.sends+s.sends, p.prefill.sends+s.prefills, p.placeRequests+s.placeRequests
	p.placeLimit += s.placeRequests // which limits the request's own
	p.tried, p.broke = slices.Concat(p.tried, s.tried), slices.Concat(p.broke, s.broke)
	for _, step := range s.steps {
		p.history.add("beside: " + step)
	}
	if s.fallback != nil && !p.headSent.Load() {
		p.fallback = s.fallback
	}
}

// adopt makes the successor's attempt the request's own.
func (p *proxyRequest) adopt(ctx context.Context, x *successor) {
	p.freeHandle()
	q := x.request
	spent := x.spending()
	spent.fallback = nil
	next := q.progress
	next.sends, next.prefill.sends, next.placeRequests = p.sends, p.prefill.sends, p.placeRequests
	next.history, next.fallback, next.placeLimit, next.placePrefix = p.history, p.fallback, p.placeLimit, p.placePrefix
	next.tried, next.broke = p.tried, p.broke
	p.progress = next
	p.spend(spent)
	p.reservedBytes += q.reservedBytes
	p.answer.stopHeld()
	p.answer.stopHeld = p.watchHeld(p.answer.cancel)
	p.silence = p.watchSilence(ctx, p.answer.cancel, p.answer.reservation.Endpoint)
}

// drop releases what an attempt beside another one holds, and ends its response if one has begun.
func (p *proxyRequest) drop() {
	if a := p.answer; a != nil {
		a.exchange.Close(false)
		a.reservation.Done(p.Now(), balance.Canceled)
		p.endAttempt(a, true)
	}
	p.leavePlace()
	p.freeHandle()
	p.releaseMemory()
}

// supersede ends an attempt whose response came after another one's.
func (p *proxyRequest) supersede(a *answer) {
	a.exchange.Close(false)
	p.moved(a.reservation)
}

// moved records that the request goes on at another endpoint than one that was silent. An endpoint that was silent to all
// may go on at any moment, and has not failed. One that answered other requests meanwhile has failed this one.
func (p *proxyRequest) moved(r *balance.Reservation) {
	p.countSilence("moved")
	n := p.endpointLine(eventlog.Moved, reasonSilent, nil, r.Endpoint)
	if p.answersOthers(r, p.heardAt) {
		n.Reason = reasonHangs
		p.requestLog.Write(n)
		p.failure = reasonHangs
		p.endpointFailed(r, balance.Failed, nil)
		return
	}
	p.requestLog.Write(n)
	p.failure = reasonSilent
	p.tried = append(p.tried, r.Endpoint.ID)
	p.history.add(r.Endpoint.ID + ": " + p.failure)
	r.Done(p.Now(), balance.Silent)
}

// reasonHangs is the failure reason of a send that the endpoint has not answered in time, while it answered others.
const reasonHangs = "hangs"

// heard records that an endpoint has sent something in answer to the request.
func (p *proxyRequest) heard(r *balance.Reservation) {
	p.heardAt = p.Now()
	r.Heard(p.heardAt)
}

// answersOthers reports whether an endpoint that the request has not heard since a time has answered others in the second
// half of that silence. In the first half, it may have done so before its own silence began.
func (p *proxyRequest) answersOthers(r *balance.Reservation, since clock.Millis) bool {
	return r.HeardSince(since.Add(p.Now().Sub(since) / 2))
}

// logKept logs that a silent endpoint has gone on before an attempt beside it had a response.
func (p *proxyRequest) logKept() {
	n := p.logLine(eventlog.Kept, "", nil)
	n.Age = p.Now().Sub(p.heardAt)
	p.requestLog.Write(n)
	p.countSilence("kept")
}

// countSilence counts attempts that are started beside silent ones, and what becomes of these.
func (p *proxyRequest) countSilence(outcome string) {
	p.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("silent_attempts").Inc(1)
}
