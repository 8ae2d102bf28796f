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

// eventBytes bounds one event of a stream.
const eventBytes = 64 << 10

// stream passes events on as they come. It returns false if the stream broke
// and may go on at another endpoint.
func (p *passage) stream(parent context.Context, r *balance.Reservation, x *uplink.Exchange, a Answer, s *silence) bool {
	if !a.Signed || a.Encoded {
		x.Close(false)
		p.sendFailed(parent, r, Error.New("the stream is not the endpoint's own"))
		return false
	}
	p.unread = 0
	events := bufio.NewReader(x.Response.Body)
	for {
		event, id, err := readEvent(events)
		if err != nil {
			return p.streamEnded(parent, r, x, event, err)
		}
		s.hold()
		began := p.Now()
		passed := p.passEvent(x, event)
		p.unread = max(p.unread, p.Now().Sub(began))
		s.heard()
		if !passed {
			x.Close(false)
			r.Done(p.Now(), balance.Abandoned)
			p.trail.Write(p.line(eventlog.Cancelled, "caller_left", nil))
			return true
		}
		p.seen.event(p.Now())
		if id != "" {
			p.last = id
		}
	}
}

func (p *passage) passEvent(x *uplink.Exchange, event []byte) bool {
	if !p.headSent {
		copyHeader(p.w.Header(), p.Dialect.Passed(x.Response.Header))
		p.w.WriteHeader(x.Response.StatusCode)
		p.headSent = true
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

// unreadTime is the stall of a caller from which on a broken stream is put down to it:
// endpoints cut off after some seconds what nobody reads. Data in flight still arrives
// then, so that the cut is seen later.
const unreadTime = time.Second

// cutUnread notes a stream that its endpoint cut for the caller's stall. That is no failure
// of the endpoint; the stream may resume elsewhere.
func (p *passage) cutUnread(r *balance.Reservation, err error) {
	p.failure = "answer_unread"
	p.Scope.Counter("answers_cut_unread").Inc(1)
	p.endpointFailed(r, balance.Abandoned, err)
}

// streamEnded judges the end of an endpoint's stream: whole only if it ended
// where HTTP says it does, between two events.
func (p *passage) streamEnded(parent context.Context, r *balance.Reservation, x *uplink.Exchange, rest []byte, err error) bool {
	if !errors.Is(err, io.EOF) || len(rest) > 0 {
		x.Close(false)
		if p.unread >= unreadTime {
			p.cutUnread(r, err)
			return false
		}
		p.sendFailed(parent, r, err)
		p.failure = "stream_cut"
		return false
	}
	if !p.headSent {
		p.passEvent(x, nil)
	}
	x.Close(true)
	p.Suspects.Completed(p.work())
	p.seen.ended = true
	r.Done(p.Now(), balance.Good)
	p.answered(x.Response.StatusCode, nil)
	return true
}

// readEvent reads up to and with the empty line that ends an event, and finds
// its id. What it read of an unfinished event comes with the error.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	partial := false
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, "", err
		}
		if len(event) > eventBytes {
			return event, "", Error.New("an event is over %d bytes", eventBytes)
		}
		whole := !partial
		partial = err != nil
		if partial || !whole {
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
