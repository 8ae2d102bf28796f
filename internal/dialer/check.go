package dialer

import (
	"context"
	"errors"
	"syscall"

	"github.com/trailshed/trailshed/internal/tunnel"
)

// Verdict is what is known of an endpoint's process.
type Verdict int

// The values of Verdict.
const (
	// Running: the process runs, or nothing indicates that it has ended.
	Running Verdict = iota
	// Ended: the process has ended.
	Ended
	// Uncertain: connections are refused, but the network may be at fault.
	Uncertain
)

// Check finds out whether an endpoint's process has ended: its host refuses connections to its
// port. A refusal that only this instance sees proves nothing, as its own network may be at
// fault: a peer whose links work has to see it too or, if no peer can tell, this instance must
// reach another endpoint of the service at the same moment.
func (d *Dialer) Check(ctx context.Context, to tunnel.Destination) Verdict {
	start, bypassed := d.Now(), d.Bypassed(to.EndpointID)
	if !bypassed && !d.Pool.ProcessEnded(ctx, to.Address, to.EndpointID) {
		return Running
	}
	c, err := d.Tunnels.Dial(ctx, to)
	switch {
	case err == nil:
		c.Finish() // nothing was sent on it
		if !bypassed {
			d.recordBypass(to, syscall.ECONNREFUSED)
		}
		return Running
	case errors.Is(err, tunnel.ErrRefused):
		return Ended
	case !errors.Is(err, tunnel.ErrNoPeer):
		return Running // no answer proves nothing
	case !bypassed && d.Sound(ctx, to, start):
		return Ended
	default:
		return Uncertain
	}
}
