package entry

import (
	"time"

	"github.com/trailshed/trailshed/internal/claim"
)

// Result is how a request ended; these are all the ways there are.
type Result string

// The results.
const (
	Answered         Result = "answered"
	RefusedNotRun    Result = "refused_not_run"
	FailedMayHaveRun Result = "failed_may_have_run"
	FailedAfterStart Result = "failed_after_start"
	CallerGone       Result = "caller_gone"
)

// Outcome is a result with its reason and, unless answered, when to come back.
type Outcome struct {
	Result     Result
	Reason     string
	RetryAfter time.Duration
	Taken      *claim.Claim // the claim of an earlier request with the same key
}

// The reasons of outcomes that the entry itself decides.
const (
	reasonNoCell      = "no_cell"
	reasonNoAnswer    = "dispatcher_silent"
	reasonClaim       = "claim_unavailable"
	reasonTaken       = "key_taken"
	reasonBodyDiffers = "key_used_for_another_request"
	reasonEndpoint    = "endpoint_failed"
	reasonFenced      = "entry_was_silent"
	reasonLeaving     = "leaving"
	reasonLimit       = "workspace_limit"
	reasonHeld        = "ends_endpoints"
)

const defaultRetryAfter = time.Second

func refused(reason string, after time.Duration) Outcome {
	return Outcome{Result: RefusedNotRun, Reason: reason, RetryAfter: max(after, defaultRetryAfter/5)}
}

// taken is the outcome of a request whose key an earlier one has. This request
// did not run; the earlier one may have.
func taken(c claim.Claim, digest uint64) Outcome {
	if c.Body != digest {
		return Outcome{Result: RefusedNotRun, Reason: reasonBodyDiffers}
	}
	return Outcome{Result: FailedMayHaveRun, Reason: reasonTaken, Taken: &c}
}
