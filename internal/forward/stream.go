package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/uplink"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 64 << 10

// forwardStream passes events on as they arrive. It returns false if the stream broke and
// may resume at another endpoint.
func (p *proxyRequest) forwardStream(parent context.Context, r *balance.Reservation, x *uplink.Exchange, head ResponseHead, silence *silenceWatch) bool {
	if !head.Signed || head.Reencoded {
		x.Close(false)
		p.sendFailed(parent, r, Error.New("the stream is unsigned or was re-encoded on the way"))
		return false
	}
	p.longestWrite = 0
	events := bufio.NewReader(x.Response.Body)
	for {
		event, id, err := readEvent(events)
		if err != nil {
			return p.streamEnded(parent, r, x, event, err)
		}
		silence.suspend()
		p.bindVersion(r.Endpoint)
		start := p.Now()
		written := p.writeEvent(x, event)
		p.longestWrite = max(p.longestWrite, p.Now().Sub(start))
		silence.reset()
		if !written {
			x.Close(false)
			r.Done(p.Now(), balance.Canceled)
			p.requestLog.Write(p.logLine(eventlog.Cancelled, "caller_left", nil))
			return true
		}
		p.recordEvent()
		p.timing.event(p.Now())
		if id != "" {
			p.lastEventID = id
		}
	}
}

func (p *proxyRequest) writeEvent(x *uplink.Exchange, event []byte) bool {
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
		return false
	}
	return p.w.control.Flush() == nil
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

// streamEnded handles the end of an endpoint's stream. The stream is complete only if it
// ended where HTTP says so, and between two events. One that ends with its connection must
// have had an event: an engine that ends closes its connections too.
func (p *proxyRequest) streamEnded(parent context.Context, r *balance.Reservation, x *uplink.Exchange, rest []byte, err error) bool {
	if errors.Is(err, io.EOF) && p.events == 0 && x.EndsWithConnection() {
		err = errNoEvent
	}
	if !errors.Is(err, io.EOF) || len(rest) > 0 {
		x.Close(false)
		if p.longestWrite >= callerStallTime {
			p.streamCutForStall(r, err)
			return false
		}
		p.sendFailed(parent, r, err)
		p.failure = "stream_cut"
		return false
	}
	if !p.headSent.Load() {
		p.writeEvent(x, nil)
	}
	x.Close(true)
	p.Suspects.RecordCompletion(p.work())
	if p.events > 0 {
		p.recordBegun(p.begunAt)
	}
	p.timing.ended = true
	r.Done(p.Now(), balance.Succeeded)
	p.recordAnswer(x.Response.StatusCode, nil)
	return true
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
