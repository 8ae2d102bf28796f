package keepalive

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
)

// Reasons why a request ended without an answer, or with a part of one.
const (
	ReasonCallerLeft    = "caller_left"
	ReasonCallerStalled = "caller_stalled" // it does not read
	ReasonAborted       = "aborted"        // by the handler
	ReasonPanicked      = "panicked"       // in the middle of its answer
	ReasonBodyTimeout   = "body_timeout"   // its body did not come in time
	ReasonHeaderTimeout = "header_timeout" // its header did not come in time
	ReasonStopped       = "stopped"        // the process ended
	ReasonUnread        = "unread"         // it had arrived when the process ended
	ReasonCrossed       = "crossed"        // it arrived when its connection had been ended as idle
)

// ErrStopped is what a handler panics with, instead of http.ErrAbortHandler, to end an answer because the process is to
// end.
var ErrStopped = fmt.Errorf("%w: the process is to end", http.ErrAbortHandler)

// handler returns a handler that marks the last answer on a connection for the caller. A request that next
// does not answer, or of which it leaves the answer unfinished since the caller has left, ends its connection: the
// server would answer with an empty success, or finish the answer. One for which next panics is answered with an error.
func (s *Connections) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &responseWriter{ResponseWriter: w, last: s.Last}
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c != nil {
			c.handle()
		}
		defer s.finish(answer, r, c)
		next.ServeHTTP(answer, r)
	})
}

// finish sees to the end of a request whose handler has returned or panics.
func (s *Connections) finish(answer *responseWriter, r *http.Request, c *conn) {
	value := recover()
	err, _ := value.(error)
	aborted := errors.Is(err, http.ErrAbortHandler)
	reason := ReasonAborted
	switch {
	case value == nil && answer.begun && (r.Context().Err() == nil || c != nil && c.timedOut()):
		return
	case value != nil && !aborted:
		s.OnPanic(r, value, debug.Stack())
		if !answer.begun {
			answer.Header().Set("Connection", "close")
			http.Error(answer, "may have run: internal_error", http.StatusBadGateway)
			return
		}
		reason = ReasonPanicked
	case s.abandoned.Load():
		reason = ReasonStopped
	case errors.Is(err, ErrStopped):
		reason = ReasonStopped
	case errors.Is(answer.failure, os.ErrDeadlineExceeded):
		reason = ReasonCallerStalled
	case answer.failure != nil:
		reason = ReasonCallerLeft
	case c != nil:
		reason = c.readFailure(ReasonBodyTimeout, reason)
	default:
	}
	s.OnUnanswered(reason, answer.begun)
	panic(http.ErrAbortHandler)
}

// responseWriter adds "Connection: close" to the last answer. Whether it is the last is decided when it begins.
type responseWriter struct {
	http.ResponseWriter
	last    func() bool
	begun   bool
	failure error // of the last write
}

func (w *responseWriter) WriteHeader(status int) {
	if !w.begun && status >= http.StatusOK {
		w.begun = true
		if w.last() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	n, err := w.ResponseWriter.Write(b)
	w.failure = err
	return n, err //nolint:wrapcheck // as of the server
}

// FlushError supports http.ResponseController.
func (w *responseWriter) FlushError() error {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	w.failure = http.NewResponseController(w.ResponseWriter).Flush()
	return w.failure //nolint:wrapcheck // as of the server
}

// Unwrap supports http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
