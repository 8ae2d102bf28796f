// Package clocks are those of an instance's machine, which the soak suspends: the
// steady clock stands still while the process is stopped, and the others go on. The
// kernel would need rights for that which a soak has not, so a file says for how long,
// and the process under test reads its clocks through it. Timers of the process go by
// the kernel's steady clock all the same, and are not late.
package clocks

import (
	"encoding/binary"
	"errors"
	"io"
	"os"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Path is the file beside an instance's settings.
func Path(settings string) string { return settings + ".suspended" }

// Suspend adds to the time for which a machine was suspended. Its process must be
// stopped, and its file is there from now on.
func Suspend(path string, length time.Duration) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	total := read(f) + length
	_, err = f.WriteAt(binary.BigEndian.AppendUint64(nil, uint64(total)), 0)
	return errors.Join(err, f.Close())
}

// Open returns the clocks of the machine that the file at path suspends.
func Open(path string) (clock.Source, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return clock.Source{}, err
	}
	machine := clock.Machine()
	return clock.Source{
		Read: func() (day, steady time.Duration) {
			day, steady = machine.Read()
			return day, steady - read(f)
		},
		Asleep: func() (time.Duration, error) {
			asleep, err := machine.Asleep()
			return asleep + read(f), err
		},
	}, nil
}

// read returns the total so far; an empty file says none.
func read(f io.ReaderAt) time.Duration {
	var total [8]byte
	if _, err := f.ReadAt(total[:], 0); err != nil {
		return 0
	}
	return time.Duration(binary.BigEndian.Uint64(total[:]))
}
