// Package intake limits the requests that an instance works on at once to what its processor and its network
// link can do.
package intake

import (
	"math"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/lateness"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// maxProcessorWait is the standing wait for the processor from which the instance is overloaded. A
	// request waits for the processor five times or more, and the shortest target of one is 120 ms.
	maxProcessorWait = 20 * time.Millisecond
	// maxConnectTime is the same for the time that connecting to an endpoint takes. It is above the
	// round trip between regions.
	maxConnectTime = 40 * time.Millisecond
	// maxOwnWait is how long a connection may have waited for the processor to be read. An instance whose
	// share of a core is a quota stands still for up to 100 ms without being overloaded.
	maxOwnWait = 120 * time.Millisecond
	// step is the time between two changes of the limit, after which most of the effect of the last one
	// shows in the waits.
	step = 200 * time.Millisecond
	// smallest is the lowest limit: some requests have to run for the waits to be measured.
	smallest = 4
	// usualTime is the time over which the usual number of requests in progress is averaged.
	usualTime = 10 * time.Second
	// maxDecrease is the least that the limit is multiplied by in a step.
	maxDecrease = 0.5
	// maxIncrease is the largest part of the limit that is added in a step. The longer the waits, the less of it is.
	maxIncrease = 0.15
	// headroom is how many times the requests in progress the limit is at the most, so that it binds as
	// soon as the waits become long again.
	headroom = 1.5
	// batches is how many parts the limit is filled in, at the least.
	batches = 4
	// relief is how long no wait may have been long and the limit not have bound before it ends.
	relief = 2 * time.Second
)

// Waits are how long work of this instance waits for its processor and for its link.
type Waits struct {
	Processor time.Duration // standing wait for the processor
	Connect   time.Duration // standing time to connect to an endpoint, without the wait for the processor
}

// Measure returns the waits at a time. A connection that comes up while the process stands still is seen late, so
// half of the longest wait for the processor does not count as one for the link.
func Measure(now clock.Millis, processor, connect *lateness.Meter) Waits {
	return Waits{Processor: processor.Standing(now), Connect: max(connect.Standing(now)-processor.Longest(now)/2, 0)}
}

// pressure returns the waits relative to their bounds. The instance is overloaded above 1.
func (w Waits) pressure() float64 {
	return max(float64(w.Processor)/float64(maxProcessorWait), float64(w.Connect)/float64(maxConnectTime))
}

// Binding names what the instance lacks.
func (w Waits) Binding() string {
	if float64(w.Processor)/float64(maxProcessorWait) >= float64(w.Connect)/float64(maxConnectTime) {
		return "processor"
	}
	return "link"
}

// Limit is a limit on the requests in progress, in force while the instance is overloaded. Requests in progress are
// those that are not answered yet; a stream that has begun needs little. The zero Limit is not in force. It is safe for
// concurrent use.
type Limit struct {
	mu      sync.Mutex
	value   float64 // 0: not in force
	usual   float64 // mean of the requests in progress while the limit is not in force
	changed clock.Millis
	needed  clock.Millis // when a wait was long or the limit bound, the last time
}

// Change is what an update has changed.
type Change int

// Changes.
const (
	None  Change = iota
	Began        // the limit is in force
	Ended        // it is in force no more
)

// Update takes the waits and the number of requests in progress. It changes the limit once a step.
func (l *Limit) Update(now clock.Millis, w Waits, running int) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	pressure := w.pressure()
	if pressure > 1 {
		l.needed = now
	}
	if l.value > 0 && now.Sub(l.changed) < step {
		return None
	}
	passed := now.Sub(l.changed)
	l.changed = now
	switch {
	case l.value == 0 && pressure <= 1:
		l.usual += (float64(running) - l.usual) * min(1, passed.Seconds()/usualTime.Seconds())
		return None
	case l.value == 0:
		l.value = l.decreased(float64(running), pressure)
		return Began
	case pressure > 1:
		l.value = l.decreased(min(l.value, float64(running)), pressure)
	case now.Sub(l.needed) >= relief:
		l.value = 0
		return Ended
	default:
		l.value = max(min(l.value*(1+maxIncrease*(1-pressure))+1, float64(running)*headroom), l.usual, smallest)
	}
	return None
}

// decreased returns the next limit under pressure. What the instance does usually it goes on to do: a short lack of
// processor time, such as from a change of the fleet, is no reason to refuse callers.
func (l *Limit) decreased(value, pressure float64) float64 {
	return max(value*max(1/pressure, maxDecrease), l.usual, smallest)
}

// Room returns how many requests may begin beside those in progress. few is the number below which callers are better
// sent away: requests are taken several at a time.
func (l *Limit) Room(now clock.Millis, running int) (room, few int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.value == 0 {
		return math.MaxInt32, 0
	}
	room = max(int(l.value)-running, 0)
	if room == 0 {
		l.needed = now
	}
	return room, int(l.value / batches)
}

// Late reports whether a connection waited too long for the processor to be read.
func (l *Limit) Late(now clock.Millis, waited time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.value == 0 || waited <= maxOwnWait {
		return false
	}
	l.needed = now
	return true
}

// Value returns the limit, or 0 while it is not in force.
func (l *Limit) Value() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.value)
}
