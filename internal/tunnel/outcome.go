package tunnel

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// String returns the name of the outcome in lines and metrics.
func (o outcome) String() string {
	switch o {
	case connected:
		return "connected"
	case refused:
		return "refused"
	case unreachable:
		return "unreachable"
	case unknown:
		return "endpoint_unknown"
	case full:
		return "full"
	case leaving:
		return "leaving"
	case cut:
		return "links_lost"
	default:
		return "invalid"
	}
}

// scope returns the service that a peer can't help with if this was its outcome, or "" if it
// can't help at all.
func (o outcome) scope(service string) string {
	switch o {
	case refused, unreachable, cut:
		return service
	default:
		return ""
	}
}

// openBuckets cover the time to open a connection through a peer, from 1 ms to 0.5 s.
var openBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 10)
