package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
)

// readBody takes the body into memory, as it may have to be sent again.
func (p *passage) readBody(r *http.Request) bool {
	p.message.HasBody = r.ContentLength != 0
	if !p.message.HasBody {
		return true
	}
	// A connection that is closed has no deadline to set; reading tells that it is.
	_ = p.w.control.SetReadDeadline(time.Now().Add(p.left()))
	defer func() { _ = p.w.control.SetReadDeadline(time.Time{}) }() // it would end the watch for the caller's leaving
	most := p.view.Table.Limits.BodyBytes
	if r.ContentLength > most {
		p.reject(http.StatusRequestEntityTooLarge, "body_too_large", Error.New("the body is over %d bytes", most))
		return false
	}
	var err error
	switch {
	case !p.hold(max(r.ContentLength, 0)):
		err = errMemory
	case r.ContentLength > 0:
		p.message.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, p.message.Body)
		if err == nil {
			_, err = r.Body.Read(make([]byte, 1)) // see the end, so that the server watches for the caller's leaving
			if errors.Is(err, io.EOF) {
				err = nil
			}
		}
	default:
		p.message.Body, err = io.ReadAll(held{io.LimitReader(r.Body, most+1), p})
	}
	if errors.Is(err, errMemory) {
		p.refuse("body_memory_full", comeBackBusy)
		return false
	}
	if err != nil {
		p.trail.Write(p.line(eventlog.Cancelled, "body_unfinished", err))
		panic(http.ErrAbortHandler)
	}
	if int64(len(p.message.Body)) > most {
		p.reject(http.StatusRequestEntityTooLarge, "body_too_large", Error.New("the body is over %d bytes", most))
		return false
	}
	return true
}
