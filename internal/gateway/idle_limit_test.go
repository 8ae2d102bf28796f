package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/pkg/clock"
)

// A lowered limit on idle time closed connections that callers took up by the limit they knew, with a request on its way.
func TestLoweredIdleLimitWaitsForTheFormerOne(t *testing.T) {
	const long, short = 60 * time.Second, 20 * time.Second
	steps := []struct {
		at          time.Duration
		limit, want time.Duration
	}{
		{0, short, short},
		{time.Second, long, long},
		{30 * time.Second, long, long},
		{31 * time.Second, short, long},
		{89 * time.Second, short, long},
		{90 * time.Second, short, short},
		{91 * time.Second, long, long},
	}
	l := idleLimit{}
	for _, s := range steps {
		qt.Check(t, l.follow(clock.Millis(1000).Add(s.at), s.limit), qt.Equals, s.want, qt.Commentf("at %v", s.at))
	}
}
