package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
)

// reasonUnfinished is the reason why a request ended whose caller did not send all of its body.
const reasonUnfinished = "body_unfinished"

// readBody reads the body into memory, since it may have to be sent again.
func (p *proxyRequest) readBody(r *http.Request) bool {
	p.message.HasBody = r.ContentLength != 0
	if !p.message.HasBody {
		return true
	}
	p.limitBodyTime(p.left())
	limit := p.view.Table.Limits.BodyBytes
	if r.ContentLength > limit {
		p.reject(http.StatusRequestEntityTooLarge, "body_too_large", Error.New("the body is over %d bytes", limit))
		return false
	}
	var err error
	switch {
	case !p.reserveMemory(max(r.ContentLength, 0)):
		err = errMemoryFull
	case r.ContentLength > 0:
		p.message.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, p.message.Body)
		if err == nil {
			// Reads EOF: only then does the server detect a caller that disconnects.
			_, err = r.Body.Read(make([]byte, 1))
			if errors.Is(err, io.EOF) {
				err = nil
			}
		}
	default:
		p.message.Body, err = io.ReadAll(memoryReader{io.LimitReader(r.Body, limit+1), p})
	}
	if errors.Is(err, errMemoryFull) {
		p.refuse("body_memory_full", retryAfterBusy)
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && p.stopping.ended.Load() {
		p.refuse(reasonStops, retryAfterElsewhere)
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		p.w.Header().Set("Connection", "close")
		p.reject(http.StatusRequestTimeout, reasonUnfinished, err)
		return false
	}
	if err != nil {
		reason := reasonUnfinished
		if p.stopping.ended.Load() {
			reason = reasonStops // the instance itself closes connections
		}
		p.writeLast(p.logLine(eventlog.Cancelled, reason, err))
		panic(http.ErrAbortHandler)
	}
	if int64(len(p.message.Body)) > limit {
		p.reject(http.StatusRequestEntityTooLarge, "body_too_large", Error.New("the body is over %d bytes", limit))
		return false
	}
	// A deadline would also end the server's detection of a caller that disconnects.
	p.setReading(false, time.Time{})
	return true
}

// limitBodyTime sets how long the body may take to arrive. It holds for what the server still reads after an answer to
// a request whose body was not read to its end, too.
func (p *proxyRequest) limitBodyTime(left time.Duration) {
	p.setReading(true, time.Now().Add(left))
}

// unreadBodyTimeout is how long an answer that does not need the body waits for the rest of it: the server reads a
// short body before it sends the answer.
const unreadBodyTimeout = time.Second
