// Package rotation decides when an instance asks the balancer for no further connections, since it refuses most
// of them.
package rotation

import (
	"sync"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// window is the time of which the share of refusals is taken.
	window = time.Second
	// maxRefused is the part of a window in which connections may be refused. Beyond it, callers are better served
	// by instances farther away.
	maxRefused = window / 2
	// minAbsence is the time out of rotation for the first time. It is above the time that a balancer takes to notice.
	minAbsence = 4 * time.Second
	// maxAbsence bounds the time out of rotation, which doubles if connections are refused again soon.
	maxAbsence = 16 * time.Second
	// calm is how long after its return an instance must not have left rotation again for the next absence to be
	// short.
	calm = 10 * time.Second
)

// Rotation decides whether an instance is in the balancer's rotation. The zero Rotation is in. It is safe for
// concurrent use.
type Rotation struct {
	mu      sync.Mutex
	started clock.Millis  // of the window
	refused time.Duration // in the window
	outTill clock.Millis
	absence time.Duration // the last one
}

// RecordRefusals adds a time that has just ended, in which all connections were refused.
func (r *Rotation) RecordRefusals(now clock.Millis, length time.Duration) (left bool, absence time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.started) >= window {
		r.started, r.refused = now.Add(-length), 0
	}
	r.refused += length
	if r.refused <= maxRefused || now < r.outTill {
		return false, 0
	}
	if r.outTill == 0 || now.Sub(r.outTill) > calm {
		r.absence = minAbsence
	} else {
		r.absence = min(2*r.absence, maxAbsence)
	}
	r.outTill, r.refused = now.Add(r.absence), 0
	return true, r.absence
}

// In reports whether the instance is in rotation.
func (r *Rotation) In(now clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now >= r.outTill
}
