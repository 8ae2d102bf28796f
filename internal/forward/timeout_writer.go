package forward

import (
	"io"
	"net/http"
	"time"
)

// timeoutWriter sets a timeout for each write of a response: a caller that stops reading
// would otherwise hold the request, and its endpoint, without bound. It keeps back promises that are not true.
type timeoutWriter struct {
	http.ResponseWriter
	control   *http.ResponseController
	timeout   time.Duration
	failure   error                 // of the last write, which the caller's connection is the reason for
	withholds func(status int) bool // reports whether a status is a promise that is not true; nil: none is
	withheld  bool
}

func newTimeoutWriter(w http.ResponseWriter, timeout time.Duration) *timeoutWriter {
	return &timeoutWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// WriteHeader sends the head of the response. In place of the promise that a request did not run which may have run, it
// sends 502 with a body of its own: whatever decided on the status did not look at what was sent.
func (w *timeoutWriter) WriteHeader(status int) {
	if w.withholds == nil || !w.withholds(status) {
		w.ResponseWriter.WriteHeader(status)
		return
	}
	clear(w.Header())
	w.ResponseWriter.WriteHeader(http.StatusBadGateway)
	_, _ = io.WriteString(w, "may have run\n") // a failure is that of the connection, which the server sees, too
	w.withheld = true
}

// Write renews the timeout on each call, so that a slow but steady reader gets the whole
// response.
func (w *timeoutWriter) Write(b []byte) (int, error) {
	if w.withheld {
		return len(b), nil
	}
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout)) // fails on a closed connection; the write reports that
	n, err := w.ResponseWriter.Write(b)
	w.failure = err
	return n, err
}

// Unwrap supports http.ResponseController.
func (w *timeoutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
