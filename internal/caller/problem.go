package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/trailshed/trailshed/internal/entry"
)

// problem is the body of every answer that is not what the caller asked for.
type problem struct {
	Type       string `json:"type"`
	Outcome    string `json:"outcome"` // one of entry's results
	Message    string `json:"message"`
	Field      string `json:"field,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
	status     int
}

// bad is a request that was wrong and never queued.
func bad(status int, kind, field, message string) *problem {
	return &problem{Type: kind, Outcome: string(entry.RefusedNotRun), Message: message, Field: field, status: status}
}

var statuses = map[entry.Result]int{
	entry.RefusedNotRun:    http.StatusServiceUnavailable,
	entry.FailedMayHaveRun: http.StatusBadGateway,
	entry.FailedAfterStart: http.StatusBadGateway,
}

var messages = map[entry.Result]string{
	entry.RefusedNotRun:    "The request was not run.",
	entry.FailedMayHaveRun: "The request failed; it may have run.",
	entry.FailedAfterStart: "The answer broke off; it is not whole.",
}

func problemOf(o entry.Outcome) *problem {
	p := &problem{
		Type: o.Reason, Outcome: string(o.Result), Message: messages[o.Result],
		RetryAfter: o.RetryAfter.Milliseconds(), status: statuses[o.Result],
	}
	switch {
	case o.Taken != nil:
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
