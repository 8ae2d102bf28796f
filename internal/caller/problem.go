package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/trailshed/trailshed/internal/entry"
)

// problem is the body of every error response.
type problem struct {
	Type       string `json:"type"`
	Outcome    string `json:"outcome"` // one of entry's results
	Message    string `json:"message"`
	Field      string `json:"field,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
	status     int
}

// newProblem returns the problem of a request that was rejected before it was queued.
func newProblem(status int, kind, field, message string) *problem {
	return &problem{Type: kind, Outcome: string(entry.RefusedNotRun), Message: message, Field: field, status: status}
}

var statusCodes = map[entry.Result]int{
	entry.RefusedNotRun:    http.StatusServiceUnavailable,
	entry.FailedMayHaveRun: http.StatusBadGateway,
	entry.FailedAfterStart: http.StatusBadGateway,
}

var messages = map[entry.Result]string{
	entry.RefusedNotRun:    "The request was not run.",
	entry.FailedMayHaveRun: "The request failed; it may have run.",
	entry.FailedAfterStart: "The answer broke off; it is not whole.",
}

// outcomeProblem returns the problem of a request that was not answered.
func outcomeProblem(o entry.Outcome) *problem {
	p := &problem{
		Type: o.Reason, Outcome: string(o.Result), Message: messages[o.Result],
		RetryAfter: o.RetryAfter.Milliseconds(), status: statusCodes[o.Result],
	}
	switch {
	case o.EarlierClaim != nil:
		p.status = http.StatusConflict
		p.Message = "An earlier request with this key may have run; its answer is not held any more."
	case o.Result == entry.RefusedNotRun && o.RetryAfter == 0:
		p.status = http.StatusUnprocessableEntity
	}
	return p
}

func (p *problem) write(w http.ResponseWriter) {
	if p.RetryAfter > 0 {
		seconds := math.Ceil((time.Duration(p.RetryAfter) * time.Millisecond).Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.status)
	_ = json.NewEncoder(w).Encode(map[string]*problem{"error": p})
}
