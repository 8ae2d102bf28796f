// Package leadership makes one instance at a time the holder of a duty. The
// right rests on a lease in the platform's store; the holder stops by its own
// clock before the lease can end, and a new holder begins only after a former
// one's last acts must have arrived, because not everyone checks fences.
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

// ErrTaken says that another instance holds the duty.
var ErrTaken = errors.New("another instance holds the duty")

// ErrLapsed says that the lease is over.
var ErrLapsed = errors.New("lease has lapsed")

// Registry writes the holder's entry.
type Registry struct {
	// Acquire takes the duty with a new lease, unless another holds it. The
	// fence rises with each holder.
	Acquire func(ctx context.Context, holder string, life time.Duration) (lease, fence int64, err error)
	// Renew keeps the lease; ErrLapsed says that it is over.
	Renew func(ctx context.Context, lease int64) error
}

const (
	// leaseLeast is the shortest lease that leaves time for a missed renewal.
	leaseLeast = 3 * time.Second
	// stopBefore is how long before the lease's end the holder stops.
	stopBefore = time.Second
	// underWay is how long an act of a former holder may be under way.
	underWay = 1500 * time.Millisecond
	// step is how often the lease is renewed, or asked for.
	step = 800 * time.Millisecond
	// askIdle is the pause between asks while another holds the duty.
	askIdle = 5 * time.Second
)

// Leadership is one instance's part in a duty.
type Leadership struct {
	Name     string
	Registry Registry
	// Gap is the least time between the acts of two holders.
	Gap time.Duration
	Log *eventlog.Log
	Now func() clock.Millis
	// Candidate says whether this instance should ask for the duty.
	Candidate func() bool

	mu      sync.Mutex
	lease   int64
	fence   int64
	until   clock.Millis // by the own clock, counted from before the call
	actFrom clock.Millis
}

// Fence returns the holder's fence, if this instance may act now.
func (l *Leadership) Fence() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	return l.fence, l.lease != 0 && now >= l.actFrom && now < l.until
}

// Run asks for the duty and keeps it until ctx ends.
func (l *Leadership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := step
		if l.lease != 0 {
			l.renew(ctx)
		} else if !l.Candidate() || !l.acquire(ctx) {
			pause = askIdle
		}
		ticker.Sleep(ctx, pause)
	}
}

func (l *Leadership) acquire(ctx context.Context) bool {
	began := l.Now()
	lease, fence, err := l.Registry.Acquire(ctx, l.Name, l.life())
	if err != nil {
		return false // taken, or the store is away; both are asked again
	}
	l.mu.Lock()
	l.lease, l.fence = lease, fence
	l.until, l.actFrom = began.Add(l.life()-stopBefore), l.Now().Add(l.Gap+underWay)
	l.mu.Unlock()
	l.Log.Write(eventlog.Line{Event: eventlog.DutyTaken, Revision: fence})
	return true
}

// life is the lease's length.
func (l *Leadership) life() time.Duration { return max(l.Gap, leaseLeast) }

func (l *Leadership) renew(ctx context.Context) {
	began := l.Now()
	err := l.Registry.Renew(ctx, l.lease)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.until = began.Add(l.life() - stopBefore)
	case errors.Is(err, ErrLapsed), began >= l.until:
		l.lease = 0
		l.Log.Write(eventlog.Line{Event: eventlog.DutyLost, Detail: err.Error(), Revision: l.fence})
	}
}
