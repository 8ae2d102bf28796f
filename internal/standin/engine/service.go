package engine

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// call serves one request of a plain service. The answer depends on the body, so
// that a caller can detect an answer to another request.
func (e *Engine) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is incomplete and does not run
	}
	j := newJob(r.Header.Get("X-Attempt"), phaseCall)
	e.mu.Lock()
	if e.traits.Role != Service || len(e.jobs) >= e.traits.Slots {
		e.mu.Unlock()
		w.Header().Set("Not-Run", "1")
		http.Error(w, "busy", http.StatusTooManyRequests)
		return
	}
	e.jobs[j.attempt] = j
	run := e.recordRun(Run{Attempt: j.attempt, Phase: phaseCall, Key: r.Header.Get("Idempotency-Key")})
	crashOn := e.faults.CrashOn
	e.mu.Unlock()
	if crashOn != "" && strings.Contains(string(body), crashOn) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(e.scaled(e.traits.CallTime)):
	case <-j.freed:
	}
	e.mu.Lock()
	run.Used = true
	e.free(j)
	e.mu.Unlock()
	reply(w, map[string]any{"confirmed": true, "digest": Digest(body)})
}

// Digest returns the digest with which a plain service answers a body.
func Digest(body []byte) uint64 { return xxhash.Sum64(body) >> 12 } // exact in JSON numbers
