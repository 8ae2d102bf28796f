package clock

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// ErrInconsistentRead is returned if the clocks could not be read closely enough
// together because the process was delayed between the reads in each attempt.
var ErrInconsistentRead = errors.New("clocks could not be read together")

const (
	// maxReadAttempts limits the attempts to read the clocks together, which means
	// within maxReadSpread. Reading a clock takes less than a microsecond.
	maxReadAttempts = 10
	maxReadSpread   = time.Millisecond
)

// Machine returns a source of this machine's clocks.
func Machine() Source {
	started := time.Now()
	return Source{
		Read: func() (wall, monotonic time.Duration) {
			now := time.Now()
			return time.Duration(now.UnixNano()), now.Sub(started)
		},
		SuspendedTime: readSuspendedTime,
	}
}

// readSuspendedTime returns the difference between CLOCK_BOOTTIME and
// CLOCK_MONOTONIC. It reads the latter before and after, to detect a delay between
// the reads.
func readSuspendedTime() (time.Duration, error) {
	for range maxReadAttempts {
		before, err := readClock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		up, err := readClock(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := readClock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		if after-before < maxReadSpread {
			return up - before, nil
		}
	}
	return 0, ErrInconsistentRead
}

func readClock(clock int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
