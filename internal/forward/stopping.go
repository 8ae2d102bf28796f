package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

// reasonStops is the reason why a request is refused or given up by an instance that is to exit.
const reasonStops = "stopping"

// errStops is the cause of contexts that end because the instance is to exit.
var errStops = errors.New("the instance is to exit")

// stopping is the state of an instance's stop.
type stopping struct {
	begun atomic.Bool
	exit  atomic.Int64 // clock.Millis at which requests in progress are ended
	ended atomic.Bool  // they have been
	all   context.Context
	end   context.CancelCauseFunc // ends all
	stopOutcomes
}

func newStopping() *stopping {
	s := &stopping{}
	s.all, s.end = context.WithCancelCause(context.Background())
	return s
}

// Drain makes all further responses ask callers to close their connections. Requests in progress are to be ended, by
// EndAll, at exit, which a later call may change.
func (f *Forwarder) Drain(exit clock.Millis) {
	f.stopping.exit.Store(int64(exit))
	f.stopping.begun.Store(true)
}

// EndAll ends the requests in progress with the best answer that is still possible, and refuses all others. It does not
// wait for the answers to be written.
func (f *Forwarder) EndAll() {
	f.stopping.ended.Store(true)
	f.stopping.end(errStops)
}

// StopOutcomes returns a text that tells how many requests ended since Drain was called, by how they ended.
func (f *Forwarder) StopOutcomes() string { return f.stopping.String() }

// unknownStreamPercent is the part of its route's timeout that a stream is expected to take if nothing is known of such
// streams.
const unknownStreamPercent = 50

// refusedForStop refuses a request that is not expected to end before the instance exits.
func (p *proxyRequest) refusedForStop() bool {
	if !p.stopping.begun.Load() || !p.stopping.ended.Load() && p.expectedTime() <= clock.Millis(p.stopping.exit.Load()).Sub(p.Now()) {
		return false
	}
	p.refuse(reasonStops, retryAfterElsewhere)
	return true
}

// recordTime records how long the request took.
func (p *proxyRequest) recordTime() {
	took := p.Now().Sub(p.arrived)
	p.times.Record(routeKey(p.route.Name), took)
	p.times.Record(serviceKey(p.service), took)
}

func routeKey(name string) string   { return "route " + name }
func serviceKey(name string) string { return "service " + name }

// expectedTime returns how long the request is expected to take from now on.
func (p *proxyRequest) expectedTime() time.Duration {
	for _, key := range []string{routeKey(p.route.Name), serviceKey(p.service)} {
		if t, known := p.times.Estimate(key); known {
			return min(t, p.left())
		}
	}
	if p.route.Kind == route.Streaming {
		return min(p.route.Timeout*unknownStreamPercent/100, p.left())
	}
	return min(p.route.Target, p.left())
}

// endWithInstance returns a context that also ends with EndAll. A body that is being read ends as well.
func (p *proxyRequest) endWithInstance(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	remove := context.AfterFunc(p.stopping.all, func() {
		cancel(errStops)
		p.endReading()
	})
	return ctx, func() {
		remove()
		cancel(context.Canceled)
	}
}

// endReading ends the reading of the body, if it is in progress.
func (p *proxyRequest) endReading() {
	p.readLock.Lock()
	defer p.readLock.Unlock()
	if p.reading {
		_ = p.w.control.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection; the read reports that
	}
}

// setReading records that the body is being read until a time, or that it is not any more.
func (p *proxyRequest) setReading(reading bool, until time.Time) {
	p.readLock.Lock()
	defer p.readLock.Unlock()
	p.reading = reading
	if reading && p.stopping.ended.Load() {
		until = time.Unix(1, 0)
	}
	_ = p.w.control.SetReadDeadline(until) // fails on a closed connection; the read reports that
}
