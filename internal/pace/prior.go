package pace

import (
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Prior holds the assumptions about engines without observations. Its zero value is not
// usable; [Cautious] returns the default.
type Prior struct {
	ReadSetup  time.Duration // time to an engine's answer on top of the prompt's tokens; it may start the next prompt meanwhile
	ReadToken  time.Duration // per token of a prompt
	Begin      time.Duration // from handing over the KV cache to the first event
	WholeToken time.Duration // per token of a prompt that a decode engine prefills
	Step       time.Duration // per token of an answer
	LengthPart float64       // expected fraction of the maximum length if the caller gives no expectation
}

// Cautious assumes engines at the slow end of those that serve models of some tens of
// billions of parameters: assuming a too slow engine refuses a few requests in the
// first second, assuming a too fast one wastes the prefills of their prompts.
func Cautious() Prior {
	return Prior{
		ReadSetup:  40 * time.Millisecond,
		ReadToken:  30 * time.Microsecond,
		Begin:      100 * time.Millisecond,
		WholeToken: 60 * time.Microsecond,
		Step:       6 * time.Millisecond,
		LengthPart: 0.42,
	}
}

func (p Prior) line(quantity Act) line {
	switch quantity {
	case Read:
		return line{base: clock.InMillis(p.ReadSetup), slope: clock.InMillis(p.ReadToken)}
	case Turn:
		return line{slope: clock.InMillis(p.ReadToken)}
	case Begin:
		return line{base: clock.InMillis(p.Begin)}
	case Whole:
		return line{base: clock.InMillis(p.Begin), slope: clock.InMillis(p.WholeToken)}
	case Step:
		return line{base: clock.InMillis(p.Step)}
	case Length: // an answer is as long as expected; both are logarithms
		return line{slope: 1}
	default: // no assumption about sizes
		return line{base: 1}
	}
}
