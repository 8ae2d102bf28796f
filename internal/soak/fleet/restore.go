package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/trailshed/trailshed/internal/soak/schedule"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

const (
	// copyInterval is the time between two copies of the store; a restore uses the older of
	// the last two.
	copyInterval = 2 * time.Second
	// awayTime is how long the store is away before it comes back.
	awayTime = 300 * time.Millisecond
	// writeAgainTime is the time in which operators and endpoints write again what was lost.
	writeAgainTime = 1500 * time.Millisecond
)

// keepCopies copies the store every copyInterval until ctx ends.
func (f *Fleet) keepCopies(ctx context.Context) {
	for {
		c := f.store.Copy()
		f.mu.Lock()
		f.copies = append(f.copies[max(len(f.copies)-1, 0):], c)
		f.mu.Unlock()
		if !sleep(ctx, copyInterval) {
			return
		}
	}
}

// restoreStore brings the store back from a copy after a moment, variant times in a row. Its
// writers write again what was lost, each at a time of its own.
func (f *Fleet) restoreStore(ctx context.Context, s schedule.Step) {
	if !f.claim("store") {
		return
	}
	defer f.release("store")
	end := f.faults.Begin(timeline.Store, "store", "restored")
	defer end()
	for range 1 + s.Variant%2 {
		f.mu.Lock()
		copied := f.copies[0]
		f.mu.Unlock()
		for _, i := range f.allInstances() {
			i.storeProxy.SetFault(standin.Silent)
		}
		sleep(ctx, awayTime)
		lost := f.store.Restore(copied)
		for _, i := range f.allInstances() {
			i.storeProxy.SetFault(standin.Healthy)
		}
		for _, key := range lost {
			f.steps.Go(func() {
				time.Sleep(rand.N(writeAgainTime))
				f.store.WriteAgain(key)
			})
		}
		time.Sleep(writeAgainTime)
	}
}
