package dispatcher

import (
	"context"

	"github.com/trailshed/trailshed/internal/cell"
)

// cancelLoop is one worker of the pool that carries cancels to endpoints. A
// cancel that fails is not repeated here: the endpoint's listing decides.
func (d *Dispatcher) cancelLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.cancels:
			known, err := d.client.Cancel(ctx, e.Address, string(e.Attempt))
			d.scope.Counter("cancels").Inc(1)
			if err != nil {
				d.scope.Counter("cancels_failed").Inc(1)
				continue
			}
			d.each(func(r *running) {
				d.apply(r, cell.Cancelled{Endpoint: e.Endpoint, Attempt: e.Attempt, Known: known})
			})
		}
	}
}
