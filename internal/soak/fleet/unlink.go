package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/trailshed/trailshed/internal/soak/outage"
	"github.com/trailshed/trailshed/internal/soak/schedule"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

// minUnlinkTime is the minimum time for which instances lose their links: the time until they
// must serve again, and some time with requests after that.
const minUnlinkTime = 7 * time.Second

// linkFaults are how links fail, by variant.
var linkFaults = []standin.LinkFault{standin.LinksSilent, standin.LinksReset, standin.LinksRefused}

// unlink makes some instances lose their connections to all endpoints: one, all of a zone, or
// all but one of the fleet.
func (f *Fleet) unlink(ctx context.Context, s schedule.Step, first *instance) error {
	fault := linkFaults[s.Variant%len(linkFaults)]
	var chosen []*instance
	for _, i := range f.allInstances() {
		switch s.Variant / len(linkFaults) % 3 {
		case 0:
			if i != first {
				continue
			}
		case 1:
			if i.zone != first.zone {
				continue
			}
		default:
			if i == first {
				continue
			}
		}
		chosen = append(chosen, i)
	}
	return f.cutLinks(ctx, max(s.Duration, minUnlinkTime), fault, chosen...)
}

// cutLinks makes instances lose their connections to all endpoints for a time.
func (f *Fleet) cutLinks(ctx context.Context, length time.Duration, fault standin.LinkFault, instances ...*instance) error {
	var failures []error
	for _, i := range instances {
		end := f.faults.Begin(timeline.Links, i.name, "unlink")
		defer end()
		failures = append(failures, f.setLinks(i, fault, 1))
		defer func() { _ = f.setLinks(i, standin.LinksUp, -1) }() // fails only if the run's folder is gone
	}
	sleep(ctx, length)
	return errors.Join(failures...)
}

// setLinks begins or ends one fault of an instance's links. The last one to end restores them.
func (f *Fleet) setLinks(i *instance, fault standin.LinkFault, change int) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.linkFaults += change
	if change < 0 && i.linkFaults > 0 {
		return nil
	}
	return outage.Set(outage.Path(i.program.Settings), fault)
}
