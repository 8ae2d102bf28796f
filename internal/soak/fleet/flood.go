package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

const (
	// floodersPerZone callers with a pause of floodPause send a zone's endpoint several times what
	// it can serve. They are twice as many as it can run and queue, so that it refuses others.
	floodersPerZone = 60
	floodPause      = 100 * time.Millisecond
	// floodTime is added to the duration of a flood: time for instances to notice it, and some
	// in which others must be served.
	floodTime = 4 * time.Second
)

// flood makes one workspace send far more requests to the plain service than it can serve.
func (f *Fleet) flood(ctx context.Context, length time.Duration) {
	const claimed = "flood"
	if !f.claim(claimed) {
		return
	}
	defer f.release(claimed)
	end := f.faults.Begin(timeline.Flood, caller.Flooding, "flood")
	defer end()
	ctx, cancel := context.WithTimeout(ctx, length+floodTime)
	defer cancel()
	var group sync.WaitGroup
	for range floodersPerZone * len(f.Zones) {
		c := &caller.Caller{PickGateway: f.pickInstance, NextKind: caller.FloodKind, Done: f.checker.RecordCall, NextID: f.nextID}
		group.Go(func() { c.Run(ctx, floodPause) })
	}
	group.Wait()
}
