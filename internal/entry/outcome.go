package entry

import (
	"time"

	"github.com/trailshed/trailshed/internal/claim"
)

// Result is how a request ended, one of the constants below.
type Result string

// The possible results.
const (
	Answered         Result = "answered"
	RefusedNotRun    Result = "refused_not_run"
	FailedMayHaveRun Result = "failed_may_have_run"
	FailedAfterStart Result = "failed_after_start"
	CallerGone       Result = "caller_gone"
)

// Outcome is a result with its reason and, unless the request was answered, the delay
// after which the caller may retry.
type Outcome struct {
	Result       Result
	Reason       string
	RetryAfter   time.Duration
	EarlierClaim *claim.Claim // claim of an earlier request with the same key
}

// Reasons of the outcomes that the entry decides itself; all others come from dispatchers.
const (
	reasonNoCell           = "no_cell"
	reasonDispatcherSilent = "dispatcher_silent"
	reasonClaimUnavailable = "claim_unavailable"
	reasonKeyTaken         = "key_taken"
	reasonOtherRequest     = "key_used_for_another_request"
	reasonEndpointFailed   = "endpoint_failed"
	reasonEndpointStatus   = "endpoint_status" // a rejection that does not state whether the request ran
	reasonFenced           = "entry_was_silent"
	reasonLeaving          = "leaving"
	reasonLimit            = "workspace_limit"
	reasonHeld             = "ends_endpoints"
)

const defaultRetryAfter = time.Second

func refused(reason string, after time.Duration) Outcome {
	return Outcome{Result: RefusedNotRun, Reason: reason, RetryAfter: max(after, defaultRetryAfter/5)}
}

// LeavingOutcome returns the outcome of a request that did not run before this process exits.
func LeavingOutcome() Outcome { return refused(reasonLeaving, defaultRetryAfter) }

// keyTaken returns the outcome of a request whose key is claimed by an earlier request.
// This request did not run; the earlier one may have run.
func keyTaken(earlier, own claim.Claim) Outcome {
	if !earlier.SameRequest(own) {
		return Outcome{Result: RefusedNotRun, Reason: reasonOtherRequest}
	}
	return Outcome{Result: FailedMayHaveRun, Reason: reasonKeyTaken, EarlierClaim: &earlier}
}
