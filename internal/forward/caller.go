package forward

import (
	"net/http"
	"time"
)

// caller adds a timeout to each write of an answer: a stalled reader would hold the
// request, and its endpoint, without bound.
type caller struct {
	http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
}

func newCaller(w http.ResponseWriter, stall time.Duration) *caller {
	return &caller{ResponseWriter: w, control: http.NewResponseController(w), stall: stall}
}

// Write renews the timeout for each part, so that a slow but steady reader gets all of it.
func (c *caller) Write(b []byte) (int, error) {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.stall)) // a closed connection has none; writing tells so
	return c.ResponseWriter.Write(b)
}

// Unwrap is for http.ResponseController.
func (c *caller) Unwrap() http.ResponseWriter { return c.ResponseWriter }
