package pace

import (
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Prior holds the assumptions about engines without observations. Its zero value is not
// usable; [ConservativePrior] returns the default.
type Prior struct {
	PrefillSetup      time.Duration // time to an engine's answer on top of the prompt's tokens; it may start the next prompt meanwhile
	PrefillToken      time.Duration // per token of a prompt
	FirstEvent        time.Duration // from handing over the KV cache to the first event
	LocalPrefillToken time.Duration // per token of a prompt that a decode engine prefills
	TokenTime         time.Duration // per token of an answer
	LengthFraction    float64       // expected fraction of the maximum length if the caller gives no expectation
}

// ConservativePrior assumes engines at the slow end of those that serve models of some
// tens of billions of parameters: assuming a too slow engine refuses a few requests in
// the first second, assuming a too fast one wastes the prefills of their prompts.
func ConservativePrior() Prior {
	return Prior{
		PrefillSetup:      40 * time.Millisecond,
		PrefillToken:      30 * time.Microsecond,
		FirstEvent:        100 * time.Millisecond,
		LocalPrefillToken: 60 * time.Microsecond,
		TokenTime:         6 * time.Millisecond,
		LengthFraction:    0.42,
	}
}

func (p Prior) line(quantity Quantity) line {
	switch quantity {
	case PrefillTime:
		return line{base: clock.InMillis(p.PrefillSetup), slope: clock.InMillis(p.PrefillToken)}
	case PrefillInterval:
		return line{slope: clock.InMillis(p.PrefillToken)}
	case FirstEventTime:
		return line{base: clock.InMillis(p.FirstEvent)}
	case LocalPrefillTime:
		return line{base: clock.InMillis(p.FirstEvent), slope: clock.InMillis(p.LocalPrefillToken)}
	case TokenTime:
		return line{base: clock.InMillis(p.TokenTime)}
	case AnswerLength: // an answer is as long as expected; both are logarithms
		return line{slope: 1}
	default: // no assumption about sizes
		return line{base: 1}
	}
}
