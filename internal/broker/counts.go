package broker

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/placement"
)

// priorityCounts are the metrics of the local planner's queue by priority.
type priorityCounts struct {
	queued  [placement.LowestPriority + 1]tally.Gauge
	refused [placement.LowestPriority + 1]tally.Counter
}

func newPriorityCounts(s tally.Scope) (c priorityCounts) {
	for n := range c.queued {
		tagged := s.Tagged(map[string]string{"priority": strconv.Itoa(n)})
		c.queued[n], c.refused[n] = tagged.Gauge("placement_queue_by_priority"), tagged.Counter("placement_refused")
	}
	return c
}

// countAnswers updates the metrics of the local planner's queue after an event.
func (b *Broker) countAnswers(answers []placement.Answer) {
	b.Scope.Gauge("placement_queue").Update(float64(b.planner.Queued()))
	for n, queued := range b.planner.QueuedByPriority() {
		b.priorityCounts.queued[n].Update(float64(queued))
	}
	for _, a := range answers {
		if a.Decision.Refusal != nil && a.Final {
			b.priorityCounts.refused[a.Priority].Inc(1)
		}
	}
}
