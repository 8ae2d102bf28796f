package placement

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// slownessInterval is how often the engines' learned speeds are read.
	slownessInterval = time.Second
	// minSlownessRatio is the ratio of a slow to a fast engine from which engines differ.
	// Estimates from a few requests differ by up to a quarter between equal engines.
	minSlownessRatio = 1.35
	// slownessQuantile is the fraction of engines that are faster than a fast one, or slower
	// than a slow one: single engines may be slow for a while.
	slownessQuantile = 0.1
	// minCompared is the number of engines from which they are compared: of fewer, one that took
	// longer a few times would seem slow, and would get no request that shows that it is not.
	minCompared = 5
	// slownessPrompt and slownessRunning are the sizes at which engines are compared: tokens
	// and requests.
	slownessPrompt  = 4096
	slownessRunning = 8
)

// engineGroup identifies engines that are compared with each other.
type engineGroup struct {
	service string
	prefill bool
}

// refreshSlowness calls readSlowness if it was last called slownessInterval ago.
func (p *Planner) refreshSlowness(now clock.Millis) {
	if now.Sub(p.slownessAt) >= slownessInterval {
		p.readSlowness(now)
	}
}

// readSlowness reads from the model how much longer than the typical engine each takes. It is
// cached because the model computes it from the latest requests.
func (p *Planner) readSlowness(now clock.Millis) {
	p.slownessAt = now
	groups := map[engineGroup][]*engine{}
	for _, e := range p.engines {
		g := engineGroup{e.Service, e.Stage == directory.Prefill}
		groups[g] = append(groups[g], e)
	}
	for g, list := range groups {
		typical := p.standardTime(g, pace.AnyEngine)
		for _, e := range list {
			e.slowness = float64(p.standardTime(g, e.ID)) / float64(typical)
		}
		if differ(list) {
			continue
		}
		for _, e := range list {
			e.slowness = 0
		}
	}
}

// standardTime predicts an engine's time for a standard prompt or token.
func (p *Planner) standardTime(g engineGroup, engine string) time.Duration {
	if g.prefill {
		return max(p.prefillTime(g.service, engine, slownessPrompt), time.Microsecond)
	}
	return max(p.model.TokenTime(g.service, engine, slownessRunning), time.Microsecond)
}

// differ reports whether engines differ in speed by more than estimates do.
func differ(list []*engine) bool {
	if len(list) < minCompared {
		return false
	}
	slownesses := make([]float64, len(list))
	for i, e := range list {
		slownesses[i] = e.slowness
	}
	slices.Sort(slownesses)
	margin := int(slownessQuantile * float64(len(list)))
	return slownesses[len(list)-1-margin] >= minSlownessRatio*slownesses[margin]
}

// decodeRank ranks a decode engine of which a number of tokens is in use, the lowest first: by how
// full it is or, if engines differ in speed, by how long it will hold a request's memory, up to
// twice as long for a full engine. Slow engines are used when fast ones are filling up.
func (e *engine) decodeRank(used int) float64 {
	fraction := float64(used) / float64(max(e.capacity, 1))
	if e.slowness == 0 {
		return fraction
	}
	return e.slowness * (1 + fraction)
}

// extraPrefillTime returns how much longer than at the typical engine a prompt takes at a prefill
// engine.
func (p *Planner) extraPrefillTime(req Request, e *engine) time.Duration {
	if e.slowness == 0 {
		return 0
	}
	return time.Duration((e.slowness - 1) * float64(p.prefillTime(req.Service, pace.AnyEngine, req.Prompt)))
}

// Speeds is the range of the speeds of a service's decode engines relative to the typical one. All
// are 1 if engines are alike.
type Speeds struct{ Slowest, Median, Fastest float64 }

// DecodeSpeeds returns the speeds of decode engines by service.
func (p *Planner) DecodeSpeeds() map[string]Speeds {
	byService := map[string][]float64{}
	for _, e := range p.engines {
		if e.Stage == directory.Prefill {
			continue
		}
		speed := 1.0
		if e.slowness > 0 {
			speed = 1 / e.slowness
		}
		byService[e.Service] = append(byService[e.Service], speed)
	}
	ranges := map[string]Speeds{}
	for service, list := range byService {
		slices.Sort(list)
		ranges[service] = Speeds{Slowest: list[0], Median: list[len(list)/2], Fastest: list[len(list)-1]}
	}
	return ranges
}
