package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/pkg/clock"
)

// failure is a way in which an attempt may end.
type failure struct {
	name   string
	err    error
	ran    bool // the endpoint may have run the request
	before bool // an endpoint has computed a part before
	tokens int  // sent to the caller
	final  bool // it is not sent elsewhere, even if it may be repeated
}

var failures = []failure{
	{name: "no connection", err: endpointError(endpoint.ErrNotRun, errors.New("refused"))},
	{name: "marked rejection", err: &attemptError{at: "e", cause: endpointError(endpoint.ErrNotRun, errors.New("429"))}},
	{name: "no permit", err: endpointError(endpoint.ErrNotRun, errUnavailable)},
	{name: "fenced before the send", err: endpointError(endpoint.ErrNotRun, errFenced)},
	{name: "broken off", err: &attemptError{at: "e", cause: endpointError(endpoint.ErrMayHaveRun, errors.New("reset"))}, ran: true},
	{name: "rejection without a mark", err: endpointError(endpoint.ErrMayHaveRun, endpoint.ErrRejected), ran: true},
	{name: "declined", err: endpointError(endpoint.ErrMayHaveRun, endpoint.ErrDeclined), ran: true, final: true},
	{name: "fenced after the send", err: endpointError(endpoint.ErrMayHaveRun, errFenced), ran: true},
	{name: "not a response", err: errors.New("malformed"), ran: true},
	{name: "no connection after the prefill", err: endpointError(endpoint.ErrNotRun, errors.New("refused")), ran: true, before: true},
	{name: "truncated", err: endpointError(endpoint.ErrTruncated, errors.New("EOF")), ran: true, before: true},
	{name: "truncated in the stream", err: endpointError(endpoint.ErrTruncated, errors.New("EOF")), ran: true, before: true, tokens: 3},
}

// Guards against a promise that rests on the last attempt only, and against a second run of a request
// that may run once: whatever the order of failures, the word "not run" needs that no attempt ran.
func TestPromiseCoversEachAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &Entry{scope: tally.NoopScope}
		repeat := rapid.SampledFrom([]string{catalog.RepeatAllowed, catalog.RepeatNever}).Draw(t, "repeat")
		r := &request{
			kind: &catalog.Kind{Repeat: repeat}, class: &catalog.Class{TTFT: time.Hour},
			now: func() clock.Millis { return 0 },
		}
		ran := false
		for range maxAttempts {
			f := rapid.SampledFrom(failures).Draw(t, "failure")
			ran = ran || f.ran
			r.sentTokens += f.tokens
			o, retry := e.evaluateFailure(context.Background(), r, &attempt{ran: f.before}, f.err)
			next := r.adjustRefusal(refused(reasonNoCell, defaultRetryAfter)) // if no cell grants another attempt
			for _, result := range []Result{o.Result, next.Result} {
				if (result == RefusedNotRun) == ran {
					t.Fatalf("%s after %s, ran %t", result, f.name, ran)
				}
			}
			if retry != (!ran || r.repeatable() && !f.final) {
				t.Fatalf("retry %t after %s, ran %t", retry, f.name, ran)
			}
			if !retry {
				return
			}
		}
	})
}
