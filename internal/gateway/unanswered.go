package gateway

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/trailshed/trailshed/internal/eventlog"
)

// maxStackBytes bounds the part of a goroutine's stack that is logged.
const maxStackBytes = 4 << 10

// logPanic records that the handler of a caller's request panicked.
func (g *Gateway) logPanic(r *http.Request, value any, stack []byte) {
	g.counters.Scope.Counter("requests_panicked").Inc(1)
	g.log.Write(eventlog.Line{
		Event: eventlog.Panicked, Request: g.requestID(r), Detail: fmt.Sprintf("%v\n%s", value, stack[:min(len(stack), maxStackBytes)]),
	})
}

// requestID returns the ID of a request, or "" if it has none, or if reading it panics, too.
func (g *Gateway) requestID(r *http.Request) (id string) {
	defer func() { _ = recover() }() // the first panic is logged
	call, err := g.platform.Codec.DecodeRequest(r)
	if err != nil {
		return ""
	}
	return call.ID
}

// serverErrors writes what a http.Server reports to the log.
type serverErrors struct{ log *eventlog.Log }

func (s serverErrors) Write(b []byte) (int, error) {
	s.log.Write(eventlog.Line{Event: eventlog.ServerError, Detail: strings.TrimSpace(string(b))})
	return len(b), nil
}
