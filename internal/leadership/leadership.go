// Package leadership elects one instance at a time as the holder of a duty, by a lease in
// the platform's store. The holder stops by its own clock before the lease can expire. A
// new holder starts only once the last acts of a former one must have arrived, because not
// every receiver checks fences.
package leadership

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// ErrTaken is returned by Acquire if another instance holds the duty.
var ErrTaken = errors.New("another instance holds the duty")

// ErrLapsed is returned by Renew if the lease has expired.
var ErrLapsed = errors.New("lease has lapsed")

// Registry provides access to the duty's lease in the store.
type Registry struct {
	// Acquire takes the duty with a new lease. It returns ErrTaken if another instance
	// holds it. The fence increases with each holder.
	Acquire func(ctx context.Context, holder string, duration time.Duration) (lease, fence int64, err error)
	// Renew extends the lease. It returns ErrLapsed if the lease has expired.
	Renew func(ctx context.Context, lease int64) error
}

const (
	// minLease is the shortest lease that allows for one missed renewal.
	minLease = 3 * time.Second
	// stopMargin is how long before the end of its lease the holder stops acting.
	stopMargin = time.Second
	// maxActDelay is the longest time that an act of a former holder may take to arrive.
	maxActDelay = 1500 * time.Millisecond
	// renewInterval is the interval between renewals of the lease.
	renewInterval = 800 * time.Millisecond
	// acquireInterval is the interval between attempts to acquire the duty.
	acquireInterval = 5 * time.Second
)

// Leadership is one instance's participation in the election for a duty.
type Leadership struct {
	Name     string
	Registry Registry
	// MinGap is the minimum time between the acts of two holders.
	MinGap time.Duration
	Log    *eventlog.Log
	Now    func() clock.Millis
	// Candidate reports whether this instance should try to acquire the duty.
	Candidate func() bool

	mu       sync.Mutex
	lease    int64
	fence    int64
	actUntil clock.Millis // end of the right to act by the local clock, counted from before the store call
	actFrom  clock.Millis // start of the right to act
}

// Fence returns the holder's fence, if this instance may act now.
func (l *Leadership) Fence() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	return l.fence, l.lease != 0 && now >= l.actFrom && now < l.actUntil
}

// Run acquires the duty and renews its lease until ctx ends.
func (l *Leadership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := renewInterval
		if l.lease != 0 {
			l.renew(ctx)
		} else if !l.Candidate() || !l.acquire(ctx) {
			pause = acquireInterval
		}
		ticker.Sleep(ctx, pause)
	}
}

func (l *Leadership) acquire(ctx context.Context) bool {
	start := l.Now()
	lease, fence, err := l.Registry.Acquire(ctx, l.Name, l.leaseDuration())
	if err != nil {
		return false // taken, or the store is unavailable; Run tries again in both cases
	}
	l.mu.Lock()
	l.lease, l.fence = lease, fence
	l.actUntil, l.actFrom = start.Add(l.leaseDuration()-stopMargin), l.Now().Add(l.MinGap+maxActDelay)
	l.mu.Unlock()
	l.Log.Write(eventlog.Line{Event: eventlog.DutyTaken, Revision: fence})
	return true
}

// leaseDuration returns the duration of a lease.
func (l *Leadership) leaseDuration() time.Duration { return max(l.MinGap, minLease) }

func (l *Leadership) renew(ctx context.Context) {
	start := l.Now()
	err := l.Registry.Renew(ctx, l.lease)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.actUntil = start.Add(l.leaseDuration() - stopMargin)
	case errors.Is(err, ErrLapsed), start >= l.actUntil:
		l.lease = 0
		l.Log.Write(eventlog.Line{Event: eventlog.DutyLost, Detail: err.Error(), Revision: l.fence})
	}
}
