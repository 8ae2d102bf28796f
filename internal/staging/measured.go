package staging

import (
	"maps"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/pkg/clock"
)

// minTimings is the number of observations from which the time of a stage counts as known. The
// first answers that end are those of the fastest engines.
const minTimings = 32

// maxUnmeasured is the number of requests from which assumed times are used: some cannot be
// observed, such as the time per token of very short answers.
const maxUnmeasured = sizeWindow

// DecideMeasured returns the next orders for all services. For those whose times at both stages have
// not been observed, orders follow from assumed times alone, and only to decode: assumed times are
// conservative and demand rather too many prefill engines. Other orders might have to be undone, and
// each costs the engine's work for the duration of a change.
func (p *Policy) DecideMeasured(now clock.Millis, v *directory.View, sizes map[string]Sizes, paces *pace.Model) []Order {
	measured := Measured(v, sizes, paces)
	assumed := maps.Clone(sizes)
	maps.DeleteFunc(assumed, func(service string, _ Sizes) bool { _, known := measured[service]; return known })
	early := slices.DeleteFunc(p.Decide(now, v, assumed, paces.Unlearned()), func(o Order) bool {
		if o.Stage == directory.Decode {
			return false
		}
		p.Withdraw(o)
		return true
	})
	return append(early, p.Decide(now, v, measured, paces)...)
}

// Measured returns the sizes of the services whose times at both stages have been observed. A
// stage without an engine that could show its time is not waited for.
func Measured(v *directory.View, sizes map[string]Sizes, paces *pace.Model) map[string]Sizes {
	measured := maps.Clone(sizes)
	maps.DeleteFunc(measured, func(service string, s Sizes) bool {
		if s.Requests >= maxUnmeasured {
			return false
		}
		prefill, decode := false, false
		for e := range v.Service(service) {
			prefill = prefill || e.State == directory.Ready && e.Stage == directory.Prefill
			decode = decode || e.State == directory.Ready && e.Stage == directory.Decode
		}
		observed := func(q pace.Quantity) bool { return paces.ObservationCount(service, q) >= minTimings }
		return prefill && !observed(pace.PrefillTime) && !observed(pace.PrefillInterval) || decode && !observed(pace.TokenTime)
	})
	return measured
}

// prefillInterval predicts the time between the prompts of a busy engine. Prompts seldom queue at
// a low load, and then at the slowest engines; the whole prefill of a prompt takes no less.
func prefillInterval(service string, prompt int, paces *pace.Model) time.Duration {
	interval := paces.MeanTime(pace.PrefillInterval, service, prompt)
	if paces.ObservationCount(service, pace.PrefillTime) < minTimings {
		return interval
	}
	return min(interval, paces.MeanTime(pace.PrefillTime, service, prompt))
}
