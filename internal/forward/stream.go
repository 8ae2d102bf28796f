package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/uplink"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 64 << 10

// readFirstEvent reads a stream up to its first event, or to its end before that.
func (p *proxyRequest) readFirstEvent(parent context.Context, a *answer) bool {
	if !a.head.Signed || a.head.Reencoded {
		a.exchange.Close(false)
		p.sendFailed(parent, a.reservation, Error.New("the stream is unsigned or was re-encoded on the way"))
		return false
	}
	p.silence.reset()
	p.longestWrite = 0
	a.events = bufio.NewReader(a.exchange.Response.Body)
	a.event, a.eventID, a.err = readEvent(a.events)
	if a.err == nil || p.endsWhole(a, a.event, a.err) == nil {
		return true
	}
	p.streamBroken(parent, a, a.err)
	return false
}

// forwardStream passes events on as they arrive. It returns false if the stream broke, or another endpoint
// spoke first, and it may go on there.
func (p *proxyRequest) forwardStream(ctx context.Context, a *answer) bool {
	event, id, err := a.event, a.eventID, a.err
	for ; err == nil; event, id, err = readEvent(a.events) {
		if !p.silence.speak() {
			p.supersede(a)
			return false
		}
		p.heard(a.reservation)
		p.bindVersion(a.reservation.Endpoint)
		start := p.Now()
		written := p.writeEvent(a.exchange, event)
		p.longestWrite = max(p.longestWrite, p.Now().Sub(start))
		if id != "" {
			p.lastEventID = id
		}
		if written != nil {
			a.exchange.Close(false)
			a.reservation.Done(p.Now(), balance.Canceled)
			p.canceled(written)
			return true
		}
		p.silence.reset()
		p.recordEvent()
		p.pauses = 0
		p.timing.event(p.Now())
	}
	return p.streamEnded(ctx, a, event, err)
}

func (p *proxyRequest) writeEvent(x *uplink.Exchange, event []byte) error {
	if !p.headSent.Load() {
		copyHeader(p.w.Header(), p.Codec.CallerHeader(x.Response.Header))
		p.w.WriteHeader(x.Response.StatusCode)
		p.beginAnswer()
		p.firstEvent = max(p.Now().Sub(p.arrived), time.Millisecond)
		p.Scope.Histogram("first_event_seconds", latencyBuckets).RecordDuration(p.firstEvent)
		if p.predicted > 0 {
			p.Scope.Histogram("first_event_error_seconds", latencyBuckets).RecordDuration((p.firstEvent - p.predicted).Abs())
		}
	}
	if _, err := p.w.Write(event); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(p.w.control.Flush())
}

// callerStallTime is the length of a write to the caller from which on a broken stream is
// attributed to the caller: endpoints cut a stream that is not read for some seconds. Data
// in flight still arrives after that, so the cut is noticed later.
const callerStallTime = time.Second

// streamCutForStall records a stream that the endpoint cut because the caller stalled. This
// is not a failure of the endpoint, and the stream may resume elsewhere.
func (p *proxyRequest) streamCutForStall(r *balance.Reservation, err error) {
	p.failure = "answer_unread"
	p.Scope.Counter("answers_cut_unread").Inc(1)
	p.endpointFailed(r, balance.Canceled, err)
}

// errNoEvent is the error of a stream that its connection ended before the first event.
var errNoEvent = Error.New("the connection ended before the first event")

// endsWhole returns nil if a stream is complete that ended with err after the bytes in rest, and else
// why it is not. It is complete only if it ended where HTTP says so, and between two events. One that ends with
// its connection must have had an event: an engine that ends closes its connections too.
func (p *proxyRequest) endsWhole(a *answer, rest []byte, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if p.events == 0 && a.exchange.EndsWithConnection() {
		return errNoEvent
	}
	if len(rest) > 0 {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// streamEnded handles the end of an endpoint's stream.
func (p *proxyRequest) streamEnded(ctx context.Context, a *answer, rest []byte, err error) bool {
	if broken := p.endsWhole(a, rest, err); broken != nil {
		p.streamBroken(ctx, a, broken)
		return false
	}
	if !p.silence.speak() {
		p.supersede(a)
		return false
	}
	if !p.headSent.Load() {
		_ = p.writeEvent(a.exchange, nil) // the stream has ended; its caller may have left
	}
	a.exchange.Close(true)
	p.Suspects.RecordCompletion(p.work())
	if p.events > 0 {
		p.recordBegun(p.begunAt)
	}
	p.timing.ended = true
	a.reservation.Done(p.Now(), balance.Succeeded)
	p.recordAnswer(a.exchange.Response.StatusCode)
	return true
}

// streamBroken records a stream that ended before it was complete.
func (p *proxyRequest) streamBroken(ctx context.Context, a *answer, err error) {
	a.exchange.Close(false)
	if p.longestWrite >= callerStallTime {
		p.streamCutForStall(a.reservation, err)
		return
	}
	p.sendFailed(ctx, a.reservation, err)
	if p.failure != reasonSilent {
		p.failure = "stream_cut"
	}
}

// readEvent reads one event up to and including the empty line that ends it, and returns
// its ID. If it fails, it returns the bytes of the unfinished event with the error.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	partial := false
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, "", err
		}
		if len(event) > maxEventBytes {
			return event, "", Error.New("an event exceeds %d bytes", maxEventBytes)
		}
		lineStart := !partial
		partial = err != nil
		if partial || !lineStart {
			continue
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, id, nil
		}
	}
}
