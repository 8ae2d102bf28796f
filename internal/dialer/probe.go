package dialer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/internal/tunnel"
)

const (
	// probeInterval is how often the own links to endpoints that are reached through peers
	// are tried. With it they are used again half a second after they are back.
	probeInterval = 250 * time.Millisecond
	// probesPerService bounds the endpoints of a service that are tried at a time.
	probesPerService = 2
)

// Run tries the links that are lost until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	ticker.Every(ctx, probeInterval, func() { d.probe(ctx) })
}

func (d *Dialer) probe(ctx context.Context) {
	bypassed := 0
	for name, list := range d.reach.Endpoints() {
		bypassed += len(list)
		known := map[string]tunnel.Destination{}
		for e := range d.Endpoints(name) {
			known[e.EndpointID] = e
		}
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		probes := 0
		for _, id := range list {
			e, ok := known[id]
			if !ok {
				d.reach.Forget(name, id)
				continue
			}
			if probes++; probes <= probesPerService {
				go d.probeEndpoint(ctx, e)
			}
		}
	}
	through, carried := d.Tunnels.Open()
	d.Scope.Gauge("endpoints_bypassed").Update(float64(bypassed))
	d.Scope.Gauge("tunnels_open").Update(float64(through))
	d.Scope.Gauge("tunnels_carried").Update(float64(carried))
}

// probeEndpoint reports whether an own connection to an endpoint comes up, and keeps it.
func (d *Dialer) probeEndpoint(ctx context.Context, e tunnel.Destination) bool {
	c, err := d.dialOwn(ctx, e)
	if err == nil {
		d.Pool.Keep(c, e.Address, e.EndpointID)
	}
	return err == nil
}
