package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
)

// readBody reads the body into memory, since it may have to be sent again.
func (p *proxyRequest) readBody(r *http.Request) bool {
	p.message.HasBody = r.ContentLength != 0
	if !p.message.HasBody {
		return true
	}
	// Setting a deadline fails on a closed connection; the read reports that.
	_ = p.w.control.SetReadDeadline(time.Now().Add(p.left()))
	// A deadline would also end the server's detection of a caller that disconnects.
	defer func() { _ = p.w.control.SetReadDeadline(time.Time{}) }()
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
	if err != nil {
		p.requestLog.Write(p.logLine(eventlog.Cancelled, "body_unfinished", err))
		panic(http.ErrAbortHandler)
	}
	if int64(len(p.message.Body)) > limit {
		p.reject(http.StatusRequestEntityTooLarge, "body_too_large", Error.New("the body is over %d bytes", limit))
		return false
	}
	return true
}
