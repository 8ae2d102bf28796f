package fleet

import (
	"context"
	"time"

	"github.com/trailshed/trailshed/internal/soak/schedule"
	"github.com/trailshed/trailshed/internal/soak/timeline"
	"github.com/trailshed/trailshed/platform/standin"
)

const (
	// minEndlessTime is added to the duration of a step.
	minEndlessTime = 2 * time.Second
	// Up to one in endlessShare endpoints give answers without end, one at least.
	endlessShare = 4
)

// answerEndlessly makes some endpoints give answers without end for a time.
func (f *Fleet) answerEndlessly(ctx context.Context, s schedule.Step) {
	answers := standin.EndlessAnswers()
	f.mu.Lock()
	count := 1 + s.Variant/len(answers)%max(len(f.endpoints)/endlessShare, 1)
	f.mu.Unlock()
	b := normalBehaviour()
	b.Endless = &answers[s.Variant%len(answers)]
	var chosen []*endpoint
	for n := range count {
		e := f.endpoint(s.Target + n)
		chosen = append(chosen, e)
		defer f.faults.Begin(timeline.Endless, e.ID, "endless")()
		e.SetBehaviour(b)
	}
	sleep(ctx, s.Duration+minEndlessTime)
	for _, e := range chosen {
		e.SetBehaviour(normalBehaviour())
	}
	sleep(ctx, recoveryTime)
}
