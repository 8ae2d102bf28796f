package forward

import (
	"net/http"
	"time"
)

// timeoutWriter sets a timeout for each write of a response: a caller that stops reading
// would otherwise hold the request, and its endpoint, without bound.
type timeoutWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	failure error // of the last write, which the caller's connection is the reason for
}

func newTimeoutWriter(w http.ResponseWriter, timeout time.Duration) *timeoutWriter {
	return &timeoutWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// Write renews the timeout on each call, so that a slow but steady reader gets the whole
// response.
func (w *timeoutWriter) Write(b []byte) (int, error) {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout)) // fails on a closed connection; the write reports that
	n, err := w.ResponseWriter.Write(b)
	w.failure = err
	return n, err
}

// Unwrap supports http.ResponseController.
func (w *timeoutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
