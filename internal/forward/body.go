package forward

import (
	"errors"
	"io"
	"net/http"

	"github.com/trailshed/trailshed/internal/eventlog"
)

// readBody takes the body into memory, as it may have to be sent again.
func (p *passage) readBody(r *http.Request) bool {
	p.message.HasBody = r.ContentLength != 0
	if !p.message.HasBody {
		return true
	}
	most := p.view.Table.Limits.BodyBytes
	if r.ContentLength > most {
		p.reject(http.StatusRequestEntityTooLarge, "body_too_large", Error.New("the body is over %d bytes", most))
		return false
	}
	if p.bodies.Load()+max(r.ContentLength, 0) > p.BodyMemory {
		p.refuse("body_memory_full", comeBackBusy)
		return false
	}
	var err error
	if r.ContentLength > 0 {
		p.message.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, p.message.Body)
		if err == nil {
			_, err = r.Body.Read(make([]byte, 1)) // see the end, so that the server watches for the caller's leaving
			if errors.Is(err, io.EOF) {
				err = nil
			}
		}
	} else {
		p.message.Body, err = io.ReadAll(io.LimitReader(r.Body, most+1))
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
