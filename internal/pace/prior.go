package pace

import (
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Prior is what is assumed of engines of which nothing was seen yet. Its zero
// value is of no use; Cautious returns the usual one.
type Prior struct {
	ReadSetup  time.Duration // until an engine answers, besides the prompt's tokens; it may read the next one meanwhile
	ReadToken  time.Duration // of each token of a prompt
	Begin      time.Duration // from handing over a KV cache to the first event
	WholeToken time.Duration // of each token that a decode engine reads itself
	Step       time.Duration // of one token of an answer
	LengthPart float64       // of the longest answer, where the caller expects nothing
}

// Cautious assumes engines at the slow end of those that serve models of some
// tens of billions of parameters: to take an engine for slower than it is
// refuses a few requests of the first second, to take it for faster reads their
// prompts for nothing.
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

func (p Prior) line(act Act) line {
	switch act {
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
	default: // sizes are not assumed
		return line{base: 1}
	}
}
