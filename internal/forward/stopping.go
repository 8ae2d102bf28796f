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
	endAt atomic.Int64 // clock.Millis at which requests in progress are ended
	outAt atomic.Int64 // clock.Millis from which on no caller is led to the instance
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
// EndAll, at endAt, which a later call may change. From outAt on, new connections lead to other instances.
func (f *Forwarder) Drain(outAt, endAt clock.Millis) {
	f.stopping.outAt.Store(int64(outAt))
	f.stopping.endAt.Store(int64(endAt))
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

// refusedForStop refuses a request that is better sent elsewhere, since the instance is to exit.
func (p *proxyRequest) refusedForStop() bool {
	s := p.stopping
	switch {
	case !s.begun.Load():
		return false
	case s.ended.Load():
	case p.isWorthTaking(clock.Millis(s.endAt.Load()), p.Now() < clock.Millis(s.outAt.Load())):
		return false
	}
	p.refuse(reasonStops, retryAfterElsewhere)
	return true
}

// isWorthTaking reports whether the request is likely enough to end before requests in progress are ended. While new
// connections may lead back to the instance, a request is also taken if it is less likely to be given up at the exit
// than to be refused once more, here or by another instance that stops. Later on, no known request may have taken
// longer than the time left, and a stream must be sure to end, as it can't be answered any more once it has begun.
func (p *proxyRequest) isWorthTaking(endAt clock.Millis, inRotation bool) bool {
	served := endAt.Sub(p.Now())
	switch {
	case p.left() <= served:
		return true
	case !inRotation && p.route.Kind == route.Streaming:
		return false
	}
	givenUp, refusedAgain := p.shareLonger(served), 0.0
	if inRotation {
		refusedAgain = p.ReturnShare()
	}
	if p.route.Resumable {
		givenUp *= resumableLoss
	}
	return givenUp <= refusedAgain
}

// resumableLoss is what giving up a stream costs that its caller takes up elsewhere, where its prompt is read again,
// relative to a request that is lost.
const resumableLoss = 0.5

// unknownStreamPercent is the part of its route's timeout that a stream is expected to take if nothing is known of such
// streams.
const unknownStreamPercent = 33

// shareLonger returns the share of such requests that take longer than a time.
func (p *proxyRequest) shareLonger(than time.Duration) float64 {
	for _, key := range []string{routeKey(p.route.Name), serviceKey(p.service)} {
		if share, known := p.times.ShareLonger(key, than); known {
			return share
		}
	}
	expected := p.route.Target
	if p.route.Kind == route.Streaming {
		expected = p.route.Timeout * unknownStreamPercent / 100
	}
	if expected <= than {
		return 0
	}
	return 1
}

// recordTime records how long the request took.
func (p *proxyRequest) recordTime() {
	took := p.Now().Sub(p.arrived)
	p.times.Record(routeKey(p.route.Name), took)
	p.times.Record(serviceKey(p.service), took)
}

func routeKey(name string) string   { return "route " + name }
func serviceKey(name string) string { return "service " + name }

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
