package dispatcher

import (
	"context"

	"github.com/trailshed/trailshed/internal/cell"
)

// cancelLoop is one worker of the pool that sends cancel requests to endpoints.
// It does not retry a failed cancel: the endpoint's next report shows whether
// the attempt is still held.
func (d *Dispatcher) cancelLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.cancels:
			freed, err := d.client.Cancel(ctx, e.Address, string(e.Attempt))
			d.scope.Counter("cancels").Inc(1)
			if err != nil {
				d.scope.Counter("cancels_failed").Inc(1)
				continue
			}
			d.each(func(r *activeCell) {
				d.apply(r, cell.Cancelled{Endpoint: e.Endpoint, Attempt: e.Attempt, Freed: freed})
			})
		}
	}
}
