package keepalive

import "net/http"

// Handler returns a handler that tells callers which answer is the last one on its connection. A request that next
// does not answer, or of which it leaves the answer unfinished since the caller has left, ends its connection: the
// server would answer with an empty success, or finish the answer.
func (s *Connections) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &responseWriter{ResponseWriter: w, last: s.Last}
		next.ServeHTTP(answer, r)
		if !answer.begun || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

// responseWriter adds "Connection: close" to the last answer. Whether it is the last is decided when it begins.
type responseWriter struct {
	http.ResponseWriter
	last  func() bool
	begun bool
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
	return w.ResponseWriter.Write(b) //nolint:wrapcheck // as of the server
}

// Unwrap supports http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
