package dialer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/internal/tunnel"
	"github.com/trailshed/trailshed/internal/uplink"
)

const (
	// probeInterval is how often the own links to endpoints that are reached through peers
	// are tried. With it they are used again half a second after they are back.
	probeInterval = 250 * time.Millisecond
	// probesPerService bounds the endpoints of a service that are tried at a time.
	probesPerService = 2
)

// Run tries the links that are lost, and the endpoints that are silent, until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	ticker.Every(ctx, probeInterval, func() {
		d.probe(ctx)
		d.probeSilent(ctx)
	})
}

// probeSilent tries endpoints to which a connection did not come up in time, so that requests need not do so to find
// out that they answer again. An instance that is overloaded is late itself and learns nothing from it.
func (d *Dialer) probeSilent(ctx context.Context) {
	if d.Overloaded() {
		return
	}
	for _, e := range d.silences.due(d.Now()) {
		if d.Bypassed(e.EndpointID) || !d.takesRequests(e) {
			d.silences.forget(e.EndpointID)
			continue
		}
		go d.probeSilence(ctx, e)
	}
}

// probeSilence tries one silent endpoint, and keeps a connection that comes up.
func (d *Dialer) probeSilence(ctx context.Context, e tunnel.Destination) {
	ctx, cancel := context.WithTimeout(ctx, uplink.DialTimeout)
	defer cancel()
	c, err := d.dialOwn(ctx, e)
	if isTimeout(err) {
		err = d.timeoutError()
	}
	switch {
	case err == nil:
		d.Pool.Keep(c, e.Address, e.EndpointID)
	case errors.Is(err, uplink.ErrLate):
	case errors.Is(err, uplink.ErrSilent):
		d.OnSilence(e.EndpointID)
	default: // the next request learns the same
		d.silences.forget(e.EndpointID)
	}
}

// takesRequests reports whether an endpoint still takes requests at its address.
func (d *Dialer) takesRequests(e tunnel.Destination) bool {
	for o := range d.Endpoints(e.Service) {
		if o.EndpointID == e.EndpointID && o.Address == e.Address {
			return true
		}
	}
	return false
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
