// Package clocks emulates the clocks of a machine that is suspended for a time: the
// monotonic clock stops during the suspension, and the others continue. Suspending a real
// machine needs privileges that the soak test does not have. Instead the test stops the
// process, writes the total time of suspension to a file, and the process reads its clocks
// through that file. Timers of the process still follow the kernel's monotonic clock and
// are therefore not late.
package clocks

import (
	"encoding/binary"
	"errors"
	"io"
	"os"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Path returns the path of the suspension file for an instance's settings file.
func Path(settings string) string { return settings + ".suspended" }

// Suspend adds to the total time for which a machine was suspended, and creates the file
// if it does not exist. The process of the machine must be stopped.
func Suspend(path string, length time.Duration) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	suspended := readSuspended(f) + length
	_, err = f.WriteAt(binary.BigEndian.AppendUint64(nil, uint64(suspended)), 0)
	return errors.Join(err, f.Close())
}

// Open returns the clocks of the machine whose suspension file is at path.
func Open(path string) (clock.Source, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return clock.Source{}, err
	}
	machine := clock.Machine()
	return clock.Source{
		Read: func() (wall, monotonic time.Duration) {
			wall, monotonic = machine.Read()
			return wall, monotonic - readSuspended(f)
		},
		SuspendedTime: func() (time.Duration, error) {
			suspended, err := machine.SuspendedTime()
			return suspended + readSuspended(f), err
		},
	}, nil
}

// readSuspended returns the total time of suspension; an empty file stands for zero.
func readSuspended(f io.ReaderAt) time.Duration {
	var data [8]byte
	if _, err := f.ReadAt(data[:], 0); err != nil {
		return 0
	}
	return time.Duration(binary.BigEndian.Uint64(data[:]))
}
