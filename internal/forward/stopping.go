package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

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
