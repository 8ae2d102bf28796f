package gateway

import (
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// idleLimit is the limit on the idle time of callers' connections. A shorter one takes effect when the longer one has
// passed: until then, callers may take up connections that rest since before they knew of it.
type idleLimit struct {
	value  time.Duration
	seenAt clock.Millis // when the value, or a longer one, was the operators' last
}

// follow takes the operators' limit and returns the one in force.
func (l *idleLimit) follow(now clock.Millis, limit time.Duration) time.Duration {
	if limit >= l.value || now.Sub(l.seenAt) >= l.value {
		l.value, l.seenAt = limit, now
	}
	if limit == l.value {
		l.seenAt = now
	}
	return l.value
}
