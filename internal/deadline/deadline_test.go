package deadline_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/deadline"
	"github.com/trailshed/trailshed/pkg/clock"
)

func TestContext(t *testing.T) {
	tests := []struct {
		name   string
		runs   time.Duration // until the machine is suspended
		sleeps time.Duration
		then   time.Duration // until the check
		ended  bool
	}{
		{"not yet", 900 * time.Millisecond, 0, 0, false},
		{"ends on time", 1001 * time.Millisecond, 0, 0, true},
		{"expired when resumed", 100 * time.Millisecond, 2 * time.Second, time.Millisecond, true},
		{"earlier by the time suspended", 100 * time.Millisecond, 500 * time.Millisecond, 401 * time.Millisecond, true},
		{"not yet, with the time suspended", 100 * time.Millisecond, 500 * time.Millisecond, 390 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slept := time.Duration(0)
				started := time.Now()
				set := deadline.New(func() clock.Millis { return clock.Millis(1000).Add(time.Since(started) + slept) })
				ctx, cancel := set.Context(t.Context(), 2000)
				defer cancel()
				time.Sleep(test.runs)
				slept = test.sleeps
				set.Resume()
				time.Sleep(test.then)
				synctest.Wait()
				qt.Assert(t, ctx.Err() != nil, qt.Equals, test.ended)
				if test.ended {
					qt.Assert(t, context.Cause(ctx), qt.Equals, context.DeadlineExceeded)
				}
			})
		})
	}
}

// A context that is cancelled before its deadline reports that cause, however long its
// timer has been running.
func TestCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		set := deadline.New(func() clock.Millis { return clock.Millis(1000).Add(time.Since(started)) })
		ctx, cancel := set.Context(t.Context(), clock.Millis(1000).Add(time.Hour))
		time.Sleep(59 * time.Minute)
		cancel()
		set.Resume()
		qt.Assert(t, context.Cause(ctx), qt.Equals, context.Canceled)
	})
}
