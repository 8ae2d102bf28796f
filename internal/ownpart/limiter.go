// Package ownpart limits one process to its own equal share of the limits that
// endpoints name to it, for processes that do not lend each other their shares.
// Together they keep to each limit, but use only the shares of those processes that get
// requests.
package ownpart

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/notice"
	"github.com/trailshed/trailshed/internal/permit"
	"github.com/trailshed/trailshed/internal/ratelimit"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Limiter enforces one process's shares. It is safe for concurrent use.
type Limiter struct {
	// Processes returns how many known processes divide the limits, and whether these
	// are all.
	Processes func() (n int, all bool)

	mu     sync.Mutex
	table  *ratelimit.Table
	issuer *permit.Issuer
}

// New returns a limiter without limits.
func New(processes func() (n int, all bool)) *Limiter {
	return &Limiter{Processes: processes, table: ratelimit.NewTable(), issuer: permit.New(rand.Float64)}
}

// Observe records what an endpoint's response to a request said about its limit. ok
// reports whether the response was successful, sent is when the request was sent.
func (l *Limiter) Observe(now clock.Millis, endpoint string, limit notice.Limit, ok bool, sent clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case limit.Present:
		l.table.ObserveLimit(now, endpoint, "", limit.Rate)
	case ok:
		l.table.ObserveNoLimit(now, endpoint, sent)
	}
}

// Take acquires a permit for a request to an endpoint. It returns 0 if the request may
// be sent, or else the time until a permit may be available.
func (l *Limiter) Take(now clock.Millis, endpoint string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Expire(now)
	rate, _, limited := l.table.Limit(endpoint)
	if !limited {
		return 0
	}
	l.issuer.Retain(l.table.IsLimited)
	n, all := l.Processes()
	l.issuer.SetInstances(now, n, all)
	return l.issuer.Issue(now, permit.Request{Endpoint: endpoint, Rate: rate}).RetryAfter
}
