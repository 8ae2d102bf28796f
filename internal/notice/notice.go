// Package notice tracks what endpoints say about themselves in the headers of any
// response: that they are leaving, that they want no requests for a while, and how many
// requests a second they accept from all instances together.
package notice

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Notice is what one response says.
type Notice struct {
	Leaving bool          // the endpoint will shut down soon
	Backoff time.Duration // how long it wants no requests from this instance
	Limit   Limit
}

// Limit is how many requests a second an endpoint accepts from all instances together.
type Limit struct {
	Present bool // whether a limit was named; if not, Rate has no meaning
	Rate    float64
}

// maxRate is the rate, in requests a second, from which on a limit is ignored: all
// instances together send less than that to all their endpoints.
const maxRate = 1e6

// ParseLimit parses the rate that an endpoint names. A value that is not a number, is
// negative or is at least maxRate counts as no limit.
func ParseLimit(text string) Limit {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(rate >= 0 && rate < maxRate) {
		return Limit{}
	}
	return Limit{Present: true, Rate: rate}
}

// IsUnlimited reports whether a rate is so high that the instances cannot exceed it: it
// equals no limit.
func IsUnlimited(text string) bool {
	rate, _ := strconv.ParseFloat(strings.TrimSpace(text), 64) // +Inf on overflow
	return rate >= maxRate
}

// maxBackoff bounds the backoff that an endpoint can request. An endpoint that requests
// more than a day is faulty, and should not be lost for good.
const maxBackoff = 24 * time.Hour

// ParseRetryAfter parses the seconds of a response's Retry-After header. A value that is
// not a positive number of seconds requests no backoff.
func ParseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
}

// Table tracks the endpoints that currently want no requests, by a key that identifies
// them.
type Table[K comparable] struct {
	leavingTime time.Duration
	mu          sync.Mutex
	until       map[K]clock.Millis
}

// NewTable returns an empty table. An endpoint counts as leaving for leavingTime after
// the last response that says so.
func NewTable[K comparable](leavingTime time.Duration) *Table[K] {
	return &Table[K]{leavingTime: leavingTime, until: map[K]clock.Millis{}}
}

// Record records the notice of a response. It returns true if the endpoint wanted
// requests before and wants none now.
func (t *Table[K]) Record(now clock.Millis, endpoint K, n Notice) (changed bool) {
	backoff := n.Backoff
	if n.Leaving {
		backoff = max(backoff, t.leavingTime)
	}
	if backoff <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = now >= t.until[endpoint]
	t.until[endpoint] = max(t.until[endpoint], now.Add(backoff))
	return changed
}

// All returns the endpoints that currently want no requests.
func (t *Table[K]) All(now clock.Millis) []K {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []K
	for k, until := range t.until {
		if now < until {
			list = append(list, k)
			continue
		}
		delete(t.until, k)
	}
	return list
}

// Unavailable reports whether an endpoint currently wants no requests.
func (t *Table[K]) Unavailable(now clock.Millis, endpoint K) bool {
	return t.Remaining(now, endpoint) > 0
}

// Remaining returns how long an endpoint will want no requests.
func (t *Table[K]) Remaining(now clock.Millis, endpoint K) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.until[endpoint].Sub(now), 0)
}
