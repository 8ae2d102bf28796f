package roster_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/roster"
)

// Renewals are most of a fleet's calls to the store. An instance that does not watch makes
// half as many as a watcher, and as many while calls fail.
func TestRenewals(t *testing.T) {
	tests := []struct {
		name     string
		watching bool
		err      error
		want     int // calls within 30 s
	}{
		{"the instance watches", true, nil, 30},
		{"other instances watch", false, nil, 15},
		{"the store does not answer", false, errors.New("no answer"), 29},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				renewals := 0
				registry := roster.Registry{
					Grant: func(context.Context, time.Duration) (int64, error) { return 1, nil },
					Renew: func(context.Context, int64) error { renewals++; return test.err },
					Put:   func(context.Context, roster.Instance, int64) error { return nil },
				}
				log := eventlog.Open(io.Discard, "n1")
				m := roster.NewMember(registry, instance("n1", 1), log, func(error) {}, func() bool { return test.watching })
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second+100*time.Millisecond)
				defer cancel()
				m.Run(ctx)
				qt.Assert(t, log.Close(), qt.IsNil)
				qt.Assert(t, renewals, qt.Equals, test.want)
			})
		})
	}
}
