package clock

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// ErrUnsteady says that the clocks could not be read at one moment: the process was
// held up each time between two looks.
var ErrUnsteady = errors.New("clocks could not be read together")

const (
	// looks is how often that is tried, and together within what the looks at two
	// clocks must lie. A look takes less than a microsecond.
	looks    = 10
	together = time.Millisecond
)

// Machine returns the clocks of this machine.
func Machine() Source {
	started := time.Now()
	return Source{
		Read: func() (day, steady time.Duration) {
			now := time.Now()
			return time.Duration(now.UnixNano()), now.Sub(started)
		},
		Asleep: asleep,
	}
}

func asleep() (time.Duration, error) {
	for range looks {
		before, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		up, err := read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		if after-before < together {
			return up - before, nil
		}
	}
	return 0, ErrUnsteady
}

func read(clock int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
