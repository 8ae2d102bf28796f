package node

import (
	"context"
	"net/http"
	"time"

	"github.com/trailshed/trailshed/internal/entry"
	"github.com/trailshed/trailshed/internal/keepalive"
	"github.com/trailshed/trailshed/internal/ticker"
)

const (
	// headerTimeout is how long the header of a caller's request may take.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may be idle. Callers end theirs long before.
	idleTimeout = 24 * time.Hour
	// connectionSweepInterval is the interval at which connections are checked for these times.
	connectionSweepInterval = 250 * time.Millisecond
	// lastAnswersTime is the part of the drain timeout in which the requests that are still running are
	// ended and their answers are written.
	lastAnswersTime = 500 * time.Millisecond
	// stopIdleTime is how long nothing has arrived on a connection that is ended in a planned stop. Callers
	// that use theirs more often learn it from an answer.
	stopIdleTime = time.Second
	// stopPollInterval is how often a planned stop looks for such connections.
	stopPollInterval = 20 * time.Millisecond
)

// openCallers creates the server for callers. The contexts of its requests end with requests.
func (n *Node) openCallers(requests context.Context) *http.Server {
	n.connections = &keepalive.Connections{
		Now: n.now, Last: n.leaving.Load, OnPanic: n.logPanic, OnUnanswered: keepalive.CountUnanswered(n.counters.Scope),
	}
	s := &http.Server{Handler: endWith(requests, n.api.Handler())} //nolint:gosec // Expire bounds the time of headers
	n.connections.Attach(s)
	return s
}

// endWith returns a handler that ends the context of a request with another one and its cause. The server's
// own context ends only with the caller's connection.
func endWith(requests context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		stop := context.AfterFunc(requests, func() { cancel(context.Cause(requests)) })
		defer stop()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// sweepCallers ends callers' connections by their timeouts until ctx ends.
func (n *Node) sweepCallers(ctx context.Context) {
	ticker.Every(ctx, connectionSweepInterval, func() { n.connections.Expire(idleTimeout, headerTimeout) })
}

// drainCallers accepts no more connections and waits for the open ones until the drain timeout. The requests
// that are still running shortly before it are ended with endRequests, so that they are answered.
func (n *Node) drainCallers(ctx context.Context, server *http.Server, endRequests func(error)) {
	_ = n.callers.Close() // ends Serve
	running, cancel := context.WithTimeout(ctx, n.settings.Callers.DrainTimeout-lastAnswersTime)
	defer cancel()
	if !n.connectionsEnd(running) {
		n.log.Warn().Int("attempts", n.entry.AttemptCount()).Msg("drain timeout expires with requests running, which are ended")
		endRequests(entry.ErrLeaving)
		if !n.connectionsEnd(ctx) {
			n.log.Warn().Msg("drain timeout expired before all answers were written")
		}
	}
	n.connections.Abandon()
	_ = server.Close()
}

// connectionsEnd waits until all callers' connections have ended, after an answer or idle. It returns false if
// ctx ends before.
func (n *Node) connectionsEnd(ctx context.Context) bool {
	idle := min(stopIdleTime, (n.settings.Callers.DrainTimeout-lastAnswersTime)/2)
	for n.connections.Open() > 0 {
		if ctx.Err() != nil {
			return false
		}
		n.connections.EndIdle(idle)
		ticker.Sleep(ctx, stopPollInterval)
	}
	return true
}

// logPanic records that the handler of a caller's request panicked.
func (n *Node) logPanic(r *http.Request, value any, stack []byte) {
	n.counters.Scope.Counter("requests_panicked").Inc(1)
	n.log.Error().Str("path", r.URL.Path).Interface("panic", value).Bytes("stack", stack).Msg("request panicked")
}
