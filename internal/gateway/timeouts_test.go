package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Callers' connections were closed by fixed time-outs, which may be shorter than the limits in the operators' document.
func TestCallerTimeouts(t *testing.T) {
	tests := []struct {
		name         string
		table        *route.Table
		idle, header time.Duration
	}{
		{"no configuration", nil, idleTimeout, headerTimeout},
		{"no limits", &route.Table{}, idleTimeout, headerTimeout},
		{"limits", &route.Table{Limits: route.Limits{IdleTimeout: 2 * idleTimeout, HeaderTimeout: 2 * headerTimeout}}, 2 * idleTimeout, 2 * headerTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := &Gateway{directory: directory.New(), now: clock.System()}
			if test.table != nil {
				g.directory.Apply(1, directory.Configured{Table: test.table})
			}
			idle, header := g.callerTimeouts()
			qt.Check(t, idle, qt.Equals, test.idle)
			qt.Check(t, header, qt.Equals, test.header)
		})
	}
}
